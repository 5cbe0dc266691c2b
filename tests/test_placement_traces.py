"""Replays small recorded traces of placement; each step states its expected outcome."""

import json
import unittest
from dataclasses import replace
from pathlib import Path
from random import Random
from typing import Any

from arbutustally.clock import VirtualClock
from arbutustally.errors import NoEndpointError
from arbutustally.placement import Placement
from arbutustally.placement_types import Candidate, Observation, PlacementRequest
from arbutustally.prefixes import split_levels
from tests.policy_support import ClassTarget

TRACES = json.loads((Path(__file__).parent / "traces" / "placement.json").read_text())
ENDPOINTS = ("w1", "w2", "w3")


def build_shape(guide: str):
    return split_levels(
        [{"role": "system", "content": f"{guide} " * 3000}, {"role": "user", "content": "hello"}]
    )


class _TraceRunner:
    """Replays one trace against a placement."""

    def __init__(self, test: unittest.TestCase, trace: dict[str, Any]) -> None:
        self.test = test
        self.trace = trace
        self.clock = VirtualClock(100.0)
        self.placement = Placement.from_config(self.clock, Random(3))
        self.target = ClassTarget(**trace.get("target", {"first_token_ms": 500}))
        self.incarnations = dict.fromkeys(ENDPOINTS, 0)
        self.queues = dict.fromkeys(ENDPOINTS, 0)
        self.endpoint_by_label: dict[str, str] = {}

    def replay(self) -> None:
        for step in self.trace["steps"]:
            if "send" in step:
                self.send(step)
            elif "wait" in step:
                self.clock.advance(step["wait"])
            elif "restart" in step:
                self.incarnations[self.endpoint_by_label[step["restart"]]] += 1
            elif "queue" in step:
                self.queues[self.endpoint_by_label[step["queue"][0]]] = step["queue"][1]
            else:
                chosen = [self.endpoint_by_label[name] for name in step["different"]]
                self.test.assertEqual(len(set(chosen)), len(chosen), chosen)

    def request(self, account: str, version: str, guide: str) -> PlacementRequest:
        return PlacementRequest(account, "marelle", version, build_shape(guide), 10, self.target)

    def candidates(self, version: str) -> list[Candidate]:
        unloaded = self.trace.get("unloaded", ())
        return [
            Candidate(
                name,
                str(self.incarnations[name]),
                "zone",
                self.queues[name],
                0,
                version,
                name not in unloaded,
                self.trace.get("import", False),
                self.trace.get("report_age_s", 0.0),
            )
            for name in ENDPOINTS
        ]

    def send(self, step: dict[str, Any]) -> None:
        request = self.request(*step["send"])
        candidates = self.candidates(request.version)
        choice = self.placement.choose(request, candidates)
        self.endpoint_by_label[step.get("as", "")] = choice.endpoint
        if "answer" in step:
            self.placement.learn(
                Observation(
                    request.account,
                    "marelle",
                    request.version,
                    request.shape,
                    choice.endpoint,
                    choice.incarnation,
                    step["answer"],
                    request.shape.total_tokens,
                    request.shape.total_tokens / 8000,
                    choice.dispatch,
                )
            )
        self.check(step.get("expect", {}), request, candidates, choice)

    def check(self, expect: dict[str, Any], request, candidates, choice) -> None:
        test = self.test
        if "cached" in expect:
            test.assertEqual(choice.expected_cached_tokens, expect["cached"])
        if "cached_least" in expect:
            test.assertGreaterEqual(choice.expected_cached_tokens, expect["cached_least"])
        if "same_as" in expect:
            test.assertEqual(choice.endpoint, self.endpoint_by_label[expect["same_as"]])
        if "not_same_as" in expect:
            test.assertNotEqual(choice.endpoint, self.endpoint_by_label[expect["not_same_as"]])
        if "import" in expect:
            test.assertEqual(choice.import_kv, expect["import"])
        if "endpoint" in expect:
            test.assertEqual(choice.endpoint, expect["endpoint"])
        if "home" in expect:
            for seed in range(5):
                other = Placement.from_config(self.clock, Random(seed))
                shuffled = Random(seed).sample(candidates, len(candidates))
                test.assertEqual(other.choose(request, shuffled).endpoint, choice.endpoint)


class PlacementTraceTest(unittest.TestCase):
    def replay(self, name: str) -> None:
        (trace,) = [trace for trace in TRACES if trace["name"] == name]
        _TraceRunner(self, trace).replay()

    def test_no_candidate_of_the_version_is_refused(self) -> None:
        """Guards against a request running on a version other than the one picked for it."""
        runner = _TraceRunner(self, {"steps": []})
        request = runner.request("school", "v1", "g1")
        others = [replace(entry, version="v2") for entry in runner.candidates("v1")]
        with self.assertRaises(NoEndpointError):
            runner.placement.choose(request, others)

    def test_shortlist_of_many_candidates_keeps_homes_and_holders(self) -> None:
        """Guards against a shortlist that omits the endpoint that holds the prefix, or that makes
        nodes choose different endpoints for a cold prefix."""
        many = [Candidate(f"w{number}", "1", "zone-1", 0, 0, "v1") for number in range(400)]
        chosen = set()
        for seed in range(5):
            placement = Placement.from_config(VirtualClock(100.0), Random(seed))
            request = PlacementRequest(
                "school", "marelle", "v1", build_shape("cold"), 10, ClassTarget(first_token_ms=500)
            )
            first = placement.choose(request, many)
            busy = [
                replace(entry, queued_tokens=200) if entry.endpoint == first.endpoint else entry
                for entry in many
            ]
            placement.learn(
                Observation(
                    *("school", "marelle", "v1", request.shape),
                    *(first.endpoint, first.incarnation, 0, request.shape.total_tokens),
                )
            )
            self.assertEqual(placement.choose(request, busy).endpoint, first.endpoint)
            chosen.add(first.endpoint)
        self.assertEqual(len(chosen), 1)

    def test_reasons_name_target_cache_and_queue(self) -> None:
        """Guards against a choice whose reasons are not reported to the operator."""
        runner = _TraceRunner(self, {"steps": []})
        request = runner.request("school", "v1", "g1")
        text = "\n".join(runner.placement.choose(request, runner.candidates("v1")).reasons)
        for part in ("500 ms to first token", "prompt tokens", "queue takes", "rendezvous order"):
            self.assertIn(part, text)


def _add_trace(trace: dict[str, Any]) -> None:
    name = "test_" + trace["name"].lower().replace(" ", "_")
    function = lambda self: self.replay(trace["name"])  # noqa: E731
    function.__doc__ = f"Guards against an outcome other than: {trace['name']}."
    setattr(PlacementTraceTest, name, function)


for _trace in TRACES:
    _add_trace(_trace)
