"""Rules for values of declared items and for references between items.

The rules are part of the fold of the log. While nodes of two releases run concurrently, a change
that only one of them accepts would make their states diverge, so a rule is tightened only in a
release that never runs concurrently with the previous one.
"""

import math
import re
from datetime import datetime
from typing import TYPE_CHECKING, Any

from arbutustally.errors import ConfigurationInvalidError

if TYPE_CHECKING:
    from arbutustally.declarations import Declarations, Route

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}\Z")
_PATH = re.compile(r"/[A-Za-z0-9._~/-]{0,200}\Z")
_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
_RESERVED_PATHS = ("/entry", "/healthz", "/readyz", "/v1/models")
_MAX_NUMBER = 1e15
_MAX_CONCURRENT_LOADS = 10_000


def _refuse(item: str, field: str, value: Any, remedy: str) -> None:
    raise ConfigurationInvalidError(f"{item}: {field} = {value!r}; {remedy}")


def check_item(item: str, value: Any) -> None:
    """Checks the name and the values of one item.

    :raises ConfigurationInvalidError: naming the item, the value and a remedy.
    """
    name = item.partition("/")[2]
    if not _NAME.match(name):
        _refuse(item, "name", name, "use 1 to 64 letters, digits, '.', '_' or '-', first no sign")
    _RULES[type(value).__name__](item, value)


def _check_positive(item: str, field: str, value: float, unit: str) -> None:
    if not (math.isfinite(value) and 0 < value <= _MAX_NUMBER):
        _refuse(item, field, value, f"use a number of {unit} above 0")


def _check_class(item: str, value: Any) -> None:
    targets = [value.first_token_ms, value.recompute_percent]
    if sum(target is not None for target in targets) != 1:
        raise ConfigurationInvalidError(
            f"{item}: first_token_ms = {targets[0]!r}, recompute_percent = {targets[1]!r}; "
            "declare exactly one of them"
        )
    if value.first_token_ms is not None:
        _check_positive(item, "first_token_ms", value.first_token_ms, "milliseconds")
    elif not 0 <= value.recompute_percent <= 100:
        _refuse(item, "recompute_percent", value.recompute_percent, "use 0 to 100")


def _check_account(item: str, value: Any) -> None:
    _check_positive(item, "rate", value.rate, "tokens/s")
    _check_positive(item, "burst", value.burst, "tokens")


def _check_route(item: str, value: Any) -> None:
    if not _PATH.match(value.path):
        _refuse(item, "path", value.path, "start it with '/' and use no query; example: /quotes")
    if value.path in _RESERVED_PATHS or value.path == "/":
        _refuse(item, "path", value.path, "the router answers this path; choose another")
    if value.kind not in ("model", "plain"):
        _refuse(item, "kind", value.kind, "use 'model' or 'plain'")
    unknown = [method for method in value.methods if method not in _METHODS]
    if unknown or not value.methods or len(set(value.methods)) != len(value.methods):
        _refuse(item, "methods", list(value.methods), f"use each once, of {', '.join(_METHODS)}")
    if value.open and value.kind == "model":
        _refuse(item, "open", True, "model traffic needs an account; set open = false")
    if value.open and not value.idempotent:
        # Without an account, callers that chose the same idempotency key would share a response.
        _refuse(item, "open", True, "an open route needs idempotent = true")


def _check_model(item: str, value: Any) -> None:
    if not _NAME.match(value.version):
        _refuse(item, "version", value.version, "use letters, digits, '.', '_' or '-'")
    if not 1 <= value.max_concurrent_loads <= _MAX_CONCURRENT_LOADS:
        _refuse(
            item,
            "max_concurrent_loads",
            value.max_concurrent_loads,
            f"use 1 to {_MAX_CONCURRENT_LOADS}",
        )
    if value.move_by is None:
        return
    try:
        instant = datetime.fromisoformat(value.move_by)
    except ValueError:
        instant = None
    if instant is None or instant.tzinfo is None:
        remedy = "use a date and time with offset; example: 2030-01-31T18:00:00+00:00"
        _refuse(item, "move_by", value.move_by, remedy)


def _check_endpoint(item: str, value: Any) -> None:
    """Endpoints have no rule beyond their types."""


_RULES = {
    "ClassOfWork": _check_class,
    "Account": _check_account,
    "Route": _check_route,
    "Model": _check_model,
    "Endpoint": _check_endpoint,
}


def check_references(declarations: "Declarations") -> None:
    """Checks references between items.

    :raises ConfigurationInvalidError: naming the referring item and what it needs.
    """
    routes_by_target: dict[tuple[str, str], str] = {}
    for name, route in declarations.routes.items():
        _check_route_references(f"routes/{name}", route, declarations)
        for method in route.methods:
            other = routes_by_target.setdefault((route.path, method), name)
            if other != name:
                _refuse(
                    f"routes/{name}",
                    "path",
                    route.path,
                    f"routes/{other} has the same path and method {method}; change one of them",
                )


def _check_route_references(item: str, route: "Route", declarations: "Declarations") -> None:
    if route.class_ not in declarations.classes:
        _refuse(item, "class", route.class_, f"declare [classes.{route.class_}] or change the name")
    if route.service not in declarations.endpoints:
        remedy = f"declare [endpoints.{route.service}] or change the name"
        _refuse(item, "service", route.service, remedy)
