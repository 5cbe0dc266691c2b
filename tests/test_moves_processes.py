"""Moves between versions with real processes: a good version, and bad ones."""

import threading
import time
import unittest
from collections import Counter
from datetime import UTC, datetime, timedelta

import orjson
import urllib3

from arbutustally.directory import DEFAULT_SHARDS, shard_of
from tests.fleet import DECLARATIONS, Fleet, FleetError, Process, wait_for

#: Requests over which harm is counted; with fewer, the three failures that it takes to tell a fault
#: from chance are more than 1% by themselves.
COUNTED_REQUESTS = 1000
#: Time given to a move, seconds; it bounds the test, not the decision.
MOVE_S = 45.0
ACCOUNT = "school"
SHARD = shard_of(ACCOUNT, DEFAULT_SHARDS)
#: Longer than the leases of the fleet, so that the owner's lease lapses, seconds.
PAUSE_S = 3.5


def declared(version: str) -> str:
    """Returns the declarations with a wanted version and a deadline."""
    deadline = datetime.now(UTC) + timedelta(seconds=MOVE_S)
    return DECLARATIONS.replace(
        'version = "v1"', f'version = "{version}"\nmove_by = "{deadline.isoformat()}"'
    ).replace("rate = 20000\nburst = 120000", "rate = 200000\nburst = 1000000")


class Traffic:
    """Sends short requests to all nodes until it is stopped, and counts the answers."""

    def __init__(self, fleet: Fleet, key: str) -> None:
        self._fleet = fleet
        self._headers = {"Authorization": f"Bearer {key}"}
        self._stopping = False
        self.ok = 0
        #: Bodies of refusals, and errors of connections in the same form.
        self.failed: list[str] = []
        self._threads = [
            threading.Thread(target=self._run, args=(node.address, path))
            for node in fleet.nodes.values()
            for path in ("chat/completions", "completions")
        ]

    def __enter__(self) -> "Traffic":
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_error: object) -> None:
        self._stopping = True
        for thread in self._threads:
            thread.join()

    def _run(self, address: str, path: str) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=urllib3.Timeout(connect=5, read=30))
        number = 0
        while not self._stopping:
            number += 1
            text = f"{path} question {number}"
            body = {"model": "marelle", "max_tokens": 2}
            if path == "completions":
                body["prompt"] = text
            else:
                body["messages"] = [{"role": "user", "content": text}]
            try:
                answer = pool.request(
                    "POST", f"http://{address}/v1/{path}", json=body, headers=self._headers
                )
            except urllib3.exceptions.HTTPError as error:
                self.failed.append(f'{{"error":{{"code":"{type(error).__name__}"}}}}')
            else:
                self._count(answer)
            time.sleep(0.01)

    def _count(self, answer: urllib3.BaseHTTPResponse) -> None:
        if answer.status == 200:
            self.ok += 1
        else:
            self.failed.append(answer.data.decode())

    def wait_served(self, count: int, what: str) -> None:
        """Waits until so many more requests were served.

        :raises FleetError: if a node ends, or with the refusals by code if it takes too long.
        """
        enough = self.ok + count
        try:
            wait_for(lambda: self._fleet.check_nodes() and self.ok > enough, what, 2 * MOVE_S)
        except FleetError as error:
            missing = enough - self.ok
            raise FleetError(f"{error}; {missing} not served, failed: {self.codes()}") from error

    def codes(self) -> dict[str, int]:
        """Returns how many requests failed, by code."""
        return dict(Counter(orjson.loads(body)["error"]["code"] for body in self.failed))


class MoveTest(unittest.TestCase):
    """Each test has a fleet of its own, because a move changes what the engines hold."""

    def setUp(self) -> None:
        self.fleet = Fleet.from_config(engines=3, nodes=2)
        self.addCleanup(self.fleet.stop)
        applied = self.fleet.apply(declared("v1"))
        self.assertEqual(applied.returncode, 0, applied.stderr)
        self.key, _ = self.fleet.issue_key(ACCOUNT)
        self.fleet.wait_serving(self.key)
        wait_for(lambda: self._move().get("step") == "done", "the first version to be recorded")
        # Until then only the owner can grant, and a pause of its process is an outage of the limit.
        wait_for(self._are_shares_usable, "the share slots of the account")

    def _move(self) -> dict:
        _, body = self.fleet.operate("GET", "/v1/moves")
        return next((move for move in body["moves"] if move["model"] == "marelle"), {})

    def _is_shared(self) -> bool:
        """Returns whether v2 has a share; the finished move to v1 has all of it."""
        move = self._move()
        return move["version"] == "v2" and move["share"] > 0

    def _are_shares_usable(self) -> bool:
        """Returns whether each node may use one of the share slots of the account."""
        slots = {f"{SHARD}/0", f"{SHARD}/1"}
        reports = [self.fleet.status_of(name) or {} for name in self.fleet.nodes]
        return all(len(slots & set(report.get("shares", ()))) == 1 for report in reports)

    def _owner(self) -> Process:
        """Returns the node that grants tokens of the account."""

        def owners() -> list[Process]:
            return [
                node
                for name, node in self.fleet.nodes.items()
                if f"shard/{SHARD}" in (self.fleet.status_of(name) or {}).get("leases", ())
            ]

        return wait_for(owners, "an owner of the account's shard")[0]

    def _ended(self, version: str) -> dict | None:
        move = self._move()
        ended = move.get("version") == version and move["step"] in ("done", "taken_back")
        return move if ended else None

    def _apply(self, version: str) -> None:
        applied = self.fleet.apply(declared(version))
        self.assertEqual(applied.returncode, 0, applied.stderr)

    def test_good_version_is_moved_and_reported_as_done(self) -> None:
        """Guards against a move that loses requests, or that never ends."""
        with Traffic(self.fleet, self.key) as traffic:
            self._apply("v2")
            move = wait_for(lambda: self._ended("v2"), "the move to end", 3 * MOVE_S)
        self.assertEqual(move["step"], "done", move)
        self.assertEqual(traffic.failed, [])
        self.assertGreater(traffic.ok, 0)
        shown = self.fleet.command("moves")
        self.assertEqual(shown.returncode, 0, shown.stderr)
        self.assertIn("done", shown.stdout)

    def test_failing_version_is_taken_back_and_harms_few(self) -> None:
        """Guards against a version that fails at once and keeps its share."""
        rule = {"version": "v2", "rate": 1.0}
        for engine in self.fleet.engines.values():
            self.fleet.fault(engine, rules=[rule])
        with Traffic(self.fleet, self.key) as traffic:
            self._apply("v2")
            move = wait_for(lambda: self._ended("v2"), "the move to end", 3 * MOVE_S)
            before = len(traffic.failed)
            count = max(200, COUNTED_REQUESTS - traffic.ok)
            traffic.wait_served(count, "requests after the end")
            self.assertEqual(len(traffic.failed), before, traffic.codes())
        self.assertEqual(move["step"], "taken_back", move)
        self.assertTrue(move["evidence"])
        total = traffic.ok + len(traffic.failed)
        self.assertLessEqual(len(traffic.failed), 0.01 * total, traffic.codes())

    def test_pause_of_the_owner_refuses_few(self) -> None:
        """Guards against requests that are refused because one node is not scheduled for longer
        than its lease, as on a busy machine; the other home node has a share slot."""
        owner = self._owner()
        with Traffic(self.fleet, self.key) as traffic:
            traffic.wait_served(50, "requests before the pause")
            owner.freeze()
            self.addCleanup(owner.wake)
            time.sleep(PAUSE_S)
            owner.wake()
            traffic.wait_served(COUNTED_REQUESTS - traffic.ok, "requests to count")
        total = traffic.ok + len(traffic.failed)
        self.assertLessEqual(len(traffic.failed), 0.01 * total, traffic.codes())

    def test_version_that_fails_on_one_route_is_taken_back(self) -> None:
        """Guards against evidence that is mixed over routes, where one bad route is diluted."""
        rule = {"version": "v2", "route": "completions", "rate": 1.0}
        for engine in self.fleet.engines.values():
            self.fleet.fault(engine, rules=[rule])
        with Traffic(self.fleet, self.key) as traffic:
            self._apply("v2")
            move = wait_for(lambda: self._ended("v2"), "the move to end", 3 * MOVE_S)
            traffic.wait_served(COUNTED_REQUESTS - traffic.ok, "requests to count")
        self.assertEqual(move["step"], "taken_back", move)
        total = traffic.ok + len(traffic.failed)
        self.assertLessEqual(len(traffic.failed), 0.01 * total, traffic.codes())

    def test_trip_holds_with_the_log_down(self) -> None:
        """Guards against a node that keeps a bad version because it cannot write to the log."""
        with Traffic(self.fleet, self.key) as traffic:
            self._apply("v2")
            wait_for(self._is_shared, "a share on the new version", MOVE_S)
            self.fleet.fault(self.fleet.log, outage=True)
            rule = {"version": "v2", "rate": 1.0}
            for engine in self.fleet.engines.values():
                self.fleet.fault(engine, rules=[rule])
            traffic.wait_served(1500, "requests during the outage")
            failed = len(traffic.failed)
            self.assertIn("endpoint_failed", traffic.codes(), "no request met the new version")
            traffic.wait_served(500, "requests after the trip")
            self.assertEqual(len(traffic.failed), failed, traffic.codes())
            self.fleet.fault(self.fleet.log, outage=False)
            move = wait_for(lambda: self._ended("v2"), "the move to end", 3 * MOVE_S)
        self.assertEqual(move["step"], "taken_back", move)
