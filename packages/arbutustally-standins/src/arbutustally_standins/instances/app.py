"""HTTP interface of the instance list; readers see a change after a lag."""

import argparse
from dataclasses import dataclass
from typing import Any

from bottle import Bottle, HTTPResponse

from arbutustally.clock import Clock, monotonic
from arbutustally_standins.faults import (
    FaultSwitch,
    Received,
    add_control_routes,
    answer,
    disturb,
    lost,
    read_json,
    refusal,
)

_DEFAULTS = {"service": "", "address": "", "zone": "", "state": "live", "version": "", "model": ""}
_STATES = ("live", "leaving")


@dataclass(frozen=True)
class InstanceFaults:
    """Faults of the instance list.

    :ivar outage: every call is answered with status 503 and has no effect.
    :ivar refuse: every connection is closed without an answer and without effect.
    :ivar slow_s: delay before a call takes effect.
    :ivar lag_s: time until readers see a later change.
    :ivar frozen: readers see no change until this is cleared.
    :ivar lose_next_answers: changes that take effect and whose answer is lost.
    """

    outage: bool = False
    refuse: bool = False
    slow_s: float = 0.0
    lag_s: float = 0.0
    frozen: bool = False
    lose_next_answers: int = 0


@dataclass(frozen=True)
class _Update:
    visible_at: float
    id: str
    instance: dict[str, Any] | None


class InstancesStandin:
    """The instance list with its HTTP routes."""

    def __init__(self, lag_s: float, clock: Clock) -> None:
        self.app = Bottle()
        self.faults = FaultSwitch(InstanceFaults(lag_s=lag_s))
        self._clock = clock
        self._received = Received()
        self._written: dict[str, dict[str, Any]] = {}
        self._visible: dict[str, dict[str, Any]] = {}
        self._updates: list[_Update] = []
        self.app.route("/v1/instances", "GET", self._list)
        self.app.route("/v1/instances/<id>", "PUT", self._put)
        self.app.route("/v1/instances/<id>", "DELETE", self._delete)
        add_control_routes(self.app, self.faults, self._stats)

    @classmethod
    def from_config(cls, options: Any = None, clock: Clock = monotonic) -> "InstancesStandin":
        """Builds the list from flags; ``None`` takes the defaults."""
        return cls(options.lag_s if options else 0.0, clock)

    def start(self) -> None:
        """Begins to serve."""

    def stop(self) -> None:
        """Ends serving."""

    def put(self, instance: dict[str, Any]) -> None:
        """Adds or replaces an instance by its ``id``."""
        self._written[instance["id"]] = instance
        self._change(instance["id"], instance)

    def _change(self, id_: str, instance: dict[str, Any] | None) -> None:
        update = _Update(self._clock() + self.faults.now.lag_s, id_, instance)
        self._updates.append(update)

    def _list(self) -> HTTPResponse:
        self._received.note()
        disturb(self.faults.now)
        self._publish()
        return answer({"instances": [self._visible[id_] for id_ in sorted(self._visible)]})

    def _publish(self) -> None:
        if self.faults.now.frozen:
            return
        now = self._clock()
        # A lowered lag never lets a later change become visible before an earlier one.
        while self._updates and self._updates[0].visible_at <= now:
            update = self._updates.pop(0)
            if update.instance is None:
                self._visible.pop(update.id, None)
            else:
                self._visible[update.id] = update.instance

    def _put(self, id: str) -> HTTPResponse:
        self._received.note()
        disturb(self.faults.now)
        body = read_json()
        given = {name: value for name, value in body.items() if name in _DEFAULTS}
        instance = {"id": id, **_DEFAULTS, **self._written.get(id, {}), **given}
        if instance["state"] not in _STATES or not instance["service"]:
            return refusal(400, "bad_request", "give a service, and a state of live or leaving")
        self.put(instance)
        return self._confirm(instance)

    def _delete(self, id: str) -> HTTPResponse:
        self._received.note()
        disturb(self.faults.now)
        if self._written.pop(id, None) is None:
            return refusal(404, "instance_unknown", "list the instances for their ids")
        self._change(id, None)
        return self._confirm({"id": id})

    def _confirm(self, body: dict[str, Any]) -> HTTPResponse:
        return lost() if self.faults.take("lose_next_answers") else answer(body)

    def _stats(self) -> dict[str, Any]:
        written = [self._written[id_] for id_ in sorted(self._written)]
        return {**self._received.report(), "written": written, "pending": len(self._updates)}


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Declares the flags of the instance list."""
    parser.add_argument("--lag-s", type=float, default=0.0, help="time until readers see a change")
