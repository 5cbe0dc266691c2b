"""A short soak of fixed seeds; ``python -m tests.soak`` plays others."""

import unittest

from tests.soak.soak import run

#: Time of faults, seconds.
SHORT_S = 6.0


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults_from_outside(self) -> None:
        for seed in (2, 4):
            with self.subTest(seed=seed):
                report = run(seed, SHORT_S)
                self.assertEqual(report.broken, [], f"{report}; logs: {report.logs}")
                self.assertGreater(report.served, 0)
