"""Explains where a node would send a described request now, by its own decision code.

Nothing is sent.

The tables and random numbers that a decision changes are copied or restored, so that an explanation
does not affect the next request.
"""

import math
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

import orjson
from bottle import Bottle, HTTPResponse, request, response

from arbutustally.errors import (
    BadRequestError,
    NoConfigurationError,
    QuarantinedPartError,
    RateLimitedError,
    RouterError,
)
from arbutustally.gateway.choice import plain_times_s
from arbutustally.gateway.configuration import ClientAccount, Configuration, Route
from arbutustally.gateway.endpoint_state import EndpointState
from arbutustally.gateway.part_keys import shared_part_keys
from arbutustally.gateway.requests import CallerRequest, PromptPart
from arbutustally_node.gateway.placer import Placed, Placer
from arbutustally_node.gateway.request_services import RequestServices, Trace

#: Path of the explanation at the control listener.
EXPLAIN_PATH = "/explain"
#: Largest body of a described request, bytes.
MAX_BODY_BYTES = 1 << 30
#: Largest number of tokens in a described request.
MAX_TOKENS = 1 << 31


class Preview:
    """Explains decisions of one node.

    :param node: name of the node.
    """

    def __init__(self, services: RequestServices, node: str) -> None:
        self._services = services
        self._node = node

    def explain(self, asked: CallerRequest, account_name: str) -> dict[str, Any]:
        """Returns where a request would go and why, as plain JSON values.

        :param account_name: client account, empty for none.
        :raises RouterError: if no configuration is in force, or no route or account matches.
        """
        configuration = self._services.view.configuration
        if configuration is None or not self._services.is_complete():
            raise NoConfigurationError("the node is starting; retry")
        route = configuration.route_of(asked.host, asked.path)
        account = _account(configuration, account_name)
        trace = Trace(asked.request_id, route.name)
        result = {
            "node": self._node,
            "zone": self._services.zone,
            "route": route.name,
            "account": account_name,
            "config": configuration.version,
            "rejected": self._rejections(asked, configuration, route, account),
        }
        placer = Placer(self._services.preview(), asked, configuration, route, account, trace)
        result["service"] = placer.service.name
        placed = None
        try:
            placed = placer.place(asked.time_left_s or route.timeout_s, False)
        except RouterError as error:
            result["rejected"].append(_rejection(error))
        result["facts"] = trace.facts
        result["endpoint"] = placed.state.id if placed else None
        result["zone_costs"] = asdict(self._services.spill.costs)
        result["zone_decision"] = asdict(placed.zone) if placed else None
        result["reasons"] = list(placed.choice.reasons) if placed and placed.choice else []
        result["candidates"] = self._candidates(placer, placed)
        return result

    def _rejections(
        self,
        asked: CallerRequest,
        configuration: Configuration,
        route: Route,
        account: ClientAccount | None,
    ) -> list[dict[str, Any]]:
        """Returns the limits that would reject the request before an endpoint is chosen."""
        found: list[RouterError] = []
        if len(asked.body) > configuration.limits.max_body_bytes:
            found.append(BadRequestError("body exceeds the limit of the configuration"))
        if account is None and not route.is_public and configuration.accounts:
            found.append(BadRequestError("the route needs a client account"))
        if not self._services.quarantine.may_run_again(shared_part_keys(asked)):
            found.append(QuarantinedPartError("a part of the prompt is in quarantine"))
        if account is not None:
            cost, quota = account.cost(asked.tokens), self._services.quota
            wait_s = quota.take(account.name, cost)
            if wait_s is None:
                quota.refund(account.name, cost)
            else:
                found.append(RateLimitedError("account rate limit", retry_after_s=wait_s))
        return [_rejection(error) for error in found]

    def _candidates(self, placer: Placer, placed: Placed | None) -> list[dict[str, Any]]:
        """Returns all endpoints of the service; the chosen one first, then by expected time."""
        book, service = self._services.view.book, placer.service.name
        states, usable = book.of_service(service), book.usable(service)
        terms: dict[str, dict[str, Any]] = {}
        if placed and placed.choice:
            for one in placed.choice.ranked:
                terms[one.endpoint] = {
                    "expected_s": one.first_token_s,
                    "queue_s": one.queue_s,
                    "cached": one.cached_tokens,
                    "cost": one.cost,
                }
        elif usable and placer.service.engine is None:
            times = plain_times_s(usable, self._services.clock())
            terms = {name: {"expected_s": seconds} for name, seconds in times.items()}
        rows = [self._row(state, state in usable) | terms.get(state.id, {}) for state in states]
        chosen = placed.state.id if placed else ""
        return sorted(
            rows,
            key=lambda row: (row["id"] != chosen, row.get("expected_s", float("inf")), row["id"]),
        )

    def _row(self, state: EndpointState, is_usable: bool) -> dict[str, Any]:
        now = self._services.clock()
        age_s = now - state.last_data_at
        return {
            "id": state.id,
            "zone": state.entry.zone,
            "usable": is_usable,
            "leaving": state.is_leaving,
            "paused_s": max(0.0, round(state.paused_until - now, 3)),
            "running_here": state.running,
            "running": state.total_running,
            "slots": state.entry.slots,
            "queued_tokens": state.total_prompt_tokens,
            # Age of the last data that this node itself had from the endpoint.
            "answered_s_ago": round(age_s, 3) if age_s < float("inf") else None,
        }


def _account(configuration: Configuration, name: str) -> ClientAccount | None:
    if name and name not in configuration.accounts:
        raise BadRequestError("the client account is unknown; check its name")
    return configuration.accounts.get(name)


def _rejection(error: RouterError) -> dict[str, Any]:
    return {
        "code": error.code,
        "status": error.status,
        "message": error.message,
        "retry_after_s": error.retry_after_s,
    }


def described_request(fields: Mapping[str, str], now: float) -> CallerRequest:
    """Returns the request that the fields of a query describe.

    :param fields: ``host`` and ``path``; optionally ``method``, ``model``, ``tokens`` (of the
        prompt), ``output_tokens``, ``parts`` (``ID:TOKENS,...``), ``bytes`` (of the body),
        ``left_s`` and ``id``.
    :param now: monotonic seconds.
    :raises BadRequestError: if a field is malformed.
    """
    try:
        parts = tuple(
            PromptPart(part.rpartition(":")[0].lower(), _token_count(part.rpartition(":")[2]))
            for part in fields.get("parts", "").split(",")
            if part
        )
        tokens, size = fields.get("tokens", ""), int(fields.get("bytes", "0"))
        output_tokens = _token_count(fields.get("output_tokens", "0"))
        left_s = float(fields["left_s"]) if fields.get("left_s") else None
        if not 0 <= size <= MAX_BODY_BYTES:
            raise ValueError(f"bytes must be 0 to {MAX_BODY_BYTES}")
        if left_s is not None and not 0 < left_s < math.inf:
            raise ValueError("left_s must be positive")
        return CallerRequest(
            request_id=fields.get("id", "explain"),
            method=fields.get("method", "POST"),
            target=fields.get("path", "/"),
            host=fields.get("host", "").lower(),
            headers=(),
            body=SizedBody(size),
            key="",
            time_left_s=left_s,
            model=fields.get("model", ""),
            prompt_tokens=_token_count(tokens) if tokens else None,
            output_tokens=output_tokens,
            parts=parts,
            resume_from="",
            arrived_at=now,
        )
    except ValueError as error:
        raise BadRequestError(f"the description can't be read: {error}") from error


def _token_count(text: str) -> int:
    """Returns a number of tokens.

    :raises ValueError: if it is malformed, negative or too large.
    """
    count = int(text)
    if not 0 <= count <= MAX_TOKENS:
        raise ValueError(f"numbers of tokens must be 0 to {MAX_TOKENS}")
    return count


class SizedBody(bytes):
    """A body of which only the length is known; it takes no memory."""

    _length = 0

    def __new__(cls, length: int) -> "SizedBody":
        """Returns a body of ``length`` bytes."""
        body = super().__new__(cls)
        body._length = length
        return body

    def __len__(self) -> int:
        return self._length


def add_explain(app: Bottle, preview: Preview, services: RequestServices) -> Bottle:
    """Adds the path that explains a described request to an application."""

    @app.get(EXPLAIN_PATH)
    def explain() -> Any:
        fields = {name: request.query.get(name, "") for name in request.query}
        response.content_type = "application/json"
        try:
            asked = described_request(fields, services.clock())
            return orjson.dumps(preview.explain(asked, fields.get("account", "")), default=str)
        except RouterError as error:
            headers = {"Content-Type": "application/json"}
            body = orjson.dumps({"error": _rejection(error)})
            return HTTPResponse(body, status=error.status, headers=headers)

    return app
