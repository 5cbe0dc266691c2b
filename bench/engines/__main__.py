"""Compares policies on a model of a site: ``python -m bench.engines EXPERIMENT.toml``."""

import argparse
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from bench.engines.errors import ExperimentError
from bench.engines.experiment import Experiment
from bench.engines.policies import POLICIES
from bench.engines.report import render, write_csv
from bench.engines.run import Cell, run_cell
from bench.engines.tally import Result

EXIT_OK = 0
EXIT_USAGE = 2
EXIT_OUTPUT = 3

DESCRIPTION = """\
Plays callers, deciding nodes, engines and plain workers on a virtual clock and compares policies
over the same arrivals. The decisions are the product's own modules. Examples of experiments stand
in bench/engines/*.toml; names of fields end with their unit.
"""
EPILOG = f"""\
policies: {", ".join(POLICIES)}

exit codes: 0 tables printed; 2 wrong arguments or experiment; 3 the CSV file can't be written
"""


def positive(text: str) -> int:
    """Returns a whole number above 0.

    :raises argparse.ArgumentTypeError: for any other text.
    """
    if not text.isdecimal() or int(text) < 1:
        raise argparse.ArgumentTypeError(f"{text!r} is not a whole number above 0")
    return int(text)


def parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    result = argparse.ArgumentParser(
        prog="python -m bench.engines",
        description=DESCRIPTION,
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    result.add_argument("experiment", type=Path, metavar="EXPERIMENT.toml")
    result.add_argument("--seeds", type=positive, default=3, help="seeds 1 to N (default 3)")
    result.add_argument("--csv", type=Path, metavar="FILE", help="write all figures to a file")
    result.add_argument("--jobs", type=positive, default=2, help="runs at once (default 2)")
    return result


def cells(experiment: Experiment, seeds: int) -> list[Cell]:
    """Returns all runs of an experiment."""
    return [
        Cell(experiment, scenario, policy, seed)
        for scenario in experiment.scenarios
        for policy in experiment.policies
        for seed in range(1, seeds + 1)
    ]


def run_all(to_run: list[Cell], jobs: int) -> list[Result]:
    """Runs cells, several at once, and returns their results in the same order."""
    if jobs == 1:
        return [run_cell(cell) for cell in to_run]
    with ProcessPoolExecutor(jobs) as pool:
        return list(pool.map(run_cell, to_run))


def main(arguments: list[str] | None = None) -> int:
    """Runs an experiment; returns the exit code."""
    options = parser().parse_args(arguments)
    try:
        experiment = Experiment.from_config(options.experiment)
    except ExperimentError as error:
        print(f"bench.engines: {error}", file=sys.stderr)
        return EXIT_USAGE
    results = run_all(cells(experiment, options.seeds), options.jobs)
    print(render(results))
    if options.csv is not None:
        try:
            write_csv(options.csv, results)
        except OSError as error:
            print(f"bench.engines: {options.csv}: {error.strerror}", file=sys.stderr)
            return EXIT_OUTPUT
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
