"""Contracts of the stand-ins for the log, the instance list, the stores and the plain service."""

import json
import os
import signal
import subprocess
import sys
import time
import unittest

import gevent
import urllib3
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from arbutustally.clock import VirtualClock
from arbutustally_standins.booking.app import BookingStandin
from arbutustally_standins.instances.app import InstancesStandin
from arbutustally_standins.kv_store.app import KvStoreStandin
from arbutustally_standins.log.app import LogStandin, defaults
from arbutustally_standins.log.journal import BelowOldestError, Journal
from arbutustally_standins.weight_store.app import WeightStoreStandin
from tests.standins import StandinCase

RETAIN_RECORDS = 6
RETAIN_S = 10.0


class JournalMachine(RuleBasedStateMachine):
    """Guards against offsets that move and against retention that hides or keeps too much."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = VirtualClock()
        self.journal = Journal(RETAIN_RECORDS, RETAIN_S, self.clock)
        self.records = []

    @rule(count=st.integers(1, 4))
    def append(self, count):
        batch = [{"id": str(len(self.records) + n), "kind": "k", "body": {}} for n in range(count)]
        self.clock.advance(0.5)
        assert self.journal.append(batch) == len(self.records)
        self.records += [(self.clock(), record["id"]) for record in batch]

    @rule(seconds=st.integers(1, 8))
    def wait(self, seconds):
        self.clock.advance(float(seconds))

    @rule(start=st.integers(0, 40), limit=st.integers(1, 5))
    def read(self, start, limit):
        now = self.clock()
        newest = range(max(0, len(self.records) - RETAIN_RECORDS), len(self.records))
        kept = [n for n in newest if self.records[n][0] >= now - RETAIN_S]
        oldest = kept[0] if kept else len(self.records)
        assert self.journal.oldest == oldest
        try:
            found = self.journal.read(start, limit)
        except BelowOldestError as error:
            assert start < oldest == error.oldest
            return
        assert start >= oldest
        offsets = [record["offset"] for record in found]
        assert offsets == [n for n in kept if n >= start][:limit]
        assert all(record["id"] == self.records[record["offset"]][1] for record in found)


TestJournalMachine = JournalMachine.TestCase
TestJournalMachine.settings = settings(max_examples=50, stateful_step_count=25)


def record(name):
    return {"records": [{"id": name, "kind": "change", "body": {}}]}


class LogTest(StandinCase):
    def ids(self, url):
        return [r["id"] for r in self.get(f"{url}/v1/records?from=0")["records"]]

    def test_lost_answer_has_taken_effect(self):
        """Guards against a lost answer that also loses the append."""
        url = self.serve(LogStandin.from_config())
        self.fault(url, lose_next_answers=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.post(f"{url}/v1/append", record("a"))
        self.assertEqual(self.ids(url), ["a"])
        self.assertEqual(self.post(f"{url}/v1/append", record("b")).json(), {"first_offset": 1})

    def test_outage_and_refusal_have_no_effect(self):
        """Guards against appends that succeed while the log is down."""
        url = self.serve(LogStandin.from_config())
        self.fault(url, outage=True)
        self.assertEqual(self.post(f"{url}/v1/append", record("a")).status, 503)
        self.fault(url, reset=True, refuse=True)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.post(f"{url}/v1/append", record("b"))
        self.fault(url, reset=True)
        self.assertEqual(self.ids(url), [])

    def test_rate_above_the_limit_is_refused(self):
        """Guards against a log that takes any rate of appends."""
        clock = VirtualClock()
        url = self.serve(LogStandin.from_config(defaults(appends_per_s=8.0), clock))
        statuses = [self.post(f"{url}/v1/append", record(str(n))).status for n in range(3)]
        self.assertEqual(statuses, [200, 200, 429])
        clock.advance(0.2)
        self.assertEqual(self.post(f"{url}/v1/append", record("x")).status, 200)

    def test_long_poll_wakes_and_read_below_oldest_is_told(self):
        """Guards against polls that sleep through an append and against silent gaps."""
        url = self.serve(LogStandin.from_config(defaults(retain_records=2)))
        poll = gevent.spawn(self.get, f"{url}/v1/records?from=0&wait_s=15")
        gevent.sleep(0.05)
        self.post(f"{url}/v1/append", record("a"))
        self.assertEqual(poll.get(timeout=10)["next"], 1)
        self.post(f"{url}/v1/append", {"records": record("b")["records"] * 3})
        gone = self.http.request("GET", f"{url}/v1/records?from=0")
        self.assertEqual((gone.status, gone.json()), (410, {"oldest": 2}))


class ServicesTest(StandinCase):
    def test_instance_list_lags_in_order(self):
        """Guards against readers that see a change at once or out of order."""
        clock = VirtualClock()
        url = self.serve(InstancesStandin.from_config(None, clock))
        self.fault(url, lag_s=2.0)
        body = {"service": "entry", "address": "127.0.0.1:1"}
        self.http.request("PUT", f"{url}/v1/instances/n1", json=body)
        clock.advance(1.0)
        self.http.request("DELETE", f"{url}/v1/instances/n1")
        for seconds, expected in ((0.0, []), (1.0, ["n1"]), (1.0, [])):
            clock.advance(seconds)
            listed = self.get(f"{url}/v1/instances")["instances"]
            self.assertEqual([instance["id"] for instance in listed], expected)

    def test_booking_counts_every_run(self):
        """Guards against a run that the statistics miss when its answer is lost."""
        url = self.serve(BookingStandin.from_config())
        self.fault(url, lose_next_answers=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.post(f"{url}/hire", {"a": 1}, X_Request_Id="r1")
        self.fault(url, fail_next=1)
        self.assertEqual(self.post(f"{url}/hire", {"a": 1}, X_Request_Id="r2").status, 503)
        answer = self.post(f"{url}/hire", {"a": 1}, X_Request_Id="r3")
        self.assertEqual(answer.headers["X-Request-Id"], "r3")
        stats = self.get(f"{url}/stats")
        self.assertEqual(stats["by_request_id"], {"r1": 1, "r3": 1})
        self.assertEqual(list(stats["by_body"].values()), [2])
        self.assertEqual(stats["received"][0]["headers"]["X-Request-Id"], "r1")

    def test_booking_answers_can_be_crossed_cut_and_unasked(self):
        """Guards against faults that a router would not even notice."""
        url = self.serve(BookingStandin.from_config())
        self.post(f"{url}/hire", {}, X_Request_Id="r1")
        self.fault(url, cross_next_answers=1)
        crossed = self.post(f"{url}/hire", {}, X_Request_Id="r2")
        self.assertEqual(crossed.headers["X-Request-Id"], "r1")
        self.fault(url, truncate_next_answers=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.post(f"{url}/hire", {}, X_Request_Id="r3")
        self.fault(url, stray_next_answers=1)
        pool = urllib3.connection_from_url(url, maxsize=1, retries=False)
        pool.request("POST", "/hire", headers={"X-Request-Id": "r4"})
        connection = pool.pool.get()
        connection.sock.settimeout(10.0)
        self.assertIn(b"stray", connection.sock.recv(1000))
        connection.close()

    def test_kv_store_takes_the_time_of_its_rate(self):
        """Guards against transfers that cost nothing, for which import would always pay."""
        clock = VirtualClock()
        standin = KvStoreStandin(100, 50_000.0, clock)
        url = self.serve(standin)
        keys = [str(n) for n in range(6)]
        self.assertEqual(self.post(f"{url}/v1/pieces/put", {"keys": keys[:5]}).json(), {"held": 5})
        self.assertEqual(self.post(f"{url}/v1/pieces/have", {"keys": keys}).json(), {"held": 5})
        begun = time.monotonic()
        self.post(f"{url}/v1/pieces/fetch", {"keys": keys})
        # The virtual clock stands still, so the five pieces wait behind the five put before.
        self.assertGreaterEqual(time.monotonic() - begun, 9 * 1008 / 50_000 - 0.01)

    def test_weight_loads_share_bandwidth(self):
        """Guards against loads that run at full speed however many there are."""
        url = self.serve(WeightStoreStandin(0.1, 2))
        begun = time.monotonic()
        loads = [gevent.spawn(self.get, f"{url}/v1/weights/m/{n}") for n in range(4)]
        gevent.joinall(loads, raise_error=True)
        # Four loads at the bandwidth of two take twice as long; ticks round it a little.
        self.assertGreaterEqual(time.monotonic() - begun, 0.17)
        self.assertEqual(self.get(f"{url}/stats")["most_at_once"], 4)

    def test_unknown_fault_is_refused(self):
        """Guards against a misspelt fault that leaves a test without its failure."""
        url = self.serve(BookingStandin.from_config())
        answer = self.post(f"{url}/faults", {"lose_next_answer": 1})
        self.assertEqual(answer.status, 400)
        self.assertIn("lose_next_answers", answer.json()["error"]["message"])


class ProcessTest(unittest.TestCase):
    def setUp(self) -> None:
        self.http = urllib3.PoolManager(retries=False, timeout=20.0)
        self.addCleanup(self.http.clear)

    def start(self, name, *flags):
        """Starts a stand-in and returns its process and base URL."""
        command = [sys.executable, "-m", f"arbutustally_standins.{name}", *flags]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, env=os.environ)
        self.addCleanup(process.wait, 20)
        self.addCleanup(process.kill)
        self.addCleanup(process.stdout.close)
        return process, "http://" + json.loads(process.stdout.readline())["listening"]

    def test_each_process_reports_its_address_and_stops(self):
        """Guards against an entry point that does not start, serve or stop."""
        names = ("log", "instances", "engine", "booking", "kv_store", "weight_store")
        started = [self.start(name) for name in names]
        for process, url in started:
            self.assertEqual(self.http.request("GET", f"{url}/stats").status, 200)
            process.terminate()
            self.assertEqual(process.wait(timeout=20), 0)

    def test_sigterm_lets_a_running_call_finish(self):
        """Guards against a process that cuts calls when it is told to stop."""
        faults = json.dumps({"slow_answer_s": 0.5})
        process, url = self.start("booking", "--faults", faults)
        call = gevent.spawn(self.http.request, "POST", f"{url}/hire", body=b"{}")
        while not self.http.request("GET", f"{url}/stats").json()["runs"]:
            gevent.sleep(0.01)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(call.get(timeout=20).status, 200)
        self.assertEqual(process.wait(timeout=20), 0)

    def test_crash_ends_the_process_at_once(self):
        """Guards against a crash that still finishes streams."""
        process, url = self.start("engine", "--faults", json.dumps({"slow_factor": 50.0}))
        body = {"prompt": "p", "max_tokens": 500, "stream": True}
        stream = self.http.request(
            "POST", f"{url}/v1/completions", json=body, preload_content=False
        )
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.http.request("POST", f"{url}/faults", json={"crash": True})
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            stream.read()
        self.assertNotEqual(process.wait(timeout=20), 0)
