"""Endpoints and sources of cached parts that remain after the decision on the zone of a request."""

import math
from collections.abc import Sequence
from heapq import nlargest
from random import Random
from statistics import fmean

from arbutustally.gateway.choice import (
    PartSource,
    expected_wait_s,
    plain_times_s,
    usual_latency_s,
)
from arbutustally.gateway.configuration import Service
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.requests import CallerRequest
from arbutustally.gateway.zone_spill import ZoneCandidate, ZoneDecision, ZoneSpill
from arbutustally.placement import Placement
from arbutustally.placement_estimates import IMPORT_DELAY_S, KV_STORE

#: Bytes of an event of a stream, its framing included, that carries one token.
EVENT_BYTES = 120
#: Time of a transfer of cached parts between zones, relative to one within a zone.
CROSS_ZONE_TRANSFER_FACTOR = 2.0
#: Engines of a zone that are estimated at most: some drawn at random, and those that hold the most
#: of the prompt. An estimate takes about 20 us, so those of hundreds of engines would hold up other
#: requests for milliseconds.
SAMPLED_ENGINES = 24
SAMPLED_HOLDERS = 8


def plain_in_zone(
    spill: ZoneSpill,
    service: str,
    eligible: Sequence[EndpointState],
    request: CallerRequest,
    now: float,
) -> tuple[list[EndpointState], ZoneDecision]:
    """Returns the endpoints of a plain service that remain, and the decision on the zone."""
    if not spill.is_active:
        return list(eligible), spill.decide(service, (), 0)
    times = plain_times_s(eligible, now)
    usual_s = usual_latency_s(eligible)
    candidates = [
        ZoneCandidate(
            state.entry.zone,
            times[state.id],
            max(0.0, times[state.id] - (state.latency_s or usual_s)),
            state.entry.slots,
        )
        for state in eligible
    ]
    decision = spill.decide(service, candidates, len(request.body))
    return [state for state in eligible if state.entry.zone == decision.zone], decision


def engines_in_zone(
    spill: ZoneSpill,
    placement: Placement,
    holdings: Holdings,
    request: CallerRequest,
    service: Service,
    engines: Sequence[EndpointState],
    scope: str,
    sources: Sequence[PartSource],
    limit_s: float = math.inf,
) -> tuple[list[EndpointState], list[PartSource], ZoneDecision]:
    """Returns the engines and the sources of cached parts that remain, and the decision.

    :param limit_s: expected time to the first event above which the request is rejected, seconds.
    """
    if not spill.is_active:
        return list(engines), list(sources), spill.decide(service.name, (), 0)
    estimate = _Estimate(spill, placement, holdings, request, service, scope, sources)
    usual_s = usual_latency_s(engines)
    candidates = [
        estimate.candidate(state, usual_s, slots)
        for state, slots in _sampled(engines, sources, spill.rng)
    ]
    exchanged = len(request.body) + EVENT_BYTES * request.output_tokens
    decision = spill.decide(service.name, candidates, exchanged, limit_s)
    remaining = [state for state in engines if state.entry.zone == decision.zone]
    speed = fmean(placement.prefill_speed(state.id) for state in remaining)
    return remaining, estimate.worthwhile(decision.zone, speed), decision


def _sampled(
    engines: Sequence[EndpointState], sources: Sequence[PartSource], rng: Random
) -> list[tuple[EndpointState, float]]:
    """Returns the engines to estimate, and the slots of its zone that each represents."""
    held = {source.place: source.tokens for source in sources}
    zones: dict[str, list[EndpointState]] = {}
    for state in engines:
        zones.setdefault(state.entry.zone, []).append(state)
    sampled: list[tuple[EndpointState, float]] = []
    for group in zones.values():
        chosen = group
        if len(group) > SAMPLED_ENGINES + SAMPLED_HOLDERS:
            # Shuffled, so that holders of equally many tokens are drawn at random too.
            shuffled = rng.sample(group, len(group))
            holders = nlargest(
                SAMPLED_HOLDERS, shuffled[SAMPLED_ENGINES:], key=lambda state: held.get(state.id, 0)
            )
            chosen = shuffled[:SAMPLED_ENGINES] + holders
        factor = len(group) / len(chosen)
        sampled += [(state, state.entry.slots * factor) for state in chosen]
    return sampled


class _Estimate:
    """Estimates one request at engines, transfers between zones included."""

    def __init__(
        self,
        spill: ZoneSpill,
        placement: Placement,
        holdings: Holdings,
        request: CallerRequest,
        service: Service,
        scope: str,
        sources: Sequence[PartSource],
    ) -> None:
        self._costs = spill.costs
        self._placement = placement
        self._holdings = holdings
        self._request = request
        self._service = service
        self._scope = scope
        self._sources = sources
        self._token_bytes = service.engine.token_bytes if service.engine else 0.0
        # Engines and sources may each be hundreds, so the sources are gone through once.
        self._most_held: dict[str, int] = {}
        for source in sources:
            known = self._most_held.get(source.zone, 0)
            self._most_held[source.zone] = max(known, source.tokens)
        self._transfer_speed = placement.prefill_speed(KV_STORE)

    def candidate(self, state: EndpointState, usual_s: float, slots: float) -> ZoneCandidate:
        """Returns the expected time at an engine, and what it would fetch from other zones.

        :param slots: slots of the zone that the engine represents.
        """
        request, zone = self._request, state.entry.zone
        speed = self._placement.prefill_speed(state.id)
        prompt_tokens = request.prompt_tokens or 0
        needed = prompt_tokens + request.output_tokens
        wait_s = expected_wait_s(self._placement, state, needed, self._service, usual_s)
        cached = self._holdings.prefix_tokens(
            state.id, self._scope, request.parts, with_pending=True
        )
        own = max(cached, self._held(zone, is_own=True))
        other = self._held(zone, is_own=False)
        begun_s = min(
            (prompt_tokens - cached) / speed,
            (prompt_tokens - own) / speed
            + (IMPORT_DELAY_S + (own - cached) / self._transfer_speed if own > cached else 0.0),
        )
        fetched_bytes = 0.0
        if self._saved_s(other - own, speed) > 0:
            begun_s -= (other - own) / speed - self._crossing_s(other - own)
            fetched_bytes = (other - own) * self._token_bytes
        return ZoneCandidate(zone, wait_s + max(0.0, begun_s), wait_s, slots, fetched_bytes)

    def worthwhile(self, zone: str, speed: float) -> list[PartSource]:
        """Returns the sources in a zone, and the others that save more than their bytes cost.

        :param speed: tokens that an engine reads in a second.
        """
        own = self._held(zone, is_own=True)
        return [
            source
            for source in self._sources
            if source.zone == zone or self._saved_s(source.tokens - own, speed) > 0
        ]

    def _held(self, zone: str, is_own: bool) -> int:
        if is_own:
            return self._most_held.get(zone, 0)
        held = (tokens for name, tokens in self._most_held.items() if name != zone)
        return max(held, default=0)

    def _crossing_s(self, tokens: int) -> float:
        return IMPORT_DELAY_S + tokens * CROSS_ZONE_TRANSFER_FACTOR / self._transfer_speed

    def _saved_s(self, tokens: int, speed: float) -> float:
        """Returns what a transfer of tokens from another zone saves, its costs deducted."""
        if tokens <= 0:
            return 0.0
        cost_s = self._costs.bytes_s(tokens * self._token_bytes)
        return tokens / speed - self._crossing_s(tokens) - cost_s
