"""The settings of all machines change, with SIGHUP, while some processes have just been started."""

import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (
    CaseError,
    Fleet,
    Node,
    Record,
    Request,
    Store,
    Worker,
    answer_bytes,
    configuration,
    play,
)

#: Changes of the settings, and the time from a start of the process until SIGHUP, seconds.
CHANGES = 3
AFTER_START_S = 0.3
#: The same without the trouble: the process has been ready for a while.
AFTER_READY_S = 1.0
#: Pause before the platform starts a process again that has ended.
RESTART_S = 0.5
#: The rule names three ends on a tenth of the machines, two at least.
ENDS = 3
MACHINES = 2


class DeskWorker(Worker):
    """A worker of the plain service; a node without workers is not ready."""

    def run(self, request: Request, _sock: socket.socket) -> bytes:
        return answer_bytes(200, self.stamp(request), b"done")


def change_settings(node: Node, record: Record, trouble: bool) -> bool:
    """Sends SIGHUP to a node, in trouble soon after its start; returns whether that ended it."""
    if node.popen is None or node.popen.poll() is not None:
        time.sleep(RESTART_S)
        node.start()
        record.line("start", node=node.ip)
        if trouble:
            time.sleep(AFTER_START_S)
    if not trouble:
        node.await_ready()
        time.sleep(AFTER_READY_S)
    if node.popen.poll() is not None:
        raise CaseError(f"the process had ended before SIGHUP: {node.popen.returncode}")
    node.send(signal.SIGHUP)
    record.line("sighup", node=node.ip)
    time.sleep(1.0)
    code = node.popen.poll()
    record.line("process", node=node.ip, exit_code=code)
    return code is not None


def case(record: Record, trouble: bool) -> bool:
    store = Store()
    store.write("keyed.op", "config", configuration(1))
    DeskWorker("i-desk1", "desk", store, record)
    fleet = Fleet(3, store.address)
    hit, other = fleet.nodes[:MACHINES], fleet.nodes[MACHINES:]
    ends = {node.ip: 0 for node in hit}
    try:
        for node in other:
            node.start()
        for _ in range(CHANGES):
            for node in hit:
                ends[node.ip] += change_settings(node, record, trouble)
    finally:
        fleet.stop()
    record.line("result", ends=ends)
    print(f"processes ended by SIGHUP: {ends}")
    return sum(count >= ENDS for count in ends.values()) < MACHINES


if __name__ == "__main__":
    sys.exit(play(Path(__file__).resolve().parent, case))
