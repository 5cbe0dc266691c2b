"""The request path against the stand-in engines and booking service with their faults set."""

import unittest

import openai
from gevent import sleep

from arbutustally.errors import RouterError
from arbutustally_node.calls import PlainCall
from arbutustally_standins.booking.app import BookingStandin
from arbutustally_standins.engine.app import EngineStandin
from arbutustally_standins.engine.options import EngineOptions
from arbutustally_standins.engine_types import EngineModelOptions
from arbutustally_standins.server import StandinServer
from tests.fakes import Endpoint, FakeMembership, node_kernel, node_options

TOKENS = 30


def engine(name: str) -> EngineStandin:
    model = EngineModelOptions(
        engine=name, versions=("v1",), decode_step_s=0.002, decode_per_request_s=0.0
    )
    return EngineStandin.from_config(EngineOptions(model))


class StandinEnginesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.engines = [engine("e1"), engine("e2")]
        self.booking = BookingStandin.from_config()
        self.membership = FakeMembership()
        for standin in self.engines:
            name = standin.runner.model.options.engine
            address = self.serve(standin)
            incarnation = standin.runner.model.incarnation
            self.membership.states[name] = Endpoint(name, address, incarnation=incarnation)
        self.membership.states["w"] = Endpoint("w", self.serve(self.booking), "quotes")
        options = node_options(caller_listen="127.0.0.1:0", endpoint_read_timeout_s=0.5)
        self.kernel = node_kernel(self.membership, options)
        self.kernel.start()
        self.addCleanup(self.kernel.stop)
        self.client = openai.OpenAI(
            base_url=f"http://{self.kernel.lookup('caller_http').address}/v1",
            api_key="key-of-school",
            max_retries=0,
            timeout=10,
        )

    def serve(self, standin) -> str:
        server = StandinServer.from_config(standin)
        server.start()
        self.addCleanup(server.stop, 0)
        return server.address

    def read(self, prompt: str = "q") -> str:
        chunks = self.client.chat.completions.create(
            model="marelle",
            messages=[{"role": "user", "content": prompt}],
            max_tokens=TOKENS,
            stream=True,
        )
        return "".join(chunk.choices[0].delta.content for chunk in chunks if chunk.choices)

    def test_each_fault_of_an_engine_is_invisible_to_the_caller(self) -> None:
        """Guards against foreign, missing or repeated text, and against needless loss."""
        expected = self.read()
        self.assertEqual(len(expected.split()), TOKENS)
        faults = (
            {"abort_next": 1, "abort_after_tokens": 7},
            {"abort_next": 1, "abort_after_tokens": 7, "abort_loses_stream": True},
            {"abort_next": 1, "abort_after_tokens": 7, "abort_clean": True},
            {"cross_next": 1},
            {"skip_next": 1, "fault_token": 5},
            {"repeat_next": 1, "fault_token": 5},
            {"stray_next": 1},
            {"lose_next_answers": 1},
            {"late_s": 0.2},
            {"late_s": 0.8},
            {"outage": True},
            {"refuse": True},
            {"restart": True},
        )
        for fault in faults:
            with self.subTest(str(fault)):
                self.engines[0].faults.update({"reset": True} | fault)
                self.assertEqual(self.read(), expected)
                self.engines[0].faults.update({"reset": True})
                # A stray answer that stays in the connection would be read here.
                self.assertEqual(self.read(), expected)

    def test_cancelled_stream_ends_at_the_engine(self) -> None:
        stream = self.client.completions.create(
            model="marelle", prompt="p", max_tokens=2000, stream=True
        )
        next(iter(stream))
        stream.close()
        for _ in range(100):
            if self.engines[0].runner.counts["cancelled"]:
                break
            sleep(0.02)
        self.assertEqual(self.engines[0].runner.counts["cancelled"], 1)

    def test_answers_of_plain_services_are_not_crossed(self) -> None:
        """Guards against an answer to one caller that another caller gets."""
        explain = self.kernel.lookup("explain")
        for fault in ("cross_next_answers", "lose_next_answers", "stray_next_answers"):
            with self.subTest(fault):
                for _ in range(2):
                    trace = explain.begin(explain.new_request_id(), "school", "guide")
                    call = PlainCall(
                        trace.request_id,
                        "a",
                        "guide",
                        "quotes",
                        "GET",
                        "/guide",
                        {},
                        b"",
                        True,
                        "",
                        trace,
                    )
                    try:
                        answer = self.kernel.lookup("bookings").submit(call)
                        self.assertIn(trace.request_id.encode(), answer.body)
                    except RouterError as error:
                        self.assertEqual(error.ran, "may_have_run")
                    self.booking.faults.update({fault: 1})
