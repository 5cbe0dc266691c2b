"""The experiment tool: files, determinism, arrivals, troubles and the command line."""

import contextlib
import csv
import io
import os
import subprocess
import sys
import tempfile
import unittest
from collections import Counter
from dataclasses import replace
from pathlib import Path

from bench.engines.__main__ import EXIT_OK, EXIT_OUTPUT, EXIT_USAGE, main
from bench.engines.arrivals import draw_arrivals
from bench.engines.errors import ExperimentError
from bench.engines.experiment import BurstSizes, Experiment, Scenario, Trouble
from bench.engines.policies import LEAST_LOAD, OURS, POLICIES
from bench.engines.report import ratios
from bench.engines.run import Cell, World, run_cell
from bench.engines.tally import Ending, Record, Result, percentile

EXAMPLES = Path(__file__).resolve().parent.parent / "bench" / "engines"
QUIET = Scenario("quiet", 1.0)


def small(duration_s: float = 2.0) -> Experiment:
    """Returns the example of a small site, shortened."""
    experiment = Experiment.from_config(EXAMPLES / "small.toml")
    return replace(experiment, run=replace(experiment.run, duration_s=duration_s))


def endings(result: Result) -> Counter[Ending]:
    return Counter(record.ending for record in result.records)


class ExperimentTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "trial.toml"
        self.text = (EXAMPLES / "small.toml").read_text()

    def assert_refused(self, old: str, new: str, message: str) -> None:
        """Checks that the example with a change is refused with a message."""
        self.assertIn(old, self.text)
        self.path.write_text(self.text.replace(old, new, 1))
        with self.assertRaisesRegex(ExperimentError, message):
            Experiment.from_config(self.path)

    def test_the_examples_are_valid(self) -> None:
        """Guards against examples that lag behind the fields."""
        sizes = {
            name: Experiment.from_config(EXAMPLES / name).engines
            for name in ("small.toml", "grown.toml")
        }
        self.assertEqual((sizes["small.toml"].count, sizes["small.toml"].slots), (6, 64))
        self.assertEqual((sizes["grown.toml"].count, sizes["grown.toml"].slots), (70, 12))

    def test_wrong_files_are_refused_with_the_name_of_the_field(self) -> None:
        """Guards against runs on values that nobody meant."""
        cases = (
            ("slots = 64", "slot = 64", r"engines\.slot: unknown field"),
            ("slots = 64", "", r"engines\.slots: missing"),
            ("slots = 64", 'slots = "64"', r"engines\.slots: expected int"),
            ("slots = 64", "slots = true", r"engines\.slots: expected int"),
            ("slots = 64", "slots = 0", r"engines\.slots: 0 is out of range"),
            ("follows_caches = true", "follows_caches = 1", r"follows_caches: expected bool"),
            ('zones = ["a", "b", "c", "d"]', "zones = []", r"nodes\.zones: empty"),
            ('"random"', '"best"', "policies: 'best' is unknown; known are random"),
            ('kind = "dark"', 'kind = "flood"', r"troubles\[0\]\.kind: 'flood' is unknown"),
            ("share = 0.33", "share = 1.33", r"troubles\[0\]\.share: 1.33 is out of range"),
            ('name = "lookup"', 'name = "booking"', "two entries have the same name"),
            ("[run]", "[run", "no valid TOML"),
        )
        for old, new, message in cases:
            with self.subTest(new=new):
                self.assert_refused(old, new, message)

    def test_a_missing_file_is_refused(self) -> None:
        """Guards against a stack trace in place of a message."""
        with self.assertRaisesRegex(ExperimentError, "can't be read"):
            Experiment.from_config(self.path)


class ArrivalsTest(unittest.TestCase):
    def test_equal_seeds_draw_equal_arrivals(self) -> None:
        """Guards against policies that are compared over different callers."""
        experiment = small()
        first = draw_arrivals(experiment, 1.7, 3)
        self.assertEqual(first, draw_arrivals(experiment, 1.7, 3))
        self.assertNotEqual(first, draw_arrivals(experiment, 1.7, 4))

    def test_the_rate_follows_the_load_and_the_bursts(self) -> None:
        """Guards against loads that are not what the table says."""
        experiment = replace(small(200.0), bursts=BurstSizes(3.0, 10.0, 2.0))
        times = [arrival.at for arrival in draw_arrivals(experiment, 2.0, 1)]
        steady = sum(sizes.per_s for sizes in experiment.requests) * 2.0
        within = sum(at % 10.0 < 2.0 for at in times)
        self.assertAlmostEqual(within / 40.0, 3.0 * steady, delta=0.1 * 3.0 * steady)
        self.assertAlmostEqual((len(times) - within) / 160.0, steady, delta=0.1 * steady)

    def test_popular_parts_are_shared(self) -> None:
        """Guards against prompts without common parts, on which all policies are alike."""
        prompts = [entry.parts for entry in draw_arrivals(small(60.0), 1.0, 1) if entry.parts]
        own = Counter(parts[-1].id for parts in prompts)
        guides = Counter(parts[0].id for parts in prompts if len(parts) == 3)
        self.assertEqual(max(own.values()), 1)
        self.assertGreater(min(guides.values()), 10)


class WorldTest(unittest.TestCase):
    TROUBLES = (
        Trouble("dark", at_s=0.5, for_s=1.0, share=0.3),
        Trouble("crash", at_s=0.7, for_s=0.5, share=0.3),
        Trouble("slow", at_s=0.2, for_s=1.0, share=0.3, factor=4.0),
        Trouble("leave", at_s=1.0, for_s=0.5, share=0.2),
        Trouble("weights", at_s=0.4),
        Trouble("weights", at_s=1.2),
    )

    def test_equal_cells_give_equal_results(self) -> None:
        """Guards against results that depend on the process: hashes, sets, the time of day."""
        scenario = Scenario("troubled", 1.7, self.TROUBLES)
        for policy in ("random", OURS):
            cell = Cell(small(), scenario, policy, 5)
            with self.subTest(policy=policy):
                self.assertEqual(run_cell(cell), run_cell(cell))

    def test_every_request_ends_once_under_all_troubles(self) -> None:
        """Guards against requests that are lost or counted twice, and load that stays noted."""
        scenario = Scenario("troubled", 2.4, self.TROUBLES)
        for policy in POLICIES:
            with self.subTest(policy=policy):
                world = World(Cell(small(), scenario, policy, 1))
                result = world.play()
                self.assertEqual(len(result.records), result.arrived)
                for node in world.nodes:
                    states = node.book.all()
                    self.assertEqual(sum(state.running for state in states), 0)
                    self.assertAlmostEqual(sum(state.prompt_tokens for state in states), 0.0)
                    self.assertAlmostEqual(sum(state.memory_tokens for state in states), 0.0)
                for engine in world.site.engines.values():
                    self.assertEqual(engine.memory.used_tokens, 0)

    def test_new_weights_reach_every_engine_that_stays(self) -> None:
        """Guards against orders that stop before all engines have the newest weights."""
        troubles = (Trouble("weights", at_s=0.5), Trouble("weights", at_s=3.0))
        for policy in (LEAST_LOAD, OURS):
            with self.subTest(policy=policy):
                world = World(Cell(small(4.0), Scenario("named", 1.0, troubles), policy, 1))
                world.play()
                versions = {engine.version for engine in world.site.engines.values()}
                self.assertEqual(versions, {3})

    def test_dark_engines_cost_answers(self) -> None:
        """Guards against a trouble that never reaches the engines."""
        dark = Scenario("dark", 1.0, (Trouble("dark", at_s=0.5, for_s=8.0, share=0.5),))
        quiet = run_cell(Cell(small(4.0), QUIET, OURS, 1)).share(Ending.ON_TIME)
        self.assertLess(run_cell(Cell(small(4.0), dark, OURS, 1)).share(Ending.ON_TIME), quiet)

    def test_each_mechanism_acts_where_it_should(self) -> None:
        """Guards against a policy whose mechanism is switched off in name only."""
        overload = Scenario("overload", 6.0)
        runs = {policy: run_cell(Cell(small(4.0), overload, policy, 1)) for policy in POLICIES}
        self.assertEqual(endings(runs["ours without admission"])[Ending.REFUSED], 0)
        self.assertGreater(endings(runs[OURS])[Ending.REFUSED], 0)
        self.assertLess(runs[OURS].read_again, runs["ours without cached parts"].read_again)
        self.assertNotEqual(runs[OURS].records, runs["ours without repeat budget"].records)

    def test_accounts_over_their_rate_are_refused(self) -> None:
        """Guards against quotas that the model leaves out."""
        experiment = small()
        bounds = replace(experiment.bounds, quota_share=0.0, quota_tokens=0.0)
        limited = replace(experiment.accounts[0], tokens_per_s=1.0, burst_tokens=1.0)
        accounts = (limited, *experiment.accounts[1:])
        result = run_cell(
            Cell(replace(experiment, bounds=bounds, accounts=accounts), QUIET, LEAST_LOAD, 1)
        )
        refused = {entry.account for entry in result.records if entry.ending is Ending.REFUSED}
        self.assertEqual(refused, {limited.name})


class ReportTest(unittest.TestCase):
    def result(self, policy: str, seed: int, on_time: int) -> Result:
        late = Record("k", True, "a", 0, Ending.LATE, 1.0)
        records = (replace(late, ending=Ending.ON_TIME),) * on_time + (late,) * (10 - on_time)
        return Result("s", policy, seed, 10, records, 0, 0)

    def test_ratios_are_taken_seed_by_seed(self) -> None:
        """Guards against a spread of the load that looks like one of the policy."""
        results = [
            self.result(LEAST_LOAD, 1, 4),
            self.result(LEAST_LOAD, 2, 8),
            self.result(OURS, 1, 5),
            self.result(OURS, 2, 10),
        ]
        self.assertEqual(ratios(results), {LEAST_LOAD: [1.0, 1.0], OURS: [1.25, 1.25]})

    def test_percentiles_are_nearest_ranks(self) -> None:
        """Guards against percentiles that are off by one."""
        self.assertEqual(percentile([3, 1, 2, 4], 0.5), 2)
        self.assertEqual(percentile(range(1, 101), 0.99), 99)


class CommandTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        text = (EXAMPLES / "small.toml").read_text()
        self.path = self.folder / "trial.toml"
        self.path.write_text(text.replace("duration_s = 20.0", "duration_s = 0.5"))

    def run_command(self, *arguments: str) -> tuple[int, str, str]:
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                code = main(list(arguments))
            except SystemExit as stop:
                code = stop.code
        return code, out.getvalue(), err.getvalue()

    def test_help_names_policies_and_exit_codes(self) -> None:
        """Guards against options that can be found in the code only."""
        code, out, _err = self.run_command("--help")
        self.assertEqual(code, EXIT_OK)
        for text in (*POLICIES, "exit codes", "--seeds", "--csv", "--jobs"):
            self.assertIn(text, out)

    def test_several_jobs_print_what_one_prints(self) -> None:
        """Guards against results that depend on the process that computed them."""
        one = self.run_command(str(self.path), "--seeds", "2", "--jobs", "1")
        two = self.run_command(str(self.path), "--seeds", "2", "--jobs", "2")
        self.assertEqual(one[0], EXIT_OK)
        self.assertEqual(one, two)

    def test_processes_with_other_hashes_print_the_same(self) -> None:
        """Guards against decisions in the order of a set, which differs from process to process."""
        text = self.path.read_text().replace("duration_s = 0.5", "duration_s = 2.0")
        self.path.write_text(text.replace('"dark", at_s = 6.0', '"weights", at_s = 0.5'))
        command = [sys.executable, "-m", "bench.engines", str(self.path), "--seeds", "1"]
        prints = {
            subprocess.run(
                command,
                cwd=EXAMPLES.parent.parent,
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                check=True,
            ).stdout
            for seed in ("1", "2")
        }
        self.assertEqual(len(prints), 1)

    def test_the_csv_has_all_requests_of_each_run(self) -> None:
        """Guards against figures that are in the tables only, or rows that miss requests."""
        target = self.folder / "out.csv"
        code, _out, _err = self.run_command(
            str(self.path), "--seeds", "1", "--jobs", "1", "--csv", str(target)
        )
        self.assertEqual(code, EXIT_OK)
        with target.open() as file:
            rows = list(csv.DictReader(file))
        totals: dict[tuple[str, str], Counter[str]] = {}
        for row in rows:
            ended = sum(int(row[name]) for name in ("on_time", "late", "refused", "failed"))
            totals.setdefault((row["scenario"], row["policy"]), Counter())[row["group"]] += ended
        for counts in totals.values():
            self.assertEqual(set(counts), {"all", "kind", "account", "second"})
            self.assertEqual(len(set(counts.values())), 1)

    def test_wrong_input_ends_with_a_message_and_a_code(self) -> None:
        """Guards against stack traces, and scripts that take a failed run for a good one."""
        missing = str(self.folder / "none.toml")
        cases = (
            ((missing,), EXIT_USAGE, "can't be read"),
            ((str(self.path), "--seeds", "0"), EXIT_USAGE, "not a whole number above 0"),
            ((str(self.path), "--jobs", "two"), EXIT_USAGE, "not a whole number above 0"),
            (
                (str(self.path), "--seeds", "1", "--csv", str(self.folder / "a" / "b.csv")),
                EXIT_OUTPUT,
                "No such file",
            ),
        )
        for arguments, expected, message in cases:
            with self.subTest(arguments=arguments):
                code, _out, err = self.run_command(*arguments)
                self.assertEqual(code, expected)
                self.assertIn(message, err)
