"""Plays soaks of consecutive seeds, several side by side, and prints a line for each."""

import argparse
import sys
from collections import Counter
from dataclasses import asdict

from gevent import monkey

monkey.patch_all()

from gevent.pool import Pool  # noqa: E402

from tests.soak.faults import FAULTS, NAMED_FAULTS  # noqa: E402
from tests.soak.fleet import FleetSize  # noqa: E402
from tests.soak.networks import FIRST_NETWORK  # noqa: E402
from tests.soak.soak import DEFAULT_SIZE, run  # noqa: E402

SECONDS = 12.0


def main() -> int:
    parser = argparse.ArgumentParser(prog="tests.soak", description=__doc__)
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=1, help="soaks side by side, at most 200")
    parser.add_argument(
        "--network",
        type=int,
        default=FIRST_NETWORK,
        help="first of the loopback networks 127.77.N to try; each soak takes a free one",
    )
    parser.add_argument("--seconds", type=float, default=SECONDS, help="time of faults")
    parser.add_argument(
        "--faults",
        nargs="+",
        default=[""],
        help="beginnings of the names of the faults to inject, such as spoil or kill_node",
    )
    for name, count in asdict(DEFAULT_SIZE).items():
        parser.add_argument(f"--{name}", type=int, default=count, help="number of processes")
    flags = parser.parse_args()
    known = FAULTS if "" in flags.faults else (*FAULTS, *NAMED_FAULTS)
    faults = tuple(one for one in known if one.__name__.startswith(tuple(flags.faults)))
    size = FleetSize(flags.nodes, flags.engines, flags.desks)
    broken = 0
    rules: Counter[str] = Counter()
    seeds = range(flags.first, flags.first + flags.seeds)

    def play(seed: int):
        return run(seed, flags.seconds, flags.network, faults, size)

    for report in Pool(flags.jobs).imap_unordered(play, seeds):
        broken += bool(report.broken)
        rules += report.rules
        print(report, f"logs: {report.logs}" if report.broken else "", flush=True)
    print(f"{len(seeds)} seeds played, {broken} with a broken promise {dict(rules)}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
