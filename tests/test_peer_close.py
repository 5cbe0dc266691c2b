"""Closing of peer links with unread frames, in a child process that may be aborted."""

import os
import subprocess
import sys
import time
import unittest
from pathlib import Path

import gevent

from arbutustally.peer_protocol import Call, encode
from arbutustally_node.peer_link import MAX_CONCURRENT_CALLS
from tests.test_peers import Fleet, eventually

ROOT = Path(__file__).resolve().parent.parent
#: Frames beyond the calls handled concurrently; more than the library reads ahead.
UNREAD_FRAMES = 64
CHILD_TIMEOUT_S = 60.0
_CHILD = """
from gevent import config
config.loop = "libev-cext"
from gevent import monkey
monkey.patch_all()
from tests.test_peer_close import close_with_unread_frames
close_with_unread_frames()
"""


def close_with_unread_frames() -> None:
    """Closes links at both ends with unread frames, then prints the number of open connections."""
    fleet = Fleet()
    nodes = [fleet.add(name) for name in ("a", "b")]
    gevent.sleep(0.2)
    assert eventually(fleet.connected), "the nodes did not link"
    for node in nodes:
        node.handle("slow", lambda _node_id, _payload: gevent.sleep(30.0))
    for node in nodes:
        (link,) = node._links.values()
        for number in range(MAX_CONCURRENT_CALLS + UNREAD_FRAMES):
            link.post(encode(Call(number, "slow", None)))
            gevent.sleep(0.001)
    fleet.stop()
    deadline = time.monotonic() + 10.0
    while _open_connections() and time.monotonic() < deadline:
        gevent.sleep(0.05)
    print(f"{_open_connections()} connections open")


def _open_connections() -> int:
    """Returns the number of TCP sockets among the descriptors of this process."""
    rows = Path("/proc/self/net/tcp").read_text().splitlines()[1:]
    tcp = {f"socket:[{row.split()[9]}]" for row in rows}
    links = []
    for entry in os.listdir("/proc/self/fd"):
        try:
            links.append(os.readlink(f"/proc/self/fd/{entry}"))
        except FileNotFoundError:
            # The descriptor of the directory listing itself, closed by now.
            continue
    return sum(link in tcp for link in links)


class PeerCloseTest(unittest.TestCase):
    def test_link_closed_with_unread_frames_leaves_the_process_alive(self) -> None:
        """Guards against libev aborting a node that closes the link to a busy peer."""
        child = subprocess.run(
            [sys.executable, "-c", _CHILD],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=CHILD_TIMEOUT_S,
            stdin=subprocess.DEVNULL,
        )
        self.assertEqual(child.returncode, 0, child.stderr[-2000:])
        self.assertTrue(child.stdout.endswith("0 connections open\n"), child.stdout)


if __name__ == "__main__":
    unittest.main()
