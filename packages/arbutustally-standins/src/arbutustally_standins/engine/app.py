"""HTTP interface of the engine."""

import os
from collections import Counter
from collections.abc import Iterator
from typing import Any
from uuid import uuid4

import gevent
from bottle import Bottle, HTTPResponse, request

from arbutustally.clock import Clock, monotonic
from arbutustally_standins.engine.answers import (
    STRAY_ID,
    StreamFault,
    crossed,
    events,
    stray_answer,
    whole,
)
from arbutustally_standins.engine.faults import EngineFaults, Failure, decode_rules
from arbutustally_standins.engine.options import EngineOptions
from arbutustally_standins.engine.orders import OrderInvalidError, Orders, StaleFenceError
from arbutustally_standins.engine.requests import (
    RequestInvalidError,
    Work,
    model_request,
    plan_output,
    understand,
)
from arbutustally_standins.engine.runner import Runner, Stream
from arbutustally_standins.engine.stores import PlatformClient
from arbutustally_standins.engine.transfers import Transfers
from arbutustally_standins.engine_types import VersionNotLoadedError
from arbutustally_standins.faults import (
    FaultSwitch,
    Received,
    add_control_routes,
    answer,
    disturb,
    lost,
    read_json,
    refusal,
)
from arbutustally_standins.server import cut_connection, send_stray_answer

_CRASH_EXIT_CODE = 70


class EngineStandin:
    """An engine with its HTTP routes."""

    def __init__(self, options: EngineOptions, clock: Clock) -> None:
        self.app = Bottle()
        self.faults = FaultSwitch(EngineFaults(), {"rules": decode_rules})
        self._options = options
        self._clock = clock
        self._runner = Runner(options, self.faults, clock)
        self.faults.on_change(self._crash_or_restart)
        platform = PlatformClient(options.weights_url, options.kv_url)
        self._orders = Orders(options, self._runner, platform, lambda: self.faults.now.load_fails)
        self._transfers = Transfers(options, self._runner, platform)
        self._received = Received()
        self._runs: Counter[str] = Counter()
        self._open: list[dict[str, Any]] = []
        self._add_routes()

    @classmethod
    def from_config(
        cls, options: EngineOptions | None = None, clock: Clock = monotonic
    ) -> "EngineStandin":
        """Builds the engine; ``None`` takes the default options."""
        return cls(options or EngineOptions(), clock)

    @property
    def runner(self) -> Runner:
        """Returns the runner, for tests in the same process."""
        return self._runner

    def start(self) -> None:
        """Begins to run requests."""
        self._runner.start()

    def stop(self) -> None:
        """Finishes the running requests."""
        self._runner.stop()

    def _add_routes(self) -> None:
        route = self.app.route
        route("/v1/chat/completions", "POST", lambda: self._complete("chat"))
        route("/v1/completions", "POST", lambda: self._complete("completions"))
        route("/v1/streams/<id>", "GET", self._resume)
        route("/v1/requests/<id>", "DELETE", self._cancel)
        route("/v1/load", "GET", self._load)
        route("/v1/cache/events", "GET", self._cache_events)
        route("/v1/orders", "POST", self._order)
        route("/v1/kv/export", "POST", lambda: self._transfer(self._transfers.export_prompt))
        route("/v1/kv/import", "POST", lambda: self._transfer(self._transfers.import_prompt))
        add_control_routes(self.app, self.faults, self._stats)

    def _crash_or_restart(self) -> None:
        if self.faults.now.crash:
            os._exit(_CRASH_EXIT_CODE)
        if not self.faults.now.restart:
            return
        for environ in list(self._open):
            cut_connection(environ)
        self._runner.restart()
        self.faults.update({"restart": False})

    def _enter(self) -> dict[str, Any]:
        """Notes a call, applies the shared faults and returns its body."""
        self._received.note(request.body.read())
        request.body.seek(0)
        disturb(self.faults.now)
        return read_json() if request.method == "POST" else {}

    def _understand(self, body: dict[str, Any], route: str) -> Work:
        model = self._options.model.model
        if body.get("model", model) != model:
            raise refusal(404, "model_unknown", f"this engine serves {model}")
        adapter = body.get("adapter")
        if adapter and adapter not in self._orders.adapters:
            raise refusal(409, "adapter_not_loaded", "order the adapter's load first")
        given = body.get("request_id") or request.get_header("X-Request-Id") or uuid4()
        versions = self._runner.model.versions
        try:
            work = understand(body, route, str(given), model, versions)
        except RequestInvalidError as error:
            raise refusal(400, "bad_request", str(error)) from error
        if work.version not in versions:
            raise _version_mismatch(work.version)
        return work

    def _complete(self, route: str) -> HTTPResponse:
        work = self._understand(self._enter(), route)
        failure = self._runner.rules.judge(work.version, route, self._runner.model.running)
        if failure.delay_s:
            gevent.sleep(failure.delay_s)
        if failure.fails and failure.at_token < 0:
            self._runner.counts["failed"] += 1
            return refusal(500, "engine_failed", "the engine was told to fail")
        stream = self._submit(work)
        if self.faults.take("lose_next_answers"):
            return self._lose(stream)
        if work.stream:
            return self._stream(stream, stream.plan.first_index, failure)
        return self._whole(stream, failure)

    def _submit(self, work: Work) -> Stream:
        imported = self._transfers.import_missing(work.blocks) if work.kv_import else 0
        try:
            plan = plan_output(work, self._options.model.model, self._options.stop_early)
            wanted = model_request(work, plan, self._options.model.model, imported)
            stream = self._runner.submit(wanted, plan)
        except RequestInvalidError as error:
            raise refusal(400, "bad_request", str(error)) from error
        except VersionNotLoadedError as error:
            raise _version_mismatch(work.version) from error
        self._runs[work.request_id] += 1
        self._transfers.export_after(stream)
        return stream

    def _lose(self, stream: Stream) -> HTTPResponse:
        for _ in stream.tokens(stream.plan.first_index):
            continue
        return lost()

    def _whole(self, stream: Stream, failure: Failure) -> HTTPResponse:
        environ = request.environ
        self._open.append(environ)
        try:
            for _ in self._read(stream, stream.plan.first_index, StreamFault()):
                continue
        finally:
            self._open.remove(environ)
        gevent.sleep(self.faults.now.late_s)
        if failure.fails:
            return lost()
        if stream.lost and not stream.finished:
            return refusal(500, "stream_lost", "the engine lost the request")
        body = whole(stream)
        if self.faults.take("cross_next"):
            body = crossed(body, self._other_id(stream))
        if self.faults.take("stray_next"):
            send_stray_answer(environ, stray_answer())
        return answer(body, X_Request_Id=stream.plan.request_id)

    def _stream(self, stream: Stream, start: int, failure: Failure) -> HTTPResponse:
        fault = self._stream_fault(stream, start, failure)
        if self.faults.take("stray_next"):
            send_stray_answer(request.environ, stray_answer())
        headers = {
            "Content-Type": "text/event-stream",
            "Cache-Control": "no-store",
            "X-Request-Id": stream.plan.request_id,
        }
        body = self._connected(self._read(stream, start, fault), request.environ)
        return HTTPResponse(body, 200, headers=headers)

    def _connected(self, body: Iterator[bytes], environ: dict[str, Any]) -> Iterator[bytes]:
        """Registers the connection for the time in which an answer is sent."""
        self._open.append(environ)
        try:
            gevent.sleep(self.faults.now.late_s)
            yield from body
        finally:
            self._open.remove(environ)

    def _read(self, stream: Stream, start: int, fault: StreamFault) -> Iterator[bytes]:
        stream.readers += 1
        try:
            yield from events(stream, start, fault)
        finally:
            stream.readers -= 1
            stream.unread_since = self._clock()

    def _stream_fault(self, stream: Stream, start: int, failure: Failure) -> StreamFault:
        faults = self.faults.now
        abort_at = start + failure.at_token if failure.fails else -1
        cut = True
        loses = failure.fails
        if abort_at < 0 and self.faults.take("abort_next"):
            abort_at = start + faults.abort_after_tokens
            cut = not faults.abort_clean
            loses = faults.abort_loses_stream
        environ = request.environ

        def abort() -> None:
            if loses:
                self._runner.cancel(stream.plan.request_id)
            if cut:
                cut_connection(environ)

        token = faults.fault_token
        return StreamFault(
            abort_at=abort_at,
            abort=abort,
            cross_at=start + faults.cross_after_tokens if self.faults.take("cross_next") else -1,
            crossed_id=self._other_id(stream),
            skip_at=token if self.faults.take("skip_next") else -1,
            repeat_at=token if self.faults.take("repeat_next") else -1,
        )

    def _other_id(self, stream: Stream) -> str:
        other = self._runner.other_stream(stream.plan.request_id)
        return other.plan.request_id if other else STRAY_ID

    def _resume(self, id: str) -> HTTPResponse:
        self._enter()
        stream = self._runner.stream(id)
        try:
            start = int(request.query.get("from", "0"))
        except ValueError:
            return refusal(400, "bad_request", "from is the number of a token")
        if stream is None or not stream.plan.first_index <= start <= stream.end:
            return refusal(404, "stream_unknown", "continue it with continue_tokens instead")
        self._runner.counts["resumed"] += 1
        return self._stream(stream, start, Failure())

    def _cancel(self, id: str) -> HTTPResponse:
        self._enter()
        return answer({"cancelled": self._runner.cancel(id)})

    def _load(self) -> HTTPResponse:
        self._enter()
        report = self._runner.model.load_report()
        return answer(
            {
                "engine": report.engine,
                "incarnation": report.incarnation,
                "model": report.model,
                "versions": report.versions,
                "adapters": self._orders.adapters,
                "role": self._orders.role,
                "queued_tokens": report.queued_tokens,
                "running": report.running,
                "age_s": self._clock() - report.sampled_at,
            }
        )

    def _cache_events(self) -> HTTPResponse:
        self._enter()
        try:
            after = int(request.query.get("after", "0"))
        except ValueError:
            return refusal(400, "bad_request", "after is the number of an event")
        entries = self._runner.events.read(after, self.faults.now.event_delay_s)
        following = entries[-1]["seq"] if entries else after
        incarnation = self._runner.model.incarnation
        return answer({"incarnation": incarnation, "next": following, "events": entries})

    def _order(self) -> HTTPResponse:
        body = self._enter()
        if body.get("model", self._options.model.model) != self._options.model.model:
            return refusal(404, "model_unknown", "send the order to an engine of that model")
        try:
            state = self._orders.carry_out(body)
        except StaleFenceError as error:
            return refusal(409, "stale_fence", str(error))
        except OrderInvalidError as error:
            return refusal(400, "bad_request", str(error))
        return lost() if self.faults.take("lose_next_orders") else answer({"state": state})

    def _transfer(self, transfer: Any) -> HTTPResponse:
        work = self._understand(self._enter(), "completions")
        if not self._options.kv_url:
            return refusal(409, "no_kv_store", "start the engine with --kv-url")
        pieces = transfer(work.blocks)
        if pieces is None:
            return refusal(502, "kv_store_failed", "check the KV store; the cache is unchanged")
        return answer({"pieces": pieces})

    def _stats(self) -> dict[str, Any]:
        model = self._runner.model
        return {
            **self._received.report(),
            "engine": self._options.model.engine,
            "incarnation": model.incarnation,
            "versions": model.versions,
            "counts": dict(self._runner.counts),
            "runs": dict(self._runs),
            "orders": self._orders.accepted,
            "cache_blocks": len(model.cache),
            "events_lost": self._runner.events.lost,
            "running": model.running,
            "waiting": model.waiting,
        }


def _version_mismatch(version: str) -> HTTPResponse:
    return refusal(409, "version_mismatch", f"version {version!r} is not loaded here")
