"""Status of this node and, through peers, of all nodes."""

import math
from typing import Any

import gevent
from gevent.pool import Pool

from arbutustally.clock import Clock, monotonic
from arbutustally.errors import NodeUnreachableError, RouterError
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options

STATUS_METHOD = "status"
EXPLAIN_METHOD = "explain"
CALL_TIMEOUT_S = 2.0
_CALLS_AT_ONCE = 32
_POLL_S = 0.2


class Fleet:
    """Collects status reports and explanations of nodes."""

    def __init__(self, kernel: Kernel, options: Options, clock: Clock = monotonic) -> None:
        self._kernel = kernel
        self._options = options
        self._clock = clock

    def register(self) -> None:
        """Registers the handlers for calls of peers."""
        peers = self.service("peers")
        if peers is not None:
            peers.handle(STATUS_METHOD, lambda _node, _payload: self.status())
            peers.handle(EXPLAIN_METHOD, self._explain)

    def service(self, name: str) -> Any:
        """Returns a service or ``None``."""
        try:
            return self._kernel.lookup(name)
        except LookupError:
            return None

    def status(self) -> dict[str, Any]:
        """Returns the status of this node."""
        log = self._kernel.lookup("log")
        state = log.state
        stale_s = log.staleness()
        return {
            "id": self._options.node_id,
            "incarnation": self._options.incarnation,
            "zone": self._options.zone,
            "ready": log.ready,
            "draining": self._is_draining(),
            "version": state.version,
            "offset": state.offset,
            "log": {
                "reachable": log.is_reachable,
                "age_s": round(stale_s, 3) if math.isfinite(stale_s) else None,
                "missing_records": log.is_missing_records,
                "known_offset": log.known_offset,
            },
            "keys": len(state.keys()),
            "claims": state.claims_held,
            "leases": log.held_leases(),
            "shares": self._usable_shares(),
        }

    def _usable_shares(self) -> list[str]:
        limits = self.service("limits")
        return limits.usable_shares() if limits is not None else []

    def _is_draining(self) -> bool:
        membership = self.service("membership")
        return membership is not None and membership.draining

    def reports(self) -> list[dict[str, Any]]:
        """Returns a report of every known node, in order of id; unreachable ones say so."""
        membership = self.service("membership")
        zones = {node.id: node.zone for node in membership.nodes()} if membership else {}
        zones[self._options.node_id] = self._options.zone
        names = sorted(zones)
        reports = Pool(_CALLS_AT_ONCE).map(self._report, names)
        return [
            report or {"id": name, "zone": zones[name], "reachable": False}
            for name, report in zip(names, reports, strict=True)
        ]

    def _report(self, name: str) -> dict[str, Any] | None:
        if name == self._options.node_id:
            return {**self.status(), "reachable": True}
        peers = self.service("peers")
        if peers is None:
            return None
        try:
            report = peers.call(name, STATUS_METHOD, {}, CALL_TIMEOUT_S)
        except (RouterError, OSError, LookupError, gevent.Timeout):
            return None
        return {**report, "id": name, "reachable": True} if isinstance(report, dict) else None

    def wait_for(self, offset: int, timeout_s: float) -> tuple[list[str], list[str]]:
        """Waits until every known node has applied a record.

        :return: ids of the nodes that have it, and of those that have not confirmed it.
        """
        deadline = self._clock() + timeout_s
        while True:
            reports = self.reports()
            missing = [report["id"] for report in reports if report.get("offset", -1) < offset]
            if not missing or self._clock() >= deadline:
                have = [report["id"] for report in reports if report["id"] not in missing]
                return have, missing
            gevent.sleep(_POLL_S)

    def explain(self, request_id: str) -> dict[str, Any] | None:
        """Returns the account of a request, from the node that its id names.

        :raises NodeUnreachableError: if that node does not answer.
        """
        name, _, _ = request_id.partition("~")
        if name == self._options.node_id:
            return self._explain(name, {"request_id": request_id})
        peers = self.service("peers")
        try:
            if peers is None:
                raise LookupError("no peers service")
            return peers.call(name, EXPLAIN_METHOD, {"request_id": request_id}, CALL_TIMEOUT_S)
        except (RouterError, OSError, LookupError, gevent.Timeout) as error:
            raise NodeUnreachableError(
                f"node {name!r}, which served the request, does not answer; check the request id, "
                "or ask that node's own operator address"
            ) from error

    def _explain(self, _node: str, payload: Any) -> dict[str, Any] | None:
        explain = self.service("explain")
        return explain.get(str(payload["request_id"])) if explain is not None else None
