"""HTTP interface of the booking service: every call runs once and is counted."""

import argparse
import hashlib
from collections import Counter
from dataclasses import dataclass
from typing import Any

import gevent
from bottle import Bottle, HTTPResponse, request

from arbutustally_standins.faults import (
    FaultSwitch,
    Received,
    add_control_routes,
    answer,
    disturb,
    lost,
)
from arbutustally_standins.server import send_stray_answer

_METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
_STRAY = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Request-Id: stray\r\n"
    b'Content-Length: 15\r\n\r\n{"stray": true}'
)


@dataclass(frozen=True)
class BookingFaults:
    """Faults of the booking service; counts are of calls, negative for all.

    :ivar outage: every call is answered with status 503 and does not run.
    :ivar refuse: every connection is closed without an answer, and no call runs.
    :ivar slow_s: delay before a call runs.
    :ivar slow_answer_s: delay between the run and its answer.
    :ivar lose_next_answers: calls that run and whose connection is then closed.
    :ivar truncate_next_answers: calls that run and whose answer ends before its length.
    :ivar cross_next_answers: calls that run and get the answer of the call before.
    :ivar stray_next_answers: calls after whose answer another one follows unasked.
    :ivar fail_next: calls that do not run and are answered with status 503.
    """

    outage: bool = False
    refuse: bool = False
    slow_s: float = 0.0
    slow_answer_s: float = 0.0
    lose_next_answers: int = 0
    truncate_next_answers: int = 0
    cross_next_answers: int = 0
    stray_next_answers: int = 0
    fail_next: int = 0


class BookingStandin:
    """The booking service with its HTTP routes."""

    def __init__(self, name: str) -> None:
        self.app = Bottle()
        self.faults = FaultSwitch(BookingFaults())
        self._name = name
        self._received = Received()
        self._runs = 0
        self._by_request_id: Counter[str] = Counter()
        self._by_body: Counter[str] = Counter()
        self._previous: tuple[str, dict[str, Any]] = ("none", {"booking": 0})
        add_control_routes(self.app, self.faults, self._stats)
        self.app.route("/<path:path>", _METHODS, self._call)

    @classmethod
    def from_config(cls, options: Any = None) -> "BookingStandin":
        """Builds the service from flags; ``None`` takes the defaults."""
        return cls(options.name if options else "booking-1")

    def start(self) -> None:
        """Begins to serve."""

    def stop(self) -> None:
        """Ends serving."""

    def _call(self, path: str) -> HTTPResponse:
        body = request.body.read()
        self._received.note(body)
        disturb(self.faults.now)
        if self.faults.take("fail_next"):
            return answer({"error": {"code": "busy", "message": "not run; try again"}}, 503)
        request_id = request.get_header("X-Request-Id", "")
        result = self._run(request_id, body)
        if self.faults.now.slow_answer_s:
            gevent.sleep(self.faults.now.slow_answer_s)
        if self.faults.take("lose_next_answers"):
            return lost()
        previous, self._previous = self._previous, (request_id, result)
        if self.faults.take("cross_next_answers"):
            request_id, result = previous
        return self._answer(request_id, result)

    def _run(self, request_id: str, body: bytes) -> dict[str, Any]:
        self._runs += 1
        self._by_request_id[request_id] += 1
        self._by_body[_digest(request.method, request.path, body)] += 1
        return {
            "booking": self._runs,
            "service": self._name,
            "request_id": request_id,
            "body_bytes": len(body),
        }

    def _answer(self, request_id: str, result: dict[str, Any]) -> HTTPResponse:
        response = answer(result, X_Request_Id=request_id)
        if self.faults.take("stray_next_answers"):
            send_stray_answer(request.environ, _STRAY)
        if self.faults.take("truncate_next_answers"):
            response.set_header("Content-Length", str(len(response.body)))
            response.set_header("Connection", "close")
            response.body = response.body[: len(response.body) // 2]
        return response

    def _stats(self) -> dict[str, Any]:
        return {
            **self._received.report(),
            "runs": self._runs,
            "by_request_id": dict(self._by_request_id),
            "by_body": dict(self._by_body),
        }


def _digest(method: str, path: str, body: bytes) -> str:
    return hashlib.sha256(f"{method} {path}\n".encode() + body).hexdigest()


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Declares the flags of the booking service."""
    parser.add_argument("--name", default="booking-1", help="instance name, given in each answer")
