"""Readable account of one request: why this endpoint, what it waited for, what was reused, what
each retry cost."""

from collections.abc import Mapping
from typing import Any

from arbutustally_cli.render import show

_HIDDEN = frozenset({"step", "at_s"})
_RETRY_STEPS = ("retry", "retried", "resume", "resumed", "continued")
_SHOWN_CANDIDATES = 5


def _number(value: Any) -> float | None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return float(value) if is_number else None


def _seconds(value: Any) -> str:
    number = _number(value)
    if number is None:
        return show(value)
    return f"{number * 1000:.0f} ms" if number < 1 else f"{number:.2f} s"


def _tokens(value: Any) -> str:
    number = _number(value)
    return f"{number:,.0f} tokens" if number is not None else show(value)


def _steps(account: Mapping[str, Any]) -> list[dict[str, Any]]:
    steps = account.get("steps")
    return [step for step in steps if isinstance(step, dict)] if isinstance(steps, list) else []


def _first(steps: list[dict[str, Any]], field: str) -> Any:
    return next((step[field] for step in steps if step.get(field) is not None), None)


def _last(steps: list[dict[str, Any]], field: str) -> Any:
    return _first(steps[::-1], field)


def explain_text(account: Mapping[str, Any]) -> str:
    """Returns the account of a request as text.

    :param account: answer of ``/v1/explain``: request, account, route, ``steps`` in order, each
        with ``step``, ``at_s`` and fields, and ``error`` for a refusal.
    """
    steps = _steps(account)
    sections = [
        _headline(account, steps),
        _section("Endpoint", _endpoint_lines(steps)),
        _section("Waiting", _waiting_lines(steps)),
        _section("Reuse", _reuse_lines(steps)),
        _section("Retries", _retry_lines(steps)),
        _section("Refusal", _refusal_lines(account)),
        _section("Timeline", [_timeline_line(step) for step in steps]),
    ]
    return "\n\n".join(section for section in sections if section)


def _section(title: str, lines: list[str]) -> str:
    return "\n".join([title, *(f"  {line}" for line in lines)]) if lines else ""


def _headline(account: Mapping[str, Any], steps: list[dict[str, Any]]) -> str:
    error = account.get("error")
    if isinstance(error, Mapping):
        result = f"refused with {show(error.get('code'))}"
    elif account.get("status") is not None:
        result = f"answered with status {show(account['status'])}"
    else:
        result = "answered" if _last(steps, "completion_tokens") is not None else "see timeline"
    lines = [f"Request {show(account.get('request_id'))}: {result}"]
    facts = [
        f"{name.replace('_', ' ')} {show(account[name])}"
        for name in ("account", "route", "model", "node", "started_at")
        if account.get(name) is not None
    ]
    if facts:
        lines.append("  " + ", ".join(facts))
    return "\n".join(lines)


def _endpoint_lines(steps: list[dict[str, Any]]) -> list[str]:
    lines: list[str] = []
    for step in steps:
        if step.get("endpoint") is None or not (step.get("reasons") or step.get("ranked")):
            continue
        line = f"{step['endpoint']} was chosen"
        if step.get("estimate_s") is not None:
            line += f", expected first token after {_seconds(step['estimate_s'])}"
        lines.append(line)
        lines += [f"because {reason}" for reason in _as_list(step.get("reasons"))]
        lines += _candidate_lines(step)
    if not lines and _last(steps, "endpoint") is not None:
        lines.append(f"{_last(steps, 'endpoint')}; no reasons were recorded")
    return lines


def _as_list(value: Any) -> list[str]:
    if isinstance(value, list | tuple):
        return [show(entry) for entry in value]
    return [show(value)] if value else []


def _candidate_lines(step: Mapping[str, Any]) -> list[str]:
    ranked = step.get("ranked")
    if not isinstance(ranked, list | tuple):
        return []
    lines = [f"candidate {show(candidate)}" for candidate in ranked[:_SHOWN_CANDIDATES]]
    rest = len(ranked) - _SHOWN_CANDIDATES
    return lines + ([f"and {rest} more candidates"] if rest > 0 else [])


def _waiting_lines(steps: list[dict[str, Any]]) -> list[str]:
    lines = []
    for step in steps:
        for field in ("waited_s", "wait_s", "queued_s"):
            if _number(step.get(field)):
                what = step.get("for") or step.get("reason") or step.get("step")
                lines.append(f"{_seconds(step[field])} for {show(what).replace('_', ' ')}")
    first_token_s = _last(steps, "first_token_s")
    if first_token_s is not None:
        lines.append(f"first token after {_seconds(first_token_s)}")
    return lines


def _reuse_lines(steps: list[dict[str, Any]]) -> list[str]:
    lines = []
    expected = _last(steps, "expected_cached_tokens")
    if expected is not None:
        lines.append(f"{_tokens(expected)} were expected in the cache of the endpoint")
    cached, prompt = _last(steps, "cached_tokens"), _last(steps, "prompt_tokens")
    if cached is not None:
        of = f" of {_tokens(prompt)}" if prompt is not None else ""
        lines.append(f"{_tokens(cached)}{of} were reused")
        missed = (_number(prompt) or 0) - (_number(cached) or 0)
        if prompt is not None and missed > 0:
            lines.append(f"{_tokens(missed)} were computed")
    if _last(steps, "import_kv"):
        lines.append("missing chunks were imported from the KV store")
    return lines


def _retry_lines(steps: list[dict[str, Any]]) -> list[str]:
    lines = []
    for step in steps:
        if not str(step.get("step", "")).startswith(_RETRY_STEPS):
            continue
        parts = [show(step.get("reason") or step.get("code") or step["step"])]
        if step.get("endpoint") is not None:
            parts.append(f"at {show(step['endpoint'])}")
        cost = step.get("cost_s") if step.get("cost_s") is not None else step.get("lost_s")
        if cost is not None:
            parts.append(f"cost {_seconds(cost)}")
        for field in ("recomputed_tokens", "cost_tokens"):
            if step.get(field) is not None:
                parts.append(f"and {_tokens(step[field])} again")
        lines.append(" ".join(parts))
    return lines


def _refusal_lines(account: Mapping[str, Any]) -> list[str]:
    error = account.get("error")
    if not isinstance(error, Mapping):
        return []
    lines = [f"{show(error.get('code'))}: {show(error.get('message'))}"]
    lines.append(f"work: {show(error.get('ran')).replace('_', ' ')}")
    if error.get("retry_after_s") is not None:
        lines.append(f"a retry may succeed after {_seconds(error['retry_after_s'])}")
    return lines


def _timeline_line(step: Mapping[str, Any]) -> str:
    at = _number(step.get("at_s"))
    instant = f"{at * 1000:8.1f} ms" if at is not None else " " * 11
    fields = ", ".join(
        f"{name}={show(value)}" for name, value in step.items() if name not in _HIDDEN
    )
    return f"{instant}  {show(step.get('step'))}  {fields}".rstrip()
