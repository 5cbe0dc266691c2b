"""Runs the test suite, then the cases of KNOWN-RED.txt apart, and prints the verdict."""

import argparse
import os
import sys
import unittest
from pathlib import Path

from gevent import monkey

monkey.patch_all()

from hypothesis import settings  # noqa: E402

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"


def known_red() -> list[str]:
    """Returns the dotted test names listed in KNOWN-RED.txt, one per ``test:`` line."""
    if not KNOWN_RED.exists():
        return []
    lines = KNOWN_RED.read_text().splitlines()
    return [line.partition(":")[2].strip() for line in lines if line.startswith("test:")]


def flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    """Returns the single cases of a suite."""
    cases: list[unittest.TestCase] = []
    for item in suite:
        cases.extend(flatten(item) if isinstance(item, unittest.TestSuite) else [item])
    return cases


def run(cases: list[unittest.TestCase], verbosity: int) -> unittest.TestResult:
    """Runs the cases and returns their result."""
    runner = unittest.TextTestRunner(stream=sys.stdout, verbosity=verbosity)
    return runner.run(unittest.TestSuite(cases))


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="dotted test names; all by default")
    parser.add_argument("--long", action="store_true", help="long random hypothesis profile")
    arguments = parser.parse_args()
    settings.register_profile("ci", derandomize=True, deadline=None, database=None)
    settings.register_profile("long", max_examples=1000, deadline=None)
    settings.load_profile("long" if arguments.long else "ci")
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    sys.path.insert(0, str(ROOT))
    loader = unittest.TestLoader()
    if arguments.names:
        suite = loader.loadTestsFromNames(arguments.names)
    else:
        suite = loader.discover(str(ROOT / "tests"), top_level_dir=str(ROOT))
    cases = flatten(suite)
    red_names = known_red()
    red = [case for case in cases if case.id() in red_names]
    green = [case for case in cases if case.id() not in red_names]
    result = run(green, verbosity=2)
    if red:
        print("cases of KNOWN-RED.txt, run apart; they do not count:")
        red_result = run(red, verbosity=2)
        print(f"known red: {len(red)} run, {len(red_result.failures + red_result.errors)} red")
    bad = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    print(f"{result.testsRun - bad} passed, {bad} failed")
    return 1 if bad or not result.testsRun else 0


if __name__ == "__main__":
    sys.exit(main())
