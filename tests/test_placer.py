"""Engines that the placer uses while only a part of them runs the weights that were named last."""

import unittest
from dataclasses import replace
from random import Random
from types import SimpleNamespace

from arbutustally.clock import VirtualClock
from arbutustally.errors import EndpointFailedError, NoEndpointError
from arbutustally.gateway.configuration import Configuration, Engine, PartStore, Service
from arbutustally.gateway.evacuation import ZoneEvacuation
from arbutustally.gateway.holdings import Holdings
from arbutustally.gateway.named_weights import NamedWeights
from arbutustally.gateway.requests import CallerRequest
from arbutustally.gateway.shared_reading import Position
from arbutustally.gateway.zone_spill import ZoneCosts, ZoneSpill
from arbutustally.placement import Placement
from arbutustally_node.gateway.fleet_view import FleetView
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.placer import (
    LAST_ATTEMPT_MARGIN_S,
    WEIGHTS_MARGIN_S,
    Placed,
    Placer,
)
from tests.gateway_values import entry, prompt, route

#: Time after which no request may begin on replaced weights, seconds.
WEIGHTS_S = 8.0
#: When version 2 was named, monotonic seconds.
NAMED_AT = 100.0
PROMPT_TOKENS = 400


class OlderWeightsTest(unittest.TestCase):
    """Requests whose wait at an engine reaches beyond the time allowed for its weights."""

    def setUp(self) -> None:
        self.clock = VirtualClock(NAMED_AT)
        self.view = FleetView(None, self.clock, None)
        for name, version in (("old", 1), ("new", 2)):
            self.view.book.put(entry(name, weights={"m": version}))
        self.view.weights["m"] = NamedWeights()
        self.view.weights["m"].learn(2, NAMED_AT)
        self.placement = Placement.from_config(self.clock, Random(3))
        self.polled = []

    def queue(self, name: str, seconds: float) -> None:
        """Gives an engine a queue of prompts."""
        tokens = seconds * self.placement.prefill_speed(name)
        self.view.book.get(name).peer_load["n2"] = (1, tokens, 0.0, 0)

    def place(
        self,
        after_s: float,
        resumable: bool = True,
        attempts: int = 2,
        tried: str = "",
        has_run: bool = False,
    ) -> str:
        """Places a stream the given time after version 2 was named.

        :param tried: engine of an earlier attempt.
        :param has_run: whether that may have run.
        """
        self.clock.advance(NAMED_AT + after_s - self.clock())
        services = SimpleNamespace(
            view=self.view,
            zone="z1",
            rng=Random(3),
            clock=self.clock,
            placement=self.placement,
            holdings=Holdings.from_config(self.clock),
            nodes=lambda: 1,
            has_relayed_loads=lambda: False,
            weights_s=WEIGHTS_S,
            on_other_weights=self.polled.append,
            list_age_s=lambda: 0.0,
            contact=SimpleNamespace(is_current=True),
            spill=ZoneSpill(ZoneCosts(), "z1", self.clock, Random(3)),
        )
        asked = prompt(("aa", PROMPT_TOKENS))
        way = route(attempts=attempts, resumable=resumable)
        configuration = Configuration(1, (way,), {"s": Service("s", 10, Engine(4, 10**9))}, {}, ())
        placer = Placer(services, asked, configuration, way, None, SimpleNamespace(facts={}))
        if tried:
            placer._tried.add(tried)
        return placer.place(60.0, has_run).state.id

    def test_engine_whose_queue_reaches_beyond_the_bound_is_left_out(self) -> None:
        """Guards against a request that waits at a busy engine until its weights are forbidden."""
        self.queue("old", 2.0)
        self.queue("new", 4.0)
        self.assertEqual(self.place(1.0), "old")
        self.assertEqual(self.place(WEIGHTS_S - WEIGHTS_MARGIN_S - 1.5), "new")

    def test_queue_of_each_engine_counts_by_itself(self) -> None:
        """Guards against the use of all engines of a version because one of them is idle."""
        self.queue("old", 2.0)
        self.queue("new", 4.0)
        self.assertEqual(self.place(WEIGHTS_S - WEIGHTS_MARGIN_S - 1.5), "new")
        self.view.book.put(entry("idle", weights={"m": 1}))
        self.assertEqual(self.place(WEIGHTS_S - WEIGHTS_MARGIN_S - 1.4), "idle")

    def test_request_is_refused_if_every_engine_would_begin_it_too_late(self) -> None:
        self.view.book.remove("new")
        self.queue("old", 2.0)
        with self.assertRaises(NoEndpointError):
            self.place(WEIGHTS_S - WEIGHTS_MARGIN_S - 1.5)
        self.assertEqual([state.id for state in self.polled], ["old"])

    def test_engine_without_a_queue_is_used_until_shortly_before_the_bound(self) -> None:
        """Guards against idle engines that are given up seconds too early."""
        self.queue("new", 4.0)
        self.assertEqual(self.place(WEIGHTS_S - WEIGHTS_MARGIN_S - 0.2), "old")
        self.assertEqual(self.place(WEIGHTS_S - WEIGHTS_MARGIN_S), "new")

    def test_stream_that_may_not_move_keeps_away_from_the_bound(self) -> None:
        """Guards against streams that fail because their engine is silent near the bound."""
        self.queue("new", 4.0)
        last_s = WEIGHTS_S - LAST_ATTEMPT_MARGIN_S
        self.assertEqual(self.place(last_s - 0.2, resumable=False), "old")
        self.assertEqual(self.place(last_s, resumable=False), "new")

    def test_stream_with_one_attempt_keeps_away_from_the_bound(self) -> None:
        """Guards against the same on a route that allows no second engine."""
        self.queue("new", 4.0)
        last_s = WEIGHTS_S - LAST_ATTEMPT_MARGIN_S
        self.assertEqual(self.place(last_s - 0.2, attempts=1), "old")
        self.assertEqual(self.place(last_s, attempts=1), "new")

    def test_stream_that_was_refused_elsewhere_may_still_move(self) -> None:
        """Guards against refused callers while engines with replaced weights may be used."""
        last_s = WEIGHTS_S - LAST_ATTEMPT_MARGIN_S
        self.view.book.put(entry("other", weights={"m": 1}))
        self.view.book.remove("new")
        self.assertEqual(self.place(last_s + 0.2, tried="other"), "old")
        with self.assertRaises(EndpointFailedError):
            self.place(last_s + 0.3, tried="other", has_run=True)

    def test_speed_of_the_engine_and_length_of_the_prompt_count(self) -> None:
        """Guards against prompts that begin too late at a slow engine, if it has no queue."""
        self.queue("new", 4.0)
        self.placement._load.set_initial_speed("old", PROMPT_TOKENS / 2.0)
        self.assertEqual(self.place(WEIGHTS_S - WEIGHTS_MARGIN_S - 1.5), "new")


class EvacuatedPartStoreTest(unittest.TestCase):
    def test_part_store_of_an_evacuated_zone_is_not_named(self) -> None:
        """Guards against cached parts that are saved to a zone that is evacuated."""
        clock = VirtualClock(NAMED_AT)
        view = FleetView(None, clock, None)
        services = SimpleNamespace(view=view, holdings=Holdings.from_config(clock))
        store = Service("parts", 10, part_store=PartStore("10.0.0.9:1", "z2", 1))
        way = route()
        configuration = Configuration(1, (way,), {"s": Service("s", 10), "parts": store}, {}, ())
        asked = prompt(("aa", 4000), ("bb", 400))
        placer = Placer(services, asked, configuration, way, None, SimpleNamespace(facts={}))
        view.book.put(entry("a"))
        choice = SimpleNamespace(endpoint="a")
        placed = Placed(view.book.get("a"), choice, 1, "1.")
        self.assertEqual(placer.save_to(placed), store)
        view.book.evacuations.apply(ZoneEvacuation("z2", True), Position(1, 1))
        self.assertIsNone(placer.save_to(placed))


class ZoneTest(unittest.TestCase):
    """Requests that stay in the zone of their node or leave it, where costs are set."""

    def setUp(self) -> None:
        self.clock = VirtualClock(NAMED_AT)
        self.view = FleetView(None, self.clock, None)
        self.instruments = Instruments()
        self.trace = SimpleNamespace(facts={})

    def place(self, costs: ZoneCosts, asked: CallerRequest) -> str:
        """Sends a request and returns its endpoint."""
        services = SimpleNamespace(
            view=self.view,
            zone="z1",
            rng=Random(3),
            clock=self.clock,
            placement=Placement.from_config(self.clock, Random(3)),
            holdings=Holdings.from_config(self.clock),
            nodes=lambda: 1,
            has_relayed_loads=lambda: False,
            weights_s=WEIGHTS_S,
            list_age_s=lambda: 0.0,
            contact=SimpleNamespace(is_current=True),
            spill=ZoneSpill(costs, "z1", self.clock, Random(3)),
            instruments=self.instruments,
        )
        engine = Engine(4, 10**9, token_bytes=1e5) if asked.model else None
        configuration = Configuration(1, (route(),), {"s": Service("s", 10, engine)}, {}, ())
        placer = Placer(services, asked, configuration, route(), None, self.trace)
        placed = placer.place(60.0, False)
        placer.record_sent(placed)
        return placed.state.id

    def test_request_stays_unless_the_gain_exceeds_the_cost(self) -> None:
        """Guards against requests that leave the zone for a gain smaller than its cost."""
        self.view.book.put(entry("near"))
        self.view.book.put(entry("far", zone="z2"))
        for asked in (prompt(("aa", 400)), replace(prompt(("aa", 400)), model="")):
            self.view.book.get("near").running = 2
            self.view.book.get("near").peer_load["n2"] = (0, 2000.0, 0.0, 0)
            self.assertEqual(self.place(ZoneCosts(), asked), "far")
            self.assertEqual(self.trace.facts["left_zone"], "off")
            self.assertEqual(self.place(ZoneCosts(delay_s=60.0), asked), "near")

    def test_zone_without_endpoints_is_left_and_counted(self) -> None:
        """Guards against refused requests while another zone has endpoints."""
        self.view.book.put(entry("far", zone="z2"))
        self.assertEqual(self.place(ZoneCosts(1.0, 0.002), prompt(("aa", 400))), "far")
        self.assertEqual(self.trace.facts["left_zone"], "no_endpoint")
        self.assertEqual(self.instruments.value("left_zone", "no_endpoint"), 1)
