"""Rules of the log fold that random state machines reach too rarely."""

import unittest

from arbutustally.errors import Ran
from arbutustally.records import Change, Claim, Outcome, wrap
from arbutustally.state import ControlState


class FirstVersionTest(unittest.TestCase):
    def test_first_declared_version_is_in_force_before_any_step(self) -> None:
        """Guards against traffic on a changed version before the first step of its move."""
        state = ControlState()
        first = {"models/marelle": {"version": "v1"}}
        state.apply(0, wrap(Change(-1, first)))
        state.apply(1, wrap(Change(0, {"models/marelle": {"version": "v2"}})))
        self.assertEqual(state.declarations.models["marelle"].version, "v2")
        self.assertEqual(
            (state.move("marelle").version, state.move("marelle").step), ("v1", "done")
        )
        state.apply(2, wrap(Change(1, {}, ("models/marelle",))))
        self.assertIsNone(state.move("marelle"))


class LateReleaseTest(unittest.TestCase):
    def test_late_release_of_an_earlier_claim_frees_nothing(self) -> None:
        """Guards against a second run: a late not_run of one node frees the claim of another."""
        state = ControlState()
        first, second = (Claim("k", "d", f"node-{n}#1", 1000.0) for n in (1, 2))
        state.apply(0, wrap(first))
        self.assertTrue(state.apply(1, wrap(Outcome("k", Ran.NOT_RUN, claim=0))).accepted)
        self.assertTrue(state.apply(2, wrap(second)).accepted)
        self.assertFalse(state.apply(3, wrap(Outcome("k", Ran.NOT_RUN, claim=0))).accepted)
        self.assertFalse(state.apply(4, wrap(Outcome("k", Ran.NOT_RUN))).accepted)
        self.assertFalse(state.apply(5, wrap(first)).accepted)
        self.assertEqual((state.claim("k").offset, state.claim("k").outcome), (2, None))
