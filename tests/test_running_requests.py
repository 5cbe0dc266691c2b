"""Which requests run while descriptors are few."""

import unittest
from contextlib import ExitStack

from arbutustally.errors import OverloadedError
from arbutustally_node.gateway.running_requests import RunningRequests

LIMIT = 64
RESERVE = 2


class RunningRequestsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.refused = 0
        self.requests = RunningRequests(RESERVE, self.count_refused)
        self.crowd = ExitStack()
        self.addCleanup(self.crowd.close)
        for _ in range(LIMIT):
            self.crowd.enter_context(self.requests.running("crowd", LIMIT))

    def count_refused(self) -> None:
        self.refused += 1

    def run_one(self, caller: str, limit: int = LIMIT) -> None:
        with self.requests.running(caller, limit):
            pass

    def test_another_caller_runs_beside_a_crowd(self) -> None:
        """Guards against a crowd that keeps another caller out."""
        self.run_one("single")
        self.assertEqual((self.requests.reserved, self.refused), (0, 0))

    def test_another_caller_runs_although_the_limit_has_fallen(self) -> None:
        """Guards against connections that come later and take the reserve away."""
        self.run_one("single", LIMIT // 2)

    def test_crowd_cannot_use_the_reserve(self) -> None:
        """Guards against a crowd that takes the reserve too."""
        self.assertRaises(OverloadedError, self.run_one, "crowd")
        self.assertEqual(self.refused, 1)

    def test_reserve_is_bounded(self) -> None:
        """Guards against callers of many addresses that take all descriptors."""
        with ExitStack() as others:
            for number in range(RESERVE):
                others.enter_context(self.requests.running(f"other-{number}", LIMIT))
            self.assertRaises(OverloadedError, self.run_one, "single")
        self.run_one("single")

    def test_requests_that_fail_leave(self) -> None:
        """Guards against places that stay taken after an error."""
        for _ in range(RESERVE + 1):
            with self.assertRaises(ValueError), self.requests.running("single", LIMIT):
                raise ValueError
        self.crowd.close()
        self.run_one("crowd")


if __name__ == "__main__":
    unittest.main()
