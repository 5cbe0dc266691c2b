"""Streams of engines that end early are not complete on the product's own path."""

import unittest
from typing import Any

import orjson

from arbutustally_node.relay import Fault, StreamCursor

USAGE = {"prompt_tokens": 3, "completion_tokens": 1}


def event(index: int | None, finish_reason: str | None = None, usage: Any = None) -> bytes:
    """Returns the data of an event, with a token if ``index`` is given."""
    fields: dict[str, Any] = {"id": "r1", "incarnation": "i1", "version": "v1", "choices": []}
    if index is not None:
        fields["choices"] = [{"token_index": index, "text": "a", "finish_reason": finish_reason}]
    if usage is not None:
        fields["usage"] = usage
    return orjson.dumps(fields)


class EarlyStreamEndTest(unittest.TestCase):
    def setUp(self) -> None:
        self.cursor = StreamCursor("r1", "v1")

    def test_usage_with_a_token_does_not_end_the_stream(self) -> None:
        """Guards against a cut stream of an engine that states the usage in every event."""
        for index in range(3):
            self.cursor.take(event(index, usage=USAGE))
            self.assertFalse(self.cursor.finished)
        self.cursor.take(event(3, "stop", USAGE))
        self.assertTrue(self.cursor.finished)

    def test_usage_without_a_token_ends_a_stream(self) -> None:
        """A stream that is resumed after its last token consists of this event."""
        self.assertNotIsInstance(self.cursor.take(event(None, usage=USAGE)), Fault)
        self.assertTrue(self.cursor.finished)

    def test_nothing_ends_a_stream_without_a_finish_reason(self) -> None:
        self.cursor.take(event(0))
        self.assertFalse(self.cursor.finished)
