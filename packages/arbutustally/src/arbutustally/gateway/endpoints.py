"""All endpoints that a node knows, and which of them may get a new request."""

from collections.abc import Callable, Mapping
from random import Random

from arbutustally.clock import Clock
from arbutustally.doubled_delay import doubled_delay_s
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.evacuation import Evacuations
from arbutustally.gateway.slow_start import SlowStart
from arbutustally.incarnations import is_earlier_start, lacks_start, start_number

#: Time for which an endpoint gets no requests after several failures, seconds; doubled at each
#: repetition.
SUSPECT_S = 0.5
MAX_SUSPECT_S = 4.0
#: Decayed count of failures from which an endpoint that still accepts connections is avoided.
FAILURES_TO_SUSPECT = 3
#: Time without an answer or a stream event for any request after which an endpoint counts as
#: stalled, seconds; shorter than every silence after which a request is hedged.
STALLED_S = 0.6
#: Weight of one answer in the moving average of the latency.
LATENCY_GAIN = 0.2
#: Time between two answers of an endpoint below which the later one counts less, seconds.
TOGETHER_S = 0.05
#: Multiple of an endpoint's average latency from which an answer may have been held up.
HELD_UP_FACTOR = 3.0
#: Shortest time between two moments until which answers count as held up, seconds.
HELD_UP_INTERVAL_S = 3.0
#: Longest random extension of a pause that an endpoint asked for, as a share of the pause, so that
#: the nodes do not resume at the same time.
PAUSE_SPREAD = 0.2
#: Longest extension of a pause, seconds.
MAX_PAUSE_SPREAD_S = 1.0
#: Earlier incarnations that are remembered per endpoint.
MAX_INCARNATIONS = 8
#: Longest time from writing to reading an entry of the list, seconds.
LIST_DELAY_S = 3.0
#: Change of the end of an endpoint's cold time from which nodes pass its entry on, seconds. Entries
#: that count the same time down are not passed on at each heartbeat.
COLD_NEWS_S = 0.5


class EndpointBook:
    """All endpoints that a node knows.

    :param clock: monotonic seconds.
    :ivar evacuations: zones whose endpoints get no requests.
    :ivar slow_start: limits the requests to cold endpoints.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._states: dict[str, EndpointState] = {}
        self._keep_removed_until = 0.0
        self.evacuations = Evacuations(clock)
        self.slow_start = SlowStart(clock, "")

    @classmethod
    def from_config(cls, clock: Clock) -> "EndpointBook":
        """Builds an empty book."""
        return cls(clock)

    def __len__(self) -> int:
        return len(self._states)

    def get(self, endpoint_id: str) -> EndpointState | None:
        """Returns the state of an endpoint, ``None`` if it is unknown."""
        return self._states.get(endpoint_id)

    def all(self) -> list[EndpointState]:
        """Returns every known endpoint."""
        return list(self._states.values())

    def of_service(self, service: str) -> list[EndpointState]:
        """Returns the endpoints of a service, leaving ones included."""
        return [state for state in self._states.values() if state.entry.service == service]

    def usable(
        self, service: str, predicate: Callable[[EndpointState], bool] = lambda _state: True
    ) -> list[EndpointState]:
        """Returns the endpoints that may get a new request now.

        Suspected and unreachable endpoints are left out while another one remains; paused ones are
        always left out, as are those in evacuated zones and cold ones to which this node may send
        nothing now.

        :param predicate: filter of the endpoints to consider.
        """
        now = self._clock()
        staying = filter(predicate, self._staying(service, now))
        unpaused = [
            state
            for state in staying
            if state.paused_until <= now
            and not self.evacuations.is_evacuated(state.entry.zone)
            and self.slow_start.may_send(state)
        ]
        trusted = [state for state in unpaused if not state.is_down and state.suspect_until <= now]
        return trusted or unpaused

    def has_any(self, service: str, predicate: Callable[[EndpointState], bool]) -> bool:
        """Returns whether a matching endpoint of a service is present and not leaving.

        It need not be usable now.
        """
        return any(map(predicate, self._staying(service, self._clock())))

    def shortest_pause_s(self, service: str) -> float | None:
        """Returns the time until the first pause ends, seconds; ``None`` if none is paused."""
        now = self._clock()
        waits = [state.paused_until - now for state in self._staying(service, now)]
        return min((wait for wait in waits if wait > 0), default=None)

    def record_leaving(self, state: EndpointState) -> bool:
        """Records that an endpoint announced its leaving; returns whether this was unknown."""
        is_news = not state.is_leaving
        state.has_announced_leaving = True
        return is_news

    def pause(self, state: EndpointState, pause_s: float, rng: Random) -> None:
        """Pauses requests to an endpoint for the requested time plus a random extension."""
        spread_s = min(pause_s * PAUSE_SPREAD, MAX_PAUSE_SPREAD_S) * rng.random()
        state.paused_until = max(state.paused_until, self._clock() + pause_s + spread_s)

    def is_paused(self, state: EndpointState) -> bool:
        """Returns whether this node must send an endpoint no requests now."""
        return state.paused_until > self._clock()

    def keep_removed(self, until: float) -> None:
        """Treats entries that are removed from now on as present until a point in time.

        Entries expire while the platform's store is unavailable, and are registered again soon
        after it returns. Entries removed before the outage stay removed.
        """
        self._keep_removed_until = until
        self.extend_kept(until)

    def extend_kept(self, until: float) -> None:
        """Extends the time for which removed entries that still count as present do so."""
        now = self._clock()
        for state in self._states.values():
            if state.gone_at is not None and state.kept_until > now:
                state.kept_until = until

    def keep(self, endpoint_id: str, until: float) -> None:
        """Treats a removed entry as present until a point in time."""
        state = self._states.get(endpoint_id)
        if state is not None and state.gone_at is not None:
            state.kept_until = max(state.kept_until, until)

    def kept_s(self, endpoint_id: str) -> float:
        """Returns the time for which a removed entry still counts as present, seconds."""
        state = self._states.get(endpoint_id)
        return max(0.0, state.kept_until - self._clock()) if state is not None else 0.0

    @property
    def keeps_removed_s(self) -> float:
        """Returns the time for which entries removed now count as present, seconds."""
        return max(0.0, self._keep_removed_until - self._clock())

    def put(self, entry: EndpointEntry) -> bool:
        """Adds or updates an entry; returns whether it changes anything.

        An entry of an earlier start, e.g. one that was written late, changes nothing.
        """
        if self.is_replaced_start(entry):
            return False
        state = self._states.get(entry.id)
        if state is None:
            self._states[entry.id] = self._first_state(entry)
            return True
        if state.entry.incarnation != entry.incarnation:
            incarnations = (*state.replaced_incarnations, state.entry.incarnation)
            self._states[entry.id] = self._first_state(entry, incarnations[-MAX_INCARNATIONS:])
            return True
        is_new = state.entry != entry or state.gone_at is not None
        if entry.cold_remaining_s != state.entry.cold_remaining_s:
            is_new |= self._apply_listed_cold(state, entry.cold_remaining_s)
        state.entry = entry
        state.gone_at = None
        for model, version in entry.weights.items():
            state.weights[model] = max(state.weights.get(model, 0), version)
        return is_new

    def record_cold(self, state: EndpointState, cold_s: float) -> bool:
        """Records how long an endpoint remains slow, as stated in its answer; returns whether it
        becomes slow.

        :param cold_s: seconds, 0 if it is not slow.
        """
        now = self._clock()
        was_cold = state.cold_until > now
        state.cold_until, state.stated_cold_at = now + cold_s, now
        return cold_s > 0 and not was_cold

    def _apply_listed_cold(self, state: EndpointState, cold_s: float) -> bool:
        """Records the cold time of a list entry; returns whether its end is news for peers."""
        # An entry that is read now may have been written before the endpoint's latest answer.
        now = self._clock()
        until = now + cold_s
        if now - state.stated_cold_at < LIST_DELAY_S:
            until = max(until, state.cold_until)
        is_news = abs(max(until, now) - max(state.cold_until, now)) > COLD_NEWS_S
        state.cold_until = until
        return is_news

    def _first_state(self, entry: EndpointEntry, replaced: tuple[str, ...] = ()) -> EndpointState:
        return EndpointState(
            entry,
            weights=dict(entry.weights),
            replaced_incarnations=replaced,
            cold_until=self._clock() + entry.cold_remaining_s,
        )

    def is_replaced_start(self, entry: EndpointEntry) -> bool:
        """Returns whether an entry belongs to a start that another start under its id replaced.

        The earlier start may never have been known here. An entry of another writer that states no
        start counts as replaced too: taken for a new one, it would hide the endpoint's own entries.
        """
        state = self._states.get(entry.id)
        if state is None:
            return False
        if lacks_start(entry.incarnation, state.entry.incarnation):
            return True
        if is_earlier_start(entry.incarnation, state.entry.incarnation):
            return True
        return entry.incarnation in state.replaced_incarnations

    def is_outdated(self, entry: EndpointEntry) -> bool:
        """Returns whether an entry of an older list is outdated.

        It is if the endpoint has since begun to leave, was removed, or has restarted.
        """
        state = self._states.get(entry.id)
        if state is None:
            return False
        if entry.incarnation == state.entry.incarnation:
            has_left = state.entry.is_leaving and not entry.is_leaving
            return has_left or state.gone_at is not None
        lacks_number = start_number(entry.incarnation) == 0 < start_number(state.entry.incarnation)
        return lacks_number or self.is_replaced_start(entry)

    def remove(self, endpoint_id: str) -> bool:
        """Marks an entry as removed; returns whether it was present."""
        state = self._states.get(endpoint_id)
        if state is None or state.gone_at is not None:
            return False
        state.gone_at = self._clock()
        state.kept_until = self._keep_removed_until
        return True

    def mark_replaced(self, state: EndpointState) -> None:
        """Marks an endpoint as permanently gone: another one uses its address."""
        state.is_replaced = True

    def forget_gone(self, after_s: float) -> list[EndpointState]:
        """Deletes and returns the endpoints removed more than ``after_s`` seconds ago.

        Endpoints that still run requests of this node are kept.
        """
        now = self._clock()
        gone = [
            state
            for state in self._states.values()
            if state.gone_at is not None and now - state.gone_at > after_s and not state.running
        ]
        for state in gone:
            del self._states[state.id]
        return gone

    def unreachable(self, state: EndpointState) -> None:
        """Records a failed connection to an endpoint."""
        if not state.is_down:
            state.failed_checks.clear()
        state.is_down = True

    def reachable(self, state: EndpointState) -> None:
        """Records a successful connection to an endpoint."""
        state.is_down = False

    def is_stalled(self, state: EndpointState) -> bool:
        """Returns whether an endpoint has sent nothing for any request for ``STALLED_S``.

        One that keeps a request waiting but sends data for other requests is only overloaded.
        """
        return self._clock() - state.last_data_at >= STALLED_S

    def failed(self, state: EndpointState, waited_s: float | None = None) -> bool:
        """Records a failed answer; returns whether the endpoint is now avoided.

        :param waited_s: time after which the request was given up since it had no answer, seconds;
            ``None`` if the endpoint broke it off.
        """
        now = self._clock()
        is_stalled = self.is_stalled(state)
        if waited_s is not None and not is_stalled and now - waited_s < state.held_up_until:
            # A silence that is over held the answer up.
            return now < state.suspect_until
        silent = state.recent_failures(now, of_silence=True)
        state.failures = state.recent_failures(now) + 1.0
        state.failed_at = now
        if waited_s is not None and is_stalled:
            silent += 1.0
            state.silent_at = now
        state.silent_failures = silent
        if state.failures < FAILURES_TO_SUSPECT:
            return False
        if now < state.suspect_until:
            # Requests that were sent before the pause fail as a part of the same trouble.
            return True
        state.suspect_until = now + doubled_delay_s(SUSPECT_S, state.suspicions, MAX_SUSPECT_S)
        state.suspicions += 1
        return True

    def answered(self, state: EndpointState, latency_s: float) -> None:
        """Records a successful answer and its latency.

        A sound endpoint may be silent for a second or so. All its answers are late then by one
        event, which tells nothing of the next ones. So a slow answer after a usual one, and all
        answers to requests that were sent before it arrived, leave the average as it is. Answers
        that arrive together count little each, as the first of them may be late by less. Requests
        that were given up in that silence no longer count as failures. An answer that took as long
        as usual proves no silence, unless its request ran through it, as a long stream does: the
        endpoint may leave some requests unanswered for good.
        """
        now = self._clock()
        state.suspicions = 0
        state.suspect_until = 0.0
        state.is_down = False
        is_held_up = self._is_held_up(state, latency_s)
        waited_s = state.silent_at - (now - latency_s)
        if waited_s > STALLED_S or (is_held_up and waited_s > 0):
            state.failures -= state.silent_failures
            state.silent_failures = 0.0
        since_last_s, state.answered_at = now - state.answered_at, now
        if is_held_up:
            return
        gain = LATENCY_GAIN * min(1.0, since_last_s / TOGETHER_S) if state.latency_s else 1.0
        state.latency_s += (latency_s - state.latency_s) * gain

    def _is_held_up(self, state: EndpointState, latency_s: float) -> bool:
        now = self._clock()
        if now - latency_s < state.held_up_until:
            return True
        if not state.latency_s or latency_s < state.latency_s * HELD_UP_FACTOR:
            state.is_held_up = False
            return False
        # A single slow answer must not make the silence of a moment later count as many.
        is_silence = min(latency_s, now - state.answered_at) >= STALLED_S
        latest = state.silent_until if is_silence else state.held_up_until
        if state.is_held_up or now - latest < HELD_UP_INTERVAL_S:
            return False
        state.is_held_up = True
        state.held_up_until = now
        if is_silence:
            state.silent_until = now
        return True

    def set_peer_load(self, peer: str, loads: Mapping[str, tuple[int, float, float, int]]) -> None:
        """Replaces the load that a peer reports at the endpoints."""
        for state in self._states.values():
            load = loads.get(state.id)
            if load is None:
                state.peer_load.pop(peer, None)
            else:
                state.peer_load[peer] = load

    def _staying(self, service: str, now: float) -> list[EndpointState]:
        return [
            state
            for state in self.of_service(service)
            if not (state.is_leaving or state.is_replaced or self._is_gone(state, now))
        ]

    def _is_gone(self, state: EndpointState, now: float) -> bool:
        return state.gone_at is not None and now >= state.kept_until
