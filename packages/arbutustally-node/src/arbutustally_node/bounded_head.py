"""HTTP responses with a limit on the informational (1xx) responses before them.

A faulty server may send informational responses without end. The standard library limits lines and
headers but reads any number of such responses, and no other greenlet runs meanwhile.
"""

from http.client import HTTPException, HTTPResponse
from typing import Any

from urllib3.connection import HTTPConnection

#: Informational responses accepted before the final response; servers send at most one.
MAX_INFORMATIONAL = 4


class EndlessHeadError(HTTPException):
    """The server sent too many informational responses."""


class BoundedHead(HTTPResponse):
    """A response that limits the informational responses before it."""

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._response_heads = 0

    def _read_status(self) -> tuple[str, int, str]:
        self._response_heads += 1
        if self._response_heads > MAX_INFORMATIONAL + 1:
            self.close()
            raise EndlessHeadError("too many informational responses; check the server")
        return super()._read_status()


class BoundedConnection(HTTPConnection):
    """A connection whose responses are ``BoundedHead``."""

    response_class = BoundedHead
