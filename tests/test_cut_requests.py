"""Requests that end before they are complete are not requests."""

import socket
import unittest

from arbutustally.clock import monotonic
from arbutustally.errors import RouterError
from arbutustally_node.http_body import BodyBudget, RequestReader

HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
REQUESTS = {
    "length": HEAD + b"Content-Length: 5\r\n\r\nhello",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
    "trailer": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n",
}


def read(data: bytes) -> bytes | None:
    """Returns the body of a request after which the caller closes, ``None`` without a request."""
    near, far = socket.socketpair()
    with near, far:
        far.sendall(data)
        far.shutdown(socket.SHUT_WR)
        reader = RequestReader(near, monotonic, BodyBudget(), 4096, 4096, 1.0, 1.0)
        head = reader.read_head()
        return None if head is None else reader.read_body(head)


class CutRequestTest(unittest.TestCase):
    def test_request_cut_at_any_byte_is_no_request(self) -> None:
        """Guards against running a request whose body is only a part of the caller's."""
        for name, whole in REQUESTS.items():
            self.assertEqual(read(whole), b"hello")
            self.assertIsNone(read(b""))
            for size in range(1, len(whole)):
                with self.subTest(request=name, size=size):
                    self.assertRaises((OSError, RouterError), read, whole[:size])

    def test_request_without_length_and_chunks_has_no_body(self) -> None:
        """Guards against a body that would end with its connection."""
        self.assertEqual(read(HEAD + b"\r\nhello"), b"")
