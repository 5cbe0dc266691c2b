"""Several nodes append to a log with random faults."""

import unittest

import gevent
from hypothesis import given, settings
from hypothesis import strategies as st

from arbutustally.errors import LogUnavailableError, Ran
from arbutustally.records import Change, Claim, Record
from arbutustally.state import ControlState
from arbutustally_node import log_writer
from tests.fake_log import FakeLog, new_node, wait_until

ACCOUNT = {"rate": 10.0, "burst": 100.0}
FAULTS = st.sampled_from(["lost", "lost", "down", "slow", "heal", "heal"])
EVENTS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(["change", "claim"]), FAULTS),
    min_size=5,
    max_size=20,
)


class LogFaultsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.addCleanup(setattr, log_writer, "READ_BACK_GRACE_S", log_writer.READ_BACK_GRACE_S)
        log_writer.READ_BACK_GRACE_S = 0.1

    @settings(max_examples=25)
    @given(EVENTS)
    def test_results_of_appends_match_the_log(self, events: list) -> None:
        """Guards against verdicts that differ from those of another reader, and false "not run"."""
        log = FakeLog()
        services = [new_node(log, node_id=f"n{number}")[1] for number in range(3)]
        for service in services:
            service._reader.start()
            service._writer.start()
        try:
            results = self._run(log, services, events)
            self._check(log, services, results)
        finally:
            for service in services:
                service._writer.stop()
                service._reader.stop()

    def _run(self, log: FakeLog, services: list, events: list) -> list:
        appends = []
        for number, (node, kind, fault) in enumerate(events):
            log.is_down = fault == "down"
            log.delay_s = 0.02 if fault == "slow" else 0.0
            log.lost_responses = 2 if fault == "lost" else 0
            appends.append(gevent.spawn(self._append, services[node], kind, number))
            gevent.sleep(0.01)
        log.is_down, log.delay_s, log.lost_responses = False, 0.0, 0
        return [append.get() for append in appends]

    def _append(self, service, kind: str, number: int) -> tuple:
        """Appends a body that only this call writes.

        :return: the body, the ``Appended`` or ``None``, and the error's ``ran`` or ``None``.
        """
        if kind == "change":
            body = Change(service.state.version, {"accounts/a": ACCOUNT}, author=str(number))
        else:
            body = Claim("booking", "digest", f"{number}", 1.0)
        try:
            return body, service.append(body, timeout_s=0.15), None
        except LogUnavailableError as error:
            return body, None, error.ran

    def _check(self, log: FakeLog, services: list, results: list) -> None:
        reader = ControlState()
        verdicts = [reader.apply(offset, record) for offset, record in enumerate(log.records)]
        self.assertTrue(wait_until(lambda: all(s.state.offset == reader.offset for s in services)))
        for service in services:
            self.assertEqual(service.state.snapshot(), reader.snapshot())
        winners = 0
        for body, appended, ran in results:
            found = [offset for offset, record in enumerate(log.records) if _has_body(record, body)]
            if appended is not None:
                self.assertEqual(appended.offset, found[0])
                self.assertEqual(appended.verdict, verdicts[found[0]])
                winners += appended.verdict.accepted and isinstance(body, Claim)
            elif ran == Ran.NOT_RUN:
                self.assertEqual(found, [])
        self.assertLessEqual(winners, 1)


def _has_body(record: Record, body: object) -> bool:
    return record.body == body
