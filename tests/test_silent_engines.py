"""Silent engines: overloaded ones stay in use, stopped ones are avoided."""

import gevent
import urllib3

from arbutustally_node.gateway.request_run import HEDGE_DELAY_S
from tests.engine_answers import events, signed, steady_stream
from tests.fake_configuration import configuration
from tests.gateway_fleet import GatewayCase


class SilentEngineTest(GatewayCase):
    """Requests that wait longer for one engine than another one needs to answer them."""

    REQUESTS = 5
    #: Earlier requests, so that half of the repeat budget suffices for the whole burst.
    EARLIER = 50
    LATE_S = HEDGE_DELAY_S + 1.0

    def setUp(self) -> None:
        super().setUp()
        self.node = self.start_node()
        self.wait_ready(self.node)
        changed = configuration(2)
        changed["routes"][0] |= {"timeoutMs": 6000}
        self.store.put("keyed.op", "config", changed)
        self.eventually(lambda: self.node._view.configuration.version == 2)
        for _ in range(self.EARLIER):
            self.node._services.exchange._services.repeats.record_request("llm")

    def send_to_first_engine(self, running) -> None:
        """Sends one request that runs at the first engine, then some that get no head in time.

        :param running: behaviour of the engine for the running request.
        """

        def late(headers):
            if headers["Request-Id"] == "running":
                return running(headers)
            gevent.sleep(self.LATE_S)
            return None

        self.engines[0].behave = late
        first, second = (self.node._view.book.get(engine.id) for engine in self.engines)
        second.prompt_tokens += 1e5
        calls = [gevent.spawn(self.ask, "running")]
        self.eventually(lambda: first.running == 1)
        gevent.sleep(0.3)
        calls += [gevent.spawn(self.ask, f"r{number}") for number in range(self.REQUESTS)]
        self.eventually(lambda: first.running == self.REQUESTS + 1)
        second.prompt_tokens -= 1e5
        gevent.joinall(calls[1:], raise_error=True)
        self.assertEqual(sorted(self.engines[1].ran)[: self.REQUESTS], self.names())

    def names(self) -> list[str]:
        return [f"r{number}" for number in range(self.REQUESTS)]

    def ask(self, request_id: str) -> None:
        answer = self.call(self.node, "/chat/x", request_id, Deadline_Ms="5000")
        self.assertEqual(answer.status, 200)

    def usable(self) -> list[str]:
        return sorted(state.id for state in self.node._view.book.usable("llm"))

    def test_engine_that_is_behind_goes_on_to_be_chosen(self) -> None:
        """Replays a burst whose start is delayed at an engine that continues its running request.

        Guards against a burst that makes the node avoid engines, which would delay later requests
        as well.
        """

        self.send_to_first_engine(steady_stream)
        self.assertEqual(self.usable(), ["e1", "e2"])

    def test_engine_at_work_at_the_callers_deadlines_goes_on_to_be_chosen(self) -> None:
        """Replays long responses with short deadlines: streams still make progress at expiry."""

        for engine in self.engines:
            engine.behave = steady_stream
        calls = [gevent.spawn(self.ask_briefly, f"r{number}") for number in range(10)]
        gevent.joinall(calls, raise_error=True)
        self.assertEqual(self.usable(), ["e1", "e2"])
        failures = [state.failures for state in self.node._view.book.of_service("llm")]
        self.assertEqual(failures, [0.0, 0.0])

    def ask_briefly(self, request_id: str) -> None:
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.call(self.node, "/chat/x", request_id, Deadline_Ms="1000")

    def test_engine_that_hangs_is_avoided(self) -> None:
        """Guards against routing callers to an engine that stopped in the middle of a stream."""

        def hangs(headers):
            def body():
                yield events(1, 2)
                gevent.sleep(9.0)

            return signed(headers, body())

        self.send_to_first_engine(hangs)
        self.assertEqual(self.usable(), ["e2"])
