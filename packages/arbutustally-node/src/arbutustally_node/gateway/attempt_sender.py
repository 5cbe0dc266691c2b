"""Sends the attempts of one request to their endpoints."""

from collections.abc import Callable
from contextlib import AbstractContextManager

from arbutustally.gateway.configuration import ClientAccount, Route
from arbutustally.gateway.requests import CallerRequest
from arbutustally.rendezvous import uniform_hash
from arbutustally_node.gateway.answer_delivery import AnswerDelivery
from arbutustally_node.gateway.begin_watch import WaitingAttempt
from arbutustally_node.gateway.hedge import HedgeController
from arbutustally_node.gateway.learning import PlacedAttempt
from arbutustally_node.gateway.ports import AttemptTerms
from arbutustally_node.gateway.request_services import RequestServices
from arbutustally_node.gateway.transport import OTHER_ENDPOINT, AttemptResult

#: Priority of the least urgent requests at an engine; 0 is the most urgent.
LEAST_PRIORITY = 9


class AttemptSender:
    """Sends the attempts of one request to their endpoints.

    :param account: client account, ``None`` on a public route without a key.
    :param delivery: tells what the caller has received of the response.
    :param left_s: returns the time until the deadline of the caller or of the route, seconds.
    """

    def __init__(
        self,
        services: RequestServices,
        request: CallerRequest,
        route: Route,
        account: ClientAccount | None,
        delivery: AnswerDelivery,
        left_s: Callable[[], float],
    ) -> None:
        self._services = services
        self._request = request
        self._route = route
        self._account = account
        self._delivery = delivery
        self._left_s = left_s

    def send(self, attempt: PlacedAttempt, guard: AbstractContextManager[None]) -> AttemptResult:
        """Sends one attempt; returns the response head or the failure.

        :param guard: interrupts the wait for the response head.
        """
        placed = attempt.placed
        result = self._services.transport.send(
            self._request, placed.state, self._terms(attempt), guard, placed.was_tried
        )
        attempt.reading = result.reading
        attempt.head_at = None if result.reading is None else self._services.clock()
        # The notice in the response is applied first, so that it takes effect before the response
        # is passed on.
        if result.terms is not None and result.reason != OTHER_ENDPOINT:
            self._services.on_notice(placed.state, result.terms.notice)
        return self._delivery.continuing(result)

    def await_begin(
        self, attempt: PlacedAttempt, hedging: HedgeController
    ) -> WaitingAttempt | None:
        """Has the attempt left if it has not begun when its weights are about to expire.

        :returns: the wait to end, ``None`` at a plain service and for a hedge that has begun.
        """
        version = attempt.placed.version
        if version is None or attempt.result is not None:
            return None

        spread = uniform_hash(attempt.placed.state.id.encode(), self._request.request_id)
        return self._services.begins.begin(
            self._request.model,
            version,
            hedging.expire,
            lambda: bool(attempt.load.first_at),
            spread,
        )

    def _terms(self, attempt: PlacedAttempt) -> AttemptTerms:
        placed = attempt.placed
        return AttemptTerms(
            endpoint_id=placed.state.id,
            account=self._account.name if self._account else "",
            left_s=max(self._left_s(), 0.001),
            cache_scope=placed.cache_scope,
            weights=placed.version,
            priority=None if placed.version is None else min(self._urgency(), LEAST_PRIORITY),
            resume_from=self._delivery.resume_from,
            fetch_from=placed.source.address if placed.source else "",
            save_to=attempt.saved_to.part_store.address if attempt.saved_to else "",
        )

    def _urgency(self) -> int:
        account = self._account.priority if self._account else 0
        return account * 3 + self._route.priority
