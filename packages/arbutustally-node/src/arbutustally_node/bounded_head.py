"""Strict reading of HTTP response heads.

The standard library takes the end of the input as the end of the headers, so that a cut head is a
response with other headers and another end of its body, and reads any number of informational
(1xx) responses.
"""

from http.client import HTTPException, HTTPResponse
from typing import Any, BinaryIO

from urllib3.connection import HTTPConnection

#: Informational responses accepted before the final response; servers send at most one.
MAX_INFORMATIONAL = 4


class EndlessHeadError(HTTPException):
    """The server sent too many informational responses."""


class CutHeadError(HTTPException):
    """The connection ended inside the response head."""


class _HeadLines:
    """Lines of one response head, each checked to be complete."""

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
        """
        line = self._file.readline(limit)
        is_status, self._is_status = self._is_status, False
        if len(line) >= limit or (is_status and not line):
            return line
        if not line.endswith(b"\n"):
            raise CutHeadError("the connection ended inside a response head; check the server")
        return line


class BoundedHead(HTTPResponse):
    """A response with a complete and bounded head."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._response_heads = 0
        self._lines: _HeadLines | None = None

    def begin(self) -> None:
        """Reads the head.

        :raises HTTPException: if it is cut or endless.
        """
        if self.headers is not None:
            return
        file = self.fp
        self.fp = self._lines = _HeadLines(file)
        try:
            super().begin()
        finally:
            self.fp, self._lines = file, None

    def _read_status(self) -> tuple[str, int, str]:
        self._response_heads += 1
        if self._response_heads > MAX_INFORMATIONAL + 1:
            raise EndlessHeadError("too many informational responses; check the server")
        self._lines.expect_status()
        return super()._read_status()


class BoundedConnection(HTTPConnection):
    """A connection whose responses are ``BoundedHead``."""

    response_class = BoundedHead
