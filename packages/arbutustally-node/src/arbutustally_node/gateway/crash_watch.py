"""Recognises endpoints whose process has ended while it began to answer prompts."""

from collections.abc import Callable

import gevent

from arbutustally.clock import Clock
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.endpoint_check import has_no_listener
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.part_quarantine import PROOF_S

#: Pauses before the checks whether an endpoint that broke an attempt still listens, seconds.
CHECK_PAUSES_S = (0.0, 0.05, 0.2)


class CrashWatch:
    """Confirms that a broken attempt's endpoint has ended, and collects the prompts that it began.

    :param on_crash: called with the endpoint, the time since its attempts broke in seconds, and the
        keys of the parts in the prompts that may have ended it.
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

    def broken(self, state: EndpointState, parts: tuple[bytes, ...], first_at: float) -> None:
        """Records an attempt that its endpoint broke off.

        :param parts: keys of the shared parts of its prompt.
        :param first_at: time of its first event, 0 without one.
        """
        now = self._clock()
        if not parts or state.is_leaving or (first_at and now - first_at >= PROOF_S):
            return
        place = (state.id, state.entry.incarnation)
        is_first = place not in self._unconfirmed
        self._unconfirmed.setdefault(place, set()).update(parts)
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
        self._on_crash(state, self._clock() - broken_at, keys)


def _has_ended(state: EndpointState) -> bool:
    """Returns whether no process listens at the endpoint's address any more."""
    for pause_s in CHECK_PAUSES_S:
        gevent.sleep(pause_s)
        if has_no_listener(state.address):
            return True
    return False
