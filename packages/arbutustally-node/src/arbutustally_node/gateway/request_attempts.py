"""The attempts of one request: which are under way, where it has run, whether it may run again."""

from arbutustally.gateway.configuration import Route
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.gateway.answer_delivery import AnswerDelivery
from arbutustally_node.gateway.attempt_load import AttemptLoad
from arbutustally_node.gateway.attempt_record import trace_of
from arbutustally_node.gateway.learning import AttemptLearning, PlacedAttempt
from arbutustally_node.gateway.placer import Placed, Placer
from arbutustally_node.gateway.request_services import RequestServices, Trace


class RequestAttempts:
    """Begins and ends the attempts of one request and counts them.

    :param delivery: tells whether another endpoint can continue what the caller has received.
    :param shared_parts: keys of the shared parts of the prompt.
    :ivar ran: number of endpoints where the request has run or may have run.
    :ivar sends: number of attempts that were begun.
    :ivar current: the attempt whose response is passed on, ``None`` before the first one.
    :ivar hedge: the attempt at another endpoint, ``None`` without one.
    """

    def __init__(
        self,
        services: RequestServices,
        request: CallerRequest,
        route: Route,
        placer: Placer,
        delivery: AnswerDelivery,
        shared_parts: tuple[bytes, ...],
        trace: Trace,
    ) -> None:
        self.ran = 0
        self.sends = 0
        self.current: PlacedAttempt | None = None
        self.hedge: PlacedAttempt | None = None
        self._services = services
        self._request = request
        self._route = route
        self._placer = placer
        self._delivery = delivery
        self._shared_parts = shared_parts
        self._trace = trace
        self._learning = AttemptLearning(
            services, request, route, placer.isolated_account, shared_parts, trace
        )

    @property
    def in_use(self) -> int:
        """Returns the number of endpoints where the request may have run or may be running."""
        return self.ran + sum(one.result is None for one in self._under_way())

    def may_run_again(self) -> bool:
        """Returns whether the quarantine lets the request run at a further endpoint."""
        return self._services.quarantine.may_run_again(self._shared_parts)

    def has_endpoints_left(self, ran: int) -> bool:
        """Returns whether the request may run at a further endpoint.

        :param ran: number of endpoints where it has run.
        """
        may_repeat = self._route.may_repeat and self._delivery.is_resumable
        return may_repeat and ran < self._route.max_attempts and self.may_run_again()

    def begin(self, placed: Placed) -> PlacedAttempt:
        """Creates an attempt, and records it and its load before the request is sent."""
        self.sends += 1
        self._placer.record_sent(placed)
        answer = self._learning.began(placed)
        load = AttemptLoad(
            placed.state, self._request, placed.choice, self.has_endpoints_left(self.ran + 1)
        )
        self._services.quarantine.began(load, self._shared_parts)
        return PlacedAttempt(
            placed, load, self._services.clock(), answer, self._placer.save_to(placed)
        )

    def update_loads(self) -> None:
        """Updates in the load of each attempt whether the request may run at another endpoint."""
        for one in self._under_way():
            one.load.set_repeatable(self.has_endpoints_left(self.in_use))

    def end(self, attempt: PlacedAttempt) -> None:
        """Records the result of an attempt."""
        self._record(attempt, attempt.result.reason)
        self._learning.ended(attempt)

    def withdraw(self, attempt: PlacedAttempt, reason: str) -> None:
        """Records that this node or the caller cancelled an attempt."""
        self._record(attempt, reason)
        self._learning.withdrawn(attempt)

    def _under_way(self) -> list[PlacedAttempt]:
        return [one for one in (self.current, self.hedge) if one is not None]

    def _record(self, attempt: PlacedAttempt, reason: str) -> None:
        now, arrived_at = self._services.clock(), self._request.arrived_at
        until = self._services.weights_until(self._request.model, attempt.placed.version)
        self._trace.attempts.append(trace_of(attempt, reason, arrived_at, now, until))
