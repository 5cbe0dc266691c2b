"""Strict reading of HTTP response heads.

The standard library takes the end of the input as the end of the headers, drops malformed header
lines with all that follow them, ignores a malformed length, reads any number of informational (1xx)
responses, and takes whatever Python reads as a number for a status. Each of these turns a cut or
spoiled head into a response with another status, other headers or another end of its body.
"""

import re
from http import HTTPStatus
from http.client import HTTPException, HTTPResponse
from typing import Any, BinaryIO

from urllib3 import HTTPConnectionPool, HTTPSConnectionPool, PoolManager
from urllib3.connection import HTTPConnection, HTTPSConnection

#: Informational responses and copies of earlier responses that are accepted before the final
#: response; servers send at most one.
MAX_INFORMATIONAL = 4

#: A header line without its line break.
HEADER_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)")

_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-9][0-9]{2}(?: [^\x00-\x08\x0a-\x1f\x7f]*)?\r?\n")
#: A status line behind other bytes: the head of a response behind a cut copy of an earlier one.
_STATUS_INSIDE = re.compile(rb".HTTP/1\.[01] [0-9]{3}")
_LENGTH = re.compile(r"[0-9]{1,15}")


class EndlessHeadError(HTTPException):
    """The server sent too many informational responses."""


class CutHeadError(HTTPException):
    """The connection ended inside the response head."""


class CutBodyError(HTTPException):
    """The server reset the connection during the request, and its response states no length."""


class SpoiledHeadError(HTTPException):
    """The response head has a malformed line, or no unambiguous end of the body."""


class _HeadLines:
    """Lines of one response head, each checked to be complete and well-formed."""

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._is_status = True

    def expect_status(self) -> None:
        """Makes the next line a status line."""
        self._is_status = True

    def readline(self, limit: int) -> bytes:
        """Returns the next line, empty if the connection ended before a head.

        :param limit: longest line, bytes; a longer one is returned incomplete.
        :raises CutHeadError: if the connection ended inside the head.
        :raises SpoiledHeadError: if the line is not a status line or header line.
        """
        line = self._file.readline(limit)
        is_status, self._is_status = self._is_status, False
        if len(line) >= limit or (is_status and not line):
            return line
        if not line.endswith(b"\n"):
            raise CutHeadError("the connection ended inside a response head; check the server")
        is_sound = _STATUS_LINE.fullmatch(line) if is_status else _is_header_line(line)
        if not is_sound or _STATUS_INSIDE.search(line):
            raise SpoiledHeadError("a response head has a malformed line; check the server")
        # The standard library keeps the white space behind a value, and then takes ``chunked`` for
        # another coding.
        return line if is_status else line.rstrip(b" \t\r\n") + b"\r\n"

    def close(self) -> None:
        """Closes the connection's file; the response does so when a status line is malformed."""
        self._file.close()


class BoundedHead(HTTPResponse):
    """A response with a complete, well-formed and bounded head."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._response_heads = 0
        self._lines: _HeadLines | None = None

    def begin(self) -> None:
        """Reads the head.

        :raises HTTPException: if it is cut, spoiled or endless.
        """
        if self.headers is not None:
            return
        file = self.fp
        self.fp = self._lines = _HeadLines(file)
        try:
            super().begin()
        finally:
            if self.fp is self._lines:
                self.fp = file
            self._lines = None
        self._check_framing()

    def _read_status(self) -> tuple[str, int, str]:
        self._response_heads += 1
        if self._response_heads > MAX_INFORMATIONAL + 1:
            raise EndlessHeadError("too many informational responses; check the server")
        self._lines.expect_status()
        version, status, reason = super()._read_status()
        if status == HTTPStatus.SWITCHING_PROTOCOLS:
            raise SpoiledHeadError("a response switches the protocol unasked; check the server")
        # The standard library skips the heads of no other informational responses.
        is_interim = HTTPStatus.CONTINUE <= status < HTTPStatus.OK
        return version, HTTPStatus.CONTINUE if is_interim else status, reason

    def _check_framing(self) -> None:
        lengths = self.headers.get_all("Content-Length", [])
        codings = self.headers.get_all("Transfer-Encoding", [])
        is_chunked = [coding.strip().lower() for coding in codings] == ["chunked"]
        if len(lengths) + len(codings) > 1 or (codings and not is_chunked):
            raise SpoiledHeadError("the end of a response body is ambiguous; check the server")
        if lengths and not _LENGTH.fullmatch(lengths[0].strip()):
            raise SpoiledHeadError("the length of a response is malformed; check the server")


class _ResetWatch:
    """Notes that the server reset the connection while a request was being sent.

    urllib3 reads the response all the same, as a server may refuse a request that it has not read.
    The failed write has taken the error of the socket, so the body seems to have an orderly end
    where the reset cut it. A write after the server's own orderly end fails with another error.
    """

    was_reset = False

    def connect(self) -> None:
        self.was_reset = False
        super().connect()

    def send(self, data: Any) -> None:
        try:
            super().send(data)
        except ConnectionResetError:
            self.was_reset = True
            raise


class _WholeBodies(_ResetWatch):
    """Refuses responses whose body may have been cut by a reset."""

    response_class = BoundedHead

    def getresponse(self) -> Any:
        response = super().getresponse()
        head = response._fp
        if self.was_reset and head.length is None and not head.chunked:
            response.close()
            raise CutBodyError("the connection was reset within a response; check the server")
        return response


class BoundedConnection(_ResetWatch, HTTPConnection):
    """A connection whose responses are ``BoundedHead``.

    :ivar was_reset: whether the server reset the connection while a request was being sent. The
        end of the connection then is no end of a body.
    """

    response_class = BoundedHead


class _WholeConnection(_WholeBodies, HTTPConnection):
    pass


class _SecureWholeConnection(_WholeBodies, HTTPSConnection):
    pass


class _WholePool(HTTPConnectionPool):
    ConnectionCls = _WholeConnection


class _SecureWholePool(HTTPSConnectionPool):
    ConnectionCls = _SecureWholeConnection


def bounded_pools(**options: Any) -> PoolManager:
    """Returns connection pools whose responses are ``BoundedHead``, with bodies that are whole.

    :param options: as for ``PoolManager``.
    """
    manager = PoolManager(**options)
    manager.pool_classes_by_scheme = {"http": _WholePool, "https": _SecureWholePool}
    return manager


def _is_header_line(line: bytes) -> bool:
    line = line.rstrip(b"\r\n")
    return not line or HEADER_LINE.fullmatch(line) is not None
