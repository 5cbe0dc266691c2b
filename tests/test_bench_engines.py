"""The model of engines: memory, links, loads of weights, steps, and plain workers."""

import unittest
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from arbutustally.clock import VirtualClock
from arbutustally.gateway.requests import PromptPart
from bench.engines.engine import DEAD_SOURCE_S, Engine
from bench.engines.experiment import EngineSizes
from bench.engines.jobs import Job, PartPlace, Rejection
from bench.engines.links import Link
from bench.engines.loads import LoadPool
from bench.engines.memory import BlockMemory, PartKey, ReadParts
from bench.engines.worker import Worker, WorkerJob
from bench.replay.loop import EventLoop

SCOPE = "1."
SIZES = {
    "count": 1,
    "slots": 4,
    "queue": 2,
    "step_ms": 10.0,
    "step_ms_per_slot": 1.0,
    "context_ms_per_k": 0.0,
    "prefill_tokens_per_ms": 10.0,
    "pairs_ms_per_m": 0.0,
    "first_ms": 5.0,
    "stride_tokens": 1,
    "chunk_tokens": 100,
    "block_tokens": 10,
    "kv_tokens": 1000,
    "kv_token_bytes": 125.0,
    "link_mbps": 1.0,
    "transfers_queue": "both",
    "setup_ms": 0.0,
    "load_s": 1.0,
    "loads_at_once": 2,
    "retry_after_ms": 300.0,
}


class Heard:
    """What a listener heard, with the time of each event."""

    def __init__(self, clock: VirtualClock) -> None:
        self._clock = clock
        self.events: list[tuple[float, int]] = []
        self.is_complete = False
        self.is_broken = False
        self.rejection: tuple[Rejection, float] | None = None

    def progressed(self, made: int, is_complete: bool) -> None:
        self.events.append((round(self._clock(), 6), made))
        self.is_complete = is_complete

    def rejected(self, reason: Rejection, pause_s: float, version: int) -> None:
        self.rejection = (reason, pause_s)

    def broken(self) -> None:
        self.is_broken = True


def play(loop: EventLoop, until: float) -> None:
    """Runs what is due up to an instant, and moves the clock there."""
    loop.run(until)
    loop.clock.advance_to(until)


def key(name: str) -> PartKey:
    return PartKey(SCOPE, name)


class MemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dropped: list[str] = []
        self.memory = BlockMemory(100, 10, self._watch)

    def _watch(self, part: PartKey, tokens: int) -> None:
        if not tokens:
            self.dropped.append(part.id)

    def test_the_least_recently_used_part_yields(self) -> None:
        """Guards against parts that yield in the order in which they were stored."""
        self.memory.store(key("a"), 40)
        self.memory.store(key("b"), 40)
        self.memory.store(key("a"), 40)
        self.memory.store(key("c"), 40)
        self.assertEqual(self.dropped, ["b"])

    def test_a_part_in_use_does_not_yield(self) -> None:
        """Guards against a running request that loses the parts that it reads from."""
        self.memory.store(key("a"), 60)
        self.memory.hold([key("a")])
        self.assertFalse(self.memory.take(5))
        self.memory.release([key("a")])
        self.assertTrue(self.memory.take(5))
        self.assertEqual(self.dropped, ["a"])

    def test_a_part_counts_only_after_the_parts_before_it(self) -> None:
        """Guards against reuse of a part whose predecessors are gone."""
        self.memory.store(key("b"), 20)
        parts = (PromptPart("a", 20), PromptPart("b", 20))
        self.assertEqual(self.memory.leading(SCOPE, parts), [])
        self.memory.store(key("a"), 20)
        self.assertEqual(self.memory.leading(SCOPE, parts), [key("a"), key("b")])
        self.assertEqual(self.memory.leading("2.", parts), [])

    def test_a_part_that_two_requests_read_is_held_once(self) -> None:
        """Guards against memory that two readings of one part take for ever."""
        self.assertTrue(self.memory.take(4))
        self.assertTrue(self.memory.take(4))
        self.memory.keep(key("a"), 40)
        self.memory.keep(key("a"), 40)
        self.assertEqual(self.memory.used_tokens, 40)
        self.memory.release([key("a")])
        self.memory.release([key("a")])
        self.assertEqual(self.memory.used_tokens, 0)


class LinkTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()

    def link(self, zone: str = "a") -> Link:
        return Link(self.clock, 100.0, zone)

    def test_transfers_wait_for_each_other(self) -> None:
        """Guards against a hot part that every engine fetches at full speed at once."""
        source = self.link()
        self.assertAlmostEqual(source.send(self.link(), 50), 0.5)
        self.assertAlmostEqual(source.send(self.link(), 50), 1.0)

    def test_a_waiting_transfer_holds_the_other_link_only_if_told_so(self) -> None:
        """Guards against a setting without an effect, on which results at high load depend."""
        ends = []
        for queues_at_both in (True, False):
            source, other = (Link(self.clock, 100.0, "a", queues_at_both) for _ in range(2))
            source.send(self.link(), 100)
            source.send(other, 50)
            ends.append(round(other.send(self.link(), 50), 6))
        self.assertEqual(ends, [2.0, 0.5])

    def test_zones_cost_twice_the_time(self) -> None:
        """Guards against transfers between zones that are as cheap as within one."""
        self.assertAlmostEqual(self.link("a").send(self.link("b"), 50), 1.0)

    def test_a_long_wait_starts_no_transfer(self) -> None:
        """Guards against requests that wait for a link longer than for reading."""
        source = self.link()
        source.send(self.link(), 250)
        self.assertIsNone(source.send(self.link(), 1))


class LoadPoolTest(unittest.TestCase):
    def ends(self, loads: int) -> list[float]:
        loop = EventLoop()
        pool = LoadPool(loop, 1.0, 2)
        ends: list[float] = []
        for _ in range(loads):
            pool.begin(lambda: ends.append(round(loop.clock(), 6)))
        play(loop, 100.0)
        return ends

    def test_many_loads_slow_each_other_down(self) -> None:
        """Guards against a fleet that loads at once in the time of one engine."""
        self.assertEqual(self.ends(2), [1.0, 1.0])
        self.assertEqual(self.ends(6), [3.0] * 6)


class EngineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = EventLoop()
        self.read_parts = ReadParts()
        self.engine = self.build()

    def build(self, **changes: float) -> Engine:
        sizes = EngineSizes(**{**SIZES, **changes})
        loads = LoadPool(self.loop, sizes.load_s, sizes.loads_at_once)
        return Engine("e", "a", sizes, self.loop, loads, self.read_parts)

    def send(
        self, *parts: tuple[str, int], output: int = 3, **changes: object
    ) -> tuple[Job, Heard]:
        heard = Heard(self.loop.clock)
        prompt = tuple(PromptPart(*part) for part in parts)
        fields = {"scope": SCOPE, "version": 1, "priority": 5, **changes}
        job = Job(heard, parts=prompt, output_tokens=output, **fields)
        self.engine.submit(job)
        return job, heard

    def test_a_first_event_takes_reading_and_a_step(self) -> None:
        """Guards against prompts that are read for nothing, or in more time than stated."""
        _job, heard = self.send(("a", 150))
        play(self.loop, 10.0)
        # 5 ms, then steps of 10 ms that read 100 and 50 tokens, then steps of one running request.
        self.assertEqual(heard.events, [(0.035 + 0.005, 1), (0.051, 2), (0.062, 3)])
        self.assertTrue(heard.is_complete)

    def test_a_step_takes_longer_the_more_requests_run(self) -> None:
        """Guards against batches without a cost."""
        alone = self.send(("a", 10), output=10)[1]
        play(self.loop, 10.0)
        many = [self.send((f"b{number}", 10), output=10)[1] for number in range(4)]
        play(self.loop, 20.0)
        self.assertGreater(
            many[0].events[-1][0] - many[0].events[1][0],
            alone.events[-1][0] - alone.events[1][0],
        )

    def test_longer_context_takes_longer(self) -> None:
        """Guards against steps that do not grow with what running requests hold."""
        self.engine = self.build(context_ms_per_k=100.0)
        _job, heard = self.send(("a", 500), output=2)
        play(self.loop, 10.0)
        self.assertAlmostEqual(heard.events[1][0] - heard.events[0][0], 0.0611, places=6)

    def test_a_cached_part_is_not_read_again(self) -> None:
        """Guards against caches without an effect."""
        self.send(("a", 300), ("own1", 10))
        play(self.loop, 10.0)
        began = self.loop.clock()
        _job, heard = self.send(("a", 300), ("own2", 10))
        play(self.loop, 20.0)
        self.assertAlmostEqual(heard.events[0][0] - began, 0.005 + 0.011, places=6)
        self.assertEqual(self.read_parts.again_tokens, 0)

    def test_what_is_read_twice_is_counted(self) -> None:
        """Guards against a price of lost parts that stays at nought."""
        self.send(("a", 300))
        play(self.loop, 10.0)
        self.engine.memory.clear_cached()
        self.send(("a", 300))
        play(self.loop, 20.0)
        self.assertEqual(self.read_parts.again_tokens, 300)

    def test_the_newest_of_the_least_urgent_is_preempted(self) -> None:
        """Guards against preemption of older or more urgent requests."""
        jobs = [
            self.send((name, 300), output=100, priority=priority)
            for name, priority in (("a", 1), ("b", 6), ("c", 6))
        ]
        play(self.loop, 60.0)
        ends = [heard.events[-1][0] for _job, heard in jobs]
        self.assertTrue(all(heard.is_complete for _job, heard in jobs))
        self.assertGreater(self.engine.preemptions, 0)
        self.assertEqual(ends, sorted(ends))
        self.assertEqual(self.engine.memory.used_tokens, 0)

    def test_an_urgent_request_takes_the_slot_of_another(self) -> None:
        """Guards against urgent requests that wait for less urgent streams."""
        slow = [self.send((f"s{number}", 10), output=200)[1] for number in range(4)]
        play(self.loop, 0.1)
        _job, urgent = self.send(("u", 10), priority=0)
        play(self.loop, 0.2)
        self.assertTrue(urgent.is_complete)
        play(self.loop, 20.0)
        self.assertTrue(all(heard.is_complete for heard in slow))

    def test_a_preempted_stream_goes_on_where_it_was(self) -> None:
        """Guards against events that come twice after a preemption."""
        slow = [self.send((f"s{number}", 10), output=60)[1] for number in range(4)]
        play(self.loop, 0.1)
        self.send(("u", 10), priority=0)
        play(self.loop, 20.0)
        for heard in slow:
            self.assertEqual([made for _at, made in heard.events], list(range(1, 61)))

    def test_a_full_engine_rejects_and_asks_for_a_pause(self) -> None:
        """Guards against queues without an end."""
        heard = [self.send((f"a{number}", 10))[1] for number in range(7)]
        self.assertEqual(heard[6].rejection, (Rejection.FULL, 0.3))
        self.assertIsNone(heard[5].rejection)

    def test_a_request_larger_than_the_memory_is_rejected(self) -> None:
        """Guards against a request that waits for ever at the head of the queue."""
        self.assertEqual(self.send(("a", 1001))[1].rejection[0], Rejection.FULL)

    def test_a_cancelled_request_frees_its_memory(self) -> None:
        """Guards against work for callers that have gone."""
        job, heard = self.send(("a", 300), output=100)
        play(self.loop, 0.2)
        self.assertGreater(self.engine.memory.used_tokens, 0)
        self.engine.cancel(job)
        play(self.loop, 10.0)
        self.assertEqual(self.engine.memory.used_tokens, 0)
        self.assertFalse(heard.is_complete)

    def test_a_crash_breaks_requests_off_and_empties_the_memory(self) -> None:
        """Guards against caches that survive a restart, and steps of before it."""
        self.send(("a", 300))
        play(self.loop, 10.0)
        _job, heard = self.send(("b", 300))
        play(self.loop, 10.01)
        self.engine.crash()
        self.assertTrue(heard.is_broken)
        self.assertEqual(self.send(("c", 10))[1].rejection[0], Rejection.UNREACHABLE)
        self.engine.restart()
        self.assertEqual(self.engine.memory.held, {})
        events = len(heard.events)
        play(self.loop, 20.0)
        self.assertEqual(len(heard.events), events)

    def test_a_dark_engine_answers_nothing(self) -> None:
        """Guards against rejections from an engine that can't be heard."""
        _job, before = self.send(("a", 300))
        play(self.loop, 0.01)
        self.engine.go_dark()
        _job, during = self.send(("b", 10))
        play(self.loop, 10.0)
        self.engine.come_back()
        _job, after = self.send(("c", 10))
        play(self.loop, 20.0)
        for heard in (before, during):
            self.assertEqual((heard.events, heard.rejection, heard.is_broken), ([], None, False))
        self.assertTrue(after.is_complete)

    def test_a_slow_engine_takes_longer_steps(self) -> None:
        """Guards against slow engines that are as fast as others."""
        self.engine.slow_factor = 3.0
        _job, heard = self.send(("a", 10))
        play(self.loop, 10.0)
        self.assertAlmostEqual(heard.events[1][0] - heard.events[0][0], 0.033, places=6)

    def test_a_load_lets_runs_finish_and_rejects_the_rest(self) -> None:
        """Guards against loads that break streams off, and caches of older weights."""
        _job, running = self.send(("a", 10), output=20)
        play(self.loop, 0.1)
        _job, arriving = self.send(("b", 10))
        ends: list[float] = []
        self.assertTrue(self.engine.load(2, lambda: ends.append(self.loop.clock())))
        self.assertEqual(arriving.rejection[0], Rejection.LOADING)
        self.assertEqual(self.send(("c", 10))[1].rejection[0], Rejection.LOADING)
        play(self.loop, 10.0)
        self.assertTrue(running.is_complete)
        self.assertAlmostEqual(ends[0], running.events[-1][0] + 1.0, places=5)
        self.assertEqual(self.engine.memory.held, {})
        self.assertEqual(self.send(("d", 10))[1].rejection[0], Rejection.OTHER_WEIGHTS)

    def test_a_fetched_part_is_not_read(self) -> None:
        """Guards against transfers that spare no reading, or that take no time."""
        store = BlockMemory(10_000, 10)
        store.store(key("a"), 300)
        place = PartPlace(store, Link(self.loop.clock, 1000.0, "a"))
        _job, heard = self.send(("a", 300), ("own", 10), fetch_from=place)
        play(self.loop, 10.0)
        self.assertAlmostEqual(heard.events[0][0], 0.005 + 0.3 + 0.011, places=6)

    def test_a_source_that_is_gone_costs_time(self) -> None:
        """Guards against sources whose loss costs nothing."""
        place = PartPlace(None, Link(self.loop.clock, 1000.0, "a"))
        _job, heard = self.send(("a", 100), fetch_from=place)
        play(self.loop, 10.0)
        self.assertAlmostEqual(heard.events[0][0], 0.005 + DEAD_SOURCE_S + 0.02, places=6)

    def test_shared_parts_are_saved_to_a_store(self) -> None:
        """Guards against stores that stay empty or fill with parts of one request."""
        store = BlockMemory(10_000, 10)
        place = PartPlace(store, Link(self.loop.clock, 1000.0, "a"))
        self.send(("a", 300), ("own", 100), save_to=place)
        play(self.loop, 10.0)
        self.assertEqual(store.held, {key("a"): 300})

    @given(st.integers(0, 10_000))
    def test_memory_is_free_once_all_requests_have_ended(self, seed: int) -> None:
        """Guards against blocks that are lost or counted twice, over random requests."""
        rng = Random(seed)
        self.loop = EventLoop()
        self.engine = self.build(queue=100, kv_tokens=600)
        jobs = []
        for number in range(30):
            parts = [("guide", 95), (f"history{rng.randrange(4)}", 83), (f"own{number}", 37)]
            jobs.append(self.send(*parts, output=rng.randrange(1, 90), priority=rng.randrange(4)))
            play(self.loop, self.loop.clock() + rng.random() * 0.1)
            self.assertLessEqual(self.engine.memory.used_tokens, 600)
            if rng.random() < 0.2:
                self.engine.cancel(rng.choice(jobs)[0])
        play(self.loop, 1000.0)
        self.assertEqual(self.engine.memory.used_tokens, 0)
        self.assertEqual((self.engine.num_running, self.engine.num_waiting), (0, 0))
        for job, heard in jobs:
            self.assertTrue(job.is_over)
            made = [tokens for _at, tokens in heard.events]
            self.assertEqual(made, list(range(1, len(made) + 1)))


class WorkerTest(unittest.TestCase):
    def test_slots_then_queue_then_rejection(self) -> None:
        """Guards against workers that run more requests than they have slots."""
        loop = EventLoop()
        worker = Worker("w", "a", 1, 1, loop)
        heard = [Heard(loop.clock) for _ in range(3)]
        for entry in heard:
            worker.submit(WorkerJob(entry, 0.5))
        play(loop, 10.0)
        self.assertEqual([entry.events for entry in heard], [[(0.5, 1)], [(1.0, 1)], []])
        self.assertEqual(heard[2].rejection[0], Rejection.FULL)

    def test_a_cancelled_request_frees_its_slot_once(self) -> None:
        """Guards against slots that are freed by the cancellation and by the end of the work."""
        loop = EventLoop()
        worker = Worker("w", "a", 1, 5, loop)
        heard = [Heard(loop.clock) for _ in range(3)]
        jobs = [WorkerJob(entry, 0.5) for entry in heard]
        for job in jobs:
            worker.submit(job)
        play(loop, 0.1)
        worker.cancel(jobs[0])
        play(loop, 10.0)
        self.assertEqual([entry.events for entry in heard], [[], [(0.6, 1)], [(1.1, 1)]])
