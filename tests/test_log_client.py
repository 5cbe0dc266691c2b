"""The log client against the stand-in log, over HTTP."""

import unittest

from arbutustally.errors import HoleFoundError, LogUnavailableError, Ran
from arbutustally.log_client import LogClient
from arbutustally.records import KeyWithdraw, wrap
from arbutustally_standins.log.app import LogStandin, defaults
from arbutustally_standins.server import StandinServer


class LogClientTest(unittest.TestCase):
    def setUp(self) -> None:
        self.standin = LogStandin.from_config(defaults(retain_records=5))
        self.server = StandinServer.from_config(self.standin, "127.0.0.1:0")
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = LogClient.from_config(f"http://{self.server.address}", 1.0)

    def append_records(self, count: int) -> int:
        return self.client.append([wrap(KeyWithdraw(f"key-{n:04}")) for n in range(count)])

    def test_records_are_read_as_they_were_appended(self) -> None:
        """Guards against records that are altered by encoding or by the log."""
        records = [wrap(KeyWithdraw("kkkkkkkk")), wrap(KeyWithdraw("llllllll"))]
        first = self.client.append(records)
        found = self.client.read(first, 10, 0.0)
        self.assertEqual(found.records, [(first, records[0]), (first + 1, records[1])])
        self.assertEqual(found.next, first + 2)
        self.assertEqual(self.client.read(found.next, 10, 0.1).records, [])

    def test_unknown_record_takes_up_its_offset(self) -> None:
        """Guards against a record of a newer release that stops older readers."""
        self.append_records(1)
        self.standin.journal.append([{"id": "x", "kind": "newer", "body": {}}])
        self.append_records(1)
        found = self.client.read(0, 10, 0.0).records
        self.assertEqual([record is None for _, record in found], [False, True, False])

    def test_dropped_head_is_a_hole(self) -> None:
        """Guards against a reader that continues after a gap."""
        self.append_records(10)
        with self.assertRaises(HoleFoundError) as caught:
            self.client.read(0, 10, 0.0)
        self.assertEqual(caught.exception.oldest, 5)

    def test_not_run_is_claimed_only_where_it_is_proved(self) -> None:
        """Guards against "not run" for an append that took effect."""
        self.standin.faults.update({"lose_next_answers": 1})
        with self.assertRaises(LogUnavailableError) as caught:
            self.append_records(1)
        self.assertEqual(caught.exception.ran, Ran.MAY_HAVE_RUN)
        self.assertEqual(len(self.client.read(0, 10, 0.0).records), 1)
        self.standin.faults.update({"outage": True})
        with self.assertRaises(LogUnavailableError) as caught:
            self.append_records(1)
        self.assertEqual(caught.exception.ran, Ran.MAY_HAVE_RUN)
        unreachable = LogClient.from_config("http://127.0.0.1:1", 1.0)
        with self.assertRaises(LogUnavailableError) as caught:
            unreachable.append([wrap(KeyWithdraw("kkkkkkkk"))])
        self.assertEqual(caught.exception.ran, Ran.NOT_RUN)
