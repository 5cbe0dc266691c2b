"""Keys: withdrawn keys stop working, and a node that may have missed a withdrawal refuses all."""

import io
import unittest
from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutustally import logs
from arbutustally.errors import (
    BadRequestError,
    KeyInvalidError,
    KeysStaleError,
    NoConfigurationError,
)
from arbutustally.records import Change, wrap
from arbutustally.state import ControlState
from arbutustally_node.kernel import Kernel
from arbutustally_node.keys import Keys
from arbutustally_node.log_writer import Appended
from tests.fake_log import new_options

ACCOUNT = {"rate": 10.0, "burst": 100.0}


class DirectLog:
    """The log service of one node, reduced to its ``ControlState``.

    :ivar age_s: age of the last confirmation.
    :ivar known_offset: highest offset that any node is known to hold.
    """

    def __init__(self) -> None:
        self.state = ControlState()
        self.ready = True
        self.age_s = 0.0
        self.known_offset = -1

    def staleness(self, _now: float) -> float:
        return self.age_s

    def append(self, body) -> Appended:
        offset = self.state.offset + 1
        return Appended(offset, self.state.apply(offset, wrap(body)))


def new_keys() -> tuple[Keys, DirectLog, SimpleNamespace]:
    """Returns the service with its log, and a fleet of five nodes of which four are reached."""
    kernel, log = Kernel(), DirectLog()
    fleet = SimpleNamespace(reached=["n2", "n3", "n4", "n5"])
    nodes = [SimpleNamespace(id=f"n{number}") for number in range(1, 6)]
    kernel.register("log", log)
    kernel.register("peers", SimpleNamespace(connected=lambda: fleet.reached))
    kernel.register("membership", SimpleNamespace(nodes=lambda: nodes))
    log.append(Change(-1, {"accounts/a": ACCOUNT, "accounts/b": ACCOUNT}))
    return Keys(kernel, new_options()), log, fleet


class KeysMachine(RuleBasedStateMachine):
    """Keys are issued and withdrawn while accounts come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.keys, self.log, _ = new_keys()
        self.issued: list = []
        self.withdrawn: set[str] = set()

    @rule(account=st.sampled_from(["a", "b", "c"]))
    def issue(self, account: str) -> None:
        declared = account in self.log.state.declarations.accounts
        try:
            self.issued.append(self.keys.issue(account))
            assert declared
        except BadRequestError:
            assert not declared

    @rule(data=st.data())
    def withdraw(self, data: st.DataObject) -> None:
        if self.issued:
            key_id = data.draw(st.sampled_from(self.issued)).key_id
            self.keys.withdraw(key_id)
            self.withdrawn.add(key_id)

    @rule(account=st.sampled_from(["a", "b", "c"]), remove=st.booleans())
    def declare(self, account: str, remove: bool) -> None:
        item = f"accounts/{account}"
        body = {"set": {}, "remove": (item,)} if remove else {"set": {item: ACCOUNT}}
        self.log.append(Change(self.log.state.version, **body))

    @rule()
    def restart_from_snapshot(self) -> None:
        self.log.state = ControlState.restore(self.log.state.snapshot())

    @invariant()
    def only_valid_keys_work(self) -> None:
        for key in self.issued:
            declared = key.account in self.log.state.declarations.accounts
            try:
                assert self.keys.authenticate(f"Bearer {key.text}") == key.account
                works = True
            except KeyInvalidError:
                works = False
            assert works == (declared and key.key_id not in self.withdrawn)


KeysMachine.TestCase.settings = settings(max_examples=60, stateful_step_count=25)


class KeysMachineTest(KeysMachine.TestCase):
    """Guards against withdrawn keys that work again, and keys of the wrong account."""


class KeysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.keys, self.log, self.fleet = new_keys()
        self.header = f"Bearer {self.keys.issue('a').text}"

    def test_secret_is_compared(self) -> None:
        """Guards against a key that is accepted on its public part alone."""
        other = self.keys.issue("b").text
        mixed = self.header.rsplit("-", 1)[0][: len("Bearer at-") + 16]
        for wrong in (None, "", "Bearer", self.header[:-1], self.header + "x", mixed, "Bearer at-"):
            with self.subTest(wrong), self.assertRaises(KeyInvalidError):
                self.keys.authenticate(wrong)
        secret = other[len("at-") + 17 :]
        with self.assertRaises(KeyInvalidError):
            self.keys.authenticate(self.header[: len("Bearer at-") + 17] + secret)

    def test_key_is_in_no_record_log_line_or_message(self) -> None:
        """Guards against a key that can be read in the log, in log lines or in error messages."""
        stream = io.StringIO()
        logs.configure("debug", stream)
        self.addCleanup(logs.configure)
        text = self.keys.issue("a").text
        secret = text.split("-", 2)[2]
        with self.assertRaises(KeyInvalidError) as caught:
            self.keys.authenticate(f"Bearer {text}x")
        logs.get_logger("test").info(f"got Bearer {text}")
        self.assertNotIn(secret, stream.getvalue() + str(caught.exception))
        self.assertNotIn(secret.encode(), self.log.state.snapshot())

    def test_missing_configuration_has_its_own_error(self) -> None:
        """Guards against a starting node that reports valid keys as invalid."""
        self.log.ready = False
        with self.assertRaises(NoConfigurationError):
            self.keys.authenticate(self.header)

    def test_log_down_for_all_keeps_known_keys_working(self) -> None:
        """Guards against refusing all callers during an outage of the log."""
        self.log.age_s = 3600.0
        self.assertEqual(self.keys.authenticate(self.header), "a")

    def test_minority_refuses_keys_when_the_log_is_unreachable(self) -> None:
        """Guards against a minority partition that accepts keys withdrawn in the majority."""
        self.log.age_s = 8.1
        self.fleet.reached = ["n2", "n3"]
        self.assertEqual(self.keys.authenticate(self.header), "a")
        self.fleet.reached = ["n2"]
        with self.assertRaises(KeysStaleError):
            self.keys.authenticate(self.header)
        self.log.age_s = 7.9
        self.assertEqual(self.keys.authenticate(self.header), "a")

    def test_node_behind_a_peer_refuses_keys(self) -> None:
        """Guards against a withdrawal that a peer has read and this node cannot fetch."""
        self.log.age_s = 8.1
        self.log.known_offset = self.log.state.offset + 1
        with self.assertRaises(KeysStaleError):
            self.keys.authenticate(self.header)

    def test_nodes_outside_the_fleet_are_no_majority(self) -> None:
        """Guards against peers that left the fleet and still count as reached."""
        self.log.age_s = 8.1
        self.fleet.reached = ["old-1", "old-2", "old-3"]
        with self.assertRaises(KeysStaleError):
            self.keys.authenticate(self.header)
