"""Sending of answers byte by byte, with what spoils them."""

import time
from collections.abc import Callable, Iterator
from random import Random

import gevent

from tests.raw_worker import Close, end
from tests.soak.spoils import Spoil, cut_after, garbled
from tests.soak.wire import Answer, Framing, Wire

EVENT_S = 0.03
#: Longest silence of a slow worker; nodes ask another engine after 1.2 s, and 0.8 s midway.
SLOW_S = 2.5
#: Time for which a worker that loses an answer holds the connection open, seconds.
SILENCE_S = 5.0
#: Longest pause before a late copy and within one, seconds.
LATE_S = 0.3


class ClosedError(Exception):
    """The connection has ended, by either side."""


class AnswerSender:
    """Sends the answers of one connection.

    :ivar deadline: of the current request, monotonic seconds.
    """

    def __init__(self, wire: Wire, rng: Random) -> None:
        self._wire = wire
        self._rng = rng
        self._late = b""
        self.deadline = 0.0

    def send(
        self,
        answer: Answer,
        spoils: frozenset[Spoil],
        slow_at: int = -1,
        on_first: Callable[[], None] = lambda: None,
    ) -> None:
        """Sends an answer, as a stream part by part, with what spoils it.

        :param slow_at: number of the event before which a stream is slow, -1 for none.
        :param on_first: called before the first event of a stream is sent.
        :raises ClosedError: if the connection must end.
        """
        self.send_late()
        if Spoil.LOSE in spoils:
            self._lose()
        if Spoil.GARBLE in spoils:
            self._wire.sock.sendall(garbled(answer, self._rng))
            if self._rng.random() < 0.5:
                self._end()
            return
        limit = cut_after(answer, self._rng) if Spoil.CUT in spoils else None
        for data in self._timed(answer, slow_at, on_first):
            if limit is not None and limit <= len(data):
                self._wire.sock.sendall(data[:limit])
                self._end()
            limit = None if limit is None else limit - len(data)
            self._wire.sock.sendall(data)
        if answer.framing is Framing.CLOSE:
            end(self._wire.sock, Close.ORDERLY)
            raise ClosedError

    def _timed(self, answer: Answer, slow_at: int, on_first: Callable[[], None]) -> Iterator[bytes]:
        """Yields the bytes of an answer when they are due."""
        head, *pieces = answer.head(), *answer.pieces()
        if len(answer.parts) == 1:
            yield head + b"".join(pieces)
            return
        if slow_at == 0 and self._rng.random() < 0.5:
            self.work(self._rng.uniform(0.5, SLOW_S))
            slow_at = -1
        yield head
        for number, piece in enumerate(pieces):
            self.work(self._rng.uniform(0.5, SLOW_S) if number == slow_at else EVENT_S)
            if number == 0:
                on_first()
            yield piece

    def copy(self, answer: Answer, spoils: frozenset[Spoil]) -> None:
        """Sends a second copy: at once, a little later, or where the next answer is expected."""
        if Spoil.COPY not in spoils:
            return
        copy = (answer if self._rng.random() < 0.5 else answer.without("Request-Id")).whole()
        split = self._rng.choice((0, 0, len(copy), self._rng.randrange(len(copy))))
        self._wire.sock.sendall(copy[:split])
        if self._rng.random() < 0.5:
            self._late = copy[split:]
            return
        gevent.sleep(self._rng.uniform(0.0, LATE_S))
        self._send_in_pieces(copy[split:])

    def send_late(self) -> None:
        """Sends the rest of an earlier copy: before the next run, or once it has begun."""
        late, self._late = self._late, b""
        self._send_in_pieces(late)

    def _send_in_pieces(self, data: bytes) -> None:
        if not data:
            return
        split = self._rng.randrange(len(data) + 1)
        self._wire.sock.sendall(data[:split])
        gevent.sleep(self._rng.choice((0.0, 0.0, self._rng.uniform(0.0, LATE_S))))
        self._wire.sock.sendall(data[split:])

    def _lose(self) -> None:
        if self._rng.random() < 0.4:
            self.work(SILENCE_S)
        self._end()

    def _end(self) -> None:
        end(self._wire.sock, self._rng.choice(tuple(Close)))
        raise ClosedError

    def work(self, seconds: float) -> None:
        """Works for some time, at most until the deadline.

        :raises ClosedError: as soon as the other side has closed, or at the deadline.
        """
        until = time.monotonic() + seconds
        last = min(until, self.deadline)
        while (left := last - time.monotonic()) > 0:
            waiting = self._wire.peek(left)
            if waiting == b"":
                raise ClosedError
            if waiting:
                # The rest of a long body lies there; only the time can be waited for.
                gevent.sleep(max(0.0, last - time.monotonic()))
        if last < until:
            self._end()
