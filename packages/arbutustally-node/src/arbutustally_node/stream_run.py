"""One model call: admission, dispatch, relay, recovery and accounting."""

from collections.abc import Callable, Generator, Iterator
from dataclasses import replace
from typing import Any

from arbutustally.clock import Clock
from arbutustally.engine_client import END_OF_STREAM, Usage
from arbutustally.errors import (
    EndpointFailedError,
    EndpointTimeoutError,
    NoEndpointError,
    Ran,
    RouterError,
    StreamLostError,
    StreamNotResumableError,
)
from arbutustally.metrics import Counter, declare
from arbutustally.placement import Observation
from arbutustally.prefixes import PromptShape, split_levels
from arbutustally.retries import RetryBudget
from arbutustally.stream_token import EventId, StreamToken, issue, verify
from arbutustally_node.calls import ModelCall
from arbutustally_node.dispatch import Dispatcher, Link
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options
from arbutustally_node.relay import EventSplitter, Fault, StreamCursor

#: Resumptions of one stream that bring no token before another engine is tried.
MAX_IDLE_RESUMES = 2
BYTES_PER_TOKEN = 4
DONE = b"data: [DONE]\n\n"

_RETRIED = {
    fault: declare(f"retried.{fault}", f"Stream read on elsewhere: {fault}.") for fault in Fault
}
NOT_SENT = declare("retried.not_sent", "Endpoint unreachable; the request went to another one.")
REFUSED = declare("retried.endpoint_refused", "Endpoint refused; the request went to another one.")
RESUMED = declare("retried.resumed_for_caller", "A caller resumed the stream of another node.")


class StreamRun:
    """One model call."""

    def __init__(
        self,
        call: ModelCall,
        kernel: Kernel,
        options: Options,
        dispatcher: Dispatcher,
        retries: RetryBudget,
        clock: Clock,
    ) -> None:
        self._call = call
        self._kernel = kernel
        self._secrets = (options.peer_secret, options.peer_secret_previous)
        self._dispatcher = dispatcher
        self._retries = retries
        self._clock = clock
        self._cursor = StreamCursor(call.request_id, "")
        self._version = ""
        self._shape: PromptShape | None = None
        self._tried: set[str] = set()
        self._link: Link | None = None
        self._idle_resumes = 0
        self._ran = Ran.NOT_RUN

    @property
    def cursor(self) -> StreamCursor:
        """Returns what was received."""
        return self._cursor

    def events(self) -> Iterator[bytes]:
        """Yields batches of events and then the end mark."""
        try:
            if self._call.last_event_id:
                yield from self._resumed()
            else:
                yield from self._admitted()
        finally:
            self._call.watch.stop()

    def _admitted(self) -> Iterator[bytes]:
        call = self._call
        tokens = call.prompt_bytes // BYTES_PER_TOKEN + 1 + call.output_tokens
        limits = self._kernel.lookup("limits")
        reservation = limits.reserve(call.account, tokens, call.trace)
        try:
            gate = self._kernel.lookup("fairness")
            with gate.admit(call.account, call.class_name, tokens, call.trace):
                self._version = self._kernel.lookup("versions").pick(call.model, call.request_id)
                call.trace.note("version_picked", version=self._version)
                self._shape = split_levels(call.prompt)
                self._cursor = StreamCursor(call.request_id, self._version)
                yield from self._relay(self._open_link)
        finally:
            limits.settle(reservation, self._used_tokens())

    def _resumed(self) -> Iterator[bytes]:
        event = verify(self._secrets, self._call.last_event_id)
        token = event.token
        if token.account != self._call.account or token.request_digest != self._call.digest:
            raise StreamNotResumableError(
                "Last-Event-ID belongs to another request; send that request's own body and key"
            )
        self._version = token.version
        self._ran = Ran.MAY_HAVE_RUN
        self._call = call = _with_request_id(self._call, token.request_id)
        self._cursor = StreamCursor(token.request_id, token.version, event.index + 1, False)
        call.trace.note("resuming", stream=token.request_id, after=event.index)
        self._kernel.lookup("metrics").count(RESUMED)
        yield from self._relay(lambda: self._resume_for_caller(event))

    def _relay(self, open_first: Callable[[], Link]) -> Iterator[bytes]:
        try:
            self._link = open_first()
            while (fault := (yield from self._pump(self._link))) is not None:
                self._link = self._recover(self._link, fault)
            self._complete(self._link)
            self._link = None
            yield DONE
        finally:
            if self._link is not None:
                self._abandon(self._link)

    def _pump(self, link: Link) -> Generator[bytes, None, Fault | None]:
        cursor = self._cursor
        splitter = EventSplitter()
        prefix = b""
        while True:
            try:
                with self._call.watch:
                    data = link.response.read()
            except EndpointTimeoutError:
                return Fault.SILENT
            except EndpointFailedError:
                return Fault.BROKEN
            if not data:
                return None if cursor.finished else Fault.TRUNCATED
            payloads = splitter.feed(data)
            if payloads is None:
                return Fault.MALFORMED
            out = []
            result: Fault | int | None = 0
            for payload in payloads:
                if payload == END_OF_STREAM:
                    result = None if cursor.finished else Fault.TRUNCATED
                    break
                result = cursor.take(payload)
                if type(result) is not int:
                    break
                if result < 0:
                    out.append(b"data: %s\n\n" % payload)
                    continue
                if not prefix:
                    prefix = b"id: " + self._stream_token(link).encode() + b"."
                out.append(b"%s%d\ndata: %s\n\n" % (prefix, result, payload))
            if out:
                self._progress(link)
                yield b"".join(out)
            if type(result) is not int:
                return result

    def _progress(self, link: Link) -> None:
        link.last_s = self._clock()
        if not link.first_s:
            link.first_s = link.last_s
            self._idle_resumes = 0
            self._call.trace.note("first_token", endpoint=link.endpoint.id)

    def _stream_token(self, link: Link) -> str:
        call = self._call
        token = StreamToken(
            call.request_id,
            call.account,
            link.endpoint.id,
            self._cursor.incarnation,
            self._version,
            call.digest,
        )
        return issue(self._secrets[0], token)

    # Opening and recovery.

    def _open_link(self) -> Link:
        """Opens a link on the best engine, trying others within the retry budget."""
        call = self._call
        failure: RouterError | None = None
        while True:
            try:
                endpoint, choice = self._dispatcher.choose(
                    call, self._version, self._shape, self._tried
                )
            except NoEndpointError as error:
                raise self._final(failure or error) from error
            self._tried.add(endpoint.id)
            call.trace.note(
                "placed",
                endpoint=endpoint.id,
                estimate_ms=round(choice.estimate_s * 1000, 1),
                cached=choice.expected_cached_tokens,
                reasons=" ".join(choice.reasons),
            )
            begun = self._clock()
            ran_before, self._ran = self._ran, Ran.MAY_HAVE_RUN
            try:
                return self._dispatcher.send(
                    call, self._version, self._shape, endpoint, choice, self._cursor, begun
                )
            except (EndpointFailedError, EndpointTimeoutError) as error:
                failure = error
                if error.ran is Ran.NOT_RUN:
                    self._ran = ran_before
                self._failed_before_answer(endpoint, error, begun)
                if not self._retries.allow(call.account):
                    call.trace.note("retry_budget_empty")
                    raise self._final(failure) from error

    def _failed_before_answer(self, endpoint: Any, error: RouterError, begun: float) -> None:
        self._call.trace.note("endpoint_failed", endpoint=endpoint.id, code=error.code)
        if error.ran is Ran.NOT_RUN:
            self._count(NOT_SENT)
        else:
            self._count(REFUSED)
            self._dispatcher.cancel(endpoint, self._call.request_id)
        self._observe(False, self._clock() - begun, 0.0)

    def _recover(self, link: Link, fault: Fault) -> Link:
        """Returns a link that carries the stream on from the cursor.

        :raises StreamLostError: if nothing can carry it on.
        """
        self._call.trace.note(
            "stream_broken", endpoint=link.endpoint.id, fault=str(fault), at=self._cursor.next_index
        )
        self._count(_RETRIED[fault])
        self._dispatcher.leave(link)
        self._link = None
        if fault is not Fault.OTHER_INCARNATION:
            resumed = self._resume(link)
            if resumed is not None:
                return resumed
        else:
            self._dispatcher.lost(link.endpoint, link.incarnation)
        self._observe(False, self._first_token_s(link), 0.0)
        return self._continue_elsewhere(link)

    def _resume(self, link: Link) -> Link | None:
        if self._idle_resumes >= MAX_IDLE_RESUMES or not self._cursor.incarnation:
            return None
        self._idle_resumes += 1
        try:
            resumed = self._dispatcher.resume(
                self._call, link.endpoint, self._cursor.incarnation, self._cursor, self._clock()
            )
        except RouterError as error:
            self._call.trace.note(
                "not_resumed", endpoint=link.endpoint.id, code=error.code, reason=error.message
            )
            return None
        self._call.trace.note("resumed", endpoint=link.endpoint.id, at=self._cursor.next_index)
        return resumed

    def _continue_elsewhere(self, link: Link) -> Link:
        self._dispatcher.cancel(link.endpoint, self._call.request_id)
        if not self._cursor.can_continue:
            raise self._lost("this node does not hold the tokens sent before")
        if not self._retries.allow(self._call.account):
            raise self._lost("the retry budget is used up")
        try:
            continued = self._open_link()
        except RouterError as error:
            raise self._lost(error.message) from error
        self._call.trace.note(
            "continued", endpoint=continued.endpoint.id, at=self._cursor.next_index
        )
        return continued

    def _resume_for_caller(self, event: EventId) -> Link:
        token = event.token
        membership = self._kernel.lookup("membership")
        found = [
            state
            for state in membership.endpoints(self._call.service, self._call.model)
            if state.id == token.endpoint
        ]
        if not found or found[0].incarnation not in ("", token.incarnation):
            raise self._not_resumable("its engine is gone")
        try:
            return self._dispatcher.resume(
                self._call, found[0], token.incarnation, self._cursor, self._clock()
            )
        except RouterError as error:
            raise self._not_resumable(error.message) from error

    # Ends.

    def _complete(self, link: Link) -> None:
        link.response.settle()
        self._dispatcher.leave(link)
        self._retries.succeeded(self._call.account)
        sent = self._cursor.next_index - link.first_index
        gap = (link.last_s - link.first_s) / (sent - 1) if sent > 1 else 0.0
        self._observe(True, self._first_token_s(link), gap)
        usage = self._cursor.usage
        self._call.trace.note(
            "completed", endpoint=link.endpoint.id, tokens=self._cursor.next_index
        )
        if usage is not None and link.choice is not None:
            self._learn(link, usage)

    def _learn(self, link: Link, usage: Usage) -> None:
        self._call.trace.note("cached_tokens", tokens=usage.cached_tokens)
        observation = Observation(
            account=self._call.account,
            model=self._call.model,
            version=self._version,
            shape=self._shape,
            endpoint=link.endpoint.id,
            incarnation=self._cursor.incarnation,
            cached_tokens=usage.cached_tokens,
        )
        self._kernel.lookup("placement").learn(observation)

    def _abandon(self, link: Link) -> None:
        self._link = None
        self._dispatcher.leave(link)
        self._dispatcher.cancel(link.endpoint, self._call.request_id)
        self._call.trace.note("abandoned", endpoint=link.endpoint.id, at=self._cursor.next_index)

    def _used_tokens(self) -> int:
        if self._ran is Ran.NOT_RUN:
            return 0
        usage = self._cursor.usage
        estimate = self._call.prompt_bytes // BYTES_PER_TOKEN + 1
        prompt = estimate if usage is None else usage.prompt_tokens
        return prompt + self._cursor.next_index

    def _observe(self, ok: bool, first_token_s: float, gap_s: float) -> None:
        call = self._call
        self._kernel.lookup("versions").observe(
            call.model, self._version, call.class_name, call.route, ok, first_token_s, gap_s
        )

    def _first_token_s(self, link: Link) -> float:
        return (link.first_s or self._clock()) - link.opened_s

    def _count(self, counter: Counter) -> None:
        self._kernel.lookup("metrics").count(counter)

    def _final(self, error: RouterError) -> RouterError:
        if self._ran is not Ran.NOT_RUN:
            error.ran = self._ran
        return error

    def _lost(self, reason: str) -> StreamLostError:
        return StreamLostError(
            f"the stream broke after {self._cursor.next_index} tokens and cannot be continued: "
            f"{reason}; send the request again for a new answer",
            ran=Ran.MAY_HAVE_RUN,
            retry_after_s=0.0,
        )

    def _not_resumable(self, reason: str) -> StreamNotResumableError:
        return StreamNotResumableError(
            f"the stream cannot be resumed: {reason}; send the request again without Last-Event-ID",
            ran=Ran.MAY_HAVE_RUN,
        )


def _with_request_id(call: ModelCall, request_id: str) -> ModelCall:
    """Returns the call under the id that its stream has at the engine."""
    return replace(call, request_id=request_id)
