"""An in-memory log with the methods of the log client and faults on demand."""

import gevent
from gevent.event import Event

from arbutustally.errors import HoleFoundError, LogUnavailableError, Ran
from arbutustally.log_client import ReadResult
from arbutustally.records import Body, Record, wrap
from arbutustally_node.kernel import Kernel
from arbutustally_node.log_service import LogService
from arbutustally_node.options import Options
from tests.node_options import with_defaults


class FakeLog:
    """One log for any number of nodes.

    :ivar is_down: reads and appends fail before they reach the log.
    :ivar lost_responses: number of next appends that take effect but fail.
    :ivar delay_s: delay of each append and read in seconds.
    :ivar oldest: oldest offset that is kept.
    :ivar reads: number of reads so far.
    """

    def __init__(self) -> None:
        self.records: list[Record | None] = []
        self.is_down = False
        self.lost_responses = 0
        self.delay_s = 0.0
        self.oldest = 0
        self.reads = 0
        self._appended = Event()

    def put(self, body: Body | None) -> int:
        """Appends a record as another writer, or one that cannot be decoded for ``None``."""
        self.records.append(wrap(body) if body is not None else None)
        self._appended.set()
        return len(self.records) - 1

    def append(self, records: list[Record]) -> int:
        gevent.sleep(self.delay_s)
        if self.is_down:
            raise LogUnavailableError("down", ran=Ran.NOT_RUN)
        first = len(self.records)
        self.records.extend(records)
        self._appended.set()
        if self.lost_responses:
            self.lost_responses -= 1
            raise LogUnavailableError("response lost", ran=Ran.MAY_HAVE_RUN)
        return first

    def read(self, start: int, limit: int, wait_s: float) -> ReadResult:
        self.reads += 1
        gevent.sleep(self.delay_s)
        if self.is_down:
            raise LogUnavailableError("down")
        if start < self.oldest:
            raise HoleFoundError("gone", oldest=self.oldest)
        if start >= len(self.records):
            self._appended.clear()
            self._appended.wait(min(wait_s, 0.05))
        found = list(enumerate(self.records))[start : start + limit]
        return ReadResult(found, min(start, len(self.records)) + len(found), self.oldest)


def new_options(**changes: object) -> Options:
    """Returns options of a node with short durations."""
    values = {
        "node_id": "n1",
        "zone": "z",
        "log_url": "unused",
        "instances_url": "unused",
        "peer_secret": "p" * 20,
        "operator_token": "t" * 20,
        "operator_listen": "127.0.0.1:0",
        "incarnation": "1",
    }
    return with_defaults(values | changes)


def new_node(log: FakeLog, **changes: object) -> tuple[Kernel, LogService]:
    """Returns a kernel with a log service that is not started."""
    kernel = Kernel()
    service = LogService(kernel, new_options(**changes), log)
    kernel.register("log", service)
    return kernel, service


def wait_until(condition, seconds: float = 10.0) -> bool:
    """Waits until a condition holds; the bound only ends a test that would hang."""
    with gevent.Timeout(seconds, False):
        while not condition():
            gevent.sleep(0.005)
        return True
    return False
