"""Releases that are bad at once, later, on one route or under load, and sound ones beside them."""

import unittest

from arbutustally.gateway.rollouts import RolloutState
from tests.rollout_replay import Behaviour, RolloutReplay, Traffic

DURATION_S = 20.0
PLAYS = 10
#: Plays of a sound release that may be taken back by chance.
MAX_BY_CHANCE = 1
PLAIN = {"busy": Traffic(30.0, 0.05), "rare": Traffic(2.0, 0.05)}
STREAMS = {"chat": Traffic(30.0, 0.45), "look": Traffic(12.0, 0.05)}
#: Requests at the canary from which it is slow under load, and how slow.
LOADED = 4
SLOWDOWN = 4.0


def kept(routes: dict[str, Traffic], canary: Behaviour) -> int:
    """Returns how many of ``PLAYS`` roll-outs are completed."""
    replays = [RolloutReplay(seed, routes, canary, DURATION_S) for seed in range(PLAYS)]
    return [replay.end_state() for replay in replays].count(RolloutState.COMPLETED)


class KeptReleaseTest(unittest.TestCase):
    def test_sound_release_is_kept(self) -> None:
        for routes in (PLAIN, STREAMS):
            self.assertGreaterEqual(kept(routes, Behaviour()), PLAYS - MAX_BY_CHANCE)

    def test_release_that_fails_at_once_is_not_kept(self) -> None:
        self.assertEqual(kept(PLAIN, Behaviour(fails=lambda _route, _at: True)), 0)

    def test_release_that_fails_later_is_not_kept(self) -> None:
        late = Behaviour(fails=lambda _route, at: at > DURATION_S / 2)
        self.assertEqual(kept(PLAIN, late), 0)

    def test_release_that_is_slow_on_one_route_is_not_kept(self) -> None:
        slow = Behaviour(slowdown=lambda route, _running: SLOWDOWN if route == "look" else 1.0)
        self.assertEqual(kept(STREAMS, slow), 0)


class KeptByLackOfEvidenceTest(unittest.TestCase):
    """Guards against releases that are kept since their bad answers are few, or still run."""

    def test_release_that_fails_on_a_rare_route_is_not_kept(self) -> None:
        rare = Behaviour(fails=lambda route, _at: route == "rare")
        self.assertEqual(kept(PLAIN, rare), 0)

    def test_release_that_is_slow_under_load_is_not_kept(self) -> None:
        loaded = Behaviour(slowdown=lambda _r, running: SLOWDOWN if running > LOADED else 1.0)
        self.assertEqual(kept(STREAMS, loaded), 0)
