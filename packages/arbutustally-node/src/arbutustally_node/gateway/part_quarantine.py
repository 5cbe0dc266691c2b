"""Rejects requests whose prompts have a part that ends endpoints, as all nodes of the fleet know it."""

from collections.abc import Callable, Sequence
from dataclasses import replace
from weakref import WeakKeyDictionary

from arbutustally.clock import Clock
from arbutustally.errors import QuarantinedPartError
from arbutustally.gateway.crash_evidence import Crash, CrashEvidence
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.part_keys import endpoint_key
from arbutustally.gateway.quarantine import MIN_RETRY_S, Quarantine, Verdict
from arbutustally_node.gateway.attempt_load import AttemptLoad
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.quarantine_messages import (
    NO_UPDATE,
    SENT_CRASHES,
    SENT_PROOFS,
    QuarantineUpdate,
)

#: Time after its first event from which on a running attempt shows that its prompt is sound, seconds.
PROOF_S = 0.5
#: Age up to which a crash is sent, seconds. Messages may get lost, so each is sent many times.
SENT_CRASH_S = 3.0
#: Duty that ranks the nodes for the trials of a part.
TRIAL_DUTY = b"trial"


class PartQuarantine:
    """Evidence and verdicts of this node, and their exchange with the peers.

    All of it is part of the regular messages between nodes, so that crashes cause no further ones.

    :param clock: seconds; advances while the instance is suspended.
    :param steady: the clock of the attempts' loads, seconds.
    :param rank: returns this node's rank for a duty, 0 for the first.
    """

    def __init__(
        self,
        log: DecisionLog,
        instruments: Instruments,
        clock: Clock,
        steady: Clock,
        rank: Callable[[bytes], int],
    ) -> None:
        self._log = log
        self._instruments = instruments
        self._clock = clock
        self._steady = steady
        self._rank = rank
        self._evidence = CrashEvidence.from_config(clock)
        self._quarantine = Quarantine.from_config(clock)
        self._running: WeakKeyDictionary[AttemptLoad, tuple[bytes, ...]] = WeakKeyDictionary()

    def admit(self, parts: Sequence[bytes]) -> None:
        """Lets a request through, if need be as a trial.

        :param parts: keys of the shared parts of its prompt.
        :raises QuarantinedPartError: if a part is in quarantine or a suspect.
        """
        blocking = self._quarantine.blocking(parts)
        if len(blocking) == 1 and self._may_try(blocking[0]):
            self._begin_trial(blocking[0])
            return
        if blocking:
            retry_s = max(map(self._quarantine.retry_after_s, blocking))
            raise self._rejection("quarantined", blocking[0].part, retry_s)
        suspect = next(filter(self._evidence.is_suspect, parts), None)
        if suspect is not None:
            raise self._rejection("suspected", suspect, MIN_RETRY_S)

    def may_run_again(self, parts: Sequence[bytes]) -> bool:
        """Returns whether a request that has run may be sent to another endpoint."""
        return not (self._quarantine.blocking(parts) or any(map(self._evidence.is_suspect, parts)))

    def began(self, load: AttemptLoad, parts: tuple[bytes, ...]) -> None:
        """Records that an endpoint begins to answer a prompt."""
        if parts:
            self._running[load] = parts

    def answered(self, parts: Sequence[bytes]) -> None:
        """Records a complete answer."""
        if not parts:
            return
        self._evidence.record_answer(parts)
        for verdict in self._quarantine.blocking(parts):
            self._quarantine.release(verdict.part)
            self._log.line("part_released", part=verdict.part.hex(), source="node")
            self._evidence.explain(self._quarantine.active)

    def crashed(self, state: EndpointState, ago_s: float, parts: frozenset[bytes]) -> None:
        """Records that an endpoint ended while it began to answer prompts with these parts."""
        endpoint = endpoint_key(state.id, state.entry.incarnation)
        self._evidence.record_crash(Crash(endpoint, self._clock() - ago_s, parts))

    def describe(self) -> QuarantineUpdate:
        """Returns what to tell the peers."""
        self._judge()
        now = self._clock()
        verdicts = self._quarantine.verdicts
        told = tuple(replace(one, trial_at=one.trial_at - now) for one in verdicts)
        if not self._evidence.is_active:
            return QuarantineUpdate(verdicts=told) if told else NO_UPDATE
        crashes = self._evidence.recent_crashes(SENT_CRASH_S, SENT_CRASHES)
        proofs = self._evidence.proofs_of_suspects(SENT_PROOFS)
        return QuarantineUpdate(
            tuple(replace(one, at=now - one.at) for one in crashes),
            {part: now - at for part, at in proofs.items()},
            told,
        )

    def take(self, update: QuarantineUpdate, peer: str) -> None:
        """Applies what a peer has told."""
        if update == NO_UPDATE:
            return
        now = self._clock()
        for part, age_s in update.proofs.items():
            self._evidence.record_proof(part, now - age_s)
        for crash in update.crashes:
            self._evidence.record_crash(replace(crash, at=now - crash.at))
        for verdict in update.verdicts:
            if self._quarantine.merge(replace(verdict, trial_at=now + verdict.trial_at)):
                self._apply_verdict(verdict, peer)

    def _apply_verdict(self, verdict: Verdict, peer: str) -> None:
        self._evidence.explain(self._quarantine.active)
        if not verdict.is_active:
            # The answer that released the part clears it from earlier crashes.
            self._evidence.record_proof(verdict.part, self._clock())
        self._log.line(
            "part_quarantined" if verdict.is_active else "part_released",
            part=verdict.part.hex(),
            trials=verdict.trials,
            source=peer,
        )

    def _judge(self) -> None:
        """Quarantines the parts that the crashes have in common."""
        if not self._evidence.is_active:
            return
        self._record_running()
        culprits = self._evidence.culprits()
        for part in culprits:
            self._quarantine.convict(part, may_be_sound=len(culprits) > 1)
            self._instruments.count("quarantined_parts")
            self._log.line("part_quarantined", part=part.hex(), tied=len(culprits), source="node")
        if culprits:
            self._evidence.explain(self._quarantine.active)

    def _record_running(self) -> None:
        """Records the answers that have lasted long enough to show that their prompts are sound."""
        now = self._steady()
        for load, parts in list(self._running.items()):
            if load.has_ended:
                del self._running[load]
            elif load.first_at and now - load.first_at >= PROOF_S:
                self._evidence.record_answer(parts)
                del self._running[load]

    def _may_try(self, verdict: Verdict) -> bool:
        """Returns whether this node may let a request through: one node of the fleet does."""
        is_due = self._quarantine.is_trial_due(verdict)
        return is_due and self._rank(TRIAL_DUTY + verdict.part) == 0

    def _begin_trial(self, verdict: Verdict) -> None:
        self._quarantine.begin_trial(verdict)
        self._log.line("part_trial", part=verdict.part.hex(), trials=verdict.trials + 1)

    def _rejection(self, reason: str, part: bytes, retry_s: float) -> QuarantinedPartError:
        self._instruments.count("quarantine_rejections", reason)
        return QuarantinedPartError(
            f"not run: endpoints ended while they answered on a part of the prompt; {reason}",
            retry_after_s=round(retry_s, 2),
        )
