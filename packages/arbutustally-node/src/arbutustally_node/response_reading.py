"""How a response arrived, for the log line of its request."""

from dataclasses import dataclass
from enum import StrEnum

from arbutustally_node.framing import Framing


class BodyEnd(StrEnum):
    """How the reading of a body ended.

    ``COMPLETE`` is an end that the framing marks, ``CLOSED`` an orderly close before such an end.
    """

    OPEN = "open"
    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    TIMED_OUT = "timed_out"
    LEFT = "left"


@dataclass
class ResponseReading:
    """Progress of reading one response.

    :ivar is_reused: the connection had carried an earlier request.
    :ivar copies: copies of earlier responses that came before it on its connection.
    :ivar is_named: the response states the id of a request.
    :ivar body_bytes: bytes of the body that have arrived, without their framing.
    """

    framing: Framing
    is_reused: bool
    copies: int = 0
    is_named: bool = False
    body_bytes: int = 0
    end: BodyEnd = BodyEnd.OPEN

    def ended(self, end: BodyEnd) -> None:
        """Records how the body ended; the first end counts."""
        if self.end is BodyEnd.OPEN:
            self.end = end

    def __str__(self) -> str:
        connection = "reused" if self.is_reused else "new"
        named = "named" if self.is_named else "unnamed"
        copies = f" behind {self.copies}" if self.copies else ""
        return f"{self.framing} {self.body_bytes} {self.end} {connection} {named}{copies}"
