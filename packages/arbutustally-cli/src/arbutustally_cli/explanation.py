"""Readable account of one request: why this endpoint, what it waited for, what was reused, what
each retry cost."""

from collections.abc import Callable, Mapping
from datetime import UTC, datetime
from typing import Any

from arbutustally_cli.render import show

Step = Mapping[str, Any]

#: Fields of a step that the timeline leaves to the sections above it.
_HIDDEN = frozenset({"step", "at_s", "reasons", "ranked", "derivation"})
#: Waits below this are left to the timeline.
_SHORTEST_WAIT_S = 0.0005


def explain_text(account: Mapping[str, Any]) -> str:
    """Returns the account of a request as text.

    :param account: answer of ``/v1/explain``: request, account, route, the code of a refusal, and
        ``steps`` in order, each with ``step``, ``at_s`` (seconds) and fields.
    """
    steps = [step for step in account.get("steps") or [] if isinstance(step, Mapping)]
    sections = [
        _headline(account, steps),
        _section("Endpoint", _endpoint_lines(steps)),
        _section("Waiting", _waiting_lines(steps)),
        _section("Reuse", _reuse_lines(steps)),
        _section("Booking", _booking_lines(steps)),
        _section("Retries", _retry_lines(steps)),
        _section("Refusal", _refusal_lines(steps)),
        _section("Timeline", [_timeline_line(step) for step in steps]),
    ]
    dropped = account.get("steps_dropped")
    if dropped:
        sections.append(f"{dropped} later steps were not kept")
    return "\n\n".join(section for section in sections if section)


def _section(title: str, lines: list[str]) -> str:
    return "\n".join([title, *(f"  {line}" for line in lines)]) if lines else ""


def _named(steps: list[Step], *names: str) -> list[Step]:
    return [step for step in steps if step.get("step") in names]


def _number(value: Any) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number else 0.0


def _at(step: Step) -> float:
    return _number(step.get("at_s"))


def _duration(seconds: float) -> str:
    return f"{seconds * 1000:.0f} ms" if seconds < 1 else f"{seconds:.2f} s"


def _tokens(value: Any) -> str:
    return f"{_number(value):,.0f} tokens"


def _before(steps: list[Step], step: Step) -> float:
    """Returns when the step before this one was noted."""
    place = next(number for number, other in enumerate(steps) if other is step)
    return _at(steps[place - 1]) if place else 0.0


def _headline(account: Mapping[str, Any], steps: list[Step]) -> str:
    refused = account.get("refused")
    ends = _named(steps, "completed", "answered", "recorded_answer")
    total = f" after {_duration(_at(steps[-1]))}" if steps else ""
    if refused:
        result = f"refused with {refused}{total}"
    elif ends:
        status = ends[-1].get("status")
        result = "answered" + (f" with status {status}" if status else "") + total
    elif _named(steps, "caller_gone", "abandoned"):
        result = f"given up by the caller{total}"
    else:
        result = "not finished"
    facts = [f"{name} {account[name]}" for name in ("account", "route") if account.get(name)]
    if account.get("begun_unix_s") is not None:
        begun = datetime.fromtimestamp(_number(account["begun_unix_s"]), UTC)
        facts.append(f"begun {begun.isoformat(timespec='milliseconds')}")
    headline = f"Request {show(account.get('request_id'))}: {result}"
    return headline + ("\n  " + ", ".join(facts) if facts else "")


def _endpoint_lines(steps: list[Step]) -> list[str]:
    lines = [
        f"version {show(step.get('version'))} of the model was picked"
        for step in _named(steps, "version_picked")
    ]
    for step in _named(steps, "placed"):
        line = f"{show(step.get('endpoint'))} was chosen"
        if step.get("estimate_s") is not None:
            line += f", first token expected within {_duration(_number(step['estimate_s']))}"
        lines.append(line)
        lines += [f"  because {reason}" for reason in _reasons(step)]
        lines += _other_candidates(step)
    if not _named(steps, "placed"):
        lines += [f"{show(step.get('endpoint'))} answered" for step in _named(steps, "answered")]
    return lines


def _other_candidates(step: Step) -> list[str]:
    ranked = [entry for entry in step.get("ranked") or [] if isinstance(entry, Mapping)]
    others = [entry for entry in ranked if entry.get("endpoint") != step.get("endpoint")]
    return [
        f"  instead of {show(entry.get('endpoint'))}, "
        f"expected within {_duration(_number(entry.get('first_token_s')))}"
        for entry in others
    ]


def _reasons(step: Step) -> list[str]:
    reasons = step.get("reasons")
    if isinstance(reasons, list | tuple):
        return [show(reason) for reason in reasons]
    return [show(reasons)] if reasons else []


def _waiting_lines(steps: list[Step]) -> list[str]:
    lines: list[str] = []
    for step in _named(steps, "limits"):
        waited_s = _at(step) - _before(steps, step)
        if waited_s >= _SHORTEST_WAIT_S:
            source = "that this node held" if step.get("grant") == "held" else "of the account"
            budget = f"for {_tokens(step.get('tokens'))} of the budget {source}"
            lines.append(f"{_duration(waited_s)} {budget}")
    for step in _named(steps, "admission"):
        lines.append(f"{_duration(_number(step.get('waited_s')))} for a fair share of the pool")
        if step.get("derivation"):
            lines.append(f"  priority {show(step.get('priority'))}: {show(step['derivation'])}")
    for step in _named(steps, "claimed", "claim_beaten", "claim_given_up"):
        waited_s = _at(step) - _before(steps, step)
        lines.append(f"{_duration(waited_s)} for the log to decide on the claim")
    placed = _named(steps, "placed")
    for step in _named(steps, "first_token")[:1]:
        since = _at(placed[-1]) if placed else 0.0
        lines.append(f"{_duration(_at(step) - since)} for the first token of the endpoint")
        lines.append(f"time to first token: {_duration(_at(step))}")
    return lines


def _reuse_lines(steps: list[Step]) -> list[str]:
    lines: list[str] = []
    for step in _named(steps, "placed")[-1:]:
        expected = _tokens(step.get("expected_cached_tokens"))
        lines.append(f"{expected} were expected in the endpoint's cache")
        if step.get("import_kv"):
            lines.append("missing chunks were to be imported from the KV store")
    for step in _named(steps, "completed")[-1:]:
        if step.get("cached_tokens") is None:
            continue
        cached, prompt = step["cached_tokens"], step.get("prompt_tokens")
        lines.append(f"{_tokens(cached)} of {_tokens(prompt)} were reused")
        lines.append(f"{_tokens(_number(prompt) - _number(cached))} were computed or imported")
    return lines


def _booking_lines(steps: list[Step]) -> list[str]:
    texts: dict[str, Callable[[Step], str]] = {
        "claimed": lambda step: f"claimed at offset {show(step.get('offset'))} of the log",
        "claim_beaten": lambda step: f"another claim was first, at offset {show(step.get('by'))}",
        "claim_given_up": lambda step: f"not dispatched: {show(step.get('reason'))}",
        "recorded_answer": lambda step: "the recorded answer of the first run was returned",
    }
    return [texts[step["step"]](step) for step in _named(steps, *texts)]


def _retry_lines(steps: list[Step]) -> list[str]:
    lines: list[str] = []
    for number, step in enumerate(steps):
        name, where = step.get("step"), show(step.get("endpoint"))
        if name == "retried":
            cost = _duration(_number(step.get("lost_s")))
            lines.append(f"{where} failed ({show(step.get('reason'))}): cost {cost}")
            lines += _repair(steps[number:])
        elif name == "endpoint_failed":
            cost = _duration(_at(step) - _before(steps, step))
            lines.append(f"{where} failed ({show(step.get('code'))}): cost {cost}")
        elif name == "not_resumed":
            lines.append(f"{where} could not resume the stream: {show(step.get('reason'))}")
        elif name == "retry_budget_empty":
            lines.append("no further attempt: the retry budget is used up")
    return lines


def _repair(steps: list[Step]) -> list[str]:
    """Returns how the request went on after its first step, a retry."""
    for step in steps[1:]:
        if step.get("step") in ("resumed", "continued", "placed"):
            how = step["step"] if step["step"] != "placed" else "sent again"
            at = f" at token {step['at']}" if step.get("at") is not None else ""
            after = _duration(_at(step) - _at(steps[0]))
            return [f"  {how} on {show(step.get('endpoint'))}{at} after {after} more"]
        if step.get("step") in ("retried", "refused"):
            break
    return []


def _refusal_lines(steps: list[Step]) -> list[str]:
    lines: list[str] = []
    for step in _named(steps, "refused")[-1:]:
        lines.append(f"{show(step.get('code'))}: {show(step.get('message'))}")
        lines.append(f"work: {show(step.get('ran')).replace('_', ' ')}")
    return lines


def _timeline_line(step: Step) -> str:
    fields = ", ".join(
        f"{name}={show(value)}" for name, value in step.items() if name not in _HIDDEN
    )
    return f"{_at(step) * 1000:9.1f} ms  {show(step.get('step'))}  {fields}".rstrip()
