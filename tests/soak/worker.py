"""A worker of the soak: it writes its answers byte by byte, and spoils them when told to."""

import contextlib
import json
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random
from typing import Any

import gevent
from gevent.server import StreamServer

from tests.raw_worker import Close, end
from tests.soak.content import (
    STREAM_EVENTS,
    answer_body,
    event,
    is_request_body,
    signature,
)
from tests.soak.notes import NoteWriter
from tests.soak.spoils import Spoil, Spoiling, cut_after, garbled
from tests.soak.wire import Answer, CutError, Framing, Head, NotHttpError, Wire

EVENT_S = 0.03
WORK_S = 0.05
#: Longest silence of a slow worker; nodes ask another engine after 1.2 s, and 0.8 s midway.
SLOW_S = 2.5
#: Time for which a worker that loses an answer holds the connection open, seconds.
SILENCE_S = 5.0
#: Time after the answer, or after the next request, at which a late copy comes, seconds.
LATE_S = 0.3
EVENTS_WAIT_S = 0.2
JSON = ("Content-Type", "application/json")


class ClosedError(Exception):
    """The connection has ended, by either side."""


class SoakWorker:
    """Answers requests, notes its runs and accepts orders."""

    def __init__(self, notes: NoteWriter, spoils: Path, worker_id: str, model: str, version: int):
        self.id = worker_id
        self.model = model
        self.version = version
        self.accepted = 0
        self.notes = notes
        self.rng = Random()
        self._spoils = spoils
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

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
    """One connection; it serves one request after another.

    :ivar late: copy of an answer that is sent where the next answer is expected.
    """

    def __init__(self, worker: SoakWorker, wire: Wire) -> None:
        self._worker = worker
        self._rng = worker.rng
        self._notes = worker.notes
        self.wire = wire
        self._late = b""
        self._deadline = 0.0

    def serve(self, head: Head) -> None:
        """Answers a request.

        :raises ClosedError: if the connection must end, or has.
        """
        if self._rng.random() < 0.5:
            self._send_late()
        spoils = self._worker.draw()
        request_id = head.get("request-id")
        self._deadline = time.monotonic() + float(head.get("deadline-ms") or 60_000) / 1000
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
        if self.wire.peek() == b"":
            # The caller left while a late copy of an earlier answer was sent.
            raise ClosedError
        token = f"{self._rng.getrandbits(48):012x}"
        status = 500 if Spoil.FAIL in spoils else 200
        self._notes.begin(request_id, token, status)
        is_stream = bool(self._worker.model) and status == 200
        numbers = range(after + 1, STREAM_EVENTS + 1)
        parts = [event(request_id, number) for number in numbers]
        signed = ("Server-Stamp", signature(self._worker.id, token))
        answer = Answer(
            status,
            (("Request-Id", request_id), signed),
            tuple(parts) if is_stream else (answer_body(request_id, token),),
            *self._shape(spoils),
        )
        try:
            self._send_late()
            slow_at = self._rng.choice((0, 0, len(parts) // 2)) if Spoil.SLOW in spoils else -1
            if not is_stream:
                self._work(self._rng.uniform(WORK_S, SLOW_S) if slow_at >= 0 else WORK_S)
            self._send(answer, spoils, slow_at if is_stream else -1)
        finally:
            self._notes.end(request_id, token)
        self._copy(answer, spoils)

    def _shape(self, spoils: frozenset[Spoil]) -> tuple[Framing, bool]:
        """Returns framing and place of the framing header of an answer."""
        framing = self._rng.choice((Framing.LENGTH, Framing.CHUNKED))
        if Spoil.UNFRAMED in spoils:
            framing = Framing.CLOSE
        return framing, self._rng.random() < 0.5

    def _finish(self, answer: Answer, spoils: frozenset[Spoil]) -> None:
        self._send(answer, spoils)
        self._copy(answer, spoils)

    def _send(self, answer: Answer, spoils: frozenset[Spoil], slow_at: int = -1) -> None:
        """Sends an answer, as a stream part by part, with what spoils it.

        :param slow_at: number of the event before which a stream is slow, -1 for none.
        :raises ClosedError: if the connection must end.
        """
        self._send_late()
        if Spoil.LOSE in spoils:
            self._lose()
        if Spoil.GARBLE in spoils:
            self.wire.sock.sendall(garbled(answer, self._rng))
            if self._rng.random() < 0.5:
                self._end()
            return
        limit = cut_after(answer, self._rng) if Spoil.CUT in spoils else None
        for data in self._timed(answer, slow_at):
            if limit is not None and limit <= len(data):
                self.wire.sock.sendall(data[:limit])
                self._end()
            limit = None if limit is None else limit - len(data)
            self.wire.sock.sendall(data)
        if answer.framing is Framing.CLOSE:
            end(self.wire.sock, Close.ORDERLY)
            raise ClosedError

    def _timed(self, answer: Answer, slow_at: int) -> Iterator[bytes]:
        """Yields the bytes of an answer when they are due."""
        head, *pieces = answer.head(), *answer.pieces()
        if len(answer.parts) == 1:
            yield head + b"".join(pieces)
            return
        if slow_at == 0 and self._rng.random() < 0.5:
            self._work(self._rng.uniform(0.5, SLOW_S))
            slow_at = -1
        yield head
        for number, piece in enumerate(pieces):
            self._work(self._rng.uniform(0.5, SLOW_S) if number == slow_at else EVENT_S)
            yield piece

    def _copy(self, answer: Answer, spoils: frozenset[Spoil]) -> None:
        """Sends a second copy: at once, a little later, or where the next answer is expected."""
        if Spoil.COPY not in spoils:
            return
        copy = (answer if self._rng.random() < 0.5 else answer.without("Request-Id")).whole()
        split = self._rng.choice((0, 0, len(copy), self._rng.randrange(len(copy))))
        self.wire.sock.sendall(copy[:split])
        if self._rng.random() < 0.5:
            self._late = copy[split:]
            return
        gevent.sleep(self._rng.uniform(0.0, LATE_S))
        self._send_in_pieces(copy[split:])

    def _send_late(self) -> None:
        """Sends the rest of an earlier copy: before the next run, or once it has begun."""
        late, self._late = self._late, b""
        self._send_in_pieces(late)

    def _send_in_pieces(self, data: bytes) -> None:
        if not data:
            return
        split = self._rng.randrange(len(data) + 1)
        self.wire.sock.sendall(data[:split])
        gevent.sleep(self._rng.choice((0.0, 0.0, self._rng.uniform(0.0, LATE_S))))
        self.wire.sock.sendall(data[split:])

    def _lose(self) -> None:
        if self._rng.random() < 0.4:
            self._work(SILENCE_S)
        self._end()

    def _end(self) -> None:
        end(self.wire.sock, self._rng.choice(tuple(Close)))
        raise ClosedError

    def _work(self, seconds: float) -> None:
        """Works for some time, at most until the deadline.

        :raises ClosedError: as soon as the other side has closed, or at the deadline.
        """
        until = time.monotonic() + seconds
        last = min(until, self._deadline)
        while (left := last - time.monotonic()) > 0:
            waiting = self.wire.peek(left)
            if waiting == b"":
                raise ClosedError
            if waiting:
                # The rest of a long body lies there; only the time can be waited for.
                gevent.sleep(max(0.0, last - time.monotonic()))
        if last < until:
            self._end()
