"""Stand-ins of the store and of workers as processes of their own, for the soak.

``python -m tests.soak.backends store`` and ``... worker ID MODEL VERSION NOTES SPOILS SEED``.
Each prints its address in one line. A worker appends its runs to the file NOTES, and reads from
the file SPOILS how to spoil its answers.
"""

import sys
from pathlib import Path
from random import Random

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402
from bottle import Bottle, request  # noqa: E402

from tests.platform_fakes import FakeStore, StoreCopy  # noqa: E402
from tests.soak.notes import NoteWriter  # noqa: E402
from tests.soak.worker import SoakWorker  # noqa: E402

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


def main() -> None:
    kind, *values = sys.argv[1:]
    if kind == "store":
        server = SoakStore()
    else:
        worker_id, model, version, notes, spoils, seed = values
        writer = NoteWriter(Path(notes))
        server = SoakWorker(worker_id, model, int(version), writer, Path(spoils), Random(seed))
    print(server.address, flush=True)
    gevent.wait()


if __name__ == "__main__":
    main()
