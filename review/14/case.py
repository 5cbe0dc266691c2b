"""A release that answers a third of all requests with 404 is kept."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.common_3.callers import Caller, Directory, Sent  # noqa: E402
from review.common_3.nodes import CannotRunError  # noqa: E402
from review.common_3.rollouts import HOST, KEY, TARGET, ZONES, Load, Rollout  # noqa: E402
from review.common_3.store import Store  # noqa: E402
from review.common_3.workers import Worker  # noqa: E402

FOLDER = Path(__file__).resolve().parent
SERVICE = "quote-desk"
#: Requests per second of the two routes.
BOOKINGS_PER_S = 30.0
LOOKUPS_PER_S = 12.0
DURATION_S = 20
#: Time after the end of the roll-out for which requests go on.
AFTER_S = 12.0


def configuration() -> dict:
    """Returns the operator's configuration: two routes to one service, one tenant."""
    common = {
        "host": HOST,
        "timeoutMs": 600,
        "targetLatencyMs": 125,
        "priority": 2,
        "service": SERVICE,
        "public": False,
        "sessionAffinity": False,
        "resumable": False,
    }
    return {
        "version": 3,
        "routes": [
            {
                **common,
                "name": "booking",
                "pathPrefix": "/deposit/",
                "kind": "non_idempotent",
                "maxAttempts": 1,
            },
            {
                **common,
                "name": "lookup",
                "pathPrefix": "/lookup/",
                "kind": "idempotent",
                "maxAttempts": 2,
            },
        ],
        "services": [{"name": SERVICE, "healthCheck": "/healthz", "maxConnections": 96}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {
                "name": "shop",
                "apiKeys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plainTokens": 200,
                "isolated": False,
                "ratePerS": 100_000,
                "burst": 100_000,
            }
        ],
    }


def booking_caller(directory: Directory, sent: list[Sent]) -> Caller:
    """Returns a client of the first route."""
    return Caller(directory, "/deposit/a", KEY, {}, 200, 0.6, sent)


def lookup_caller(directory: Directory, sent: list[Sent]) -> Caller:
    """Returns a client of the second route."""
    return Caller(directory, "/lookup/a", KEY, {}, 200, 0.6, sent, "GET")


async def play(with_trouble: bool, directory: Path) -> int:
    """Plays the case; returns the exit code."""
    store = Store()
    await store.start()
    old = [Worker(f"i-old-{n}", SERVICE, ZONES[n], store, slots=6) for n in range(3)]
    new = [
        Worker(f"i-new-{n}", SERVICE, ZONES[n], store, slots=6, release=TARGET) for n in range(3)
    ]
    for worker in new:
        worker.fails_path = "/" if with_trouble else ""
        worker.fail_status = 404
        worker.fail_share = 1 / 3
    for worker in (*old, *new):
        await worker.start()
    store.put("keyed.op", "config", configuration())
    rollout = Rollout(store, SERVICE, old, new, DURATION_S, AFTER_S)
    loads = [Load(BOOKINGS_PER_S, booking_caller), Load(LOOKUPS_PER_S, lookup_caller)]
    await rollout.play(loads, directory)
    is_broken = rollout.judge()
    verdict = "the rule is broken" if is_broken else "the rule held"
    rollout.record(FOLDER / "record.txt", verdict)
    return int(is_broken)


def main() -> int:
    with tempfile.TemporaryDirectory() as name:
        try:
            with_trouble = os.environ.get("TROUBLE", "1") != "0"
            return asyncio.run(asyncio.wait_for(play(with_trouble, Path(name)), 110))
        except (CannotRunError, TimeoutError, OSError) as error:
            print(f"the case could not run: {error!r}")
            return 2


if __name__ == "__main__":
    sys.exit(main())
