"""Availability zones that the operator evacuates, and the return of their traffic afterwards."""

from dataclasses import dataclass

from arbutustally.clock import Clock
from arbutustally.gateway.shared_reading import Position
from arbutustally.rendezvous import uniform_hash

#: Time over which the share of requests that may use a zone rises from 0 to 1 after its evacuation,
#: seconds. Endpoints of the zone may be cold when the evacuation ends.
RETURN_S = 5.0
#: Zones that are remembered; the earliest removals are forgotten beyond that.
MAX_ZONES = 32


@dataclass(frozen=True)
class ZoneEvacuation:
    """The operator ordered the evacuation of a zone, or removed the order.

    :ivar is_ordered: ``False`` if the order was removed.
    """

    zone: str
    is_ordered: bool


@dataclass(frozen=True)
class ZoneState:
    """What is known of one zone.

    :ivar position: position of the record in the store.
    :ivar learned_at: when this node learned it, monotonic seconds.
    """

    evacuation: ZoneEvacuation
    position: Position
    learned_at: float


class Evacuations:
    """Zones that are evacuated now, or were before.

    An order and its removal may arrive in any order and more than once; the later position in the
    store decides. A removal is remembered, so that an order that arrives after it has no effect.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._zones: dict[str, ZoneState] = {}

    def state(self, zone: str) -> ZoneState | None:
        """Returns what is known of a zone, ``None`` if it was never evacuated."""
        return self._zones.get(zone)

    def is_known(self, evacuation: ZoneEvacuation, position: Position) -> bool:
        """Returns whether a record at a position in the store adds nothing to what is known."""
        known = self._zones.get(evacuation.zone)
        if known is None or known.position < position:
            return False
        return known.position > position or known.evacuation == evacuation

    def apply(self, evacuation: ZoneEvacuation, position: Position) -> bool:
        """Applies an order or its removal; returns whether that changes what is in force."""
        known = self._zones.get(evacuation.zone)
        if known is not None and known.position > position:
            return False
        was_ordered = known is not None and known.evacuation.is_ordered
        is_change = evacuation.is_ordered != was_ordered
        learned_at = self._clock() if is_change or known is None else known.learned_at
        if known is None and not evacuation.is_ordered:
            # Requests of this node were not kept away from the zone, so nothing returns.
            learned_at -= RETURN_S
        self._zones[evacuation.zone] = ZoneState(evacuation, position, learned_at)
        self._forget_oldest()
        return is_change

    def is_evacuated(self, zone: str) -> bool:
        """Returns whether no request may be sent to endpoints of a zone."""
        known = self._zones.get(zone)
        return known is not None and known.evacuation.is_ordered

    def has_returned(self, zone: str, request_id: str) -> bool:
        """Returns whether a request may use a zone whose evacuation may have ended recently.

        The decision for a request depends on its id, so it is the same for all its attempts.
        """
        known = self._zones.get(zone)
        if known is None:
            return True
        share = (self._clock() - known.learned_at) / RETURN_S
        if known.evacuation.is_ordered or share >= 1.0:
            return not known.evacuation.is_ordered
        return uniform_hash(zone.encode(), request_id) < share

    def _forget_oldest(self) -> None:
        removed = [one for one in self._zones.values() if not one.evacuation.is_ordered]
        removed.sort(key=lambda one: one.position)
        for one in removed[: max(0, len(self._zones) - MAX_ZONES)]:
            del self._zones[one.evacuation.zone]
