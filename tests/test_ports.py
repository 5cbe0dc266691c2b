"""Ports of the tests themselves."""

import unittest

from tests.ports import FIRST_PORT, LAST_PORT, free_port


class FreePortTest(unittest.TestCase):
    def test_no_port_is_given_twice(self) -> None:
        """Guards against two listeners of a fleet that start later on the same port."""
        ports = [free_port() for _ in range(1500)]
        self.assertEqual(len(set(ports)), len(ports))
        self.assertTrue(all(FIRST_PORT <= port <= LAST_PORT for port in ports))
