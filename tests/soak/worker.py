"""A worker of the soak: it notes its runs, and spoils its answers when told to."""

import contextlib
import json
import secrets
import time
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent.server import StreamServer

from tests.soak.content import (
    STREAM_EVENTS,
    answer_body,
    event,
    is_request_body,
    signature,
)
from tests.soak.notes import NoteWriter
from tests.soak.sender import SLOW_S, AnswerSender, ClosedError
from tests.soak.spoils import Spoil, Spoiling
from tests.soak.wire import Answer, CutError, Framing, Head, NotHttpError, Wire

WORK_S = 0.05
EVENTS_WAIT_S = 0.2
#: Time for which the connection of an order that gets no answer stays open, seconds.
UNANSWERED_S = 30.0
JSON = ("Content-Type", "application/json")


def deaf_marker(spoils: Path) -> Path:
    """Returns the file that exists while a worker ignores orders.

    :param spoils: file of the worker's spoils.
    """
    return spoils.with_suffix(".deaf")


def unaware_marker(spoils: Path) -> Path:
    """Returns the file that exists while a worker does not notice closed connections.

    :param spoils: file of the worker's spoils.
    """
    return spoils.with_suffix(".unaware")


class SoakWorker:
    """Answers requests, notes its runs and accepts orders.

    :ivar rng: chooses what is spoiled and how.
    """

    def __init__(
        self,
        worker_id: str,
        model: str,
        version: int,
        notes: NoteWriter,
        spoils: Path,
        rng: Random,
    ) -> None:
        self.id = worker_id
        self.model = model
        self.version = version
        self.accepted = 0
        self.notes = notes
        self.rng = rng
        self._spoils = spoils
        self._deaf = deaf_marker(spoils)
        self._unaware = unaware_marker(spoils)
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    @property
    def ignores_orders(self) -> bool:
        """Returns whether orders get no answer and are not carried out."""
        return self._deaf.exists()

    @property
    def notices_closes(self) -> bool:
        """Returns whether a request is dropped if its connection is closed before it begins."""
        return not self._unaware.exists()

    def draw(self) -> frozenset[Spoil]:
        """Returns how the next answer is spoiled."""
        spoils = Spoiling.load(self._spoils).draw(self.rng)
        if spoils:
            self.notes.write("spoiled", *sorted(spoils))
        return spoils

    def _serve(self, sock: Any, _address: Any) -> None:
        with contextlib.suppress(OSError, ClosedError, CutError, NotHttpError):
            connection = _Connection(self, Wire(sock))
            while (head := connection.wire.read_head()) is not None:
                connection.serve(head)


class _Connection:
    """One connection; it serves one request after another."""

    def __init__(self, worker: SoakWorker, wire: Wire) -> None:
        self._worker = worker
        self._rng = worker.rng
        self._notes = worker.notes
        self.wire = wire
        self._sender = AnswerSender(wire, worker.rng)

    def serve(self, head: Head) -> None:
        """Answers a request.

        :raises ClosedError: if the connection must end, or has.
        """
        if self._rng.random() < 0.5:
            self._sender.send_late()
        spoils = self._worker.draw()
        request_id = head.get("request-id")
        self._sender.deadline = time.monotonic() + float(head.get("deadline-ms") or 60_000) / 1000
        target = head.first.split(" ")[1]
        if target.startswith("/arbutustally/") or target == "/healthz":
            self._finish(self._control(target, self._body(head)), spoils)
            return
        # An engine notices a close by an empty read, so no body may lie in between.
        is_early = Spoil.EARLY in spoils and not self._worker.model
        body = b"" if is_early else self._body(head)
        if not is_early and not is_request_body(request_id, body):
            self._notes.write("changed", request_id)
        answer = self._refusal(head, spoils)
        if answer is None:
            self._run(request_id, int(head.get("last-event-id") or 0), spoils)
        else:
            self._finish(answer, spoils)
        if is_early and not is_request_body(request_id, self._body(head)):
            self._notes.write("changed", request_id)

    def _body(self, head: Head) -> bytes:
        has_body = head.framing is not Framing.CLOSE
        return b"".join(self.wire.read_body(head)) if has_body else b""

    def _control(self, target: str, body: bytes) -> Answer:
        worker = self._worker
        if target == "/healthz":
            return Answer(200, (("Instance-Id", worker.id),), (b"",))
        if target == "/arbutustally/order":
            if worker.ignores_orders:
                gevent.sleep(UNANSWERED_S)
                raise ClosedError
            return Answer(self._order(json.loads(body)), (), (b"",))
        if target.startswith("/arbutustally/kv-events"):
            gevent.sleep(EVENTS_WAIT_S)
            answer = {"bootEpoch": 1, "next": 0, "lost": False, "events": []}
        else:
            models = [{"name": worker.model, "version": worker.version, "adapters": []}]
            answer = {"stage": "unified", "models": models, "busy": False}
            answer["sequence"] = worker.accepted
        return Answer(200, (JSON,), (json.dumps(answer).encode(),))

    def _order(self, order: dict) -> int:
        worker = self._worker
        if order["expect"] != worker.accepted:
            return 409
        worker.accepted += 1
        self._notes.write("order", order["fence"], order["version"], order["holder"])
        worker.version = order["version"]
        return 202

    def _refusal(self, head: Head, spoils: frozenset[Spoil]) -> Answer | None:
        """Returns the refusal of a request that this worker does not run."""
        worker, echo = self._worker, ("Request-Id", head.get("request-id"))
        is_other = head.get("expect-instance") != worker.id
        if is_other or (worker.model and head.get("expect-version") != str(worker.version)):
            return Answer(421, (echo, ("Instance-Id", worker.id)), (b"",))
        if Spoil.REFUSE in spoils:
            parts = self._rng.choice(((), (), (b"full",)))
            return Answer(503, (echo, ("Not-Executed", "1")), parts, *self._shape(spoils))
        return None

    def _run(self, request_id: str, after: int, spoils: frozenset[Spoil]) -> None:
        if self._worker.notices_closes and self.wire.peek() == b"":
            # The caller left while a late copy of an earlier answer was sent.
            raise ClosedError
        token = secrets.token_hex(6)
        status = 500 if Spoil.FAIL in spoils else 200
        self._notes.begin(request_id, token, status, self._worker.version)
        answer = self._answer(request_id, after, token, status, spoils)
        is_stream = len(answer.parts) != 1
        try:
            self._sender.send_late()
            is_slow = Spoil.SLOW in spoils
            if not is_stream:
                self._sender.work(self._rng.uniform(WORK_S, SLOW_S) if is_slow else WORK_S)
            slow_at = self._rng.choice((0, 0, len(answer.parts) // 2))
            self._sender.send(
                answer,
                spoils,
                slow_at if is_stream and is_slow else -1,
                lambda: self._notes.first(request_id, token),
            )
        finally:
            self._notes.end(request_id, token)
        self._sender.copy(answer, spoils)

    def _answer(
        self, request_id: str, after: int, token: str, status: int, spoils: frozenset[Spoil]
    ) -> Answer:
        """Returns the answer of a run, for a stream with an event in each part."""
        signed = ("Server-Stamp", signature(self._worker.id, token))
        numbers = range(after + 1, STREAM_EVENTS + 1)
        if self._worker.model and status == 200:
            parts = tuple(event(request_id, number) for number in numbers)
        else:
            parts = (answer_body(request_id, token),)
        return Answer(status, (("Request-Id", request_id), signed), parts, *self._shape(spoils))

    def _shape(self, spoils: frozenset[Spoil]) -> tuple[Framing, bool]:
        """Returns framing and place of the framing header of an answer."""
        framing = self._rng.choice((Framing.LENGTH, Framing.CHUNKED))
        if Spoil.UNFRAMED in spoils:
            framing = Framing.CLOSE
        return framing, self._rng.random() < 0.5

    def _finish(self, answer: Answer, spoils: frozenset[Spoil]) -> None:
        self._sender.send(answer, spoils)
        self._sender.copy(answer, spoils)
