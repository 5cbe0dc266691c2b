"""Memory that the responses to a node's own calls may take together."""

import unittest

from arbutustally.errors import EndpointFailedError, OverloadedError
from arbutustally_node.bounded_call import CallPools, call
from arbutustally_node.response_budget import FREE_BYTES, ResponseBudget
from arbutustally_platform.fields import (
    MAX_CONTAINERS,
    MAX_ELEMENTS,
    MAX_TEXTS,
    is_within_bounds,
    parse_table,
)
from tests.raw_worker import RawWorker

LIMIT = 1 << 20


class ResponseBudgetTest(unittest.TestCase):
    def test_responses_share_the_budget(self) -> None:
        """Guards against many servers which together send more than a node has memory for."""
        budget = ResponseBudget(LIMIT)
        with budget.response() as first, budget.response() as second:
            self.assertTrue(first.try_answer(LIMIT))
            self.assertFalse(second.try_answer(2 * FREE_BYTES + 1))
            with self.assertRaises(OverloadedError):
                second.reserve_answer(2 * FREE_BYTES + 1)
        self.assertEqual(budget.reserved, 0)

    def test_small_responses_need_no_budget(self) -> None:
        """Guards against sound servers that are not heard while faulty ones use the budget."""
        budget = ResponseBudget(LIMIT)
        with budget.response() as large, budget.response() as small:
            self.assertTrue(large.try_answer(LIMIT + FREE_BYTES))
            for _ in range(16):
                small.reserve_answer(FREE_BYTES // 16)
            with self.assertRaises(OverloadedError):
                small.reserve_answer(1)

    def test_pieces_count_as_the_whole(self) -> None:
        """Guards against a response without a length that reserves nothing."""
        budget = ResponseBudget(LIMIT)
        with budget.response() as memory:
            for _ in range(4):
                memory.reserve_answer(FREE_BYTES)
            self.assertEqual(budget.reserved, 3 * FREE_BYTES)


class CallTest(unittest.TestCase):
    def call(self, length: int, body: bytes, budget: ResponseBudget) -> bytes:
        def script(_asked):
            yield b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length + body

        worker = RawWorker(script)
        self.addCleanup(worker.stop)
        pools = CallPools(1.0, 5.0)
        self.addCleanup(pools.stop)
        answer = call(
            pools, worker.address, "GET", "/", max_bytes=LIMIT, total_s=5.0, budget=budget
        )
        return answer.body

    def test_budget_is_released_after_a_call(self) -> None:
        """Guards against a budget that is used up after some calls."""
        budget = ResponseBudget(4 * FREE_BYTES)
        body = b"x" * (3 * FREE_BYTES)
        for _ in range(3):
            self.assertEqual(self.call(len(body), body, budget), body)
        self.assertEqual(budget.reserved, 0)

    def test_body_that_states_to_be_too_long_is_not_read(self) -> None:
        """Guards against a body without end that is read up to the limit first."""
        budget = ResponseBudget(LIMIT)
        with self.assertRaises(EndpointFailedError):
            self.call(LIMIT + 1, b"", budget)
        self.assertEqual(budget.reserved, 0)


class DocumentBoundsTest(unittest.TestCase):
    def test_documents_of_many_elements_are_refused(self) -> None:
        """Guards against a short document that takes many times its bytes in memory."""
        documents = {
            "lists": (b"[]", MAX_CONTAINERS),
            "objects": (b"{}", MAX_CONTAINERS),
            "texts": (b'""', MAX_TEXTS),
            "numbers": (b"0", MAX_ELEMENTS),
        }
        for name, (element, most) in documents.items():
            document = b'{"a":[' + b",".join([element] * (most + 2)) + b"]}"
            with self.subTest(name):
                self.assertIsNone(parse_table(document, 8 << 20))

    def test_usual_documents_are_within_the_bounds(self) -> None:
        """Guards against a full page of the store that is refused because of its keys."""
        row = b'{"key":"%s","value":"","offset":1}' % (b"," * 255)
        self.assertTrue(is_within_bounds(b'{"items":[' + b",".join([row] * 500) + b"]}"))
