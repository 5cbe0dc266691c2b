"""Values shared by the tests of the gateway's decisions."""

from arbutustally.gateway.configuration import (
    Route,
    RouteKind,
    ServiceShare,
)
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.relaying import Member
from arbutustally.gateway.requests import CallerRequest, PromptPart


def route(kind: RouteKind = RouteKind.STREAM, attempts: int = 2, resumable: bool = False) -> Route:
    share = (ServiceShare("s", 1.0),)
    return Route("r", "h", "/a/", kind, 5.0, 0.3, 0, share, attempts, False, resumable)


def entry(name: str, **changes) -> EndpointEntry:
    fields = {
        "id": name,
        "service": "s",
        "address": f"10.0.0.1:{sum(name.encode())}",
        "zone": "z1",
        "slots": 4,
        "is_leaving": False,
        "weights": {"m": 1},
        "incarnation": "1",
    }
    return EndpointEntry(**{**fields, **changes})


def prompt(*parts: tuple[str, int], output: int = 10) -> CallerRequest:
    total = sum(tokens for _part, tokens in parts)
    kept = tuple(PromptPart(*part) for part in parts)
    return CallerRequest(
        "id", "POST", "/a/", "h", (), b"", "", 5.0, "m", total, output, kept, "", 0.0
    )


def member(node: str, ip: str, is_ready: bool = True, capacity: int = 0) -> Member:
    """Returns a node as its peers know it."""
    return Member(node, ip, "z1", f"{ip}:1", f"{ip}:2", is_ready, 1, capacity)
