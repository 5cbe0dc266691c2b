"""The fold of the log gives every reader the same verdicts for any content of the log."""

import math

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from arbutustally.checkpoint import CheckpointAssembler, split_snapshot
from arbutustally.errors import Ran
from arbutustally.records import (
    Change,
    Claim,
    KeyIssue,
    KeyWithdraw,
    LeaseRecord,
    MoveStep,
    Outcome,
    Record,
    ShareRecord,
    wrap,
)
from arbutustally.snapshots import decode_snapshot
from arbutustally.state import ControlState
from arbutustally.verdicts import Reason

WINDOW_S = 100.0
ACCOUNT = {"rate": 10.0, "burst": 100.0}
KEYS = st.sampled_from(["key-a", "key-b", "key-c"])
NODES = st.sampled_from(["n1#1", "n2#1", "n3#1"])
#: A claim with the last time expires claims with the first one.
KEY_TIMES = st.sampled_from([1000.0, 1000.0, 1000.0, 1060.0, 1101.0])
ITEMS = st.sampled_from(["accounts/a", "accounts/b"])


def content(state: ControlState) -> dict:
    """Returns the content of a state without its offset and history."""
    data = decode_snapshot(state.snapshot())
    return {name: value for name, value in data.items() if name not in ("offset", "history")}


class FoldMachine(RuleBasedStateMachine):
    """Several readers, two operators and three nodes on one log.

    ``reference`` applies every record first and gives the expected verdicts. Nodes dispatch a
    booking only after an accepted claim and append ``not_run`` only for claims that they have not
    dispatched.
    """

    claims = Bundle("claims")

    def __init__(self) -> None:
        super().__init__()
        self.log: list[Record | None] = []
        self.oldest = 0
        self.reference = ControlState(WINDOW_S)
        self.verdicts: list = []
        self.readers = [ControlState(WINDOW_S) for _ in range(3)]
        self.known_versions = [-1, -1]
        self.dispatched: dict[str, int] = {}
        self.withdrawn: set[str] = set()
        self.parts: list[tuple[int, object]] = []

    def append(self, record: Record | None):
        offset = len(self.log)
        self.log.append(record)
        verdict = self.reference.apply(offset, record)
        self.verdicts.append(verdict)
        return offset, verdict

    @rule(operator=st.integers(0, 1), item=ITEMS, rate=st.sampled_from([1.0, 2.0, -1.0]))
    def change(self, operator: int, item: str, rate: float) -> None:
        """An operator changes an item based on the version that it last read."""
        base, current = self.known_versions[operator], self.reference.version
        body = Change(base=base, set={item: {**ACCOUNT, "rate": rate}})
        offset, verdict = self.append(wrap(body))
        assert verdict.accepted == (base == current and rate > 0)
        if verdict.reason == Reason.STALE_BASE:
            assert verdict.beaten_by == current
        if verdict.accepted:
            assert self.reference.version == offset

    @rule(operator=st.integers(0, 1))
    def read_version(self, operator: int) -> None:
        self.known_versions[operator] = self.reference.version

    @rule(key=KEYS, account=st.sampled_from(["a", "b"]))
    def issue(self, key: str, account: str) -> None:
        self.append(wrap(KeyIssue(key, "0" * 64, account)))

    @rule(key=KEYS)
    def withdraw(self, key: str) -> None:
        self.append(wrap(KeyWithdraw(key)))
        self.withdrawn.add(key)

    @rule(node=NODES, is_outdated=st.booleans(), release=st.booleans())
    def lease(self, node: str, is_outdated: bool, release: bool) -> None:
        entry = self.reference.lease("move/m")
        base = entry.last_offset if entry is not None and not is_outdated else -1
        self.append(wrap(LeaseRecord("move/m", node, base, release)))

    @rule(node=st.sampled_from(["", "n1#1", "n2#1"]), is_outdated=st.booleans())
    def share(self, node: str, is_outdated: bool) -> None:
        entry = self.reference.share(0, 0)
        base = entry.last_offset if entry is not None and not is_outdated else -1
        self.append(wrap(ShareRecord(0, 0, node, base)))

    @rule(share=st.sampled_from([0.05, 1.0, math.nan, 2.0]), stale=st.booleans())
    def step(self, share: float, stale: bool) -> None:
        entry = self.reference.lease("move/m")
        fence = entry.epoch - stale if entry is not None else -1
        _, verdict = self.append(wrap(MoveStep("m", "v2", "v1", "raised", share, fence)))
        if verdict.accepted:
            assert not stale and not entry.released and 0 <= share <= 1

    @rule(target=claims, node=NODES, key_time_s=KEY_TIMES)
    def claim(self, node: str, key_time_s: float):
        """A node claims a booking; equal times give equal keys."""
        name = f"booking@{key_time_s}"
        offset, verdict = self.append(wrap(Claim(name, "digest", node, key_time_s)))
        return name, offset, verdict.accepted

    @rule(claim=consumes(claims))
    def dispatch(self, claim: tuple) -> None:
        name, _, is_winner = claim
        if is_winner:
            self.dispatched[name] = self.dispatched.get(name, 0) + 1
            assert self.dispatched[name] == 1, f"{name} was dispatched twice"

    @rule(claim=consumes(claims), names_claim=st.booleans(), repeats=st.integers(1, 2))
    def append_not_run(self, claim: tuple, names_claim: bool, repeats: int) -> None:
        """A claimant that has not dispatched appends ``not_run``, once or twice with new ids."""
        name, offset, _ = claim
        base = offset if names_claim else -1
        for _ in range(repeats):
            self.append(wrap(Outcome(name, Ran.NOT_RUN, claim=base)))

    @rule(data=st.data())
    def repeat(self, data: st.DataObject) -> None:
        """An append whose response was lost is repeated with the same id."""
        records = [record for record in self.log if record is not None]
        if not records:
            return
        before = content(self.reference)
        _, verdict = self.append(data.draw(st.sampled_from(records)))
        assert not verdict.accepted
        assert content(self.reference) == before

    @rule()
    def append_undecodable(self) -> None:
        assert not self.append(None)[1].accepted

    @rule(number=st.integers(0, 2), count=st.integers(1, 10))
    def read(self, number: int, count: int) -> None:
        reader = self.readers[number]
        start = reader.offset + 1
        if start < self.oldest:
            return
        for offset in range(start, min(start + count, len(self.log))):
            assert reader.apply(offset, self.log[offset]) == self.verdicts[offset]

    @rule(number=st.integers(0, 2))
    def install_peer_snapshot(self, number: int) -> None:
        restored = ControlState.restore(self.reference.snapshot(), WINDOW_S)
        if restored.offset > self.readers[number].offset:
            self.readers[number] = restored

    @rule()
    def write_checkpoint(self) -> None:
        self.parts = list(split_snapshot(self.reference.snapshot(), self.reference.offset, 200))

    @rule(number=st.integers(0, 2))
    def restart_from_checkpoint(self, number: int) -> None:
        """The head of the log is dropped and a reader starts from the checkpoint."""
        if not self.parts:
            return
        self.oldest = self.parts[0].upto + 1
        assembler = CheckpointAssembler()
        found = [assembler.add(part) for part in reversed(self.parts)]
        assert [snapshot is not None for snapshot in found[:-1]] == [False] * (len(found) - 1)
        restored = ControlState.restore(found[-1], WINDOW_S)
        if restored.offset >= self.readers[number].offset:
            self.readers[number] = restored

    @invariant()
    def readers_agree(self) -> None:
        for reader in self.readers:
            if reader.offset == self.reference.offset:
                assert reader.snapshot() == self.reference.snapshot()

    @invariant()
    def withdrawn_keys_stay_withdrawn(self) -> None:
        for key in self.withdrawn:
            assert self.reference.key(key).withdrawn


FoldMachine.TestCase.settings = settings(max_examples=150, stateful_step_count=40)


class FoldTest(FoldMachine.TestCase):
    """Guards against diverging readers, lost updates and bookings that run twice."""
