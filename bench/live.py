"""Runs a recorded trace against a fleet of processes that it starts and stops itself."""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from dataclasses import replace  # noqa: E402
from pathlib import Path  # noqa: E402
from tempfile import TemporaryDirectory  # noqa: E402

import gevent  # noqa: E402

from bench.figures import Figures  # noqa: E402
from bench.live_fleet import LiveFleet  # noqa: E402
from bench.load import LoadOptions, LoadRun  # noqa: E402
from bench.workloads import (
    DEPLOYMENTS,
    TRACES,
    VERSIONS,
    generate,
    read,
    with_version,
)  # noqa: E402

_OUT = Path(__file__).parent / "out"
_SEED = 1
_CALLS = ("header", "completion", "booking")


def play(fleet: LiveFleet, trace: list[dict], options: LoadOptions, calm: bool) -> Figures:
    """Runs the calls of a trace and makes its other events happen.

    :param calm: leave out restarts and versions.
    """
    run = LoadRun.from_config(trace, options)
    began = time.monotonic()
    timers = []
    for event in trace:
        if event["kind"] in _CALLS or calm or event["at"] > options.duration_s * options.speed:
            continue
        timers.append(gevent.spawn_later(event["at"] / options.speed, fleet.happen, event))
    figures = run.run()
    gevent.joinall(timers, timeout=options.grace_s, raise_error=True)
    print(f"run took {time.monotonic() - began:.1f} s")
    return figures


def main() -> int:
    """Runs one deployment.

    :returns: 0 if every stream was right and every process ended well, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("deployment", choices=sorted(DEPLOYMENTS))
    parser.add_argument("--nodes", type=int, default=6)
    parser.add_argument("--speed", type=float, default=1.0, help="times faster than recorded")
    parser.add_argument("--duration-s", type=float, default=30.0, help="last start of a call")
    parser.add_argument("--version", default="good", choices=sorted(VERSIONS))
    parser.add_argument(
        "--generate-s", type=float, help="generate a trace this long instead of the recorded one"
    )
    parser.add_argument("--calm", action="store_true", help="leave out restarts and versions")
    parser.add_argument(
        "--settle-s", type=float, default=0.0, help="wait before the run, so that budgets fill"
    )
    parser.add_argument("--keep", type=Path, help="directory for the logs of the processes")
    arguments = parser.parse_args()
    trace = _trace(arguments)
    with TemporaryDirectory() as temporary:
        directory = arguments.keep or Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        deployment = DEPLOYMENTS[arguments.deployment]
        fleet = LiveFleet.from_config(deployment, trace[0]["accounts"], arguments.nodes, directory)
        duration_s = arguments.generate_s or arguments.duration_s
        options = LoadOptions((), {}, arguments.speed, duration_s, versions=("1", "2"))
        return _measure(fleet, trace, options, arguments)


def _trace(arguments: argparse.Namespace) -> list[dict]:
    if arguments.generate_s is None:
        recorded = read(TRACES / f"{arguments.deployment}.jsonl")
        return with_version(recorded, arguments.version)
    deployment = replace(DEPLOYMENTS[arguments.deployment], duration_s=arguments.generate_s)
    return generate(deployment, _SEED, arguments.version)


def _measure(
    fleet: LiveFleet, trace: list[dict], options: LoadOptions, arguments: argparse.Namespace
) -> int:
    try:
        fleet.start()
        options = replace(options, entries=fleet.entries, keys=fleet.issue_keys())
        gevent.sleep(arguments.settle_s)
        figures = play(fleet, trace, options, arguments.calm)
        _report(fleet, figures)
    finally:
        codes = fleet.stop()
    failed = {name: code for name, code in codes.items() if code}
    print("exit codes other than 0: " + (json.dumps(failed) if failed else "none"))
    return 1 if failed or figures.codes().get("wrong_text") else 0


def _report(fleet: LiveFleet, figures: Figures) -> None:
    _OUT.mkdir(exist_ok=True)
    figures.write_csv(_OUT / "live.csv")
    print(figures.table())
    counts = [fleet.stats(engine)["counts"] for engine in fleet.engines]
    for name in ("prompt_tokens", "cached_tokens", "imported_tokens", "prefill_tokens"):
        print(f"engines' {name}: {sum(count.get(name, 0) for count in counts)}")
    moves = fleet.operator("/v1/moves")["moves"]
    shown = ("version", "step", "share", "evidence")
    print("moves: " + json.dumps([{name: move[name] for name in shown} for move in moves]))


if __name__ == "__main__":
    sys.exit(main())
