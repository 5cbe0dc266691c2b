"""A short soak of fixed seeds; ``python -m tests.soak`` plays others."""

import socket
import unittest

from tests.soak.networks import Network, NetworkInUseError
from tests.soak.soak import run

#: Time of faults, seconds.
SHORT_S = 6.0
#: Far from the networks that soaks try first.
FIRST_TRIED = 230
PORT = 7101


class NetworkTest(unittest.TestCase):
    """Guards against callers of one soak that reach the nodes of another one."""

    def reserve(self, first: int = FIRST_TRIED) -> Network:
        network = Network.reserve_free(first, (PORT,))
        self.addCleanup(network.release)
        return network

    def test_network_has_one_holder(self) -> None:
        first = self.reserve()
        with self.assertRaisesRegex(NetworkInUseError, "in use by another soak"):
            Network.reserve(first.number, (PORT,))
        self.assertGreater(self.reserve(first.number).number, first.number)
        first.release()
        self.assertEqual(self.reserve(first.number).number, first.number)

    def test_network_with_nodes_left_behind_is_not_used(self) -> None:
        free = self.reserve()
        free.release()
        server = socket.create_server((free.ips(1)[0], PORT))
        with server, self.assertRaises(NetworkInUseError):
            Network.reserve(free.number, (PORT,))
        self.assertEqual(self.reserve(free.number).number, free.number)


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults_from_outside(self) -> None:
        for seed in (2, 4):
            with self.subTest(seed=seed):
                report = run(seed, SHORT_S)
                self.assertEqual(report.broken, [], f"{report}; logs: {report.logs}")
                self.assertGreater(report.served, 0)
