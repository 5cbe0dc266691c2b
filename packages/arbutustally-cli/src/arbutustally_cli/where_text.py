"""Readable explanation of where a described request would go."""

from collections.abc import Mapping
from typing import Any

from arbutustally_cli.render import show, table

_COLUMNS = (
    "id",
    "zone",
    "usable",
    "running",
    "slots",
    "queued_tokens",
    "answered_s_ago",
    "cached",
    "queue_s",
    "expected_s",
    "cost",
)


def where_text(answer: Mapping[str, Any]) -> str:
    """Returns the explanation as text.

    :param answer: answer of a node: the endpoint, limits that reject the request, and candidates.
    """
    lines = [
        f"node {answer['node']} in zone {answer['zone']}, route {answer['route']}, "
        f"service {answer['service']}, configuration {answer['config']}",
        f"endpoint: {show(answer['endpoint'])}",
    ]
    lines += [f"rejected: {one['code']} ({one['message']})" for one in answer["rejected"]]
    if answer["zone_decision"]:
        lines.append(f"zone: {show(answer['zone_decision'])}; costs: {show(answer['zone_costs'])}")
    lines += [f"because: {reason}" for reason in answer["reasons"]]
    lines += [f"{name}: {show(value)}" for name, value in answer["facts"].items()]
    return "\n".join((*lines, table(answer["candidates"], _COLUMNS)))
