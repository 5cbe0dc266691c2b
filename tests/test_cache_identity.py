"""Cache identity: expected cache hits never cross accounts, weights or incarnations."""

import unittest
from random import Random

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from arbutustally.clock import VirtualClock
from arbutustally.placement import Placement
from arbutustally.placement_types import Candidate, Observation, PlacementRequest
from arbutustally.prefixes import split_levels
from tests.policy_support import ClassTarget

ENDPOINTS = ("w1", "w2", "w3")
ACCOUNTS = st.sampled_from(("school", "clinic"))
VERSIONS = st.sampled_from(("v1", "v2"))
PROMPTS = st.tuples(st.integers(0, 1), st.integers(0, 2), st.integers(0, 2))
TARGET = ClassTarget(first_token_ms=500.0)
#: Tokens of roles, delimiters, the fixed assistant message and rounding, which ``texts`` omits.
FRAME_TOKENS = 16


def texts(prompt: tuple[int, int, int]) -> tuple[str, str, str]:
    guide, history, question = prompt
    return (f"guide{guide} " * 900, f"history{history} " * 700, f"question{question} " * 40)


def messages(prompt: tuple[int, int, int]) -> list[dict]:
    guide, history, question = texts(prompt)
    return [
        {"role": "system", "content": guide},
        {"role": "user", "content": history},
        {"role": "assistant", "content": "noted"},
        {"role": "user", "content": question},
    ]


def shared_tokens(one: tuple[int, int, int], other: tuple[int, int, int]) -> int:
    """Returns an upper bound of the tokens in the common prefix of two prompts."""
    left, right = "".join(texts(one)), "".join(texts(other))
    same = 0
    while same < min(len(left), len(right)) and left[same] == right[same]:
        same += 1
    return same // 4 + FRAME_TOKENS


class CacheIdentityMachine(RuleBasedStateMachine):
    """Model: all prompts sent to each engine incarnation, by account and weights version."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = VirtualClock()
        self.placement = Placement.from_config(self.clock, Random(7))
        self.incarnations = dict.fromkeys(ENDPOINTS, 0)
        self.sent: dict[tuple, list] = {}
        self.answers: list[Observation] = []
        self.excess: list[str] = []

    @rule(account=ACCOUNTS, version=VERSIONS, prompt=PROMPTS)
    def send(self, account: str, version: str, prompt: tuple) -> None:
        shape = split_levels(messages(prompt))
        candidates = [
            Candidate(name, str(self.incarnations[name]), "zone", 0, 0, version)
            for name in ENDPOINTS
        ]
        request = PlacementRequest(account, "marelle", version, shape, 10, TARGET)
        choice = self.placement.choose(request, candidates)
        for estimate in choice.ranked:
            engine_key = (estimate.endpoint, estimate.incarnation, account, version)
            truth = max(
                (shared_tokens(prompt, old) for old in self.sent.get(engine_key, ())), default=0
            )
            if estimate.cached_tokens > truth:
                self.excess.append(f"{engine_key}: {estimate.cached_tokens} > {truth}")
        engine_key = (choice.endpoint, choice.incarnation, account, version)
        self.sent.setdefault(engine_key, []).append(prompt)
        self.answers.append(
            Observation(
                account,
                "marelle",
                version,
                shape,
                choice.endpoint,
                choice.incarnation,
                choice.expected_cached_tokens,
                shape.total_tokens,
                0.2,
                choice.dispatch,
            )
        )

    @rule(number=st.integers(0, 50))
    def answer(self, number: int) -> None:
        """Delivers a response, possibly repeatedly or long after its engine crashed."""
        if self.answers:
            self.placement.learn(self.answers[number % len(self.answers)])

    @rule(name=st.sampled_from(ENDPOINTS), noticed=st.booleans())
    def crash(self, name: str, noticed: bool) -> None:
        """Restarts an engine with an empty cache.

        Unless the crash is noticed, the node learns of it only from the new incarnation.
        """
        if noticed:
            self.placement.drop(name, str(self.incarnations[name]))
        self.incarnations[name] += 1

    @rule(seconds=st.floats(0.0, 20.0))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @invariant()
    def relies_only_on_own_cache(self) -> None:
        assert not self.excess, self.excess


CacheIdentityMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, phases=[Phase.generate]
)
CacheIdentityTest = CacheIdentityMachine.TestCase


class LateEventTest(unittest.TestCase):
    def test_late_answer_of_dead_engine_is_not_learned(self) -> None:
        """Guards against a response after the crash restoring the entries of the dead engine."""
        placement = Placement.from_config(VirtualClock(), Random(1))
        shape = split_levels(messages((0, 0, 0)))
        request = PlacementRequest("school", "marelle", "v1", shape, 10, TARGET)
        candidates = [Candidate("w1", "a", "zone", 0, 0, "v1")]
        placement.drop("w1", "a")
        placement.learn(
            Observation("school", "marelle", "v1", shape, "w1", "a", 900, shape.total_tokens)
        )
        self.assertEqual(placement.choose(request, candidates).expected_cached_tokens, 0)
