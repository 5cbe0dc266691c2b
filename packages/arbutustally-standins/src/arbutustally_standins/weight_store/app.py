"""HTTP interface of the weight store; loads share its bandwidth.

``GET /v1/weights/<model>/<version>`` answers when the load is complete.
"""

import argparse
from collections import Counter
from dataclasses import dataclass
from typing import Any

import gevent
from bottle import Bottle, HTTPResponse

from arbutustally_standins.faults import (
    FaultSwitch,
    Received,
    add_control_routes,
    answer,
    disturb,
    refusal,
)

_TICK_S = 0.01


@dataclass(frozen=True)
class WeightFaults:
    """Faults of the weight store.

    :ivar outage: every call is answered with status 503 and has no effect.
    :ivar refuse: every connection is closed without an answer and without effect.
    :ivar slow_s: delay before a load begins.
    :ivar slow_factor: multiplies the duration of loads.
    :ivar missing: versions answered with status 404.
    """

    outage: bool = False
    refuse: bool = False
    slow_s: float = 0.0
    slow_factor: float = 1.0
    missing: tuple[str, ...] = ()


class WeightStoreStandin:
    """The weight store with its HTTP routes.

    :param load_s: duration of a load while there is bandwidth.
    :param full_speed_loads: loads that run at full speed together; beyond that, all loads share
        the same bandwidth and take longer.
    """

    def __init__(self, load_s: float, full_speed_loads: int) -> None:
        self.app = Bottle()
        self.faults = FaultSwitch(WeightFaults(), {"missing": tuple})
        self._load_s = load_s
        self._full_speed_loads = full_speed_loads
        self._loading = 0
        self._most = 0
        self._received = Received()
        self._loads: Counter[str] = Counter()
        self.app.route("/v1/weights/<model>/<version>", "GET", self._load)
        add_control_routes(self.app, self.faults, self._stats)

    @classmethod
    def from_config(cls, options: Any = None) -> "WeightStoreStandin":
        """Builds the store from flags; ``None`` takes the defaults."""
        if options is None:
            return cls(0.5, 2)
        return cls(options.load_s, options.full_speed_loads)

    def start(self) -> None:
        """Begins to serve."""

    def stop(self) -> None:
        """Ends serving."""

    def _load(self, model: str, version: str) -> HTTPResponse:
        self._received.note()
        disturb(self.faults.now)
        if version in self.faults.now.missing:
            return refusal(404, "version_unknown", "publish the version before it is loaded")
        self._loading += 1
        self._most = max(self._most, self._loading)
        try:
            self._transfer()
        finally:
            self._loading -= 1
        self._loads[f"{model}/{version}"] += 1
        return answer({"model": model, "version": version})

    def _transfer(self) -> None:
        left = self._load_s
        while left > 0:
            gevent.sleep(_TICK_S)
            share = min(1.0, self._full_speed_loads / self._loading)
            left -= _TICK_S * share / self.faults.now.slow_factor

    def _stats(self) -> dict[str, Any]:
        return {
            **self._received.report(),
            "loads": dict(self._loads),
            "loading": self._loading,
            "most_at_once": self._most,
        }


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Declares the flags of the weight store."""
    parser.add_argument("--load-s", type=float, default=0.5, help="duration of one load, s")
    parser.add_argument(
        "--full-speed-loads", type=int, default=2, help="loads at once that are not slowed"
    )
