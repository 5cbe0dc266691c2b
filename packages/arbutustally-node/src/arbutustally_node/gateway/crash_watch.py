"""Recognises endpoints whose process has ended while it began to answer prompts."""

from collections.abc import Callable

import gevent

from arbutustally.clock import Clock
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.part_keys import shared_part_keys
from arbutustally.gateway.requests import CallerRequest
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.endpoint_check import refuses_connections
from arbutustally_node.gateway.instruments import Instruments

#: Pauses before the checks whether an endpoint that broke an attempt still listens, seconds.
CHECK_PAUSES_S = (0.0, 0.05, 0.2)
#: Time after its first event from which on an attempt has shown that its prompt ends no process,
#: seconds.
PROOF_S = 0.5


class CrashWatch:
    """Confirms that a broken attempt's endpoint has ended, and collects the prompts that it began.

    :param on_crash: called with the endpoint, the time at which its attempts broke, and the keys of
        the parts in the prompts that may have ended it.
    """

    def __init__(
        self,
        log: DecisionLog,
        instruments: Instruments,
        clock: Clock,
        on_crash: Callable[[EndpointState, float, frozenset[bytes]], None],
    ) -> None:
        self._log = log
        self._instruments = instruments
        self._clock = clock
        self._on_crash = on_crash
        # Keys of the parts of broken attempts by the endpoint's id and incarnation.
        self._unconfirmed: dict[tuple[str, str], set[bytes]] = {}

    def broken(self, state: EndpointState, request: CallerRequest, first_at: float) -> None:
        """Records an attempt that its endpoint broke off.

        :param first_at: time of its first event, 0 without one.
        """
        now = self._clock()
        keys = shared_part_keys(request)
        if not keys or (first_at and now - first_at >= PROOF_S):
            return
        place = (state.id, state.entry.incarnation)
        is_first = place not in self._unconfirmed
        self._unconfirmed.setdefault(place, set()).update(keys)
        if is_first:
            gevent.spawn(self._confirm, state, place, now)

    def _confirm(self, state: EndpointState, place: tuple[str, str], broken_at: float) -> None:
        try:
            has_ended = _has_ended(state)
        finally:
            keys = frozenset(self._unconfirmed.pop(place))
        if not has_ended:
            return
        self._instruments.count("endpoint_crashes", state.entry.service)
        self._log.line(
            "endpoint_crashed",
            endpoint=state.id,
            incarnation=state.entry.incarnation,
            parts=sorted(key.hex() for key in keys),
        )
        self._on_crash(state, broken_at, keys)


def _has_ended(state: EndpointState) -> bool:
    """Returns whether no process listens at the endpoint's address any more."""
    for pause_s in CHECK_PAUSES_S:
        gevent.sleep(pause_s)
        if refuses_connections(state.address):
            return True
    return False
