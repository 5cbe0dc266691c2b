"""Time and memory of the control state at growing numbers of accounts.

Run ``python -m bench.control_state``; it writes ``bench/out/control_state.csv`` and prints, for
each figure, a line fitted over the number of accounts with its largest residual.
"""

import argparse
import csv
import gc
import hashlib
import statistics
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, fields
from pathlib import Path

import orjson

from arbutustally.checkpoint import split_snapshot
from arbutustally.records import Change, Claim, KeyIssue, LeaseRecord, Outcome, Record, decode, wrap
from arbutustally.state import ControlState

ACCOUNTS = (100, 500, 1000, 3000, 6000, 9000, 12_000)
CLAIMS = (1000, 5000, 20_000)
_ITEMS_PER_CHANGE = 100
_LEASES = 64
_CHANGES = 50
_RENEWALS = 5000
_OUT = Path(__file__).parent / "out" / "control_state.csv"
_US = 1e6
_MS = 1e3


@dataclass(frozen=True)
class Figures:
    """Figures at one number of accounts, each with one key; units are in the names."""

    accounts: int
    records: int
    fold_ms: float
    memory_kib: float
    snapshot_ms: float
    snapshot_kib: float
    checkpoint_parts: int
    restore_ms: float
    change_us: float
    change_highest_us: float
    renewal_us: float


def _account(rate: float) -> dict[str, float]:
    return {"rate": rate, "burst": 10 * rate}


def log_of(accounts: int) -> list[Record]:
    """Returns the records that declare the accounts, one key for each, and the leases."""
    records: list[Record] = []
    base = -1
    names = [f"account-{number:05}" for number in range(accounts)]
    for start in range(0, accounts, _ITEMS_PER_CHANGE):
        items = {f"accounts/{name}": _account(100.0) for name in names[start:][:_ITEMS_PER_CHANGE]}
        records.append(wrap(Change(base, items)))
        base = len(records) - 1
    records += [
        wrap(KeyIssue(f"{number:016x}", hashlib.sha256(name.encode()).hexdigest(), name))
        for number, name in enumerate(names)
    ]
    records += [wrap(LeaseRecord(f"shard/{n}", "entry-1#x", -1)) for n in range(_LEASES)]
    return records


def fold(records: list[Record]) -> ControlState:
    """Returns the state after the records, all of which must be accepted."""
    state = ControlState()
    for offset, record in enumerate(records):
        if not state.apply(offset, record).accepted:
            raise RuntimeError(f"record {offset} was rejected; correct the benchmark")
    return state


def _timed(function: Callable[[], object], repeats: int) -> float:
    """Returns the median seconds of a call."""
    times = []
    for _ in range(repeats):
        gc.collect()
        begun = time.perf_counter()
        function()
        times.append(time.perf_counter() - begun)
    return statistics.median(times)


def _memory_kib(records: list[Record]) -> float:
    tracemalloc.start()
    state = fold(records)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del state
    return size / 1024


def _change_times(state: ControlState) -> list[float]:
    times = []
    for number in range(_CHANGES):
        items = {"accounts/account-00000": _account(101.0 + number)}
        record = wrap(Change(state.version, items))
        begun = time.perf_counter()
        state.apply(state.offset + 1, record)
        times.append(time.perf_counter() - begun)
    return times


def _renewal_s(state: ControlState) -> float:
    begun = time.perf_counter()
    for number in range(_RENEWALS):
        name = f"shard/{number % _LEASES}"
        base = state.lease(name).last_offset
        state.apply(state.offset + 1, wrap(LeaseRecord(name, "entry-1#x", base)))
    return (time.perf_counter() - begun) / _RENEWALS


def measure(accounts: int, repeats: int) -> Figures:
    """Measures at one number of accounts."""
    records = log_of(accounts)
    state = fold(records)
    snapshot = state.snapshot()
    changes = _change_times(state)
    return Figures(
        accounts=accounts,
        records=len(records),
        fold_ms=_timed(lambda: fold(records), repeats) * _MS,
        memory_kib=_memory_kib(records),
        snapshot_ms=_timed(state.snapshot, repeats) * _MS,
        snapshot_kib=len(snapshot) / 1024,
        checkpoint_parts=len(split_snapshot(snapshot, state.offset)),
        restore_ms=_timed(lambda: ControlState.restore(snapshot), repeats) * _MS,
        change_us=statistics.median(changes) * _US,
        change_highest_us=max(changes) * _US,
        renewal_us=_renewal_s(state) * _US,
    )


def _print_fit(name: str, rows: list[Figures]) -> None:
    x = [row.accounts for row in rows]
    y = [getattr(row, name) for row in rows]
    slope, intercept = statistics.linear_regression(x, y)
    residual = max(abs(value - intercept - slope * at) for at, value in zip(x, y, strict=True))
    line = f"{name:18} {slope * 1000:10.3f} per 1000 accounts, {intercept:+10.3f} at 0"
    print(f"{line}, largest residual {residual:.3f} ({residual / max(y):.1%} of the highest)")


def _claims_kib(count: int) -> float:
    """Returns the memory of so many claims with short answers, in KiB."""
    records: list[Record] = []
    for number in range(count):
        key = hashlib.sha256(str(number).encode()).hexdigest()
        records.append(wrap(Claim(key, key[::-1], f"entry-1#0123456789ab/{number}", 1e9)))
        records.append(wrap(Outcome(key, "ran", 200, "application/json", "x" * 200, 2 * number)))
    encoded = [orjson.dumps(record.encode()) for record in records]
    del records
    tracemalloc.start()
    state = ControlState()
    for offset, row in enumerate(encoded):
        state.apply(offset, decode(orjson.loads(row)))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1024


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--repeats", type=int, default=5, help="runs of which the median counts")
    arguments = parser.parse_args()
    rows = [measure(accounts, arguments.repeats) for accounts in ACCOUNTS]
    names = [field.name for field in fields(Figures)]
    _OUT.parent.mkdir(parents=True, exist_ok=True)
    with _OUT.open("w", newline="") as file:
        writer = csv.DictWriter(file, names)
        writer.writeheader()
        writer.writerows(asdict(row) for row in rows)
    for row in rows:
        print(" ".join(f"{name}={getattr(row, name):.6g}" for name in names))
    for name in names[2:]:
        _print_fit(name, rows)
    sizes = [_claims_kib(count) for count in CLAIMS]
    slope, intercept = statistics.linear_regression(CLAIMS, sizes)
    print(f"claims: {slope * 1024:.0f} bytes each, {intercept:+.0f} KiB at 0, of {CLAIMS}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
