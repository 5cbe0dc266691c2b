"""Matches a caller's request to a declared route."""

from collections.abc import Mapping

from arbutustally.declarations import Route
from arbutustally.engine_completions import CHAT_PATH, COMPLETIONS_PATH
from arbutustally.errors import BadRequestError, RouteUnknownError

MODEL_PATHS = (CHAT_PATH, COMPLETIONS_PATH)

_DOT_SEGMENTS = frozenset({".", ".."})


def find_route(routes: Mapping[str, Route], method: str, path: str) -> tuple[str, Route]:
    """Returns the name and the declaration of the matching route with the longest path.

    :raises BadRequestError: if the path has dot segments.
    :raises RouteUnknownError: if no route has this path and method.
    """
    if not _DOT_SEGMENTS.isdisjoint(path.replace("\\", "/").split("/")):
        # A service that resolves dot segments would run the request under a different route than
        # the one checked here, which may be open to everyone.
        raise BadRequestError("the path has a segment '.' or '..'; send the resolved path")
    found = None
    for name, route in routes.items():
        longer = found is None or len(route.path) > len(found[1].path)
        if longer and method in route.methods and _covers(route, path):
            found = (name, route)
    if found is None:
        raise route_unknown()
    return found


def route_unknown() -> RouteUnknownError:
    """Returns the error for a request that matches no declared route."""
    return RouteUnknownError(
        "no declared route has this path and method; see the operator's declarations"
    )


def _covers(route: Route, path: str) -> bool:
    prefix = route.path if route.path.endswith("/") else route.path + "/"
    is_covered = path == route.path or path.startswith(prefix)
    return is_covered and (route.kind != "model" or path in MODEL_PATHS)
