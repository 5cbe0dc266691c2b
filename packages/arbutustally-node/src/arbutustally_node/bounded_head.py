"""Answers whose head is bounded.

A server in trouble may send informational answers without end. The standard library bounds lines
and headers, but reads any number of such answers, and while it does no other task has its turn.
"""

from http.client import HTTPException, HTTPResponse
from typing import Any

from urllib3.connection import HTTPConnection

#: Informational answers before the answer itself; servers send one at most.
MAX_INFORMATIONAL = 4


class EndlessHeadError(HTTPException):
    """The server sends one informational answer after the other."""


class BoundedHead(HTTPResponse):
    """An answer with few informational answers before it."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._heads = 0

    def _read_status(self) -> tuple[str, int, str]:
        self._heads += 1
        if self._heads > MAX_INFORMATIONAL + 1:
            self.close()
            raise EndlessHeadError("too many informational answers; check the server")
        return super()._read_status()


class BoundedConnection(HTTPConnection):
    """A connection whose answers have a bounded head."""

    response_class = BoundedHead
