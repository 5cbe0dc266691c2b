"""The engine model against a plain account of what it must and must not do."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from arbutustally.clock import VirtualClock
from arbutustally_standins.engine_model import (
    EngineModel,
    EngineModelOptions,
    ModelRequest,
    VersionNotLoadedError,
)
from arbutustally_standins.tokens import (
    BLOCK_TOKENS,
    block_chain,
    count_tokens,
    output_tokens,
)

OPTIONS = EngineModelOptions(
    versions=("1",), max_batch=3, cache_blocks=12, prefill_chunk_tokens=64, load_s=0.05
)
GUIDES = tuple(letter * 640 for letter in "abcd")
# Short prompts leave most steps to decoding, in which a cancelled request could still emit.
SHORT_GUIDES = tuple(letter * 128 for letter in "abcd")


class EngineModelMachine(RuleBasedStateMachine):
    """Guards against lost or repeated tokens and against cache hits without a stored block."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = VirtualClock()
        self.model = EngineModel.from_config(OPTIONS, self.clock)
        self.tickets = []
        self.emitted = {}
        self.cancelled = set()
        self.finished = set()
        self.loaded = {"1"}
        self.stored = set()

    @rule(
        guide=st.sampled_from(SHORT_GUIDES),
        question=st.integers(0, 100),
        output=st.sampled_from((1, 5, 30)),
        salt=st.sampled_from(("s", "t")),
        priority=st.integers(0, 2),
        version=st.sampled_from(("1", "1", "2")),
    )
    def submit(self, guide, question, output, salt, priority, version):
        text = guide + "q" * question
        request = ModelRequest(
            request_id=str(len(self.tickets)),
            blocks=block_chain(text, salt, "m", version),
            prompt_tokens=count_tokens(text),
            output_tokens=output,
            priority=priority,
            version=version,
        )
        try:
            ticket = self.model.submit(request)
        except VersionNotLoadedError:
            assert version not in self.loaded
            return
        assert version in self.loaded
        self.tickets.append(ticket)
        self.emitted[ticket] = 0

    @rule(seconds=st.sampled_from((0.005, 0.02, 0.06, 0.3)))
    def advance(self, seconds):
        self.clock.advance(seconds)
        last = 0.0
        for event in self.model.advance_to(self.clock()):
            assert last <= event.at <= self.clock(), "events are in order and not in the future"
            last = event.at
            self.take(event)

    def take(self, event):
        if event.kind == "loaded":
            self.loaded.add(event.version)
        elif event.kind == "stored":
            self.stored |= set(event.blocks)
        elif event.kind == "evicted":
            assert set(event.blocks) <= self.stored
        elif event.kind in ("first_token", "token"):
            ticket = event.ticket
            assert ticket not in self.cancelled, "a cancelled request emits nothing"
            assert event.index == self.emitted[ticket]
            assert (event.kind == "first_token") == (event.index == 0)
            self.emitted[ticket] += 1
            self.check_cached(ticket)
        elif event.kind == "finished":
            assert event.ticket not in self.finished
            assert self.emitted[event.ticket] == event.ticket.request.output_tokens
            self.finished.add(event.ticket)

    def check_cached(self, ticket):
        assert 0 <= ticket.cached_tokens < ticket.request.prompt_tokens
        hit = ticket.request.blocks[: ticket.cached_tokens // BLOCK_TOKENS]
        assert set(hit) <= self.stored, "a hit needs a block stored by this incarnation"

    @precondition(lambda self: self.open_tickets())
    @rule(data=st.data())
    def cancel(self, data):
        ticket = data.draw(st.sampled_from(self.open_tickets()))
        self.model.cancel(ticket)
        self.cancelled.add(ticket)

    def open_tickets(self):
        return [t for t in self.tickets if t not in self.cancelled and t not in self.finished]

    @rule(order=st.sampled_from(("load", "load", "unload", "restart")))
    def order(self, order):
        if order == "load":
            self.model.load("2")
        elif order == "unload":
            self.model.unload("2")
            self.loaded.discard("2")
        else:
            self.restart()

    def restart(self):
        incarnation = self.model.incarnation
        self.cancelled |= set(self.model.restart())
        assert self.model.incarnation != incarnation
        assert len(self.model.cache) == 0
        self.stored.clear()
        self.loaded = set(self.model.versions)

    @invariant()
    def bounded(self):
        assert len(self.model.cache) <= OPTIONS.cache_blocks
        assert self.model.running <= OPTIONS.max_batch

    def teardown(self):
        self.clock.advance(1000.0)
        for event in self.model.advance_to(self.clock()):
            self.take(event)
        left = self.open_tickets()
        assert not left, "every request that was not cancelled finishes"


TestEngineModelMachine = EngineModelMachine.TestCase
TestEngineModelMachine.settings = settings(max_examples=100, stateful_step_count=40)


class EngineModelCases(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = VirtualClock()

    def run_all(self, model):
        events = []
        while (due := model.next_event_at()) is not None:
            self.clock.advance_to(due)
            events.extend(model.step())
        return events

    def request(self, name, text, salt="s", priority=0, output=1, **more):
        blocks = block_chain(text, salt, "m", "1")
        return ModelRequest(name, blocks, count_tokens(text), output, priority, "1", **more)

    def test_priority_goes_before_arrival(self):
        """Guards against a queue that serves by arrival only."""
        model = EngineModel.from_config(EngineModelOptions(max_batch=1), self.clock)
        for name, priority in (("late", 2), ("second", 1), ("first", 0), ("third", 1)):
            model.submit(self.request(name, name * 99, priority=priority))
        order = [e.ticket.request.request_id for e in self.run_all(model) if e.kind == "started"]
        self.assertEqual(order, ["first", "second", "third", "late"])

    def test_later_request_of_higher_priority_stalls_nothing(self):
        """Guards against a step that admits nobody and is repeated without end."""
        model = EngineModel.from_config(EngineModelOptions(), self.clock)
        model.submit(self.request("early", GUIDES[0], priority=1))
        self.clock.advance(1.0)
        model.submit(self.request("late", GUIDES[1], priority=0))
        self.assertGreater(model.next_event_at(), 0.0)
        events = model.advance_to(5.0)
        order = [event.ticket.request.request_id for event in events if event.kind == "started"]
        self.assertEqual(order, ["early", "late"])

    def test_salt_separates_accounts(self):
        """Guards against a cached prefix that another account's request hits."""
        model = EngineModel.from_config(EngineModelOptions(), self.clock)
        for name, salt in (("a", "one"), ("b", "two"), ("c", "one")):
            ticket = model.submit(self.request(name, GUIDES[0], salt=salt))
            self.run_all(model)
            self.assertEqual(ticket.cached_tokens > 0, name == "c", name)

    def test_costs_follow_misses_batch_and_imports(self):
        """Guards against a model in which a hit or an import costs like a miss."""
        options = EngineModelOptions(import_piece_s=0.01, prefill_chunk_tokens=100_000)
        model = EngineModel.from_config(options, self.clock)
        text = "guide text " * 1100
        cold = model.submit(self.request("cold", text))
        self.run_all(model)
        self.assertAlmostEqual(cold.first_token_at, count_tokens(text) / 8000)
        begun = self.clock()
        warm = model.submit(self.request("warm", text))
        self.run_all(model)
        self.assertLess(warm.first_token_at - begun, 16 / 8000 + 1e-9)
        model.restart()
        begun = self.clock()
        imported = model.submit(self.request("import", text, import_blocks=126))
        self.run_all(model)
        missed = count_tokens(text) - 126 * BLOCK_TOKENS
        self.assertAlmostEqual(imported.first_token_at - begun, 0.02 + missed / 8000)

    def test_load_report_lags(self):
        """Guards against a report that is always fresh, which no real engine gives."""
        model = EngineModel.from_config(EngineModelOptions(report_lag_s=0.25), self.clock)
        self.assertEqual(model.load_report().queued_tokens, 0)
        model.submit(self.request("a", GUIDES[0]))
        self.clock.advance(0.1)
        self.assertEqual(model.load_report().queued_tokens, 0)
        self.clock.advance(0.2)
        self.assertEqual(model.load_report().queued_tokens, 160)

    def test_output_continues_alike_and_depends_on_version_and_text(self):
        """Guards against a continuation that repeats, skips or comes from other weights."""
        tokens = output_tokens("m", "1", "prompt")
        whole = [next(tokens) for _ in range(9)]
        rest = output_tokens("m", "1", "prompt", "".join(whole[:4]))
        self.assertEqual([next(rest) for _ in range(5)], whole[4:])
        for other in (
            output_tokens("m", "2", "prompt", "".join(whole[:4])),
            output_tokens("m", "1", "prompt", "".join(whole[:3]) + "no! "),
        ):
            self.assertNotEqual([next(other) for _ in range(5)], whole[4:])
