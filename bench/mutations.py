"""Removes one mechanism at a time in a scratch copy and checks that its test fails.

``python -m bench.mutations [PROMISE ...]`` reads bench/mutations.*.toml, applies each mutation to
a scratch copy of the tree, runs the named test there and prints caught or missed.
"""

import argparse
import csv
import os
import shutil
import subprocess
import sys
import tempfile
import tomllib
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = (
    "packages/arbutustally/src",
    "packages/arbutustally-node/src",
    "packages/arbutustally-cli/src",
    "packages/arbutustally-standins/src",
    "platform",
)
TEST_TIMEOUT_S = 300


@dataclass(frozen=True)
class Mutation:
    """Removal of one mechanism.

    :ivar promise: number of the promise in docs/PROOFS.md.
    :ivar mechanism: what is removed.
    :ivar file: path below the root.
    :ivar find: text that occurs exactly once in the file.
    :ivar replace: text put in its place.
    :ivar test: dotted name of the test that must fail.
    """

    promise: str
    mechanism: str
    file: str
    find: str
    replace: str
    test: str


def load() -> list[Mutation]:
    """Reads the mutations of all areas."""
    paths = sorted((ROOT / "bench").glob("mutations.*.toml"))
    tables = [tomllib.loads(path.read_text())["mutation"] for path in paths]
    return [Mutation(**entry) for table in tables for entry in table]


def is_stale(mutation: Mutation) -> bool:
    """Returns whether the text to replace does not occur exactly once any more."""
    return (ROOT / mutation.file).read_text().count(mutation.find) != 1


def copy_tree(target: Path) -> None:
    """Copies the sources and tests to ``target``."""
    ignore = shutil.ignore_patterns(".git", ".venv", "__pycache__", "out", ".hypothesis", "target")
    shutil.copytree(ROOT, target, ignore=ignore)


def run_test(tree: Path, test: str) -> bool:
    """Returns whether the test passes in ``tree``."""
    paths = [str(tree / source) for source in SOURCES]
    environment = dict(os.environ, PYTHONPATH=os.pathsep.join(paths), PYTHONDONTWRITEBYTECODE="1")
    try:
        finished = subprocess.run(
            [sys.executable, "tests/run.py", test],
            cwd=tree,
            env=environment,
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return False
    return finished.returncode == 0


def judge(mutation: Mutation) -> str:
    """Applies one mutation in a scratch copy and returns ``caught``, ``missed`` or ``stale``."""
    if is_stale(mutation):
        return "stale"
    with tempfile.TemporaryDirectory(prefix="mutation-") as scratch:
        tree = Path(scratch) / "tree"
        copy_tree(tree)
        target = tree / mutation.file
        target.write_text(target.read_text().replace(mutation.find, mutation.replace))
        return "missed" if run_test(tree, mutation.test) else "caught"


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("promises", nargs="*", help="promise numbers; all by default")
    parser.add_argument("--workers", type=int, default=4, help="tests run at once")
    arguments = parser.parse_args()
    mutations = load()
    if arguments.promises:
        mutations = [item for item in mutations if item.promise in arguments.promises]
    clean = dict.fromkeys(item.test for item in mutations)
    with ThreadPoolExecutor(arguments.workers) as pool:
        passing = dict(zip(clean, pool.map(lambda test: run_test(ROOT, test), clean), strict=True))
        verdicts = list(pool.map(judge, mutations))
    rows = []
    for mutation, verdict in zip(mutations, verdicts, strict=True):
        # A test that is red without the mutation proves nothing.
        verdict = verdict if passing[mutation.test] else "test red without mutation"
        rows.append((mutation.promise, mutation.mechanism, mutation.test, verdict))
        print(f"{verdict:8} {mutation.promise:>3}  {mutation.mechanism}  [{mutation.test}]")
    out = ROOT / "bench" / "out"
    out.mkdir(exist_ok=True)
    with (out / "mutations.csv").open("w", newline="") as handle:
        csv.writer(handle).writerows([("promise", "mechanism", "test", "verdict"), *rows])
    caught = sum(1 for row in rows if row[3] == "caught")
    print(f"{caught} of {len(rows)} mutations caught")
    return 0 if caught == len(rows) else 1


if __name__ == "__main__":
    sys.exit(main())
