"""HTTP interface of the KV store: pieces of about 1,000 tokens at a limited rate.

A piece is named by the chained hash of its last block, which covers account, model and weights
version. ``POST /v1/pieces/have|put|fetch {"keys":[...]}`` returns ``{"held": n}``, the number of
leading keys that are kept; ``put`` and ``fetch`` take the time of the transfer.
"""

import argparse
from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import Any

import gevent
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
)
from arbutustally_standins.rates import RateLimit
from arbutustally_standins.tokens import PIECE_TOKENS


@dataclass(frozen=True)
class KvFaults:
    """Faults of the KV store.

    :ivar outage: every call is answered with status 503 and has no effect.
    :ivar refuse: every connection is closed without an answer and without effect.
    :ivar slow_s: delay before a call takes effect.
    :ivar lose_next_answers: calls that take effect and whose answer is lost.
    """

    outage: bool = False
    refuse: bool = False
    slow_s: float = 0.0
    lose_next_answers: int = 0


class KvStoreStandin:
    """The KV store with its HTTP routes.

    :param capacity: pieces kept; the least recently used are dropped.
    :param tokens_per_s: rate of all transfers together.
    """

    def __init__(self, capacity: int, tokens_per_s: float, clock: Clock) -> None:
        self.app = Bottle()
        self.faults = FaultSwitch(KvFaults())
        self._capacity = capacity
        self._limit = RateLimit(tokens_per_s, PIECE_TOKENS, clock)
        self._received = Received()
        self._pieces: OrderedDict[str, None] = OrderedDict()
        self._counts: Counter[str] = Counter()
        self.app.route("/v1/pieces/have", "POST", self._have)
        self.app.route("/v1/pieces/put", "POST", self._put)
        self.app.route("/v1/pieces/fetch", "POST", self._fetch)
        add_control_routes(self.app, self.faults, self._stats)

    @classmethod
    def from_config(cls, options: Any = None, clock: Clock = monotonic) -> "KvStoreStandin":
        """Builds the store from flags; ``None`` takes the defaults."""
        if options is None:
            return cls(10_000, 100_000.0, clock)
        return cls(options.pieces, options.tokens_per_s, clock)

    def start(self) -> None:
        """Begins to serve."""

    def stop(self) -> None:
        """Ends serving."""

    def _keys(self) -> list[str]:
        self._received.note()
        disturb(self.faults.now)
        return [str(key) for key in read_json().get("keys", [])]

    def _held(self, keys: list[str]) -> int:
        for number, key in enumerate(keys):
            if key not in self._pieces:
                return number
        return len(keys)

    def _have(self) -> HTTPResponse:
        return self._confirm(self._held(self._keys()))

    def _put(self) -> HTTPResponse:
        keys = self._keys()
        new = [key for key in keys if key not in self._pieces]
        self._transfer(len(new), "put")
        for key in keys:
            self._pieces[key] = None
            self._pieces.move_to_end(key)
        while len(self._pieces) > self._capacity:
            self._pieces.popitem(last=False)
        return self._confirm(self._held(keys))

    def _fetch(self) -> HTTPResponse:
        keys = self._keys()
        held = self._held(keys)
        for key in keys[:held]:
            self._pieces.move_to_end(key)
        self._transfer(held, "fetch")
        return self._confirm(held)

    def _transfer(self, pieces: int, direction: str) -> None:
        self._counts[direction] += pieces
        gevent.sleep(self._limit.delay(pieces * PIECE_TOKENS))

    def _confirm(self, held: int) -> HTTPResponse:
        return lost() if self.faults.take("lose_next_answers") else answer({"held": held})

    def _stats(self) -> dict[str, Any]:
        return {
            **self._received.report(),
            "counts": dict(self._counts),
            "pieces": len(self._pieces),
        }


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Declares the flags of the KV store."""
    parser.add_argument("--pieces", type=int, default=10_000, help="pieces kept")
    parser.add_argument(
        "--tokens-per-s", type=float, default=100_000.0, help="rate of all transfers together"
    )
