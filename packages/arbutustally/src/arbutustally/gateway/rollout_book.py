"""Roll-outs as one node knows them, and the endpoints to which they route requests."""

from dataclasses import dataclass

from arbutustally.gateway.canary_sampling import CanarySampling
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.endpoints import EndpointBook
from arbutustally.gateway.rollouts import RolloutOrder, RolloutProgress, RolloutState
from arbutustally.rendezvous import uniform_hash

#: Separates a release and the duration of the order in the name of a trial.
TRIAL_SEPARATOR = "\x1e"


def _differs(progress: RolloutProgress, order: RolloutOrder) -> bool:
    """Returns whether a decision was made under another order for the same release."""
    return progress.order_s != order.duration_s


@dataclass(frozen=True)
class KnownOrder:
    """An order and the time at which it became known in the fleet.

    :ivar known_at: monotonic seconds.
    """

    order: RolloutOrder
    known_at: float


class RolloutBook:
    """Roll-out orders and progress by service, as one node knows them.

    An order for the release that runs already, with another duration, continues the trial. An order
    for a release that was rolled back begins another trial, which is judged on its own answers. A
    release that was kept stays kept. Orders of one release are distinguished by their durations:
    after a return of the store the operator writes the same order again at another position.
    """

    def __init__(self) -> None:
        self._orders: dict[str, KnownOrder] = {}
        self._progress: dict[str, RolloutProgress] = {}
        self._rolled_back: dict[str, set[str]] = {}
        self._retrials: dict[str, float] = {}
        self._sampling = CanarySampling()

    @property
    def orders(self) -> list[KnownOrder]:
        """Returns the newest order of each service."""
        return list(self._orders.values())

    def progress(self, service: str) -> RolloutProgress | None:
        """Returns the latest decision on a service's newest order, ``None`` if there is none."""
        return self._progress.get(service)

    def add_order(self, order: RolloutOrder, known_at: float) -> bool:
        """Adds an order; returns whether it is new."""
        known = self._orders.get(order.service)
        if known is not None and known.order == order:
            return False
        self._orders[order.service] = KnownOrder(order, known_at)
        self._rolled_back.get(order.service, set()).discard(order.target)
        if known is not None and known.order.target != order.target:
            self._set_retrial(order.service, None)
        progress = self._progress.get(order.service)
        if progress is not None and progress.target != order.target:
            del self._progress[order.service]
        elif progress is not None and progress.state is RolloutState.ROLLED_BACK:
            # A decision without a duration, known before any order, may be that on this order.
            is_earlier = (
                known is not None if progress.order_s is None else _differs(progress, order)
            )
            if is_earlier:
                self._begin_retrial(order)
            else:
                self._rolled_back.setdefault(order.service, set()).add(order.target)
        return True

    def _begin_retrial(self, order: RolloutOrder) -> None:
        self._progress.pop(order.service, None)
        self._set_retrial(order.service, order.duration_s)

    def _set_retrial(self, service: str, retrial_s: float | None) -> None:
        if retrial_s is None:
            self._retrials.pop(service, None)
        else:
            self._retrials[service] = retrial_s

    def apply(self, progress: RolloutProgress) -> bool:
        """Applies a decision; returns whether it changes anything.

        A final decision on the same order is never replaced.
        """
        known = self._orders.get(progress.service)
        if known is not None and known.order.target != progress.target:
            return False
        current = self._progress.get(progress.service)
        if current == progress:
            return False
        is_later = current is not None and current.target == progress.target
        is_same_trial = progress.retrial_s == self.retrial_s(progress.service)
        if is_later and not self._may_follow(current, progress, is_same_trial):
            return False
        if known is not None and not self._is_current(progress, known.order):
            return False
        self._progress[progress.service] = progress
        if progress.state is RolloutState.RUNNING and not is_same_trial:
            self._set_retrial(progress.service, progress.retrial_s)
        if progress.state is RolloutState.ROLLED_BACK:
            self._rolled_back.setdefault(progress.service, set()).add(progress.target)
        return True

    @staticmethod
    def _may_follow(
        current: RolloutProgress, progress: RolloutProgress, is_same_trial: bool
    ) -> bool:
        """Returns whether a decision may replace an earlier one on the same order."""
        is_raised = progress.share >= current.share or not is_same_trial
        return not current.is_final and (progress.is_final or is_raised)

    def _is_current(self, progress: RolloutProgress, order: RolloutOrder) -> bool:
        """Returns whether a decision is on the newest order, and not on an earlier trial.

        If it ended the trial that this node has under an earlier order, the newest begins another.
        """
        own_s = self.retrial_s(order.service)
        if progress.state is RolloutState.COMPLETED:
            return True
        if progress.state is RolloutState.RUNNING:
            # Another trial follows the first one, or is that on the newest order.
            return own_s in (None, progress.retrial_s) or not _differs(progress, order)
        if progress.order_s is None:
            # A node of the program before this one decided, which ends any trial that runs. Before
            # a trial runs, the decision is that on the trial before.
            return own_s is None or order.service in self._progress
        if not _differs(progress, order):
            return True
        if own_s is None or progress.retrial_s == own_s != order.duration_s:
            self._begin_retrial(order)
        return False

    def retrial_s(self, service: str) -> float | None:
        """Returns the duration of the order with which a trial began, ``None`` in the first."""
        return self._retrials.get(service)

    def trial(self, service: str) -> str:
        """Returns the name under which the answers of a service's trial are counted.

        That of the first trial is the release, as in the program before this one.
        """
        target, retrial_s = self.target(service) or "", self.retrial_s(service)
        return target if retrial_s is None else f"{target}{TRIAL_SEPARATOR}{retrial_s}"

    def is_judged(self, service: str) -> bool:
        """Returns whether the answers of a service's canary and baseline are being compared."""
        progress = self._progress.get(service)
        return service in self._orders and (progress is None or not progress.is_final)

    def target(self, service: str) -> str | None:
        """Returns the release that the newest order of a service names, ``None`` without one."""
        known = self._orders.get(service)
        return known.order.target if known else None

    def is_canary(self, state: EndpointState) -> bool:
        """Returns whether an endpoint has the release that its service's newest order names."""
        return state.entry.release == self.target(state.entry.service)

    def is_baseline(self, state: EndpointState) -> bool:
        """Returns whether an endpoint has a release that is neither canary nor rolled back."""
        is_bad = state.entry.release in self._rolled_back.get(state.entry.service, ())
        return not is_bad and not self.is_canary(state)

    def share(self, service: str, route: str) -> float:
        """Counts a request, and returns the share of its route that is routed to the canary."""
        progress = self._progress.get(service)
        share = progress.share if progress is not None else 0.0
        if not 0.0 < share < 1.0:
            return share
        return self._sampling.share(service, self.trial(service), route, share)

    def allowed(
        self, book: EndpointBook, service: str, request_id: str, is_first: bool, route: str = ""
    ) -> list[EndpointState]:
        """Returns the usable endpoints of the canary or the baseline, to which a request is routed.

        :param is_first: whether this is the first attempt; later ones prefer the baseline.
        """
        if service not in self._orders:
            return book.usable(service)
        progress = self._progress.get(service)
        share = progress.share if progress is not None else 0.0
        is_sampled = is_first and uniform_hash(service.encode(), request_id) < self.share(
            service, route
        )
        if (share >= 1.0 or is_sampled) and (canary := book.usable(service, self.is_canary)):
            return canary
        if baseline := book.usable(service, self.is_baseline):
            return baseline
        # If endpoints of the baseline are merely paused, the canary does not replace them.
        has_baseline = book.has_any(service, self.is_baseline)
        is_out = progress is not None and progress.state is RolloutState.ROLLED_BACK
        return [] if has_baseline or is_out else book.usable(service, self.is_canary)
