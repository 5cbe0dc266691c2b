"""A release that is slow under load is kept before any of its slow answers has ended."""

import asyncio
import os
import random
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
SERVICE = "estimator"
MODEL = "m0"
DRAFTS_PER_S = 36.0
DURATION_S = 20
AFTER_S = 14.0
#: The new version is slow at a worker that runs more streams than this.
SLOW_ABOVE = 4
#: Shared parts of the prompts.
PARTS = 40


def configuration() -> dict:
    """Returns the operator's configuration: one route of streams, one tenant."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "draft",
                "host": HOST,
                "pathPrefix": "/draft/",
                "kind": "streaming",
                "timeoutMs": 12000,
                "targetLatencyMs": 300,
                "priority": 0,
                "service": SERVICE,
                "maxAttempts": 2,
                "public": False,
                "sessionAffinity": True,
                "resumable": True,
                "gapAimMs": 300,
            }
        ],
        "services": [
            {
                "name": SERVICE,
                "healthCheck": "/healthz",
                "maxConnections": 360,
                "engine": {
                    "slots": 64,
                    "kvCapacityTokens": 101817,
                    "kvTokenBytes": 163840,
                    "linkMbps": 2200000.0,
                    "maxInflight": 12,
                    "models": [{"name": MODEL}],
                },
            }
        ],
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
                "ratePerS": 200_000,
                "burst": 200_000,
            }
        ],
    }


class DraftCaller(Caller):
    """A client whose prompts begin with one of several shared parts."""

    async def ask(self) -> None:
        """Sends one request and reads its answer."""
        shared, own = random.randrange(PARTS), random.getrandbits(32)
        self.headers["Prompt-Prefix"] = f"aa{shared:02x}:198,{own:08x}:628"
        await super().ask()


def build_caller(directory: Directory, sent: list[Sent]) -> Caller:
    """Returns a client of the route."""
    headers = {"Model": MODEL, "Token-Usage": "826,49"}
    return DraftCaller(directory, "/draft/a", KEY, headers, 875, 12.0, sent)


async def play(with_trouble: bool, directory: Path) -> int:
    """Plays the case; returns the exit code."""
    store = Store()
    await store.start()
    old = [Worker(f"i-old-{n}", SERVICE, ZONES[n], store, MODEL) for n in range(3)]
    new = [Worker(f"i-new-{n}", SERVICE, ZONES[n], store, MODEL, release=TARGET) for n in range(3)]
    for worker in new:
        worker.slow_above = SLOW_ABOVE if with_trouble else 0
    for worker in (*old, *new):
        await worker.start()
    store.put("keyed.op", "config", configuration())
    store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 1})
    rollout = Rollout(store, SERVICE, old, new, DURATION_S, AFTER_S)
    await rollout.play([Load(DRAFTS_PER_S, build_caller)], directory)
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
