"""One node that runs as a process of its own, with its memory and descriptors."""

import json
import os
import tempfile
import time
from pathlib import Path
from sys import executable

import urllib3

from tests.gateway_fleet import GatewayCase, settings
from tests.soak.networks import FIRST_NETWORK, Network
from tests.soak.program import PEER_PORT, PORTS, Program

READY_S = 20.0


class NodeProcessCase(GatewayCase):
    """Starts one node as a process; a subclass starts the store and the workers.

    :cvar memory_mb: memory of the node as its settings state it.
    """

    memory_mb = 150

    def command(self) -> list[str]:
        """Returns the command of the process."""
        return [executable, "-m", "arbutustally_platform"]

    def start_process(self, **changes) -> None:
        """Starts the node and waits until it answers an ordinary request.

        :param changes: changes of its settings.
        """
        network = Network.reserve_free(FIRST_NETWORK, tuple(PORTS.values()))
        self.addCleanup(network.release)
        self.ip, self.peer_ip = network.ips(2)
        directory = Path(tempfile.mkdtemp(prefix="node-process-"))
        fields = settings(
            self.store.address,
            ip=self.ip,
            listen={which: f"{self.ip}:{port}" for which, port in PORTS.items()},
            internalPorts=[PEER_PORT, PEER_PORT],
            limits={"memoryMb": self.memory_mb},
            **changes,
        )
        path = directory / "settings.json"
        path.write_text(json.dumps(fields))
        self.log_path = directory / "node.log"
        self.program = Program(
            "node-1", self.command(), self.log_path, {"ARBUTUSTALLY_CONFIG": str(path)}
        )
        self.program.start()
        self.addCleanup(self.program.end)
        self.eventually(lambda: self.ask() == 200, READY_S)

    def ask(self) -> int:
        """Sends an ordinary request; returns its status, 0 without one."""
        url = f"http://{self.ip}:{PORTS['front']}/look/small"
        fields = {
            "Host": "h.example",
            "Request-Id": f"o{time.monotonic_ns()}",
            "Authorization": "Token key-school",
            "Small": "1",
        }
        try:
            return self.http.request("POST", url, headers=fields, body=b"{}").status
        except urllib3.exceptions.HTTPError:
            return 0

    def descriptors(self) -> int:
        """Returns the number of open descriptors of the process."""
        return len(os.listdir(f"/proc/{self.program.popen.pid}/fd"))

    def peak_mb(self) -> float:
        """Returns the largest resident size of the process since its start, MB."""
        status = Path(f"/proc/{self.program.popen.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        return int(line.split()[1]) / 1024
