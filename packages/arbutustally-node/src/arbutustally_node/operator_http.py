"""Service ``operator_http``: the operators' listener with its own credential."""

import hashlib
import hmac
import secrets
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

import gevent
import orjson
from bottle import Bottle, HTTPResponse, request, response

from arbutustally.declarations import diff, from_items, to_items
from arbutustally.errors import (
    BadRequestError,
    ConfigurationConflictError,
    ConfigurationInvalidError,
    LogUnavailableError,
    OperatorUnauthorizedError,
    RequestUnknownError,
    RouterError,
)
from arbutustally.logs import get_logger
from arbutustally.metrics import declare, declared
from arbutustally.records import Change
from arbutustally.verdicts import Reason
from arbutustally_node.fleet import Fleet
from arbutustally_node.http_server import Server, serve
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options

_HELP = "a request of an operator was refused; the answer names the remedy"
_COUNTERS = {
    code: declare(f"refused.{code}", _HELP)
    for code in ("operator_unauthorized", "configuration_conflict", "configuration_invalid")
}
_OTHER = declare("refused.operator", _HELP)
#: How long an operator's request waits for other nodes to confirm a withdrawal.
_CONFIRM_S = 9.0
#: How long a change waits for the log to confirm the state of a node that was paused.
_CONFIRMATION_S = 1.0
_CONFIRMATION_POLL_S = 0.02
_MAX_AUTHOR = 80
_RETRY_AFTER_S = 1.0

_log = get_logger("operator_http")


class OperatorHttp:
    """Serves status, declarations, keys and explanations to operators."""

    def __init__(self, kernel: Kernel, options: Options) -> None:
        self._kernel = kernel
        self._options = options
        self._fleet = Fleet(kernel, options)
        self._token = _digest(options.operator_token)
        self._server: Server | None = None
        self._app = self._routes()

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "OperatorHttp":
        """Builds the service."""
        return cls(kernel, options)

    @property
    def app(self) -> Bottle:
        """Returns the WSGI application."""
        return self._app

    @property
    def address(self) -> str:
        """Returns host:port of the listener, empty before ``start``."""
        return self._server.address if self._server is not None else ""

    def start(self) -> None:
        """Opens the listener."""
        self._fleet.register()
        metrics = self._fleet.service("metrics")
        self._server = serve(self._options.operator_listen, self._app, self._options, metrics)

    def stop(self) -> None:
        """Closes the listener."""
        if self._server is not None:
            self._server.stop()
            self._server = None

    def _routes(self) -> Bottle:
        app = Bottle(catchall=False)
        app.install(self._guard)
        app.get("/v1/status", callback=self._status)
        app.get("/v1/fleet", callback=self._nodes)
        app.get("/v1/declarations", callback=self._declarations)
        app.get("/v1/history", callback=self._history)
        app.get("/v1/moves", callback=self._moves)
        app.get("/v1/explain/<request_id>", callback=self._explain)
        app.post("/v1/apply", callback=self._apply)
        app.post("/v1/keys", callback=self._issue)
        app.delete("/v1/keys/<key_id>", callback=self._withdraw)
        for status in (400, 404, 405, 500):
            app.error(status)(_plain_fault)
        return app

    def _guard(self, callback: Callable[..., Any]) -> Callable[..., HTTPResponse]:
        """Authenticates, and turns results and errors into JSON."""

        def guarded(*args: Any, **kwargs: Any) -> HTTPResponse:
            try:
                self._authenticate()
                return _json(200, callback(*args, **kwargs))
            except RouterError as error:
                self._count(error)
                return _fault(error)
            except Exception as error:  # The answer must still be typed
                _log.error("operator request failed", error=repr(error))
                return _fault(RouterError("internal fault; see the node's log and report it"))

        return guarded

    def _count(self, error: RouterError) -> None:
        metrics = self._fleet.service("metrics")
        if metrics is not None:
            metrics.count(_COUNTERS.get(error.code, _OTHER))

    def _authenticate(self) -> None:
        scheme, _, token = request.get_header("Authorization", "").partition(" ")
        is_equal = hmac.compare_digest(_digest(token.strip()), self._token)
        if scheme.lower() != "bearer" or not is_equal:
            raise OperatorUnauthorizedError(
                "the operator credential is missing or wrong; send it as Authorization: Bearer, "
                "as set by --operator-token of the node"
            )

    def _body(self) -> dict[str, Any]:
        """Reads a JSON object; the listener has bounded its size and time."""
        length = min(max(request.content_length, 0), self._options.max_body_bytes)
        try:
            data = orjson.loads(request.environ["wsgi.input"].read(length))
        except orjson.JSONDecodeError as error:
            raise BadRequestError(f"the body is not JSON: {error}; correct it") from None
        if not isinstance(data, dict):
            raise BadRequestError("the body is not a JSON object; send one")
        return data

    def _status(self) -> dict[str, Any]:
        metrics = self._fleet.service("metrics")
        counts = metrics.snapshot() if metrics is not None else {}
        helps = {counter.name: counter.help for counter in declared() if counts.get(counter.name)}
        counters = {name: {"count": counts[name], "help": text} for name, text in helps.items()}
        return {**self._fleet.status(), "counters": counters}

    def _nodes(self) -> dict[str, Any]:
        return {"nodes": self._fleet.reports(), "version": self._log_service.state.version}

    @property
    def _log_service(self) -> Any:
        return self._kernel.lookup("log")

    def _declarations(self) -> dict[str, Any]:
        state = self._log_service.state
        return {"version": state.version, "items": to_items(state.declarations)}

    def _history(self) -> dict[str, Any]:
        return {"entries": [asdict(entry) for entry in self._log_service.state.history()]}

    def _moves(self) -> dict[str, Any]:
        state = self._log_service.state
        versions = self._fleet.service("versions")
        moves = [_move_report(entry, state.declarations) for entry in state.moves()]
        return {"moves": moves, "controller": versions.moves() if versions is not None else []}

    def _explain(self, request_id: str) -> dict[str, Any]:
        found = self._fleet.explain(request_id)
        if found is None:
            raise RequestUnknownError(
                f"no account of request {request_id!r} is kept; it is too old, or its node was "
                "restarted since"
            )
        return found

    def _apply(self) -> dict[str, Any]:
        """Moves the configuration to the given set of items in one change."""
        body = self._body()
        items = body.get("items")
        if not isinstance(items, dict):
            raise BadRequestError("'items' is missing; send the mapping by section/name")
        wanted = to_items(from_items(items))
        # Versions only rise, so that a base that was beaten is known without the tail of the log.
        self._check_not_beaten(body.get("base"))
        state = self._current_state()
        base = body.get("base", state.version)
        self._check_base(base, state.version)
        difference = diff(to_items(state.declarations), wanted)
        report = {
            "added": [change.name for change in difference.added],
            "changed": [change.name for change in difference.changed],
            "removed": [change.name for change in difference.removed],
        }
        if difference.empty:
            return {"version": state.version, "applied": False, **report}
        change = Change(
            base=base,
            set={change.name: dict(change.new) for change in difference.added + difference.changed},
            remove=tuple(change.name for change in difference.removed),
            author=str(body.get("author", ""))[:_MAX_AUTHOR],
        )
        return {"version": self._append_change(change), "applied": True, **report}

    def _current_state(self) -> Any:
        """Returns the state if it is known to be recent.

        Compared with an old state, a file could look already applied although it is not. A node
        that was paused confirms the state with its next read.
        """
        log = self._log_service
        if not self._wait_for_confirmation(log):
            raise LogUnavailableError(
                "this node has no recent confirmation of the log; retry, or ask another node",
                retry_after_s=_RETRY_AFTER_S,
            )
        return log.state

    def _wait_for_confirmation(self, log: Any) -> bool:
        """Returns whether the state is recent, after a short wait while the log can be read."""
        longest_s = self._options.key_staleness_s
        with gevent.Timeout(_CONFIRMATION_S, False):
            while log.staleness() > longest_s and log.is_reachable:
                gevent.sleep(_CONFIRMATION_POLL_S)
        return log.staleness() <= longest_s

    def _check_not_beaten(self, base: Any) -> None:
        version = self._log_service.state.version
        if type(base) is int and base < version:
            raise _conflict(base, version)

    @staticmethod
    def _check_base(base: Any, version: int) -> None:
        if type(base) is not int:
            raise BadRequestError("'base' is not a version; send the number that diff reported")
        if base > version:
            raise LogUnavailableError(
                f"this node has not read version {base} yet; retry, or ask another node",
                retry_after_s=_RETRY_AFTER_S,
            )
        if base < version:
            raise _conflict(base, version)

    def _append_change(self, change: Change) -> int:
        appended = self._log_service.append(change)
        verdict = appended.verdict
        if verdict.reason == Reason.STALE_BASE:
            raise _conflict(change.base, verdict.beaten_by)
        if not verdict.accepted:
            raise ConfigurationInvalidError(verdict.detail or f"refused: {verdict.reason}")
        _log.info("configuration changed", version=appended.offset, author=change.author)
        return appended.offset

    def _issue(self) -> dict[str, Any]:
        account = self._body().get("account")
        if not isinstance(account, str):
            raise BadRequestError("'account' is missing; send the name of a declared account")
        issued = self._kernel.lookup("keys").issue(account)
        _log.info("key issued", key_id=issued.key_id, account=account)
        return asdict(issued)

    def _withdraw(self, key_id: str) -> dict[str, Any]:
        was_known = self._log_service.state.key(key_id) is not None
        appended = self._kernel.lookup("keys").withdraw(key_id)
        have, missing = self._fleet.wait_for(appended.offset, _CONFIRM_S)
        _log.info("key withdrawn", key_id=key_id, in_force=len(have), missing=len(missing))
        return {
            "key_id": key_id,
            "offset": appended.offset,
            "was_known": was_known,
            "in_force": have,
            "not_confirmed": missing,
        }


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode("utf-8", "surrogateescape")).digest()


def _conflict(base: Any, version: int) -> ConfigurationConflictError:
    return ConfigurationConflictError(
        f"the change is based on version {base}, and version {version} was accepted instead; "
        "run diff against it and apply again"
    )


def _move_report(entry: Any, declarations: Any) -> dict[str, Any]:
    declared_model = declarations.models.get(entry.model)
    return {
        "model": entry.model,
        "version": entry.version,
        "previous": entry.previous,
        "step": entry.step,
        "share": entry.share,
        "offset": entry.offset,
        "evidence": dict(entry.evidence),
        "move_by": declared_model.move_by if declared_model is not None else None,
    }


def _json(status: int, data: Any) -> HTTPResponse:
    return HTTPResponse(
        orjson.dumps(data, option=orjson.OPT_NON_STR_KEYS, default=str),
        status=status,
        headers={"Content-Type": "application/json", "Cache-Control": "no-store"},
    )


def _fault(error: RouterError) -> HTTPResponse:
    fields = {
        "code": error.code,
        "message": error.message,
        "type": type(error).__name__,
        "ran": error.ran,
        "retry_after_s": error.retry_after_s,
        "request_id": f"operator~{secrets.token_hex(8)}",
    }
    return _json(error.status, {"error": fields})


def _plain_fault(fault: Any) -> bytes:
    """Answers errors that bottle finds itself, for instance an unknown path."""
    response.content_type = "application/json"
    message = f"{fault.status_line}; see the operator interface for the known paths"
    return orjson.dumps({"error": {"code": "bad_request", "message": message, "ran": "not_run"}})
