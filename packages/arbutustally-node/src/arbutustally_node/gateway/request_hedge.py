"""Hedge of one request: an attempt at another endpoint while the first one is silent."""

from collections.abc import Callable

import gevent

from arbutustally.errors import RouterError
from arbutustally.gateway.attempts import MAX_SENDS, Outcome
from arbutustally_node.caller_watch import CallerWatch
from arbutustally_node.gateway.answer_delivery import AnswerDelivery
from arbutustally_node.gateway.attempt_sender import AttemptSender
from arbutustally_node.gateway.begin_watch import WaitingAttempt
from arbutustally_node.gateway.hedge import HedgeController
from arbutustally_node.gateway.learning import PlacedAttempt
from arbutustally_node.gateway.placer import Placer
from arbutustally_node.gateway.request_attempts import RequestAttempts
from arbutustally_node.gateway.request_services import RequestServices
from arbutustally_node.gateway.stream_relay import SILENT_START_S
from arbutustally_node.gateway.transport import AttemptResult

#: Time without a response head after which a hedge is sent to another endpoint, seconds.
HEDGE_DELAY_S = 1.2


class RequestHedge:
    """Sends, awaits and cancels the hedge of one request.

    :param watch: interrupts a wait if the caller disconnects.
    :param delivery: tells what the caller has received of the response.
    :param left_s: returns the time until the deadline of the caller or of the route, seconds.
    """

    def __init__(
        self,
        services: RequestServices,
        watch: CallerWatch,
        placer: Placer,
        delivery: AnswerDelivery,
        sender: AttemptSender,
        attempts: RequestAttempts,
        left_s: Callable[[], float],
    ) -> None:
        self._services = services
        self._watch = watch
        self._placer = placer
        self._delivery = delivery
        self._sender = sender
        self._attempts = attempts
        self._left_s = left_s
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> gevent.Greenlet | None:
        """Sends a hedge to another endpoint; returns ``None`` if that is not allowed or possible.

        The value of the greenlet is whether that endpoint has answered.
        """
        # ``ran`` does not yet include the current attempt if it has no response head.
        ran = self._attempts.ran + (self._attempts.current.result is None)
        is_possible = self._attempts.hedge is None and self._attempts.sends < MAX_SENDS
        if not is_possible or not self._attempts.has_endpoints_left(ran):
            return None
        try:
            placed = self._placer.place_hedge(self._left_s())
        except RouterError:
            return None
        if not self._services.repeats.take_for_hedge(self._placer.service.name):
            return None
        self._services.instruments.count("hedges", self._placer.service.name)
        self._attempts.hedge = self._attempts.begin(placed)
        self._greenlet = gevent.spawn(self._run, self._attempts.hedge)
        self._attempts.update_loads()
        return self._greenlet

    def await_answer(self) -> bool:
        """Waits for the hedge after the other attempt has failed; returns whether it answered."""
        greenlet = self._greenlet
        if greenlet is None:
            return False
        if not greenlet.ready():
            self._services.instruments.count("hedge_takeovers", self._placer.service.name)
        with self._watch:
            greenlet.join(max(self._left_s(), 0.0))
        return greenlet.value is True

    def take_answered(self) -> PlacedAttempt | None:
        """Returns the hedge if it was answered; it is then the current attempt, not the hedge."""
        attempt = self._attempts.hedge
        if attempt is None or attempt.result is None:
            return None
        self._attempts.hedge = self._greenlet = None
        return attempt

    def cancel(self) -> None:
        """Cancels the hedge, even if it was answered; its endpoint may have run the request."""
        attempt, greenlet = self._attempts.hedge, self._greenlet
        self._attempts.hedge = self._greenlet = None
        if attempt is None:
            return
        greenlet.kill(block=False)
        self._attempts.ran += 1
        if attempt.result is not None:
            attempt.result.drop()
        attempt.load.end()
        self._attempts.withdraw(attempt, "not_needed")

    def _run(self, attempt: PlacedAttempt) -> bool:
        result = self._send(attempt)
        if self._attempts.hedge is not attempt:
            result.drop()
            return False
        attempt.result = result
        if result.outcome is Outcome.ANSWERED:
            return True
        if result.outcome is not Outcome.NOT_RUN:
            self._attempts.ran += 1
        result.drop()
        self._attempts.hedge = self._greenlet = None
        attempt.load.end()
        self._attempts.update_loads()
        self._attempts.end(attempt)
        return False

    def _send(self, attempt: PlacedAttempt) -> AttemptResult:
        """Waits for the hedge's complete response, or for the first event of a stream.

        The hedge is abandoned once its endpoint is unreachable; otherwise the request would wait
        for an endpoint that is down although a further one could serve it.
        """
        hedging = HedgeController(
            attempt.placed.state,
            self._services.clock,
            self._services.on_silent,
            may_run_elsewhere=lambda: self._attempts.has_endpoints_left(self._attempts.in_use),
        )
        waiting = self._sender.await_begin(attempt, hedging)
        try:
            return self._await_response(attempt, hedging, waiting)
        finally:
            if waiting is not None:
                waiting.end()

    def _await_response(
        self, attempt: PlacedAttempt, hedging: HedgeController, waiting: WaitingAttempt | None
    ) -> AttemptResult:
        result = self._sender.send(attempt, hedging.watch(HEDGE_DELAY_S))
        if waiting is not None and not self._delivery.is_stream(result):
            waiting.end()
        if result.outcome is not Outcome.ANSWERED:
            return result
        hedging.record_data()
        if not self._delivery.is_stream(result):
            # No watch on the caller here: the greenlet that serves it detects a disconnection.
            return self._delivery.read_whole(result, lambda: hedging.watch(HEDGE_DELAY_S))
        guard = hedging.watch(SILENT_START_S)
        return self._services.transport.await_event(
            result,
            self._left_s(),
            guard,
            self._delivery.resumed_after,
            lambda: not self._attempts.current.load.has_ended,
        )
