"""Stand-ins of the store and of workers as processes of their own, for the soak.

``python -m tests.soak.backends store`` and ``... worker ID SERVICE MODEL VERSION FILE``. Each
prints its address in one line. A worker appends the id of each request that it runs to FILE
before it answers, so that a kill loses no id.
"""

import os
import sys
from random import Random

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402
from bottle import Bottle, request  # noqa: E402

from tests.platform_fakes import FakeStore, FakeWorker, StoreCopy  # noqa: E402

STREAM_EVENTS = 20
EVENT_S = 0.03
WORK_S = 0.05
#: Longest pause before the operator or a worker writes again a record that the store lost, seconds.
REWRITE_PAUSE_S = 0.3


class SoakStore(FakeStore):
    """A store whose content and status the soak sets from outside."""

    def add_routes(self, app: Bottle) -> None:
        app.put("/soak/record/<topic>/<key:path>")(self._put)
        app.put("/soak/status/<status:int>")(self._set_status)
        app.put("/soak/forget/<topic>")(self.drop_history)
        self._copies: list[StoreCopy] = []
        app.put("/soak/copy")(self._copy)
        app.put("/soak/return/<number:int>/<seed:int>")(self._return)

    def _put(self, topic: str, key: str) -> None:
        self.put_raw(topic, key, request.body.read())

    def _copy(self) -> str:
        self._copies.append(self.take_copy())
        return str(len(self._copies) - 1)

    def _return(self, number: int, seed: int) -> None:
        self.return_to(self._copies[number])
        gevent.spawn(self.write_again, Random(seed), REWRITE_PAUSE_S)

    def _set_status(self, status: int) -> None:
        self.status = status


class SoakWorker(FakeWorker):
    """A worker that takes some time and notes what it runs."""

    def __init__(self, path: str, *values: object) -> None:
        self._notes = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
        super().__init__(*values)

    def note_run(self, request_id: str) -> None:
        os.write(self._notes, f"{request_id}\n".encode())
        if not self.model:
            gevent.sleep(WORK_S)

    def note_order(self, order: dict) -> None:
        line = f"order {self.id} {order['fence']} {order['version']} {order['holder']}\n"
        os.write(self._notes, line.encode())

    def stream(self, after: int, until: int = STREAM_EVENTS):
        for piece in super().stream(after, until):
            gevent.sleep(EVENT_S)
            yield piece


def main() -> None:
    kind, *values = sys.argv[1:]
    if kind == "store":
        server = SoakStore()
    else:
        worker_id, service, model, version, path = values
        server = SoakWorker(path, worker_id, service, model, int(version))
    print(server.address, flush=True)
    gevent.wait()


if __name__ == "__main__":
    main()
