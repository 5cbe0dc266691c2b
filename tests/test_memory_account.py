"""Who is rejected or shed when the memory for requests is full."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.errors import OverloadedError
from arbutustally.gateway.memory_account import Holding, MemoryAccount


class MemoryAccountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.account = MemoryAccount(limit=100, ceiling=1000)
        self.ended: list[str] = []

    def hold(self, caller: str, size: int, name: str = "") -> Holding:
        holding = self.account.open(caller, lambda: self.ended.append(name))
        self.account.expose(holding)
        self.account.reserve(holding, size)
        return holding

    def test_crowd_is_shed_newest_first(self) -> None:
        """Guards against a crowd that keeps a single caller out."""
        for number in range(5):
            self.hold("crowd", 20, f"c{number}")
        self.hold("single", 30)
        self.assertEqual(self.ended, ["c4", "c3"])
        self.assertEqual((self.account.reserved, self.account.shed), (90, 2))

    def test_crowd_can_shed_neither_itself_nor_a_smaller_one(self) -> None:
        """Guards against work that is begun and shed again and again."""
        self.hold("single", 20)
        for _ in range(4):
            self.hold("crowd", 20)
        self.assertRaises(OverloadedError, self.hold, "crowd", 20)
        self.assertEqual((self.ended, self.account.refused), ([], 1))

    def test_protected_holdings_stay(self) -> None:
        """Guards against ending requests that may have run."""
        for _ in range(5):
            self.account.protect(self.hold("crowd", 20))
        self.assertRaises(OverloadedError, self.hold, "single", 20)
        self.assertEqual(self.ended, [])

    def test_nothing_is_shed_in_vain(self) -> None:
        """Guards against shedding that does not make enough room."""
        self.account.protect(self.hold("crowd", 60))
        for _ in range(2):
            self.hold("crowd", 20)
        self.assertRaises(OverloadedError, self.hold, "single", 50)
        self.assertRaises(OverloadedError, self.hold, "single", 101)
        self.assertEqual(self.ended, [])

    def test_resident_memory_narrows_the_account(self) -> None:
        """Guards against memory that the account does not see, without refusing everything."""
        holding = self.hold("a", 50)
        self.account.observe(990)
        self.assertEqual(self.account.allowed, 60)
        self.account.observe(2000)
        self.assertEqual(self.account.allowed, 20)
        self.account.release(holding, 50)
        self.account.reserve(holding, 20)
        self.account.observe(500)
        self.assertEqual(self.account.allowed, 100)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 60), st.booleans())))
    def test_account_is_exact(self, steps: list[tuple[str, int, bool]]) -> None:
        """Guards against bytes that stay reserved, and reservations above the limit."""
        account = MemoryAccount(limit=100, ceiling=1000)
        holdings = []
        for caller, size, is_exposed in steps:
            holding = account.open(caller, lambda: None)
            holdings.append(holding)
            if is_exposed:
                account.expose(holding)
            account.try_reserve(holding, size)
            self.assertLessEqual(account.reserved, 100)
            self.assertEqual(account.reserved, sum(one.size for one in holdings))
        for holding in holdings:
            account.close(holding)
        self.assertEqual((account.reserved, account._open), (0, {}))
