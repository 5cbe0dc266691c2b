"""Recognition of a second copy of the response to an earlier request on the same connection."""

from collections import deque
from collections.abc import Callable, Mapping
from email.message import Message
from http.client import HTTPException
from typing import Any, BinaryIO

from arbutustally.bounded_head import BoundedHead
from arbutustally_node.framing import ChunkedBody
from arbutustally_node.loop_turn import wait_for_turn

#: Earlier requests of a connection whose ids are kept; a copy follows its response closely.
MAX_EARLIER_IDS = 8
#: Longest body of a copy that is skipped, bytes.
MAX_SKIPPED_BYTES = 256 << 10


class CutCopyError(HTTPException):
    """The connection ended inside a copy of an earlier response."""


class EarlierRequests:
    """Ids of the requests that one connection has carried.

    :param id_header: header that states the id of a request, and of the request that a response
        belongs to; empty if there is none.
    """

    def __init__(self, id_header: str) -> None:
        self._id_header = id_header.lower()
        self._earlier: deque[str] = deque(maxlen=MAX_EARLIER_IDS)
        self._current = ""

    def clear(self) -> None:
        """Forgets all requests; the connection is a new one."""
        self._earlier.clear()
        self._current = ""

    def begin(self, headers: Mapping[str, str]) -> None:
        """Records the request that is sent next."""
        if not self._id_header:
            return
        if self._current:
            self._earlier.append(self._current)
        self._current = self._id_in(headers)

    def have_id_of(self, headers: Mapping[str, str]) -> bool:
        """Returns whether the id of a request is that of an earlier one."""
        request_id = self._id_in(headers)
        return bool(request_id) and (request_id == self._current or request_id in self._earlier)

    def has_answer_in(self, headers: Message) -> bool:
        """Returns whether a response head belongs to an earlier request."""
        ids = headers.get_all(self._id_header, []) if self._id_header else []
        return len(ids) == 1 and ids[0] != self._current and ids[0] in self._earlier

    def _id_in(self, headers: Mapping[str, str]) -> str:
        ids = [value for name, value in headers.items() if name.lower() == self._id_header]
        return ids[0] if ids else ""


class SkippingHead(BoundedHead):
    """A response before which copies of earlier responses are skipped.

    :param is_copy: returns whether a head belongs to a copy of an earlier response.
    """

    def __init__(self, *arguments: Any, is_copy: Callable[[Message], bool], **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._is_copy = is_copy
        self._copies = 0

    @property
    def copies(self) -> int:
        """Returns the number of copies that were skipped before the head."""
        return self._copies

    def begin(self) -> None:
        """Reads the head behind all copies.

        :raises HTTPException: if it is cut, spoiled or endless.
        """
        if self.headers is not None:
            return
        super().begin()
        while self._is_copy(self.headers):
            # After a copy that closes its connection, no other response follows.
            if self.will_close or not _skip_body(self.fp, self.length, self.chunked):
                return
            self._copies += 1
            self.headers = self.msg = None
            super().begin()


def _skip_body(file: BinaryIO, length: int | None, is_chunked: bool) -> bool:
    """Reads a body to its end; returns whether that is known and near enough.

    :param length: length of the body in bytes, ``None`` if it is not stated.
    :raises CutCopyError: if the connection ends before it.
    """
    if length is None:
        return is_chunked and _skip_chunks(file)
    if length > MAX_SKIPPED_BYTES:
        return False
    if len(file.read(length)) < length:
        raise CutCopyError("the connection ended inside a copy of an earlier response")
    return True


def _skip_chunks(file: BinaryIO) -> bool:
    body = ChunkedBody()
    skipped = 0
    while not body.done:
        data = file.peek()
        if not data:
            raise CutCopyError("the connection ended inside a copy of an earlier response")
        body.feed(data)
        while body.has_more:
            wait_for_turn()
            body.feed(b"")
        skipped += len(data) - len(body.unread)
        if skipped > MAX_SKIPPED_BYTES:
            return False
        file.read(len(data) - len(body.unread))
    return True
