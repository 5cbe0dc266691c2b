"""Plain calls; those that must not be repeated are claimed in the log before dispatch.

A claim is dispatched only by the attempt that made it. An abandoned attempt never dispatches
afterwards, so its response "not run" stays true; its claim is released by an outcome ``not_run`` as
soon as it is read from the log as accepted.
"""

import itertools
import random
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from gevent.event import Event

from arbutustally.bookings import (
    Decision,
    Step,
    booking_key,
    check_window,
    decide,
    key_time_s,
    may_have_run,
    not_run,
    outcome_body,
    outcome_of_response,
    request_digest,
)
from arbutustally.clock import Clock, monotonic
from arbutustally.errors import (
    KeyExpiredError,
    LogUnavailableError,
    NoEndpointError,
    OutcomeUnknownError,
    Ran,
    RouterError,
)
from arbutustally.metrics import declare
from arbutustally.records import Claim, Outcome
from arbutustally.verdicts import Reason
from arbutustally_node.calls import PlainCall, PlainResponse
from arbutustally_node.kernel import Kernel
from arbutustally_node.log_batcher import LogBatcher
from arbutustally_node.options import Options
from arbutustally_node.plain_dispatch import ATTEMPT_ERRORS, PlainDispatcher
from arbutustally_node.repeatable_calls import RepeatableCalls

#: Time to wait for the log to confirm a claim, seconds.
CLAIM_WAIT_S = 5.0
#: Time from the claim within which it may be dispatched, seconds.
CLAIM_VALID_S = 8.0
#: Time to wait for the log to confirm an outcome before the response is returned anyway, seconds.
OUTCOME_WAIT_S = 1.0
#: Time to wait for the outcome of another node's claim, seconds. Nodes read the records of others
#: in batches, so a caller that has its response can reach another node before that node has read
#: the outcome.
OUTCOME_READ_S = 1.0
LOG_RETRY_S = 2.0
MAX_ATTEMPTS = 3
MAX_FINISHED = 1024
MAX_ABANDONED = 8192

BOOKING_NOT_SENT = declare(
    "retried.booking_not_sent", "Instance unreachable; the booking went to another one."
)
GIVEN_UP = declare("bookings.given_up", "Claims given up before dispatch; check the log's delay.")


@dataclass
class Attempt:
    """One attempt of this node to claim a booking.

    :ivar offset: offset of the accepted claim, -1 until it is read from the log.
    """

    number: int
    key: str
    deadline: float
    offset: int = -1


class BookingService:
    """Runs plain calls; section 9 of the design."""

    def __init__(
        self,
        kernel: Kernel,
        options: Options,
        clock: Clock,
        wall_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._kernel = kernel
        self._holder = options.holder
        self._window_s = options.booking_window_s
        self._clock = clock
        self._wall_clock = wall_clock
        self._dispatcher = PlainDispatcher(kernel, rng)
        self._batcher = LogBatcher(kernel, clock)
        self._repeatable = RepeatableCalls.from_config(kernel, self._dispatcher)
        self._numbers = itertools.count(1)
        self._attempts: dict[int, Attempt] = {}
        # Attempts abandoned before their claim was read from the log. Only these are released: an
        # attempt that is not listed here may have been dispatched.
        self._abandoned: OrderedDict[int, str] = OrderedDict()
        self._claiming: set[str] = set()
        # Calls that wait for an outcome; one for each key, because of ``_claiming``.
        self._outcome_waits: dict[str, Event] = {}
        self._finished: OrderedDict[str, Outcome] = OrderedDict()

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "BookingService":
        """Builds the service for a node."""
        return cls(kernel, options, monotonic, time.time, random.Random())

    def start(self) -> None:
        """Starts to append and subscribes to the log for late claims and outcomes."""
        log = self._kernel.lookup("log")
        log.subscribe(self._on_record)
        log.subscribe_snapshot(self._on_jump)
        self._batcher.start()

    def stop(self) -> None:
        """Stops appending."""
        self._batcher.stop()

    def submit(self, call: PlainCall) -> PlainResponse:
        """Runs a plain call.

        :raises RouterError: ``ran`` states what is proved about the run.
        """
        return self._repeatable.run(call) if call.idempotent else self._book(call)

    def _book(self, call: PlainCall) -> PlainResponse:
        time_s = key_time_s(call.idempotency_key)
        check_window(time_s, self._wall_clock(), self._window_s)
        key = booking_key(call.account, call.route, call.idempotency_key)
        digest = request_digest(call.method, call.path, call.body)
        if key in self._claiming:
            raise _in_progress()
        self._claiming.add(key)
        try:
            for _ in range(MAX_ATTEMPTS):
                decision = self._decide(key, digest)
                if decision.step is Step.ANSWER:
                    call.trace.note("recorded_answer", ran=decision.outcome.ran)
                    return _recorded(decision.outcome)
                attempt = self._claim(call, key, digest, time_s)
                if attempt is not None:
                    return self._run(call, attempt)
            raise _in_progress()
        finally:
            self._claiming.discard(key)

    def _decide(self, key: str, digest: str) -> Decision:
        """Decides by the entry in the log; waits up to ``OUTCOME_READ_S`` for a claim's outcome."""
        entry = self._entry(key)
        if entry is not None and entry.outcome is None and entry.request_digest == digest:
            self._wait_for_outcome(key)
            entry = self._entry(key)
        return decide(entry, digest)

    def _wait_for_outcome(self, key: str) -> None:
        if not self._kernel.lookup("log").is_reachable:
            return
        arrived = self._outcome_waits[key] = Event()
        try:
            arrived.wait(OUTCOME_READ_S)
        finally:
            del self._outcome_waits[key]

    def _entry(self, key: str) -> Any:
        entry = self._kernel.lookup("log").state.claim(key)
        known = self._finished.get(key)
        if entry is not None and entry.outcome is None and known is not None:
            return (
                _FinishedClaim(entry.request_digest, known)
                if known.claim == entry.offset
                else entry
            )
        return entry

    def _claim(self, call: PlainCall, key: str, digest: str, time_s: float) -> Attempt | None:
        """Returns the attempt whose claim the log accepted, ``None`` if another claim was first.

        :raises LogUnavailableError: ``NOT_RUN``; this attempt never dispatches.
        """
        number = next(self._numbers)
        attempt = Attempt(number, key, self._clock() + CLAIM_VALID_S)
        self._attempts[number] = attempt
        claim = Claim(key, digest, f"{self._holder}/{number}", time_s)
        pending = self._batcher.submit(claim)
        try:
            appended = pending.wait(CLAIM_WAIT_S)
        except RouterError as error:
            raise self._given_up(call, attempt, str(error)) from error
        finally:
            pending.cancel()
        if not appended.verdict.accepted:
            del self._attempts[number]
            call.trace.note("claim_beaten", by=appended.verdict.beaten_by)
            if appended.verdict.reason == Reason.KEY_EXPIRED:
                raise KeyExpiredError(
                    "the idempotency key is older than the log's booking window; find out whether "
                    "the booking exists before it is made again with a new key"
                )
            return None
        attempt.offset = appended.offset
        call.trace.note("claimed", offset=appended.offset)
        return attempt

    def _given_up(self, call: PlainCall, attempt: Attempt, reason: str) -> LogUnavailableError:
        self._attempts.pop(attempt.number, None)
        self._count(GIVEN_UP)
        call.trace.note("claim_given_up", reason=reason)
        if attempt.offset >= 0:
            self._batcher.submit(not_run(attempt.key, attempt.offset))
        else:
            self._abandon(attempt)
        return LogUnavailableError(
            "the booking was not made because the log did not confirm its claim in time; send it "
            "again with the same key",
            retry_after_s=LOG_RETRY_S,
        )

    def _on_record(self, offset: int, record: Any, verdict: Any) -> None:
        body = getattr(record, "body", None)
        if not verdict.accepted:
            return
        if isinstance(body, Outcome) and body.key in self._outcome_waits:
            self._outcome_waits[body.key].set()
        elif isinstance(body, Claim):
            self._on_claim(offset, body)

    def _on_claim(self, offset: int, body: Claim) -> None:
        """Records the offset of an accepted claim of this process, or releases it if abandoned."""
        holder, _, number = body.holder.rpartition("/")
        if holder != self._holder or not number.isdigit():
            return
        attempt = self._attempts.get(int(number))
        if attempt is not None:
            attempt.offset = offset
        elif int(number) in self._abandoned:
            del self._abandoned[int(number)]
            self._batcher.submit(not_run(body.key, offset))

    def _on_jump(self) -> None:
        """Wakes waiting calls and releases claims of abandoned attempts after a snapshot."""
        for arrived in self._outcome_waits.values():
            arrived.set()
        state = self._kernel.lookup("log").state
        for number, key in list(self._abandoned.items()):
            entry = state.claim(key)
            if entry is not None and entry.holder == f"{self._holder}/{number}":
                del self._abandoned[number]
                if entry.outcome is None:
                    self._batcher.submit(not_run(key, entry.offset))

    def _abandon(self, attempt: Attempt) -> None:
        self._abandoned[attempt.number] = attempt.key
        if len(self._abandoned) > MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    def _run(self, call: PlainCall, attempt: Attempt) -> PlainResponse:
        try:
            return self._dispatch(call, attempt)
        finally:
            self._attempts.pop(attempt.number, None)

    def _dispatch(self, call: PlainCall, attempt: Attempt) -> PlainResponse:
        tried: set[str] = set()
        while True:
            # Checked immediately before each dispatch: the process may have been paused since.
            if self._clock() >= attempt.deadline:
                raise self._given_up(call, attempt, "claim expired before dispatch")
            try:
                endpoint = self._dispatcher.choose(call.service, tried)
            except NoEndpointError:
                self._end(attempt, not_run(attempt.key, attempt.offset))
                raise
            tried.add(endpoint.id)
            try:
                answer = self._dispatcher.send(call, endpoint, fresh=True)
            except ATTEMPT_ERRORS as error:
                call.trace.note("endpoint_failed", endpoint=endpoint.id, code=error.code)
                if error.ran is not Ran.NOT_RUN:
                    self._end(attempt, may_have_run(attempt.key, attempt.offset))
                    raise
                self._count(BOOKING_NOT_SENT)
                continue
            call.trace.note("answered", endpoint=endpoint.id, status=answer.status)
            self._end(attempt, _outcome(attempt, answer))
            return answer

    def _end(self, attempt: Attempt, outcome: Outcome) -> None:
        """Records the outcome; waits at most ``OUTCOME_WAIT_S`` when the log is down."""
        self._finished[attempt.key] = outcome
        if len(self._finished) > MAX_FINISHED:
            self._finished.popitem(last=False)
        try:
            self._batcher.submit(outcome).wait(OUTCOME_WAIT_S)
        except LogUnavailableError:
            return

    def _count(self, counter: Any) -> None:
        self._kernel.lookup("metrics").count(counter)


@dataclass(frozen=True)
class _FinishedClaim:
    """A claim whose outcome this node knows before it is read from the log."""

    request_digest: str
    outcome: Outcome


def _outcome(attempt: Attempt, answer: PlainResponse) -> Outcome:
    content_type = answer.headers.get("content-type", "")
    return outcome_of_response(
        attempt.key, attempt.offset, answer.ran, answer.status, content_type, answer.body
    )


def _recorded(outcome: Outcome) -> PlainResponse:
    body = outcome_body(outcome)
    return PlainResponse(
        outcome.status, {"content-type": outcome.content_type}, body, Ran(outcome.ran)
    )


def _in_progress() -> OutcomeUnknownError:
    return OutcomeUnknownError(
        "the booking is in progress; ask again with the same key",
        ran=Ran.MAY_HAVE_RUN,
        retry_after_s=1.0,
    )
