"""Streams: a caller receives the engine's own response or an explicit ``stream_lost``."""

import unittest
from dataclasses import replace

import gevent
import orjson
from gevent import Timeout
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from arbutustally.errors import RouterError, StreamLostError, StreamNotResumableError
from arbutustally.stream_token import digest_request, issue, verify
from arbutustally_node.calls import ModelCall
from tests.fake_engine import FakeEngine, Script, answer, token
from tests.fakes import Declared, Endpoint, FakeMembership, node_kernel, node_options

TOKENS = 24
FAULTS = ("cut", "silent", "die", "restart", "repeat", "skip", "crossed", "stale", "version")
FAULTS += ("garbage", "end", "no_resume")


def model_call(kernel, prompt: str, tokens: int = TOKENS, last_event_id: str = "", **changes):
    explain = kernel.lookup("explain")
    trace = explain.begin(explain.new_request_id(), "school", "text")
    fields = {
        "request_id": trace.request_id,
        "account": "school",
        "route": "text",
        "class_name": "chat",
        "service": "engines",
        "target": Declared(),
        "path": "/v1/completions",
        "model": "marelle",
        "fields": {"prompt": prompt, "max_tokens": tokens},
        "prompt": prompt,
        "prompt_bytes": 40,
        "output_tokens": tokens,
        "digest": digest_request("/v1/completions", prompt.encode()),
        "trace": trace,
        "last_event_id": last_event_id,
    }
    return ModelCall(**(fields | changes))


def events_of(data: bytes) -> list[tuple[str, dict]]:
    """Returns the id and the JSON of each event; the end marker has the JSON ``None``."""
    events = []
    for block in data.decode().split("\n\n")[:-1]:
        fields = dict(line.split(": ", 1) for line in block.split("\n"))
        text = fields["data"]
        events.append((fields.get("id", ""), None if text == "[DONE]" else orjson.loads(text)))
    return events


class Fleet:
    """Two nodes in front of three engines, one of them with other weights."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.engines = [FakeEngine(name, script) for name in ("e1", "e2")]
        self.engines.append(FakeEngine("e3", script, version="v2"))
        self.membership = FakeMembership()
        self.learn()
        options = [
            node_options(node_id=name, endpoint_read_timeout_s=0.1, endpoint_connect_timeout_s=0.5)
            for name in ("n1", "n2")
        ]
        self.nodes = [node_kernel(self.membership, option) for option in options]

    def learn(self) -> None:
        """Sets the current incarnations in the membership, as load reports do."""
        for engine in self.engines:
            self.membership.states[engine.name] = Endpoint(
                engine.name,
                engine.address,
                version=engine.version,
                incarnation=engine.incarnation,
            )

    def stop(self) -> None:
        for engine in self.engines:
            engine.die()
        for node in self.nodes:
            node.stop()


class StreamMachine(RuleBasedStateMachine):
    """One caller reads a stream while engines and nodes fail."""

    def __init__(self) -> None:
        super().__init__()
        self.script = Script(allowed=0)
        self.fleet = Fleet(self.script)
        self.node = 0
        self.prompt = "p"
        self.received: list[str] = []
        self.last_id = ""
        self.ended = ""
        self.iterator = None

    @initialize()
    def begin(self) -> None:
        call = model_call(self.fleet.nodes[0], self.prompt)
        self.iterator = self.fleet.nodes[0].lookup("streams").complete(call)

    def is_open(self) -> bool:
        return not self.ended

    @precondition(is_open)
    @rule(count=st.integers(1, 8))
    def read(self, count: int) -> None:
        self.script.allowed = len(self.received) + count
        self.script.changed.set()
        self._next()

    @precondition(is_open)
    @rule(ahead=st.integers(0, 6), kind=st.sampled_from(FAULTS))
    def plan_fault(self, ahead: int, kind: str) -> None:
        self.script.faults.append((len(self.received) + ahead, kind))

    @rule(engine=st.integers(0, 1), back=st.booleans())
    def fail_engine(self, engine: int, back: bool) -> None:
        self.fleet.engines[engine].restart() if back else self.fleet.engines[engine].die()

    @rule()
    def load_reports_arrive(self) -> None:
        self.fleet.learn()

    @precondition(lambda self: self.is_open() and self.last_id)
    @rule()
    def node_fails(self) -> None:
        """The node closes its connections without a cancellation at the engine."""
        self.iterator.close()
        self.node = 1 - self.node
        node = self.fleet.nodes[self.node]
        call = model_call(node, self.prompt, last_event_id=self.last_id)
        self.iterator = node.lookup("streams").complete(call)

    def _next(self) -> None:
        try:
            with Timeout(10):
                data = next(self.iterator)
        except StopIteration:
            self.ended = "silently"
            return
        except RouterError as error:
            self.ended = error.code
            return
        for event_id, chunk in events_of(data):
            if chunk is None:
                self.ended = "done"
                continue
            if event_id:
                assert verify(["s" * 24], event_id).index == len(self.received)
                self.last_id = event_id
            self.received.append(chunk["choices"][0]["delta"]["content"])

    @invariant()
    def received_is_the_engines_own_text(self) -> None:
        assert self.received == [token(self.prompt, n) for n in range(len(self.received))]
        if self.ended == "done":
            assert len(self.received) == TOKENS
        assert self.ended != "silently"

    def teardown(self) -> None:
        self.script.allowed = TOKENS
        while not self.ended:
            self._next()
        self.received_is_the_engines_own_text()
        explained = ("done", "stream_lost", "stream_not_resumable", "no_endpoint")
        explained += ("endpoint_failed", "endpoint_timeout")
        assert self.ended in explained, self.ended
        if self.received:
            assert self.ended in explained[:3], self.ended
        self.iterator.close()
        assert not any(self.fleet.membership.load.values())
        self.fleet.stop()


class StreamsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.script = Script()
        self.fleet = Fleet(self.script)
        self.addCleanup(self.fleet.stop)
        self.node = self.fleet.nodes[0]

    def complete(self, call: ModelCall) -> list[tuple[str, dict]]:
        return events_of(b"".join(self.node.lookup("streams").complete(call)))

    def text(self, events) -> str:
        return "".join(chunk["choices"][0]["delta"]["content"] for _, chunk in events if chunk)

    def test_machine(self) -> None:
        """Guards against skipped, repeated and foreign tokens and against ends without an error.

        Random sequences of faults of engines and nodes are applied to one stream.
        """
        run_state_machine_as_test(
            StreamMachine, settings=settings(max_examples=60, stateful_step_count=14)
        )

    def test_each_single_fault_is_survived(self) -> None:
        """Guards against a fault after which the stream could continue but does not."""
        for fault in FAULTS:
            for index in (0, 5, TOKENS - 1):
                with self.subTest(fault=fault, index=index):
                    fleet = Fleet(Script([(index, fault)]))
                    self.addCleanup(fleet.stop)
                    self.node = fleet.nodes[0]
                    events = self.complete(model_call(self.node, "p"))
                    self.assertEqual(self.text(events), answer("p", TOKENS))
                    self.assertIsNone(events[-1][1])

    def test_chunks_of_other_weights_or_incarnations_are_refused(self) -> None:
        """Guards against tokens computed from the cache or weights of another incarnation."""
        for fault, reason in (("stale", "other_incarnation"), ("version", "other_version")):
            with self.subTest(fault):
                self.script.faults = [(4, fault)]
                self.complete(model_call(self.node, "p"))
                self.fleet.membership.dead.clear()
                self.assertEqual(self.node.lookup("metrics").counts[f"retried.{reason}"], 1)

    def test_continuation_only_on_the_same_weights(self) -> None:
        """Guards against a response generated in part by one version and in part by another."""
        self.fleet.engines[1].die()
        self.fleet.membership.states.pop("e2")
        self.script.faults = [(5, "die")]
        with self.assertRaises(StreamLostError):
            self.complete(model_call(self.node, "p"))
        self.assertEqual(self.fleet.engines[2].seen, [])

    def test_exhausted_retry_budget_is_explicit(self) -> None:
        """Guards against retries that add to an overload without bound."""
        self.script.faults = [(3, "die"), (6, "die")]
        call = model_call(self.node, "p")
        budget = self.node.lookup("streams")._retries
        while budget.allow("school"):
            continue
        with self.assertRaisesRegex(StreamLostError, "retry budget"):
            self.complete(call)

    def call_with_repeated_timeouts(self) -> ModelCall:
        """Returns a call whose stream stops at token 5 and is resumed once without success."""
        # The engine also consumes a fault of its script for each resume request.
        self.script.faults = [(5, "silent")] * 3
        return model_call(self.node, "p")

    def assert_completes_without_cancel(self, call: ModelCall) -> None:
        events = self.complete(call)
        self.assertEqual(self.text(events), answer("p", TOKENS))
        self.assertEqual(self.fleet.engines[0].cancelled, [])

    def test_timed_out_engine_is_kept_if_the_retry_budget_is_empty(self) -> None:
        """Guards against a stream lost to a read timeout although its engine still has it."""
        call = self.call_with_repeated_timeouts()
        budget = self.node.lookup("streams")._retries
        while budget.allow("school"):
            continue
        self.assert_completes_without_cancel(call)

    def test_timed_out_engine_is_kept_if_no_other_continues_the_stream(self) -> None:
        """Guards against work that is cancelled before another engine has accepted it."""
        # According to the instance list the engine has the weights, but it refuses the request.
        self.fleet.engines[1].version = "v9"
        self.assert_completes_without_cancel(self.call_with_repeated_timeouts())

    def test_engine_without_data_until_the_last_resume_is_cancelled(self) -> None:
        """Guards against a caller that waits without end for an engine that sends no more data."""
        self.fleet.membership.states.pop("e2")
        self.script.faults = [(5, "silent")] * 20
        with Timeout(10), self.assertRaises(StreamLostError):
            self.complete(model_call(self.node, "p"))
        gevent.sleep(0.1)
        self.assertEqual(len(self.fleet.engines[0].cancelled), 1)

    def test_foreign_or_altered_event_ids_are_refused(self) -> None:
        """Guards against a caller that reads the stream of another account or request."""
        events = self.complete(model_call(self.node, "p"))
        event_id = events[4][0]
        own = model_call(self.node, "p", last_event_id=event_id)
        self.assertEqual(self.text(self.complete(own)), answer("p", TOKENS)[len(answer("p", 5)) :])
        token = verify(["s" * 24], event_id).token
        stolen = issue("another secret", replace(token, account="other")) + ".4"
        altered = ("A" if event_id[0] != "A" else "B") + event_id[1:]
        for call in (
            model_call(self.node, "p", last_event_id=event_id, account="other"),
            model_call(self.node, "other prompt", last_event_id=event_id),
            model_call(self.node, "p", last_event_id=altered),
            model_call(self.node, "p", last_event_id=stolen, account="other"),
            model_call(self.node, "p", last_event_id="x" * 5000 + ".1"),
            model_call(self.node, "p", last_event_id=event_id.partition(".")[0]),
        ):
            with self.assertRaises(StreamNotResumableError):
                self.complete(call)

    def test_connection_with_bytes_of_another_answer_is_not_used_again(self) -> None:
        """Guards against a late response read as the response to the next request."""
        self.script.faults = [(3, "crossed")]
        for prompt in ("a", "b", "c"):
            events = self.complete(model_call(self.node, prompt))
            self.assertEqual(self.text(events), answer(prompt, TOKENS))

    def test_accounting_follows_the_engine(self) -> None:
        self.complete(model_call(self.node, "p"))
        self.assertEqual(self.node.lookup("limits").settled, [3 + TOKENS])
        self.assertEqual(self.node.lookup("placement").learned[0].cached_tokens, 2)
        self.assertEqual(self.node.lookup("versions").observed, [True])
