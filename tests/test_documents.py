"""The documentation matches the code."""

import re
import unittest
from pathlib import Path

import arbutustally_node.services  # noqa: F401  declares all counters of a node
from arbutustally.metrics import declared
from arbutustally_node.options import SETTINGS

ROOT = Path(__file__).resolve().parent.parent


class DocumentsTest(unittest.TestCase):
    maxDiff = None

    def test_every_counter_is_in_the_table_for_operators(self) -> None:
        """Guards against a refusal or retry reason that operators cannot look up."""
        page = (ROOT / "docs" / "operators.md").read_text()
        text = page.partition("## Counters")[2]
        listed = re.findall(r"^\| `([a-z_.]+\.[a-z_]+)` \|", text, re.MULTILINE)
        self.assertEqual(sorted(listed), [counter.name for counter in declared()])

    def test_proofs_name_tests_that_exist(self) -> None:
        """Guards against a proof that refers to a renamed test."""
        text = (ROOT / "docs" / "PROOFS.md").read_text()
        names = set(re.findall(r"`(tests\.[A-Za-z0-9_.]+)`", text))
        self.assertTrue(names)
        loader = unittest.TestLoader()
        for name in sorted(names):
            loader.loadTestsFromName(name)
        self.assertEqual(loader.errors, [])

    def test_settings_have_help_and_are_unique(self) -> None:
        names = [setting.name for setting in SETTINGS]
        self.assertEqual(len(names), len(set(names)))
        self.assertTrue(all(setting.help for setting in SETTINGS))
