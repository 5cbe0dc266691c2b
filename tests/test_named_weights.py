"""Dates of weights that are named faster than replaced ones expire."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.gateway.named_weights import MAX_VERSIONS, NamedWeights

ALLOWED_S = 6.0


def named_every(interval_s: float, versions: int) -> NamedWeights:
    """Returns weights that were named at a steady rate from second 0 on."""
    named = NamedWeights(ALLOWED_S)
    for version in range(1, versions + 1):
        named.learn(version, (version - 1) * interval_s)
    return named


class ManyVersionsTest(unittest.TestCase):
    def test_replaced_weights_expire_while_versions_are_named_fast(self) -> None:
        """Guards against requests on weights whose replacement was forgotten for newer ones."""
        for interval_s, versions in ((0.6, 12), (0.6, 30), (0.1, 50), (0.01, 500)):
            with self.subTest(interval_s=interval_s, versions=versions):
                named = named_every(interval_s, versions)
                now = max(named.known_at.values())
                until = named.allowed_until(1, ALLOWED_S)
                # A version that is known to have expired may have a later date, which is past too.
                self.assertLessEqual(until, max(interval_s + ALLOWED_S, now))
                expected = max(0, 1 + math.floor((now - ALLOWED_S) / interval_s - 1e-6))
                self.assertGreaterEqual(named.oldest_allowed(now, ALLOWED_S), expected)

    def test_expired_versions_are_forgotten(self) -> None:
        """Guards against a table that grows with each version."""
        named = named_every(1.0, 1000)
        self.assertLessEqual(len(named.known_at), ALLOWED_S + 2)
        self.assertEqual(named.version, 1000)

    def test_table_is_bounded_where_nothing_expires(self) -> None:
        named = named_every(0.001, 1000)
        self.assertEqual(len(named.known_at), MAX_VERSIONS)
        self.assertEqual(named.known_at[1000], 0.999)

    def test_version_that_is_dated_later_does_not_hide_earlier_dates(self) -> None:
        """Guards against dates that are dropped for a version whose own one is not known yet."""
        named = NamedWeights(ALLOWED_S)
        named.learn(4, 90.0)
        named.learn(5, -math.inf)
        named.learn(5, 98.0)
        self.assertEqual(named.allowed_until(3, ALLOWED_S), 90.0 + ALLOWED_S)

    @given(st.lists(st.floats(0.0, 1.0), min_size=1, max_size=200))
    def test_no_version_is_allowed_for_longer_than_its_period(self, pauses: list[float]) -> None:
        named, now, dates = NamedWeights(ALLOWED_S), 0.0, {}
        for version, pause_s in enumerate(pauses, 1):
            now += pause_s
            named.learn(version, now)
            dates[version] = now
        for version in range(1, len(pauses)):
            until = named.allowed_until(version, ALLOWED_S)
            # A version that is known to have expired may have a later date, which is past too.
            self.assertLessEqual(until, max(dates[version + 1] + ALLOWED_S, now))
