"""Evidence on which prompt parts end the processes of endpoints that begin to answer on them.

Such a part ends every endpoint, whatever else the prompt holds. So each crash makes candidates of
all parts in the prompts that the endpoint was beginning to answer, and each answer clears the parts
of its prompt from all earlier crashes. Crashes at about the same time, e.g. of a rack, count once.

Nodes exchange what they know. The evidence is a union of crashes and the latest proof for each
part, so the order and the number of the messages do not matter.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, replace

from arbutustally.clock import Clock

#: Crashes that make a part a suspect, and a culprit if no answer was ever known for it.
SUSPECT_CRASHES = 2
CULPRIT_CRASHES = 3
#: Crashes that make a culprit of one of several parts that all crashes have in common.
TIED_CRASHES = 4
#: Crashes that make a culprit of a part for which answers were known, and the answers to other
#: prompts that must be known meanwhile: without any, all endpoints may fail for another reason.
TURNED_CRASHES = 5
TURNED_ANSWERS = 5
#: Crashes within this time count as one, seconds.
CLUSTER_S = 0.15
#: Time after the crash that makes a culprit within which proofs of other nodes arrive, seconds.
SETTLE_S = 0.6
#: Time after its last crash for which a part stays a suspect, seconds.
SUSPECT_S = 2.0
#: Time after the last news of a crash for which there is something to judge and to tell, seconds.
ACTIVE_S = 4.0
#: Time for which a crash counts, seconds.
CRASH_S = 120.0
MAX_CRASHES = 64
#: Candidates of one crash.
MAX_PARTS = 48
#: Parts for which the time of the latest answer is kept.
MAX_PROOFS = 4096


@dataclass(frozen=True)
class Crash:
    """The end of an endpoint's process.

    :ivar endpoint: key of this start of the endpoint.
    :ivar at: time at which its attempts broke, seconds.
    :ivar parts: keys of the parts of the prompts that it was beginning to answer.
    """

    endpoint: bytes
    at: float
    parts: frozenset[bytes]


class CrashEvidence:
    """Crashes and proofs that one node knows.

    :param clock: seconds; advances while the instance is suspended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._crashes: OrderedDict[bytes, Crash] = OrderedDict()
        self._proofs: OrderedDict[bytes, float] = OrderedDict()
        self._answers: deque[float] = deque(maxlen=TURNED_ANSWERS)
        # Parts that were named as culprits; their crashes count for no other part.
        self._explained: set[bytes] = set()
        self._changed_at = float("-inf")

    @classmethod
    def from_config(cls, clock: Clock) -> "CrashEvidence":
        """Builds evidence of nothing."""
        return cls(clock)

    @property
    def is_active(self) -> bool:
        """Returns whether a crash has become known lately."""
        return self._clock() - self._changed_at < ACTIVE_S

    def record_crash(self, crash: Crash) -> bool:
        """Adds a crash, or further parts of a known one; returns whether that is news."""
        known = self._crashes.get(crash.endpoint)
        if known is None:
            merged = replace(crash, parts=self._limited(crash.parts))
        else:
            parts = self._limited(known.parts | crash.parts)
            merged = Crash(crash.endpoint, min(known.at, crash.at), parts)
        self._crashes[crash.endpoint] = merged
        self._drop_old()
        is_news = known is None or merged.parts != known.parts
        if is_news:
            self._changed_at = self._clock()
        return is_news

    def record_answer(self, parts: Iterable[bytes]) -> None:
        """Records an answer of this node, which proves that the parts of its prompt are sound."""
        now = self._clock()
        self._answers.append(now)
        for part in parts:
            self.record_proof(part, now)

    def record_proof(self, part: bytes, at: float) -> None:
        """Records that a part was sound at some time."""
        self._proofs[part] = max(at, self._proofs.get(part, at))
        self._proofs.move_to_end(part)
        if len(self._proofs) > MAX_PROOFS:
            self._proofs.popitem(last=False)

    def explain(self, parts: Iterable[bytes]) -> None:
        """Sets the parts to which their crashes are attributed."""
        self._explained = set(parts)

    def recent_crashes(self, age_s: float, count: int) -> tuple[Crash, ...]:
        """Returns the latest crashes without a known culprit, at most ``count``.

        Parts that were answered on since are left out.
        """
        since = self._clock() - age_s
        recent = [crash for crash in self._unexplained() if crash.at >= since]
        uncleared = (replace(crash, parts=self._uncleared(crash)) for crash in recent[-count:])
        return tuple(crash for crash in uncleared if crash.parts)

    def proofs_of_suspects(self, count: int) -> dict[bytes, float]:
        """Returns the latest proofs for parts of several crashes, at most ``count``."""
        seen: dict[bytes, int] = {}
        for crash in self._unexplained():
            for part in crash.parts:
                seen[part] = seen.get(part, 0) + 1
        found = [
            (self._proofs[part], part)
            for part, crashes in seen.items()
            if crashes >= SUSPECT_CRASHES and part in self._proofs
        ]
        return {part: at for at, part in sorted(found, reverse=True)[:count]}

    def is_suspect(self, part: bytes) -> bool:
        """Returns whether a part that was never answered was in several recent crashes."""
        if not self._crashes or part in self._proofs:
            return False
        times = self._separate([one.at for one in self._unexplained() if part in one.parts])
        return len(times) >= SUSPECT_CRASHES and self._clock() - times[-1] < SUSPECT_S

    def culprits(self) -> tuple[bytes, ...]:
        """Returns the parts that the crashes have in common, once proofs had time to arrive.

        Several parts are returned if the crashes do not tell them apart.
        """
        crashes = list(self._unexplained())
        if len(crashes) < CULPRIT_CRASHES:
            return ()
        times = {part: self._separate(of_part) for part, of_part in self._unproven(crashes).items()}
        settled = {
            part: len(of_part)
            for part, of_part in times.items()
            if self._is_settled(of_part, self._needed_crashes(part, of_part))
        }
        if not settled:
            return ()
        most = max(settled.values())
        found = tuple(sorted(part for part, count in settled.items() if count == most))
        if len(found) > 1 and most < TIED_CRASHES:
            return ()
        return found

    def _needed_crashes(self, part: bytes, times: list[float]) -> int:
        if part not in self._proofs:
            return CULPRIT_CRASHES
        answers = sum(at >= times[0] for at in self._answers) if times else 0
        return TURNED_CRASHES if answers >= TURNED_ANSWERS else MAX_CRASHES + 1

    def _is_settled(self, times: list[float], needed: int) -> bool:
        return len(times) >= needed and self._clock() - times[needed - 1] >= SETTLE_S

    def _unproven(self, crashes: Iterable[Crash]) -> dict[bytes, list[float]]:
        """Returns the times of the crashes with each part since its last proof."""
        times: dict[bytes, list[float]] = {}
        for crash in crashes:
            for part in crash.parts:
                if crash.at > self._proofs.get(part, float("-inf")):
                    times.setdefault(part, []).append(crash.at)
        return times

    def _separate(self, times: list[float]) -> list[float]:
        """Returns the times of crashes in order, close ones as one."""
        separate: list[float] = []
        for at in sorted(times):
            if not separate or at - separate[-1] >= CLUSTER_S:
                separate.append(at)
        return separate

    def _unexplained(self) -> Iterable[Crash]:
        self._drop_old()
        return (one for one in self._crashes.values() if not one.parts & self._explained)

    def _uncleared(self, crash: Crash) -> frozenset[bytes]:
        never = float("-inf")
        return frozenset(one for one in crash.parts if self._proofs.get(one, never) < crash.at)

    def _limited(self, parts: frozenset[bytes]) -> frozenset[bytes]:
        """Returns the candidates to keep: rather those for which no answer is known."""
        if len(parts) <= MAX_PARTS:
            return parts
        return frozenset(sorted(parts, key=lambda part: (part in self._proofs, part))[:MAX_PARTS])

    def _drop_old(self) -> None:
        since = self._clock() - CRASH_S
        for endpoint in [one.endpoint for one in self._crashes.values() if one.at < since]:
            del self._crashes[endpoint]
        while len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
