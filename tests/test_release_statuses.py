"""Which statuses of a release's answers count against it."""

from tests.rollout_case import RolloutCase

#: Share of the answers with the status.
SHARE = 1 / 3


class ReleaseStatusTest(RolloutCase):
    def test_release_that_answers_with_404_is_taken_back(self) -> None:
        """Guards against a release that is kept since its 4xx count as sound answers."""
        self.answer_with(404, SHARE)
        self.roll_out(8.0)
        self.send_until("rolled_back")

    def test_release_that_redirects_is_taken_back(self) -> None:
        """Guards against the same for the statuses between success and the callers' errors."""
        self.answer_with(302, SHARE)
        self.roll_out(8.0)
        self.send_until("rolled_back")

    def test_statuses_that_callers_cause_do_not_count_against_a_release(self) -> None:
        """Guards against a sound release that is taken back for what both releases answer."""
        self.answer_with(404, SHARE, [*self.canaries, *self.desks])
        self.roll_out(8.0)
        self.send_until("completed")

    def test_refused_requests_are_no_failures_of_an_endpoint(self) -> None:
        """Guards against endpoints that are avoided for what callers ask."""
        self.answer_with(404, 1.0, self.desks)
        for number in range(20):
            self.assertEqual(self.call(self.node, "/book/a", f"r{number}").status, 404)
        states = self.node._view.book.of_service("desk")
        self.assertEqual([state.failures for state in states], [0.0] * len(states))
