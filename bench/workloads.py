"""Seeded generator of small traces for the two deployments of section 1 of the design.

A trace is JSON lines: a header with the fleet and the accounts, then events in order of time.
Prompts are given by names and lengths; ``messages`` turns them into text.
"""

import argparse
import hashlib
import json
import random
from collections.abc import Iterable
from dataclasses import asdict, dataclass, replace
from pathlib import Path
from typing import Any

TRACES = Path(__file__).parent / "traces"
BURST_FACTOR = 5
_RATE_HEADROOM = 1.6
_BURST_S = 10.0

Event = dict[str, Any]


@dataclass(frozen=True)
class Deployment:
    """Sizes of one deployment and of its traffic.

    :ivar full_speed_loads: weight loads at once that are not slowed.
    :ivar rtt_ms: between availability zones.
    :ivar requests_per_s: mean rate of all accounts, bookings included.
    :ivar booking_share: fraction of requests that are bookings.
    :ivar guide_tokens: shortest and longest guide.
    """

    name: str
    model: str
    model_workers: int
    plain_workers: int
    zones: int
    rtt_ms: float
    load_s: float
    full_speed_loads: int
    plain_path: str
    guides: int
    guide_tokens: tuple[int, int]
    question_tokens: tuple[int, int]
    output_tokens: tuple[int, int]
    turns: int
    booking_share: float
    requests_per_s: float
    entry_nodes: int = 6
    duration_s: float = 30.0


RAMDIN = Deployment(
    name="ramdin",
    model="marelle",
    model_workers=6,
    plain_workers=4,
    zones=4,
    rtt_ms=1.0,
    load_s=0.5,
    full_speed_loads=2,
    plain_path="/bookings/hire",
    guides=8,
    guide_tokens=(1200, 2600),
    question_tokens=(20, 120),
    output_tokens=(16, 48),
    turns=5,
    booking_share=0.12,
    requests_per_s=12.0,
)
HOLLYBANK = Deployment(
    name="hollybank",
    model="selvedge",
    model_workers=9,
    plain_workers=3,
    zones=3,
    rtt_ms=1.5,
    load_s=0.33,
    full_speed_loads=3,
    plain_path="/quotes/confirm",
    guides=5,
    guide_tokens=(2500, 4500),
    question_tokens=(60, 300),
    output_tokens=(12, 40),
    turns=3,
    booking_share=0.08,
    requests_per_s=12.0,
)
DEPLOYMENTS = {deployment.name: deployment for deployment in (RAMDIN, HOLLYBANK)}

#: Share of the requests of each account; the first ones are the large ones.
ACCOUNT_SHARES = (0.38, 0.30, 0.16, 0.10, 0.06)

#: Failure rules of the engine stand-in by behaviour of a new version.
VERSIONS: dict[str, list[dict[str, Any]]] = {
    "good": [],
    "bad_at_once": [{"rate": 0.5}],
    "bad_late": [{"rate": 0.5, "after_s": 8.0}],
    "bad_under_load": [{"rate": 0.4, "slow_factor": 4.0, "above_running": 3}],
    "bad_on_one_route": [{"rate": 0.6, "route": "completions"}],
    "slow": [{"slow_factor": 3.0}],
}


def text(name: str, tokens: int) -> str:
    """Returns the text of a named part, 4 bytes a token; a longer one extends a shorter one."""
    letters = hashlib.shake_128(name.encode()).hexdigest(tokens * 2)
    return "".join(letters[i : i + 3] + " " for i in range(0, tokens * 3, 3))


def messages(event: Event) -> list[dict[str, str]]:
    """Returns the chat messages of a completion event."""
    guide, *rest = event["parts"]
    shown = [{"role": "system", "content": text(*guide)}]
    for number, part in enumerate(rest):
        role = "assistant" if number % 2 else "user"
        shown.append({"role": role, "content": text(*part)})
    return shown


def tokens(event: Event) -> int:
    """Returns the tokens that a completion event may use, output included."""
    return sum(length for _, length in event["parts"]) + event["max_tokens"]


class _Traffic:
    """State of the traffic of one deployment."""

    def __init__(self, deployment: Deployment, rng: random.Random) -> None:
        self._deployment = deployment
        self._rng = rng
        self._talks: dict[str, list[list[list[Any]]]] = {}
        self._names = 0
        self._order = list(range(deployment.guides))

    def shift_hot_guides(self) -> None:
        """Changes which guides are hot."""
        self._order = self._order[3:] + self._order[:3]

    def completion(self, at: float, account: str) -> Event:
        """Returns the next turn of a conversation, or the first of a new one."""
        low, high = self._deployment.output_tokens
        parts = self._continue(account) or self._begin(account)
        route = "completions" if self._rng.random() < 0.15 else "chat"
        return {
            "at": at,
            "kind": "completion",
            "account": account,
            "route": route,
            "parts": [list(part) for part in parts],
            "max_tokens": self._rng.randint(low, high),
        }

    def booking(self, at: float, account: str) -> Event:
        """Returns a booking with a body of its own."""
        self._names += 1
        body = {"item": f"item-{self._rng.randrange(40)}", "order": self._names}
        return {"at": at, "kind": "booking", "account": account, "body": body}

    def _question(self) -> list[Any]:
        self._names += 1
        return [f"q{self._names}", self._rng.randint(*self._deployment.question_tokens)]

    def _begin(self, account: str) -> list[list[Any]]:
        # A Zipf-like choice keeps one or two guides very hot.
        weights = [1 / (rank + 1) ** 1.4 for rank in range(self._deployment.guides)]
        number = self._rng.choices(self._order, weights)[0]
        low, high = self._deployment.guide_tokens
        length = low + (high - low) * number // max(1, self._deployment.guides - 1)
        talk = [[f"{account}/guide{number}", length], self._question()]
        self._talks.setdefault(account, []).append(talk)
        return talk

    def _continue(self, account: str) -> list[list[Any]] | None:
        talks = self._talks.get(account, [])
        if not talks or self._rng.random() < 0.35:
            return None
        # Callers mostly go on with what they did last.
        talk = talks[-1 - min(len(talks) - 1, int(self._rng.expovariate(0.5)))]
        if len(talk) >= 2 * self._deployment.turns:
            talks.remove(talk)
            return None
        self._names += 1
        answer = [f"a{self._names}", self._rng.randint(*self._deployment.output_tokens)]
        talk.extend([answer, self._question()])
        return talk


def generate(deployment: Deployment, seed: int, version: str = "good") -> list[Event]:
    """Returns a trace: header, then events in order of time.

    :param version: behaviour of the version that starts at a third of the trace.
    """
    rng = random.Random(f"{deployment.name}/{seed}")
    traffic = _Traffic(deployment, rng)
    events = _requests(deployment, rng, traffic)
    accounts = _accounts(deployment, events)
    events.extend(_happenings(deployment, rng, version))
    events.sort(key=lambda event: event["at"])
    _mark_within_rate(events, accounts)
    header = {
        "kind": "header",
        "seed": seed,
        # As JSON holds it, so that a generated trace equals the same trace read from a file.
        "deployment": json.loads(json.dumps(asdict(deployment))),
        "accounts": accounts,
    }
    return [header, *events]


def _account_name(number: int) -> str:
    return f"account-{number + 1}"


@dataclass(frozen=True)
class _Arrival:
    at: float
    account: str
    extra: bool = False


def _arrivals(
    rng: random.Random, rate: float, begin: float, end: float, accounts: dict[str, float]
) -> list[tuple[float, str]]:
    """Returns Poisson arrivals with accounts drawn by weight."""
    arrivals = []
    at = begin
    while (at := at + rng.expovariate(rate)) < end:
        arrivals.append((round(at, 4), rng.choices(list(accounts), list(accounts.values()))[0]))
    return arrivals


def _requests(deployment: Deployment, rng: random.Random, traffic: _Traffic) -> list[Event]:
    duration = deployment.duration_s
    shares = {_account_name(number): share for number, share in enumerate(ACCOUNT_SHARES)}
    usual = _arrivals(rng, deployment.requests_per_s, 0.0, duration, shares)
    arrivals = [_Arrival(at, account) for at, account in usual]
    arrivals.extend(_burst(deployment, rng))
    shifts = [duration / 3, duration * 2 / 3]
    events = []
    for arrival in sorted(arrivals, key=lambda arrival: arrival.at):
        if shifts and arrival.at >= shifts[0]:
            events.append({"at": shifts.pop(0), "kind": "hot_shift"})
            traffic.shift_hot_guides()
        events.append(_request(deployment, rng, traffic, arrival))
    return events


def _request(
    deployment: Deployment, rng: random.Random, traffic: _Traffic, arrival: _Arrival
) -> Event:
    if arrival.extra:
        return {**traffic.completion(arrival.at, arrival.account), "extra": True}
    if rng.random() < deployment.booking_share:
        return traffic.booking(arrival.at, arrival.account)
    return traffic.completion(arrival.at, arrival.account)


def _accounts(deployment: Deployment, events: Iterable[Event]) -> dict[str, dict[str, float]]:
    """Declares each account's rate a little above its usual use, and a burst of some seconds."""
    used: dict[str, int] = {}
    for event in events:
        if event["kind"] == "completion" and "extra" not in event:
            used[event["account"]] = used.get(event["account"], 0) + tokens(event)
    accounts = {}
    for name in sorted(used):
        rate = round(used[name] * _RATE_HEADROOM / deployment.duration_s)
        accounts[name] = {"rate": float(rate), "burst": float(round(rate * _BURST_S))}
    return accounts


def _burst(deployment: Deployment, rng: random.Random) -> list[_Arrival]:
    """Lets the third account send several times its rate for a fifth of the trace."""
    account = _account_name(2)
    usual = deployment.requests_per_s * ACCOUNT_SHARES[2]
    # The account's rate has some headroom over its use, and the factor applies to the rate.
    rate = usual * (BURST_FACTOR * _RATE_HEADROOM - 1)
    begin, end = _burst_interval(deployment)
    return [_Arrival(at, name, True) for at, name in _arrivals(rng, rate, begin, end, {account: 1})]


def _burst_interval(deployment: Deployment) -> tuple[float, float]:
    return deployment.duration_s * 0.4, deployment.duration_s * 0.6


def _happenings(deployment: Deployment, rng: random.Random, version: str) -> list[Event]:
    duration = deployment.duration_s
    engine = rng.randrange(deployment.model_workers)
    nodes = list(range(1, deployment.entry_nodes))
    begin, end = _burst_interval(deployment)
    account = _account_name(2)
    return [
        {"at": begin, "kind": "burst_begins", "account": account, "factor": BURST_FACTOR},
        {"at": end, "kind": "burst_ends", "account": account},
        {"at": duration * 0.25, "kind": "engine_restart", "engine": engine},
        version_event(deployment, version),
        {"at": duration * 0.75, "kind": "node_restart", "nodes": nodes},
    ]


def version_event(deployment: Deployment, behaviour: str) -> Event:
    """Returns the event that starts a new version with a behaviour of ``VERSIONS``."""
    rules = [{"version": "2", **rule} for rule in VERSIONS[behaviour]]
    return {
        "at": deployment.duration_s / 3,
        "kind": "version_start",
        "version": "2",
        "behaviour": behaviour,
        "rules": rules,
        "move_by_s": deployment.duration_s * 2 / 3,
    }


def with_version(trace: list[Event], behaviour: str) -> list[Event]:
    """Returns a trace with another behaviour of the new version."""
    deployment = DEPLOYMENTS[trace[0]["deployment"]["name"]]
    deployment = replace(deployment, duration_s=trace[0]["deployment"]["duration_s"])
    return [
        version_event(deployment, behaviour) if event["kind"] == "version_start" else event
        for event in trace
    ]


def _mark_within_rate(events: list[Event], accounts: dict[str, dict[str, float]]) -> None:
    """Marks each completion that one exact bucket of the whole fleet would admit."""
    levels = {name: account["burst"] for name, account in accounts.items()}
    updated = dict.fromkeys(accounts, 0.0)
    for event in events:
        if event["kind"] != "completion":
            continue
        name = event["account"]
        account = accounts[name]
        level = levels[name] + (event["at"] - updated[name]) * account["rate"]
        level = min(account["burst"], level)
        event["within_rate"] = tokens(event) <= level
        levels[name] = level - tokens(event) if event["within_rate"] else level
        updated[name] = event["at"]


def write(trace: list[Event], path: Path) -> None:
    """Writes a trace as JSON lines."""
    lines = (json.dumps(event, separators=(",", ":")) for event in trace)
    path.write_text("".join(line + "\n" for line in lines))


def read(path: Path) -> list[Event]:
    """Reads a trace."""
    return [json.loads(line) for line in path.read_text().splitlines()]


def main() -> None:
    """Writes the committed traces again."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path, default=TRACES)
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    for deployment in DEPLOYMENTS.values():
        path = arguments.out / f"{deployment.name}.jsonl"
        trace = generate(deployment, arguments.seed)
        write(trace, path)
        print(f"{path.name}: {len(trace) - 1} events")


if __name__ == "__main__":
    main()
