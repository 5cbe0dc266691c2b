"""Updates a node's knowledge of an endpoint (health, speed, cache, weights) from an attempt."""

from dataclasses import dataclass

from arbutustally.gateway.attempts import Outcome
from arbutustally.gateway.configuration import Route, Service
from arbutustally.gateway.requests import CallerRequest, shape_of
from arbutustally.placement_types import Observation
from arbutustally_node.gateway.attempt_load import AttemptLoad
from arbutustally_node.gateway.placer import Placed
from arbutustally_node.gateway.request_services import RequestServices, Trace
from arbutustally_node.gateway.rollout_evidence import AnswerRun
from arbutustally_node.gateway.stream_relay import RelayEnd
from arbutustally_node.gateway.transport import (
    ENDPOINT_GONE,
    ENDPOINT_SILENT,
    OTHER_ENDPOINT,
    OTHER_WEIGHTS,
    WEIGHTS_EXPIRED,
    AttemptResult,
)
from arbutustally_node.response_reading import ResponseReading

#: Reasons of attempts that their endpoint broke off.
BROKEN_REASONS = frozenset(
    {"connection_broken", "answer_broken", ENDPOINT_GONE, RelayEnd.BROKEN, RelayEnd.GONE}
)
#: Reasons of attempts abandoned because another endpoint answered first: slow, not failed.
SILENT_REASONS = frozenset({ENDPOINT_SILENT, RelayEnd.SILENT})
#: Reasons of attempts that took too long and were not interrupted by their endpoint.
SLOW_REASONS = SILENT_REASONS | {RelayEnd.OUT_OF_TIME}
#: Statuses of answers that count for a release on trial. Any other may be what a bad release gives;
#: those that callers cause are as frequent at the baseline, with which it is compared.
RELEASE_SUCCESS = range(200, 300)


@dataclass
class PlacedAttempt:
    """One attempt, from its placement to its end.

    :ivar began: start time by the steady clock, seconds.
    :ivar answer: record for the comparison of two releases of a service.
    :ivar saved_to: store that receives the shared parts of the prompt.
    :ivar result: ``None`` until a response head has arrived or the attempt has failed.
    :ivar reading: how the response arrived, ``None`` without one.
    :ivar head_at: time of the response head by the steady clock, seconds, ``None`` without one.
    """

    placed: Placed
    load: AttemptLoad
    began: float
    answer: AnswerRun
    saved_to: Service | None = None
    result: AttemptResult | None = None
    reading: ResponseReading | None = None
    head_at: float | None = None


class AttemptLearning:
    """Updates the services of the node with the results of one request's attempts.

    :param isolated_account: account whose cached parts are isolated, otherwise empty.
    :param shared_parts: keys of the shared parts of the prompt.
    """

    def __init__(
        self,
        services: RequestServices,
        request: CallerRequest,
        route: Route,
        isolated_account: str,
        shared_parts: tuple[bytes, ...],
        trace: Trace,
    ) -> None:
        self._services = services
        self._shared_parts = shared_parts
        self._request = request
        self._route = route
        self._isolated_account = isolated_account
        self._trace = trace

    def began(self, placed: Placed) -> AnswerRun:
        """Records that an engine is about to read the prompt's parts."""
        services, state = self._services, placed.state
        read_s = 0.0
        if placed.choice is not None:
            read_s = (self._request.prompt_tokens or 0) / services.placement.prefill_speed(state.id)
            self._services.holdings.expect(placed.state.id, placed.cache_scope, self._request.parts)
            self._announce_parts(placed, True)
        return services.rollouts.began(state, self._route.name, read_s)

    def withdrawn(self, attempt: PlacedAttempt) -> None:
        """Records that this node or the caller cancelled an attempt, which proves nothing else."""
        placed = attempt.placed
        self._services.rollouts.withdrawn(attempt.answer)
        self._services.holdings.cancel_expected(
            placed.state.id, placed.cache_scope, self._request.parts
        )

    def ended(self, attempt: PlacedAttempt) -> None:
        """Records the result of an attempt."""
        services, result, state = self._services, attempt.result, attempt.placed.state
        if result.reason == WEIGHTS_EXPIRED:
            self.withdrawn(attempt)
            return
        if result.outcome is Outcome.NOT_RUN:
            services.rollouts.withdrawn(attempt.answer)
        else:
            services.rollouts.ended(attempt.answer, _counts_against_release(result))
        if result.outcome is Outcome.ANSWERED:
            services.view.book.answered(state, services.clock() - attempt.began)
            services.quarantine.answered(self._shared_parts)
        elif result.reason == OTHER_ENDPOINT:
            services.view.book.mark_replaced(state)
            services.log.line("endpoint_replaced", endpoint=state.id, by=result.terms.endpoint_id)
        elif result.reason == OTHER_WEIGHTS:
            services.on_other_weights(state)
        elif result.is_unreachable:
            services.on_unreachable(state)
        elif result.outcome is not Outcome.NOT_RUN and not self._is_overloaded(attempt):
            self._record_failure(attempt)
        if attempt.placed.choice is not None:
            self._learn_engine(attempt)
        if result.reason in BROKEN_REASONS:
            self._record_broken(attempt)

    def _record_broken(self, attempt: PlacedAttempt) -> None:
        self._trace.facts["parts"] = [part.hex() for part in self._shared_parts]
        self._services.crashes.broken(
            attempt.placed.state, self._shared_parts, attempt.load.first_at
        )

    def _is_overloaded(self, attempt: PlacedAttempt) -> bool:
        """Returns whether an attempt was slow at an engine that makes progress on other requests.

        That is not a failure, since placement already accounts for the engine's queue. A plain
        endpoint answers each request at once and in full, so its progress on other requests says
        nothing about this one.
        """
        is_slow = attempt.result.reason in SLOW_REASONS and attempt.placed.choice is not None
        return is_slow and not self._services.view.book.is_stalled(attempt.placed.state)

    def _record_failure(self, attempt: PlacedAttempt) -> None:
        services, state = self._services, attempt.placed.state
        is_slow = attempt.result.reason in SLOW_REASONS
        waited_s = services.clock() - attempt.began if is_slow else None
        if services.view.book.failed(state, waited_s):
            services.log.line(
                "endpoint_avoided", endpoint=state.id, failures=round(state.failures, 1)
            )

    def _learn_engine(self, attempt: PlacedAttempt) -> None:
        services, request, placed = self._services, self._request, attempt.placed
        first_s = attempt.load.first_at - attempt.began if attempt.load.first_at else None
        services.placement.learn(
            Observation(
                self._isolated_account,
                request.model,
                str(placed.version),
                shape_of(request),
                placed.state.id,
                placed.state.entry.incarnation,
                placed.choice.expected_cached_tokens if first_s is not None else None,
                0,
                first_s,
                placed.choice.dispatch,
            )
        )
        if first_s is None:
            services.holdings.cancel_expected(placed.state.id, placed.cache_scope, request.parts)
        else:
            services.instruments.duration("first_event", self._route.name, first_s)
            services.waits.observe(self._route.name, placed.choice.estimate_s, first_s)
            self._trace.facts["first_ms"] = round(first_s * 1000)
            self._record_parts(attempt)
            self._check_begin(attempt)
        terms = attempt.result.terms
        if terms is None or terms.weights is None or terms.is_mismatched:
            return
        if terms.weights != placed.version:
            self._trace.facts["stated_weights"] = terms.weights
        if terms.weights > placed.state.weights.get(request.model, 0):
            # What is recorded is never lowered and is told to all nodes, so the engine's own report
            # must confirm it.
            services.on_other_weights(placed.state)

    def _check_begin(self, attempt: PlacedAttempt) -> None:
        """Reports a request that began on weights that were no longer allowed."""
        services, placed = self._services, attempt.placed
        late_s = attempt.load.first_at - services.weights_until(self._request.model, placed.version)
        if late_s <= 0:
            return
        services.instruments.count("late_begins", placed.state.entry.service)
        services.log.line(
            "late_begin",
            id=self._request.request_id,
            engine=placed.state.id,
            weights=placed.version,
            late_ms=round(late_s * 1000),
            waited_ms=round((attempt.load.first_at - attempt.began) * 1000),
        )

    def _record_parts(self, attempt: PlacedAttempt) -> None:
        """Records, locally and for the peers, that an engine has read the prompt's parts."""
        services, placed, parts = self._services, attempt.placed, self._request.parts
        services.holdings.assume(placed.state.id, placed.cache_scope, parts)
        self._announce_parts(placed, False)
        if attempt.saved_to is not None:
            shared = parts[:-1]
            services.holdings.assume(attempt.saved_to.name, placed.cache_scope, shared)
            announced = [(part.id, part.tokens) for part in shared]
            services.placed.add((attempt.saved_to.name, placed.cache_scope, announced, False))

    def _announce_parts(self, placed: Placed, is_pending: bool) -> None:
        announced = [(part.id, part.tokens) for part in self._request.parts]
        self._services.placed.add((placed.state.id, placed.cache_scope, announced, is_pending))


def _counts_against_release(result: AttemptResult) -> bool:
    """Returns whether an answer or its absence is a failure of the endpoint's release.

    For the caller and for the endpoint's health a 4xx is an answer like others.
    """
    if result.outcome is Outcome.ANSWERED:
        return result.status not in RELEASE_SUCCESS
    return result.reason not in SILENT_REASONS
