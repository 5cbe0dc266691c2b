"""HTTP interface of the log: append, read with long poll, faults."""

import argparse
from collections import Counter
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

import gevent
from bottle import Bottle, HTTPResponse, request
from gevent.event import Event

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
from arbutustally_standins.log.journal import BelowOldestError, Journal
from arbutustally_standins.rates import RateLimit

MAX_WAIT_S = 30.0
MAX_LIMIT = 5000
_RETRY_AFTER_S = "1"


@dataclass(frozen=True)
class LogFaults:
    """Faults of the log.

    :ivar outage: every call is answered with status 503 and has no effect.
    :ivar refuse: every connection is closed without an answer and without effect.
    :ivar slow_s: delay before a call takes effect.
    :ivar slow_answer_s: delay between the effect of an append and its answer.
    :ivar lose_next_answers: appends that take effect and whose connection is then closed without
        an answer; negative for all.
    """

    outage: bool = False
    refuse: bool = False
    slow_s: float = 0.0
    slow_answer_s: float = 0.0
    lose_next_answers: int = 0


class LogStandin:
    """The log with its HTTP routes.

    :param rate: appends per second; further ones are refused with status 429.
    """

    def __init__(self, journal: Journal, rate: float, clock: Clock) -> None:
        self.app = Bottle()
        self.faults = FaultSwitch(LogFaults())
        self.faults.on_change(self._wake)
        self._journal = journal
        self._limit = RateLimit(rate, max(1.0, rate / 4), clock)
        self._received = Received()
        self._counts: Counter[str] = Counter()
        self._appended = Event()
        self._stopping = False
        self.app.route("/v1/append", "POST", self._append)
        self.app.route("/v1/records", "GET", self._read)
        add_control_routes(self.app, self.faults, self._stats)

    @classmethod
    def from_config(cls, options: Any = None, clock: Clock = monotonic) -> "LogStandin":
        """Builds the log from flags; ``None`` takes the defaults."""
        options = options or defaults()
        journal = Journal(options.retain_records, options.retain_s, clock)
        return cls(journal, options.appends_per_s, clock)

    @property
    def journal(self) -> Journal:
        """Returns the records, for tests in the same process."""
        return self._journal

    def start(self) -> None:
        """Begins to serve."""

    def stop(self) -> None:
        """Ends long polls."""
        self._stopping = True
        self._wake()

    def _wake(self) -> None:
        appended, self._appended = self._appended, Event()
        appended.set()

    def _append(self) -> HTTPResponse:
        self._received.note()
        disturb(self.faults.now)
        records = read_json().get("records")
        if not _well_formed(records):
            return refusal(400, "bad_request", 'send {"records":[{"id","kind","body"}]}')
        if not self._limit.take():
            self._counts["rate_limited"] += 1
            message = "the append rate is exceeded; put more records into one append"
            return refusal(429, "rate_limited", message, Retry_After=_RETRY_AFTER_S)
        first = self._journal.append(records)
        self._counts["appends"] += 1
        self._counts.update(f"kind.{record['kind']}" for record in records)
        self._wake()
        if self.faults.now.slow_answer_s:
            gevent.sleep(self.faults.now.slow_answer_s)
        if self.faults.take("lose_next_answers"):
            self._counts["lost_answers"] += 1
            return lost()
        return answer({"first_offset": first})

    def _read(self) -> HTTPResponse:
        self._received.note()
        disturb(self.faults.now)
        try:
            start = int(request.query.get("from", "0"))
            limit = min(MAX_LIMIT, int(request.query.get("limit", "1000")))
            wait_s = min(MAX_WAIT_S, float(request.query.get("wait_s", "0")))
        except ValueError:
            return refusal(400, "bad_request", "from and limit are integers, wait_s is a number")
        if start < 0 or limit < 1:
            return refusal(400, "bad_request", "from is at least 0 and limit at least 1")
        self._wait(start, wait_s)
        try:
            records = self._journal.read(start, limit)
        except BelowOldestError as error:
            return answer({"oldest": error.oldest}, 410)
        following = records[-1]["offset"] + 1 if records else start
        return answer({"records": records, "next": following, "oldest": self._journal.oldest})

    def _wait(self, start: int, wait_s: float) -> None:
        """Waits for a record at an offset; faults set meanwhile apply to the waiting call."""
        with gevent.Timeout(wait_s, False):
            while wait_s > 0 and start >= self._journal.tail and not self._stopping:
                self._appended.wait()
                disturb(self.faults.now)

    def _stats(self) -> dict[str, Any]:
        return {
            **self._received.report(),
            "counts": dict(self._counts),
            "oldest": self._journal.oldest,
            "tail": self._journal.tail,
        }


def _well_formed(records: Any) -> bool:
    if not isinstance(records, list) or not records:
        return False
    return all(isinstance(r, dict) and {"id", "kind", "body"} <= set(r) for r in records)


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Declares the flags of the log."""
    parser.add_argument("--retain-records", type=int, default=100_000, help="records kept")
    parser.add_argument("--retain-s", type=float, default=86400.0, help="age of records kept, s")
    parser.add_argument("--appends-per-s", type=float, default=400.0, help="rate limit of appends")


def defaults(**values: Any) -> SimpleNamespace:
    """Returns options as the flags give them, with some values replaced."""
    parser = argparse.ArgumentParser()
    add_flags(parser)
    return SimpleNamespace(**{**vars(parser.parse_args([])), **values})
