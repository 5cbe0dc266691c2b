"""Carries out roll-outs: one node decides, writes the operator's record and informs its peers.

The first of the nodes that read the store for the fleet decides. A bad release gets no further
requests from the moment of the decision, even if the store cannot be written. A release gets
requests only after the store has the record that its roll-out is running, and is kept only after the
store has the record of its completion. A final record is never replaced by a different final
record of the same trial, even if two nodes both act as decider.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from typing import Any

import gevent

from arbutustally.clock import Clock
from arbutustally.errors import StoreUnavailableError
from arbutustally.gateway.answer_history import AnswerHistory
from arbutustally.gateway.answer_tallies import Tallies
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.rollout_book import KnownOrder, RolloutBook
from arbutustally.gateway.rollouts import RolloutProgress, RolloutState, next_progress
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.ports import Documents, Record, StatusTopic
from arbutustally_node.gateway.rollout_evidence import BASELINE, CANARY, RolloutEvidence
from arbutustally_node.gateway.supervision import supervise

#: Interval between two evaluations of the answers, seconds.
STEP_S = 0.1
#: Interval at which a decision is sent to the peers again, seconds.
RESEND_INTERVAL_S = 1.0
#: Pause after a call that the store did not answer, seconds.
STORE_RETRY_S = 0.3


@dataclass(frozen=True)
class TrialHistory:
    """Answers of a trial over time.

    :ivar trial: see ``RolloutBook.trial``.
    """

    trial: str
    answers: AnswerHistory


class RolloutService:
    """Decides on roll-outs while this node is the first in order.

    :param is_decider: returns whether this node decides now.
    :param send_decision: sends a decision to all peers at once, and repeatedly for a while.
    :param allows_retrials: returns whether no ready peer runs a program that takes a release which
        was rolled back for rolled back for good. Such a node would go on to use the baseline, which
        is stopped once the release is kept.
    """

    def __init__(
        self,
        rollouts: RolloutBook,
        evidence: RolloutEvidence,
        endpoints: EndpointBook,
        topic: StatusTopic,
        documents: Documents,
        log: DecisionLog,
        clock: Clock,
        is_decider: Callable[[], bool],
        send_decision: Callable[[RolloutProgress], None],
        allows_retrials: Callable[[], bool],
    ) -> None:
        self._rollouts = rollouts
        self._evidence = evidence
        self._endpoints = endpoints
        self._topic = topic
        self._documents = documents
        self._log = log
        self._clock = clock
        self._is_decider = is_decider
        self._send_decision = send_decision
        self._allows_retrials = allows_retrials
        self._written: dict[str, RolloutProgress] = {}
        self._sent_at: dict[str, float] = {}
        self._known: dict[str, KnownOrder] = {}
        self._histories: dict[str, TrialHistory] = {}
        self._greenlet: Any = None

    def start(self) -> None:
        """Starts processing orders."""
        self._greenlet = supervise(self._log, "rollouts", self._run)

    def era_changed(self, _era: int) -> None:
        """Forgets which records were written: a store restored from an older copy may lack them."""
        self._written.clear()

    def stop(self) -> None:
        """Stops deciding."""
        self._greenlet.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(STEP_S)
            try:
                for known in self._rollouts.orders:
                    self._step(known)
            except StoreUnavailableError as error:
                self._log.line("rollout_not_written", reason=error.message)
                gevent.sleep(STORE_RETRY_S)

    def _step(self, known: KnownOrder) -> None:
        order = known.order
        current = self._rollouts.progress(order.service)
        if not self._is_decider():
            # Another node decides; its records are read again if this node takes over. The answers
            # are followed until then, as their times cannot be told afterwards.
            self._known.pop(order.service, None)
            self._follow_answers(known, current)
            return
        if self._known.get(order.service) != known:
            self._known[order.service] = known
            self._resume(known)
            current = self._rollouts.progress(order.service)
        if current is not None and current.is_final:
            self._resend(current)
            return
        retrial_s = self._rollouts.retrial_s(order.service)
        if current is None and retrial_s is not None and not self._allows_retrials():
            return
        following = self._next_progress(known, current, retrial_s)
        if following != current:
            self._decide(following, self._histories[order.service].answers.total.canary)
        else:
            self._resend(following)

    def _next_progress(
        self, known: KnownOrder, current: RolloutProgress | None, retrial_s: float | None
    ) -> RolloutProgress:
        order = known.order
        history = self._record_answers(known)
        # With all requests at the canary there is no time left to wait for further answers.
        has_moved = current is not None and current.share == 1.0
        judged = history.total if has_moved else history.without_one_silence()
        return next_progress(
            order,
            current,
            known.known_at + order.duration_s - self._clock(),
            judged.canary,
            judged.baseline,
            history.is_suspect if has_moved else history.is_bad_lately,
            self._baseline_running(order.service, order.target),
            retrial_s,
            history.is_suspect,
            self._evidence.longest_usual_s(order.service),
        )

    def _follow_answers(self, known: KnownOrder, current: RolloutProgress | None) -> None:
        """Records the answers of a trial that another node decides on."""
        if current is not None and current.is_final:
            self._histories.pop(known.order.service, None)
            return
        self._record_answers(known)

    def _record_answers(self, known: KnownOrder) -> AnswerHistory:
        service = known.order.service
        trial = self._rollouts.trial(service)
        history = self._history(known)
        history.record(
            self._clock(),
            self._evidence.tallies(service, trial, CANARY),
            self._evidence.tallies(service, trial, BASELINE),
        )
        return history

    def _history(self, known: KnownOrder) -> AnswerHistory:
        """Returns the history of the present trial, which a further order may continue."""
        service = known.order.service
        trial = self._rollouts.trial(service)
        history = self._histories.get(service)
        if history is None or history.trial != trial:
            history = TrialHistory(trial, AnswerHistory(known.known_at))
            self._histories[service] = history
        return history.answers

    def _baseline_running(self, service: str, target: str) -> int:
        return sum(
            state.total_running
            for state in self._endpoints.of_service(service)
            if state.entry.release != target
        )

    def _resume(self, known: KnownOrder) -> None:
        """Adopts what an earlier decider has written for the same order."""
        for record in self._topic.newest().records:
            progress = self._documents.decode_rollout(record)
            if progress is None or progress.service != known.order.service:
                continue
            if progress.target == known.order.target:
                self._written[progress.service] = progress
                if progress.is_final or progress.retrial_s is not None:
                    self._rollouts.apply(progress)

    def _decide(self, progress: RolloutProgress, canary: Tallies) -> None:
        if progress.state is RolloutState.ROLLED_BACK:
            # A bad release gets no further requests, even if the store cannot be written.
            self._apply(progress, canary)
            self._write(progress)
        elif self._is_written(progress) or self._write(progress):
            self._apply(progress, canary)

    def _is_written(self, progress: RolloutProgress) -> bool:
        written = self._written.get(progress.service)
        return written is not None and replace(written, share=progress.share) == progress

    def _apply(self, progress: RolloutProgress, canary: Tallies) -> None:
        if self._rollouts.apply(progress):
            self._log.line(
                "rollout_decided",
                service=progress.service,
                target=progress.target,
                state=progress.state,
                share=progress.share,
                answers=sum(tally.answers for tally in canary.values()),
                failures=sum(tally.failures for tally in canary.values()),
                mean_s={
                    route: round(math.exp(tally.mean), 3)
                    for route, tally in canary.items()
                    if tally.timed
                },
            )
        self._sent_at[progress.service] = self._clock()
        self._send_decision(progress)

    def _resend(self, progress: RolloutProgress) -> None:
        now = self._clock()
        if now - self._sent_at.get(progress.service, float("-inf")) >= RESEND_INTERVAL_S:
            self._sent_at[progress.service] = now
            self._send_decision(progress)
        if not self._is_written(progress):
            self._write(progress)

    def _write(self, progress: RolloutProgress) -> bool:
        """Writes a roll-out's progress, unless the store has a different final state of the trial.

        :returns: whether the store has the record.
        """
        batch = self._topic.newest()
        found = self._stored_progress(batch.records, progress)
        is_ended = found is not None and found.is_final and found.retrial_s == progress.retrial_s
        if is_ended and found.state is not progress.state:
            self._written[progress.service] = found
            self._log.line(
                "rollout_ended_otherwise",
                service=progress.service,
                target=progress.target,
                state=found.state,
                wanted=progress.state,
            )
            self._rollouts.apply(found)
            return False
        record = self._documents.encode_rollout(progress)
        if self._topic.put(record.key, record.value, batch.next_offset) is None:
            return False
        self._written[progress.service] = progress
        self._log.line(
            "rollout_written",
            service=progress.service,
            target=progress.target,
            state=progress.state,
        )
        return True

    def _stored_progress(
        self, records: Iterable[Record], progress: RolloutProgress
    ) -> RolloutProgress | None:
        """Returns the progress of the same roll-out among the store's records."""
        for record in records:
            found = self._documents.decode_rollout(record)
            if found is not None and (found.service, found.target) == (
                progress.service,
                progress.target,
            ):
                return found
        return None
