"""The log service with a log that loses responses, is down or slow, or has dropped records."""

import unittest
from unittest.mock import patch

import gevent

from arbutustally.checkpoint import split_snapshot
from arbutustally.clock import VirtualClock
from arbutustally.errors import BadRequestError, LogUnavailableError, Ran
from arbutustally.records import Change, Claim, KeyWithdraw
from arbutustally.state import ControlState
from arbutustally.verdicts import Reason
from arbutustally_node.kernel import Kernel
from arbutustally_node.log_service import LogService
from tests.fake_log import FakeLog, new_node, new_options, wait_until

ACCOUNT = {"rate": 10.0, "burst": 100.0}
CHANGE = Change(-1, {"accounts/a": ACCOUNT})
CHANGE_B = Change(0, {"accounts/b": ACCOUNT})


class LogServiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = FakeLog()

    def start(self, **changes: object):
        _, service = new_node(self.log, **changes)
        service.start()
        self.addCleanup(service.stop)
        return service

    def ready(self, **changes: object):
        service = self.start(**changes)
        service.append(CHANGE)
        self.assertTrue(wait_until(lambda: service.ready))
        return service

    def ids(self) -> list[str]:
        return [record.id for record in self.log.records]

    def test_lost_answers_give_the_first_verdict(self) -> None:
        """Guards against reporting a conflict between an append and its own repeated copy."""
        service = self.start()
        self.log.lost_responses = 3
        appended = service.append(CHANGE)
        self.assertTrue(appended.verdict.accepted)
        self.assertEqual(service.state.version, appended.offset)
        claim = Claim("k", "d", "n1#1", 1.0)
        self.log.lost_responses = 2
        self.assertTrue(service.append(claim).verdict.accepted)

    def test_unread_record_is_sent_again_under_its_id_after_a_lost_response(self) -> None:
        """Guards against one append taking effect twice."""
        service = self.ready()
        original_read = self.log.read
        self.log.read = self._down
        self.log.lost_responses = 1
        with self.assertRaises(LogUnavailableError) as caught:
            service.append(KeyWithdraw("kkkkkkkk"), timeout_s=1.0)
        self.assertEqual(caught.exception.ran, Ran.MAY_HAVE_RUN)
        withdrawals = [r.id for r in self.log.records if isinstance(r.body, KeyWithdraw)]
        self.assertGreater(len(withdrawals), 1)
        self.assertEqual(len(set(withdrawals)), 1)
        self.log.read = original_read
        self.assertTrue(wait_until(lambda: service.state.key("kkkkkkkk") is not None))

    def _down(self, *_: object):
        raise LogUnavailableError("down")

    def test_not_run_is_true_when_the_log_was_down(self) -> None:
        """Guards against a record that takes effect after its append reported "not run"."""
        service = self.ready()
        self.log.is_down = True
        before = self.ids()
        with self.assertRaises(LogUnavailableError) as caught:
            service.append(KeyWithdraw("kkkkkkkk"), timeout_s=0.3)
        self.assertEqual(caught.exception.ran, Ran.NOT_RUN)
        self.log.is_down = False
        service.append(KeyWithdraw("other-key"))
        self.assertNotIn(
            "kkkkkkkk",
            [
                r.body.key_id
                for r in self.log.records[len(before) :]
                if isinstance(r.body, KeyWithdraw)
            ],
        )

    def test_slow_log_is_waited_for(self) -> None:
        """Guards against refusals while the log is slow but works."""
        service = self.ready()
        self.log.delay_s = 0.3
        bodies = [KeyWithdraw(f"key-{n:04}") for n in range(40)]
        greenlets = [gevent.spawn(service.append, body) for body in bodies]
        offsets = [greenlet.get().offset for greenlet in greenlets]
        self.assertEqual(len(set(offsets)), len(bodies))

    def test_append_without_json_form_is_refused_alone(self) -> None:
        """Guards against one body that stops the writer for all others."""
        service = self.ready()
        with self.assertRaises(BadRequestError):
            service.append(Change(0, {"accounts/a": {"rate": {1, 2}}}))
        self.assertTrue(service.append(KeyWithdraw("kkkkkkkk")).verdict.accepted)

    def test_confirmation_ages_while_the_log_is_down(self) -> None:
        """Guards against a node that treats an unreachable log as an unchanged one."""
        service = self.ready()
        self.log.is_down = True
        gevent.sleep(0.1)
        confirmed_at = service.confirmed_at
        gevent.sleep(0.2)
        self.assertEqual(service.confirmed_at, confirmed_at)
        self.assertTrue(service.ready)
        self.log.is_down = False
        self.assertTrue(wait_until(lambda: service.confirmed_at > confirmed_at))

    def test_paused_node_confirms_the_tail_at_once(self) -> None:
        """Guards against a node that was paused and then refuses requests for a whole long poll,
        although the log is reachable."""
        clock = VirtualClock()
        service = LogService(Kernel(), new_options(key_staleness_s=8.0), self.log, clock)
        waits = []
        with patch.object(self.log, "read", wraps=self.log.read) as read:
            for pause_s in (0.0, 2.0, 10.0, 0.0):
                clock.advance(pause_s)
                service._reader.step()
                waits.append(read.call_args.args[2])
        self.assertEqual(waits, [0.0, 2.0, 0.0, 2.0])
        self.assertEqual(service.staleness(), 0.0)

    def test_full_batch_is_no_confirmation_of_the_tail(self) -> None:
        """Guards against serving outdated keys during a long catch-up."""
        self.log.put(CHANGE)
        for number in range(2500):
            self.log.put(KeyWithdraw(f"key-{number:05}"))
        _, service = new_node(self.log)
        reader = service._reader
        for _ in range(2):
            reader.step()
            self.assertFalse(service.ready)
        reader.step()
        self.assertTrue(service.ready)
        self.assertEqual(service.state.offset, 2500)

    def test_record_of_unknown_kind_is_skipped(self) -> None:
        """Guards against a reader that stops at a record of a newer release."""
        service = self.ready()
        self.log.put(None)
        self.assertTrue(service.append(KeyWithdraw("kkkkkkkk")).verdict.accepted)

    def test_lost_head_is_recovered_from_a_checkpoint(self) -> None:
        """Guards against starting in the middle of the log with an incomplete state."""
        state = ControlState()
        offsets = [self.log.put(CHANGE), self.log.put(KeyWithdraw("aaaaaaaa"))]
        for offset in offsets:
            state.apply(offset, self.log.records[offset])
        parts = split_snapshot(state.snapshot(), state.offset, 100)
        self.log.put(KeyWithdraw("bbbbbbbb"))
        for part in parts[:2]:
            self.log.put(part)
        self.log.put(KeyWithdraw("cccccccc"))
        for part in parts[2:]:
            self.log.put(part)
        self.log.oldest = 2
        service = self.start()
        self.assertTrue(wait_until(lambda: service.ready))
        for key in ("aaaaaaaa", "bbbbbbbb", "cccccccc"):
            self.assertTrue(service.state.key(key).withdrawn)
        self.assertEqual(service.state.version, 0)

    def test_checkpoint_that_leaves_a_gap_is_not_used(self) -> None:
        """Guards against skipping the records between a checkpoint and the oldest record."""
        self.log.put(CHANGE)
        state = ControlState()
        state.apply(0, self.log.records[0])
        self.log.put(KeyWithdraw("aaaaaaaa"))
        for part in split_snapshot(state.snapshot(), 0):
            self.log.put(part)
        self.log.oldest = 2
        service = self.start()
        self.assertFalse(wait_until(lambda: service.ready, 0.3))
        self.assertTrue(service.is_missing_records)
        state.apply(1, self.log.records[1])
        for part in split_snapshot(state.snapshot(), 1):
            self.log.put(part)
        self.assertTrue(wait_until(lambda: service.ready))
        self.assertTrue(service.state.key("aaaaaaaa").withdrawn)

    def test_missing_offset_is_a_hole(self) -> None:
        """Guards against a fold that silently skips a record."""
        service = self.ready()
        offset = service.state.offset
        self.assertFalse(service._view.apply(offset + 2, None))
        self.assertEqual(service.state.offset, offset)

    def test_state_never_reverts_when_the_log_lost_its_tail(self) -> None:
        """Guards against a configuration that reverts when an older copy of the log is restored."""
        service = self.ready()
        service.append(KeyWithdraw("kkkkkkkk"))
        version = service.state.version
        self.log.records = []
        confirmed_at = service.confirmed_at
        gevent.sleep(0.3)
        self.assertEqual(service.state.version, version)
        self.assertTrue(service.state.key("kkkkkkkk").withdrawn)
        self.assertLess(service.confirmed_at - confirmed_at, 0.2)

    def test_only_a_higher_snapshot_is_installed(self) -> None:
        """Guards against a peer's older state that makes a withdrawn key valid again."""
        service = self.ready()
        old = service.state.snapshot()
        service.append(KeyWithdraw("kkkkkkkk"))
        self.assertFalse(service.install(old))
        self.assertTrue(service.state.key("kkkkkkkk").withdrawn)

    def test_snapshot_that_skips_an_own_append_reports_no_conflict(self) -> None:
        """Guards against reporting to an operator that a change conflicts with itself."""
        service = self.ready()
        original_read, self.log.read = self.log.read, self._down
        self.log.lost_responses = 1
        waiting = gevent.spawn(service.append, CHANGE_B)

        def copies() -> list[int]:
            return [offset for offset, r in enumerate(self.log.records) if r.body == CHANGE_B]

        self.assertTrue(wait_until(lambda: len(copies()) == 2))
        ahead = ControlState()
        for offset in range(copies()[0] + 1):
            ahead.apply(offset, self.log.records[offset])
        service.install(ahead.snapshot())
        self.log.read = original_read
        with self.assertRaises(LogUnavailableError) as caught:
            waiting.get()
        self.assertEqual(caught.exception.ran, Ran.MAY_HAVE_RUN)

    def test_two_writers_one_wins_and_the_other_learns_the_version(self) -> None:
        """Guards against a lost update when two operators write through two nodes."""
        services = [self.start(node_id="n1"), self.start(node_id="n2")]
        appended = [
            gevent.spawn(service.append, Change(-1, {f"accounts/{n}": ACCOUNT}))
            for n, service in enumerate(services)
        ]
        verdicts = sorted((greenlet.get() for greenlet in appended), key=lambda a: a.offset)
        self.assertTrue(verdicts[0].verdict.accepted)
        self.assertEqual(verdicts[1].verdict.reason, Reason.STALE_BASE)
        self.assertEqual(verdicts[1].verdict.beaten_by, verdicts[0].offset)

    def test_checkpoint_holder_keeps_a_short_log_readable(self) -> None:
        """Guards against a log that drops the configuration before a checkpoint contains it."""
        service = self.ready(log_retention_s=20.0, booking_window_s=10.0, lease_s=1.0)
        service.append(KeyWithdraw("kkkkkkkk"))

        def parts() -> list[int]:
            kinds = [type(record.body).__name__ for record in self.log.records]
            return [offset for offset, kind in enumerate(kinds) if kind == "CheckpointPart"]

        self.assertTrue(wait_until(parts))
        self.log.oldest = parts()[0]
        upto = self.log.records[parts()[0]].body.upto
        self.log.oldest = upto + 1
        late = self.start(node_id="n2", log_retention_s=20.0, booking_window_s=10.0)
        self.assertTrue(wait_until(lambda: late.ready))
        self.assertEqual(late.state.version, service.state.version)
        self.assertTrue(late.state.key("kkkkkkkk").withdrawn)
