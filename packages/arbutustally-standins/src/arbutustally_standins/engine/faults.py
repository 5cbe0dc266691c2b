"""Faults of the engine and the rules by which versions and routes fail."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from arbutustally.clock import Clock


@dataclass(frozen=True)
class FailureRule:
    """How requests of one version or route fail.

    :ivar version: weights version, empty for all.
    :ivar route: ``chat`` or ``completions``, empty for both.
    :ivar rate: probability that a request fails.
    :ivar at_token: the connection is cut after this many tokens; ``-1`` fails with status 500
        before any work.
    :ivar slow_factor: multiplies the duration of steps with requests of the version; the route
        is not considered.
    :ivar delay_s: delay before each request.
    :ivar after_s: the rule begins this long after it was set.
    :ivar above_running: the rule holds while more requests run.
    """

    version: str = ""
    route: str = ""
    rate: float = 0.0
    at_token: int = -1
    slow_factor: float = 1.0
    delay_s: float = 0.0
    after_s: float = 0.0
    above_running: int = -1


@dataclass(frozen=True)
class EngineFaults:
    """Faults of the engine; counts are of answers, negative for all.

    :ivar outage: every call is answered with status 503 and has no effect.
    :ivar refuse: every connection is closed without an answer and without effect.
    :ivar slow_s: delay before a call takes effect.
    :ivar slow_factor: multiplies the duration of all steps.
    :ivar rules: failures by version and route.
    :ivar abort_next: streams that are cut.
    :ivar abort_after_tokens: tokens sent before a stream is cut.
    :ivar abort_clean: end a cut stream like a complete one, without finish reason and ``[DONE]``.
    :ivar abort_loses_stream: drop a cut stream, so that it cannot be resumed.
    :ivar cross_next: answers replaced by those to another request; a stream changes over after
        ``cross_after_tokens``.
    :ivar skip_next: streams in which the token numbered ``fault_token`` is left out.
    :ivar repeat_next: streams in which that token is sent twice.
    :ivar stray_next: answers after which another one follows unasked.
    :ivar late_s: delay between the end of the work and the answer, or before a stream's answer.
    :ivar lose_next_answers: completions that are cut before their first byte, after they ran.
    :ivar load_fails: orders to load fail after they were accepted.
    :ivar event_delay_s: time until readers see a cache event.
    :ivar event_loss: probability that a cache event is lost.
    :ivar lose_next_orders: orders that take effect and whose answer is lost.
    :ivar restart: cut every connection, lose all work and the cache, and begin a new incarnation
        in the same process; clears itself.
    :ivar crash: end the process at once.
    """

    outage: bool = False
    refuse: bool = False
    slow_s: float = 0.0
    slow_factor: float = 1.0
    rules: tuple[FailureRule, ...] = ()
    abort_next: int = 0
    abort_after_tokens: int = 3
    abort_clean: bool = False
    abort_loses_stream: bool = False
    cross_next: int = 0
    cross_after_tokens: int = 0
    skip_next: int = 0
    repeat_next: int = 0
    fault_token: int = 2
    stray_next: int = 0
    late_s: float = 0.0
    lose_next_answers: int = 0
    load_fails: bool = False
    event_delay_s: float = 0.2
    event_loss: float = 0.05
    lose_next_orders: int = 0
    restart: bool = False
    crash: bool = False


def decode_rules(values: Sequence[dict[str, Any]]) -> tuple[FailureRule, ...]:
    """Converts rules from JSON."""
    return tuple(FailureRule(**value) for value in values)


@dataclass(frozen=True)
class Failure:
    """What the rules do to one request.

    :ivar fails: it fails.
    :ivar at_token: where; ``-1`` is before any work.
    :ivar delay_s: delay before it.
    """

    fails: bool = False
    at_token: int = -1
    delay_s: float = 0.0


class RuleBook:
    """Applies failure rules.

    :param seed: chooses the requests that fail.
    """

    def __init__(self, clock: Clock, seed: int) -> None:
        self._clock = clock
        self._random = random.Random(seed)
        self._rules: tuple[FailureRule, ...] = ()
        self._set_at = clock()

    def replace(self, rules: tuple[FailureRule, ...]) -> None:
        """Sets the rules; their delays begin now unless they are the same as before."""
        if rules != self._rules:
            self._rules = rules
            self._set_at = self._clock()

    def judge(self, version: str, route: str, running: int) -> Failure:
        """Decides what happens to one request."""
        delay_s = 0.0
        failure = Failure()
        for rule in self._active(running):
            if rule.version not in ("", version) or rule.route not in ("", route):
                continue
            delay_s += rule.delay_s
            if self._random.random() < rule.rate:
                failure = Failure(True, rule.at_token)
        return Failure(failure.fails, failure.at_token, delay_s)

    def slow_factors(self, versions: Sequence[str], running: int) -> dict[str, float]:
        """Returns the slow factor of each version."""
        factors = dict.fromkeys(versions, 1.0)
        for rule in self._active(running):
            for version in versions:
                if rule.version in ("", version):
                    factors[version] *= rule.slow_factor
        return factors

    def _active(self, running: int) -> list[FailureRule]:
        age = self._clock() - self._set_at
        return [r for r in self._rules if age >= r.after_s and running > r.above_running]
