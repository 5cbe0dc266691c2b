"""The demo client, the load tool and the traces, against nodes written for the test."""

import itertools
import json
import unittest
import uuid
from contextlib import redirect_stderr, redirect_stdout
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from types import SimpleNamespace

import gevent
import orjson
from bottle import Bottle, HTTPResponse, request

from arbutustally_standins.caller.client import Caller, CallFailedError, StreamResult
from arbutustally_standins.caller.commands import main
from arbutustally_standins.caller.events import parse_events
from arbutustally_standins.faults import answer
from arbutustally_standins.idempotency import new_uuid7
from arbutustally_standins.server import cut_connection
from arbutustally_standins.tokens import output_tokens, prompt_text
from bench.load import LoadOptions, LoadRun, speed_for
from bench.processes import free_addresses
from bench.workloads import DEPLOYMENTS, RAMDIN, TRACES, generate, messages, read, with_version
from tests.standins import StandinCase


def node(addresses, cut_after=None, refusal=None, wrong=False):
    """Returns a node that streams what an engine of version 1 would generate."""
    app = Bottle()
    seen = []

    def entry():
        return answer({"addresses": addresses, "ttl_s": 20})

    def complete():
        seen.append(dict(request.headers))
        if refusal is not None:
            return answer({"error": {"message": "no", **refusal}}, 503)
        body = orjson.loads(request.body.read())
        resumed = request.get_header("Last-Event-ID")
        start = int(resumed.partition(".")[2]) + 1 if resumed else 0
        return HTTPResponse(stream(body, start, request.environ), 200)

    def stream(body, start, environ):
        tokens = output_tokens(body["model"], "1", prompt_text(body))
        for index, token in enumerate(itertools.islice(tokens, body["max_tokens"])):
            if index < start:
                continue
            if index == cut_after:
                cut_connection(environ)
                return
            chunk = {"choices": [{"delta": {"content": "xxx " if wrong else token}}]}
            if index == body["max_tokens"] - 1:
                details = {"cached_tokens": 30}
                chunk["usage"] = {"prompt_tokens": 40, "prompt_tokens_details": details}
            yield b"id: s.%d\ndata: " % index + orjson.dumps(chunk) + b"\n\n"
        yield b"data: [DONE]\n\n"

    def book():
        seen.append(dict(request.headers))
        return answer({"booked": True})

    app.route("/entry", "GET", entry)
    app.route("/v1/chat/completions", "POST", complete)
    app.route("/v1/completions", "POST", complete)
    app.route(RAMDIN.plain_path, "POST", book)
    return SimpleNamespace(app=app, start=lambda: None, stop=lambda: None, seen=seen)


class CallerTest(StandinCase):
    def start(self, *args, **options):
        standin = node(*args, **options)
        return self.serve(standin).removeprefix("http://"), standin

    def caller(self, *entries, **options):
        return Caller.from_config(entries, "at-key", lambda _: gevent.sleep(0), **options)

    def test_stream_resumes_at_another_address(self):
        """Guards against a client that restarts a stream or loses a token when its node dies."""
        second, standin = self.start([])
        first, _ = self.start([], cut_after=4)
        entry, _ = self.start([first, second])
        body = {"model": "m", "max_tokens": 9, "prompt": "p"}
        result = StreamResult()
        texts = list(self.caller(entry).stream("/v1/completions", body, result))
        self.assertEqual(texts, list(itertools.islice(output_tokens("m", "1", "p"), 9)))
        self.assertEqual(result.nodes, [first, second])
        self.assertEqual(standin.seen[0]["Last-Event-Id"], "s.3")
        self.assertEqual(result.usage["prompt_tokens"], 40)

    def test_refusal_that_ran_is_not_repeated(self):
        """Guards against a client that repeats work which may have run."""
        for ran, calls in (("may_have_run", 1), ("not_run", 8)):
            refusal = {"code": "overloaded", "ran": ran}
            address, standin = self.start([], refusal=refusal)
            with self.assertRaises(CallFailedError):
                list(self.caller(address).stream("/v1/completions", {}, StreamResult()))
            self.assertEqual(len(standin.seen), calls)

    def test_booking_keeps_its_key_and_knows_what_was_not_sent(self):
        """Guards against a repeated booking under a new key and a false may_have_run."""
        [dead] = free_addresses(1)
        live, standin = self.start([])
        entry, _ = self.start([dead, live])
        key = new_uuid7()
        response = self.caller(entry).book("POST", RAMDIN.plain_path, {}, key)
        self.assertEqual(response.json(), {"booked": True})
        self.assertEqual([seen["Idempotency-Key"] for seen in standin.seen], [key])
        entry, _ = self.start([dead])
        with self.assertRaises(CallFailedError) as caught:
            self.caller(entry).book("POST", RAMDIN.plain_path, {})
        self.assertEqual((caught.exception.code, caught.exception.ran), ("unreachable", "not_run"))

    def test_command_prints_the_text_and_a_summary(self):
        """Guards against a demo client whose text or exit code is wrong."""
        address, _ = self.start([])
        arguments = ["--entry", address, "--route", "completions", "--prompt", "p"]
        out, err = StringIO(), StringIO()
        with redirect_stdout(out), redirect_stderr(err):
            code = main([*arguments, "--max-tokens", "5"])
        tokens = output_tokens("marelle", "1", "p")
        self.assertEqual(out.getvalue(), "".join(itertools.islice(tokens, 5)) + "\n")
        self.assertEqual((code, json.loads(err.getvalue())["nodes"]), (0, [address]))
        refused, _ = self.start([], refusal={"code": "overloaded", "ran": "may_have_run"})
        with redirect_stdout(out), redirect_stderr(err):
            self.assertEqual(main(["--entry", refused]), 1)

    def test_incomplete_event_is_dropped(self):
        """Guards against half an event that is shown as a token."""
        chunks = [b"id: a.1\nda", b"ta: x\n\nid: a.2\ndata: y"]
        self.assertEqual([event.id for event in parse_events(chunks)], ["a.1"])

    def test_uuid7_carries_its_time(self):
        """Guards against keys whose time a node cannot read."""
        key = uuid.UUID(new_uuid7(1_700_000_000.25))
        self.assertEqual((key.version, key.variant), (7, uuid.RFC_4122))
        self.assertEqual(key.int >> 80, 1_700_000_000_250)
        self.assertEqual(len({new_uuid7(1.0) for _ in range(100)}), 100)

    def test_load_run_counts_and_checks_output(self):
        """Guards against a report in which wrong or refused answers look right."""
        trace = read(TRACES / "ramdin.jsonl")
        trace = [trace[0], *(event for event in trace[1:] if event["at"] < 3.0)]
        total = sum(event["kind"] in ("completion", "booking") for event in trace[1:])
        bookings = sum(event["kind"] == "booking" for event in trace[1:])
        refusal = {"code": "overloaded", "ran": "not_run"}
        for behaviour, code in (({}, "ok"), ({"wrong": True}, "wrong_text")):
            codes = self.load(trace, **behaviour).codes()
            self.assertEqual(codes[code], total - bookings if code != "ok" else total)
        figures = self.load(trace, refusal=refusal)
        self.assertEqual(figures.codes()["overloaded"], total - bookings)
        with TemporaryDirectory() as directory:
            path = Path(directory, "load.csv")
            figures.write_csv(path)
            self.assertEqual(len(path.read_text().splitlines()), total + 1)
        self.assertIn(f"overloaded {total - bookings}", figures.table())

    def test_speed_gives_the_wanted_rate(self):
        """Guards against a run at another rate than the one reported."""
        trace = read(TRACES / "ramdin.jsonl")
        calls = sum(event["kind"] in ("completion", "booking") for event in trace)
        seconds = RAMDIN.duration_s / speed_for(trace, 40.0)
        self.assertAlmostEqual(calls / seconds, 40.0)

    def load(self, trace, **behaviour):
        address, _ = self.start([], **behaviour)
        options = LoadOptions((address,), {}, speed=6.0, versions=("1",), duration_s=10.0)
        return LoadRun.from_config(trace, options).run()


class WorkloadTest(unittest.TestCase):
    def test_committed_traces_are_those_of_the_seed(self):
        """Guards against measurements on a trace that nobody can generate again."""
        for name, deployment in DEPLOYMENTS.items():
            self.assertEqual(generate(deployment, 1), read(TRACES / f"{name}.jsonl"), name)

    def test_turns_extend_the_prompt_of_the_turn_before(self):
        """Guards against traces whose prefixes do not nest."""
        completions = [e for e in generate(RAMDIN, 2)[1:] if e["kind"] == "completion"]
        longest = {}
        for event in completions:
            text = prompt_text({"messages": messages(event)})
            first = (event["account"], event["parts"][1][0])
            before = longest.get(first)
            if before is not None:
                self.assertTrue(text.startswith(before))
            longest[first] = text
        self.assertLess(len(longest), len(completions))

    def test_only_the_burst_exceeds_its_rate(self):
        """Guards against a trace in which refusals within the rate cannot be told apart."""
        trace = generate(RAMDIN, 3)
        over = [e for e in trace if e["kind"] == "completion" and not e["within_rate"]]
        self.assertEqual({event["account"] for event in over}, {"account-3"})

    def test_versions_differ_in_behaviour_only(self):
        """Guards against comparisons of versions under different traffic."""
        good = generate(RAMDIN, 1)
        bad = with_version(good, "bad_late")
        self.assertEqual(bad, generate(RAMDIN, 1, "bad_late"))
        changed = [a["kind"] for a, b in zip(good, bad, strict=True) if a != b]
        self.assertEqual(changed, ["version_start"])
