"""Reading of server-sent events from an urllib3 response."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True)
class SseEvent:
    """One event.

    :ivar id: event id, empty without one.
    :ivar name: event type, ``message`` by default.
    """

    id: str
    name: str
    data: str


def parse_events(chunks: Iterable[bytes]) -> Iterator[SseEvent]:
    """Yields the complete events of a byte stream; an incomplete last one is dropped."""
    id_, name, data = "", "message", []
    for line in _lines(chunks):
        if not line:
            if data:
                yield SseEvent(id_, name, "\n".join(data))
            id_, name, data = "", "message", []
            continue
        field, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if field == "id":
            id_ = value
        elif field == "event":
            name = value
        elif field == "data":
            data.append(value)


def _lines(chunks: Iterable[bytes]) -> Iterator[str]:
    rest = b""
    for chunk in chunks:
        *whole, rest = (rest + chunk).split(b"\n")
        for line in whole:
            yield line.removesuffix(b"\r").decode()
