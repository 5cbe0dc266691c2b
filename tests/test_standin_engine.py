"""Contracts of the engine stand-in over HTTP: streams, orders, cache and faults."""

import gevent
import orjson
import urllib3

from arbutustally.clock import VirtualClock
from arbutustally_standins.engine.app import EngineStandin
from arbutustally_standins.engine.faults import FailureRule, RuleBook
from arbutustally_standins.engine.options import EngineOptions
from arbutustally_standins.engine_types import EngineModelOptions
from arbutustally_standins.kv_store.app import KvStoreStandin
from arbutustally_standins.weight_store.app import WeightStoreStandin
from tests.standins import StandinCase

GUIDE = "a long guide of fabrics and frames. " * 260
FAST = EngineModelOptions(decode_step_s=0.001, decode_per_request_s=0.0, import_piece_s=0.0)


class EngineCase(StandinCase):
    def engine(self, **options):
        return self.serve(EngineStandin.from_config(EngineOptions(FAST, **options)))

    def body(self, request_id, **more):
        body = {"prompt": GUIDE, "max_tokens": 8, "request_id": request_id, "stream": True}
        return {**body, **more}

    def chunks(self, method, url, body=None):
        """Returns the chunks of a stream, whether it was complete and whether it was cut."""
        response = self.http.request(method, url, json=body, preload_content=False)
        data, cut = b"", False
        try:
            for part in response.stream(512):
                data += part
        except urllib3.exceptions.ProtocolError:
            cut = True
        events = [line[6:] for line in data.split(b"\n") if line.startswith(b"data: ")]
        complete = b"[DONE]" in events
        return [orjson.loads(event) for event in events if event != b"[DONE]"], complete, cut

    def complete(self, url, request_id, route="completions", **more):
        body = self.body(request_id, **more)
        if route == "chat/completions":
            body["messages"] = [{"role": "user", "content": body.pop("prompt")}]
        return self.chunks("POST", f"{url}/v1/{route}", body)

    def tokens(self, chunks):
        choices = [chunk["choices"][0] for chunk in chunks]
        return [(choice["token_index"], choice["delta"]["content"]) for choice in choices]

    def counts(self, url):
        return self.get(f"{url}/stats")["counts"]


class StreamTest(EngineCase):
    def test_cut_stream_resumes_and_continues_elsewhere_alike(self):
        """Guards against a resume or continuation with a gap, a repeat or other text."""
        one, two = self.engine(), self.engine()
        expected, complete, _ = self.complete(two, "whole")
        self.assertTrue(complete)
        self.assertEqual([index for index, _ in self.tokens(expected)], list(range(8)))
        self.fault(one, abort_next=1, abort_after_tokens=3)
        first, complete, cut = self.complete(one, "r1")
        self.assertEqual((complete, cut, len(first)), (False, True, 3))
        resumed, complete, _ = self.chunks("GET", f"{one}/v1/streams/r1?from=3")
        self.assertTrue(complete)
        self.assertEqual(self.tokens(first) + self.tokens(resumed), self.tokens(expected))
        emitted = [text for _, text in self.tokens(first)]
        continued, complete, _ = self.complete(two, "r1", continue_tokens=emitted)
        self.assertTrue(complete)
        self.assertEqual(self.tokens(continued), self.tokens(expected)[3:])
        self.assertEqual(continued[-1]["usage"]["completion_tokens"], 8)

    def test_lost_stream_cannot_be_resumed(self):
        """Guards against an engine that resumes a stream which its restart has lost."""
        url = self.engine()
        before = self.get(f"{url}/v1/load")["incarnation"]
        self.fault(url, slow_factor=20.0)
        reading = gevent.spawn(self.complete, url, "r1", prompt="short", max_tokens=200)
        while not self.counts(url).get("output_tokens"):
            gevent.sleep(0.005)
        self.fault(url, restart=True, slow_factor=1.0)
        _, complete, cut = reading.get(timeout=20)
        self.assertEqual((complete, cut), (False, True))
        self.assertNotEqual(self.get(f"{url}/v1/load")["incarnation"], before)
        self.assertEqual(self.http.request("GET", f"{url}/v1/streams/r1?from=1").status, 404)
        again, _, _ = self.complete(url, "r2")
        self.assertEqual(again[-1]["usage"]["prompt_tokens_details"]["cached_tokens"], 0)

    def test_faults_show_in_the_chunks(self):
        """Guards against crossed, skipped, repeated and early ends that are not sent."""
        url = self.engine()
        self.complete(url, "r0")
        self.fault(url, cross_next=1, cross_after_tokens=2)
        chunks, _, _ = self.complete(url, "r1")
        self.assertEqual([chunk["id"] for chunk in chunks], ["r1"] * 2 + ["r0"] * 6)
        self.fault(url, skip_next=1)
        chunks, _, _ = self.complete(url, "r2")
        self.assertEqual([index for index, _ in self.tokens(chunks)], [0, 1, 3, 4, 5, 6, 7])
        self.fault(url, repeat_next=1)
        chunks, _, _ = self.complete(url, "r3")
        self.assertEqual([index for index, _ in self.tokens(chunks)][:4], [0, 1, 2, 2])
        self.fault(url, abort_next=1, abort_clean=True)
        chunks, complete, cut = self.complete(url, "r4")
        self.assertEqual((len(chunks), complete, cut), (3, False, False))

    def test_cancel_ends_the_work(self):
        """Guards against cancelled requests that go on using the batch."""
        url = self.engine()
        self.fault(url, slow_factor=50.0)
        reading = gevent.spawn(self.complete, url, "r1", prompt="short", max_tokens=1000)
        while not self.counts(url).get("output_tokens"):
            gevent.sleep(0.005)
        answer = self.http.request("DELETE", f"{url}/v1/requests/r1").json()
        self.assertEqual(answer, {"cancelled": True})
        chunks, complete, _ = reading.get(timeout=20)
        self.assertEqual((chunks[-1]["error"]["code"], complete), ("stream_lost", False))
        self.assertEqual(self.get(f"{url}/stats")["running"], 0)

    def test_bad_version_fails_on_its_route_only(self):
        """Guards against failure rules that hit other versions or routes."""
        url = self.serve(
            EngineStandin.from_config(EngineOptions(EngineModelOptions(versions=("1", "2"))))
        )
        self.fault(url, rules=[{"version": "2", "route": "chat", "rate": 1.0}])
        for version, route, status in (
            ("1", "chat/completions", 200),
            ("2", "completions", 200),
            ("2", "chat/completions", 500),
        ):
            body = {"messages": [{"role": "user", "content": "a"}], "prompt": "a", "max_tokens": 1}
            answer = self.post(f"{url}/v1/{route}", {**body, "weights_version": version})
            self.assertEqual(answer.status, status, (version, route))

    def test_rules_wait_for_their_time_and_their_load(self):
        """Guards against a late or load-dependent fault that shows at once."""
        clock = VirtualClock()
        rules = RuleBook(clock, seed=1)
        late = FailureRule(version="2", rate=1.0, after_s=5.0)
        loaded = FailureRule(version="2", rate=1.0, slow_factor=3.0, above_running=4, at_token=6)
        rules.replace((late, loaded))
        self.assertFalse(rules.judge("2", "chat", 4).fails)
        self.assertEqual(rules.judge("2", "chat", 5).at_token, 6)
        self.assertEqual(rules.slow_factors(("1", "2"), 5), {"1": 1.0, "2": 3.0})
        self.assertEqual(rules.slow_factors(("1", "2"), 4), {"1": 1.0, "2": 1.0})
        clock.advance(5.0)
        rules.replace((late, loaded))
        self.assertTrue(rules.judge("2", "chat", 0).fails)
        self.assertFalse(rules.judge("1", "chat", 9).fails)

    def test_late_and_lost_answers_have_run(self):
        """Guards against a lost answer whose work did not run."""
        url = self.engine()
        self.fault(url, lose_next_answers=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.post(f"{url}/v1/completions", self.body("r1", stream=False))
        self.fault(url, late_s=0.3)
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            body = self.body("r2", stream=False, prompt="short")
            self.http.request("POST", f"{url}/v1/completions", json=body, timeout=0.15)
        with gevent.Timeout(20):
            while self.counts(url).get("finished") != 2:
                gevent.sleep(0.02)
        self.assertEqual(self.get(f"{url}/stats")["runs"], {"r1": 1, "r2": 1})

    def test_headers_are_recorded(self):
        """Guards against a key that reaches the engine unseen."""
        url = self.engine()
        self.post(f"{url}/v1/completions", self.body("r1"), Authorization="Bearer at-1")
        received = self.get(f"{url}/stats")["received"]
        self.assertEqual(received[-1]["headers"]["Authorization"], "Bearer at-1")


class CacheTest(EngineCase):
    def cached(self, url, request_id, **more):
        chunks, _, _ = self.complete(url, request_id, **more)
        return chunks[-1]["usage"]["prompt_tokens_details"]

    def test_hits_need_the_same_account_and_the_same_weights(self):
        """Guards against cached counts that ignore the salt or the version."""
        url = self.serve(
            EngineStandin.from_config(EngineOptions(EngineModelOptions(versions=("1", "2"))))
        )
        self.assertEqual(self.cached(url, "r1", cache_salt="a")["cached_tokens"], 0)
        self.assertGreater(self.cached(url, "r2", cache_salt="a")["cached_tokens"], 2000)
        self.assertEqual(self.cached(url, "r3", cache_salt="b")["cached_tokens"], 0)
        other = self.cached(url, "r4", cache_salt="a", weights_version="2")
        self.assertEqual(other["cached_tokens"], 0)

    def test_pieces_travel_by_the_kv_store(self):
        """Guards against an import that hits without an export or across accounts."""
        store = self.serve(KvStoreStandin.from_config())
        one, two = self.engine(kv_url=store), self.engine(kv_url=store)
        self.assertEqual(self.cached(two, "r0", kv_import=True)["imported_tokens"], 0)
        self.fault(two, restart=True)
        self.complete(one, "r1")
        exported = self.post(f"{one}/v1/kv/export", self.body("x")).json()
        self.assertEqual(exported, {"pieces": 2})
        self.assertEqual(
            self.cached(two, "r2", kv_import=True), {"cached_tokens": 0, "imported_tokens": 2016}
        )
        salted = self.cached(two, "r3", kv_import=True, cache_salt="b")
        self.assertEqual(salted["imported_tokens"], 0)
        self.fault(store, outage=True)
        self.fault(two, restart=True)
        self.assertEqual(self.cached(two, "r4", kv_import=True)["imported_tokens"], 0)

    def test_cache_events_are_late_and_have_gaps(self):
        """Guards against a reader that may trust the event stream."""
        url = self.engine()
        self.fault(url, event_delay_s=600.0)
        self.complete(url, "r1")
        events = f"{url}/v1/cache/events?after=0"
        self.assertEqual(self.get(events)["events"], [])
        self.fault(url, event_delay_s=0.0, event_loss=1.0)
        self.complete(url, "r2", prompt="other " * 100)
        self.fault(url, event_loss=0.0)
        self.complete(url, "r3", prompt="third " * 100)
        numbers = [event["seq"] for event in self.get(events)["events"]]
        self.assertEqual(self.get(f"{url}/stats")["events_lost"], numbers[1] - numbers[0] - 1)
        self.assertGreater(numbers[1] - numbers[0], 1)


class OrderTest(EngineCase):
    def order(self, url, **order):
        return self.post(f"{url}/v1/orders", order)

    def wait_for(self, url, version):
        with gevent.Timeout(20):
            while version not in self.get(f"{url}/v1/load")["versions"]:
                gevent.sleep(0.02)

    def test_load_asks_the_weight_store_and_serves_beside_the_old_version(self):
        """Guards against a version that serves before its weights have arrived."""
        store = self.serve(WeightStoreStandin(0.05, 2))
        url = self.engine(weights_url=store)
        self.fault(store, slow_s=0.3)
        answer = self.order(url, order="load", model="marelle", version="2", fence=1)
        self.assertEqual(answer.json(), {"state": "loading"})
        early = self.post(f"{url}/v1/completions", self.body("r1", weights_version="2"))
        self.assertEqual((early.status, early.json()["error"]["code"]), (409, "version_mismatch"))
        self.wait_for(url, "2")
        self.assertEqual(self.get(f"{store}/stats")["loads"], {"marelle/2": 1})
        chunks, complete, _ = self.complete(url, "r2", weights_version="2")
        self.assertEqual((chunks[0]["version"], complete), ("2", True))
        self.assertEqual(self.get(f"{url}/v1/load")["versions"], ["1", "2"])

    def test_stale_fence_is_refused_only_where_checked(self):
        """Guards against engines of one kind only; some ignore fencing numbers."""
        for checks, status in ((True, 409), (False, 200)):
            url = self.engine(checks_fencing=checks)
            self.order(url, order="role", role="prefill", fence=7)
            answer = self.order(url, order="unload", version="1", fence=6)
            self.assertEqual(answer.status, status)
            versions = self.get(f"{url}/v1/load")["versions"]
            self.assertEqual(versions, ["1"] if checks else [])

    def test_failed_load_is_not_reported_as_loaded(self):
        """Guards against a version that counts as loaded though the store has failed."""
        store = self.serve(WeightStoreStandin(0.01, 2))
        url = self.engine(weights_url=store)
        self.fault(store, missing=["9"])
        self.order(url, order="load", version="9", fence=1)
        with gevent.Timeout(20):
            while not self.counts(url).get("loads_failed"):
                gevent.sleep(0.02)
        self.assertEqual(self.get(f"{url}/v1/load")["versions"], ["1"])
