"""Faults that a test sets at run time, and the record of what a stand-in received."""

from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import fields, replace
from typing import Any, Generic, TypeVar

import gevent
import orjson
from bottle import Bottle, HTTPResponse, request

from arbutustally_standins.server import cut_connection

_RECEIVED_KEPT = 500
_BODY_KEPT = 1000

T = TypeVar("T")


class FaultInvalidError(Exception):
    """A fault is unknown or its value is malformed."""


class FaultSwitch(Generic[T]):
    """Holds the present faults of a stand-in, a frozen data class.

    :param none: the faults of a healthy stand-in.
    :param decode: converts JSON values by field name where needed.
    """

    def __init__(self, none: T, decode: Mapping[str, Callable[[Any], Any]] | None = None) -> None:
        self._none = none
        self._decode = dict(decode or {})
        self._changed: list[Callable[[], None]] = []
        self.now = none

    def update(self, values: Mapping[str, Any]) -> None:
        """Sets the named faults; ``{"reset": true}`` clears the others first.

        :raises FaultInvalidError: for an unknown name.
        """
        names = {field.name for field in fields(self._none)}  # type: ignore[arg-type]
        unknown = sorted(set(values) - names - {"reset"})
        if unknown:
            raise FaultInvalidError(
                f"unknown fault {unknown[0]!r}; choose from {', '.join(sorted(names))}"
            )
        base = self._none if values.get("reset") else self.now
        decoded = {
            name: self._decode.get(name, _same)(value)
            for name, value in values.items()
            if name != "reset"
        }
        self.now = replace(base, **decoded)  # type: ignore[type-var]
        for callback in self._changed:
            callback()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Calls back after each update."""
        self._changed.append(callback)

    def take(self, name: str) -> bool:
        """Uses up one of a counted fault; a negative count never runs out."""
        left = getattr(self.now, name)
        if left > 0:
            self.now = replace(self.now, **{name: left - 1})  # type: ignore[type-var]
        return left != 0


def _same(value: Any) -> Any:
    return value


class Received:
    """What a stand-in received, for ``GET /stats``."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self._calls: deque[dict[str, Any]] = deque(maxlen=_RECEIVED_KEPT)

    def note(self, body: bytes = b"") -> None:
        """Records the present call with its headers, its query and the start of its body."""
        call = {
            "method": request.method,
            "path": request.path,
            "query": request.query_string,
            "headers": dict(request.headers),
            "body": body[:_BODY_KEPT].decode(errors="replace"),
        }
        self._calls.append(call)
        self.counts[f"{request.method} {request.path}"] += 1

    def report(self) -> dict[str, Any]:
        """Returns counts by method and path, and the last calls."""
        return {"received": list(self._calls), "calls": dict(self.counts)}


def read_json() -> dict[str, Any]:
    """Returns the body of the present call.

    :raises HTTPResponse: status 400 if it is not a JSON object.
    """
    try:
        body = orjson.loads(request.body.read() or b"{}")
    except orjson.JSONDecodeError:
        body = None
    if not isinstance(body, dict):
        raise refusal(400, "bad_request", "send a JSON object")
    return body


def answer(body: Any, status: int = 200, **headers: str) -> HTTPResponse:
    """Returns a JSON answer; header names are given with underscores for hyphens."""
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    data = orjson.dumps(body)
    return HTTPResponse(data, status, headers={"Content-Type": "application/json", **named})


def refusal(status: int, code: str, message: str, **headers: str) -> HTTPResponse:
    """Returns an error answer."""
    return answer({"error": {"code": code, "message": message}}, status, **headers)


def lost() -> HTTPResponse:
    """Closes the connection of the present call; its answer goes nowhere."""
    cut_connection(request.environ)
    return HTTPResponse(b"", 200)


def disturb(faults: Any) -> None:
    """Applies the faults that all stand-ins share before a call takes effect.

    :raises HTTPResponse: if the call goes no further.
    """
    if faults.slow_s:
        gevent.sleep(faults.slow_s)
    if faults.refuse:
        raise lost()
    if faults.outage:
        raise refusal(503, "outage", "the stand-in was told to be down; POST /faults to end it")


def add_control_routes(
    app: Bottle, switch: FaultSwitch[Any], stats: Callable[[], dict[str, Any]]
) -> None:
    """Adds ``POST /faults`` and ``GET /stats``, which no fault affects."""

    def set_faults() -> HTTPResponse:
        try:
            switch.update(read_json())
        except (FaultInvalidError, TypeError, ValueError) as error:
            return refusal(400, "fault_invalid", str(error))
        return answer(switch.now)

    def get_stats() -> HTTPResponse:
        return answer(stats())

    app.route("/faults", "POST", set_faults)
    app.route("/stats", "GET", get_stats)
