"""Options of the engine process."""

import argparse
from dataclasses import dataclass, field

from arbutustally_standins.engine_types import EngineModelOptions

ROLES = ("both", "prefill", "decode")


@dataclass(frozen=True)
class EngineOptions:
    """Options of one engine process.

    :ivar model: speeds and sizes of the queue and cache model.
    :ivar adapters: adapters loaded at the start.
    :ivar checks_fencing: refuse orders with an old fencing number.
    :ivar weights_url: base URL of the weight store; empty loads in the model's ``load_s``.
    :ivar kv_url: base URL of the KV store; empty disables import and export.
    :ivar kv_export: export the pieces of each prompt after its prefill.
    :ivar keep_s: time for which a finished or unread stream can be resumed.
    :ivar stop_early: end an answer at a length drawn from its prompt, at most ``max_tokens``.
    :ivar seed: chooses failures and lost cache events.
    """

    model: EngineModelOptions = field(default_factory=EngineModelOptions)
    adapters: tuple[str, ...] = ()
    role: str = "both"
    checks_fencing: bool = True
    weights_url: str = ""
    kv_url: str = ""
    kv_export: bool = False
    keep_s: float = 10.0
    stop_early: bool = False
    seed: int = 0

    @classmethod
    def from_config(cls, flags: argparse.Namespace) -> "EngineOptions":
        """Builds options from parsed flags."""
        model = EngineModelOptions(
            engine=flags.engine,
            model=flags.model,
            versions=_names(flags.versions),
            prefill_tokens_per_s=flags.prefill_tokens_per_s,
            decode_step_s=flags.decode_step_s,
            decode_per_request_s=flags.decode_per_request_s,
            max_batch=flags.max_batch,
            cache_blocks=flags.cache_blocks,
            # The process waits for the KV store itself, so the model adds no time.
            import_piece_s=0.0,
            load_s=flags.load_s,
            report_lag_s=flags.report_lag_s,
        )
        return cls(
            model,
            _names(flags.adapters),
            flags.role,
            flags.checks_fencing == "yes",
            flags.weights_url.rstrip("/"),
            flags.kv_url.rstrip("/"),
            flags.kv_export == "yes",
            flags.keep_s,
            flags.stop_early == "yes",
            flags.seed,
        )


def _names(text: str) -> tuple[str, ...]:
    return tuple(part.strip() for part in text.split(",") if part.strip())


def add_flags(parser: argparse.ArgumentParser) -> None:
    """Declares the flags of the engine."""
    speeds = EngineModelOptions()
    add = parser.add_argument
    add("--engine", default=speeds.engine, help="name, reported with the load")
    add("--model", default=speeds.model, help="model served")
    add("--versions", default="1", help="weights versions loaded at the start, by commas")
    add("--adapters", default="", help="adapters loaded at the start, by commas")
    add("--role", default="both", choices=ROLES, help="role reported with the load")
    add("--checks-fencing", default="yes", choices=("yes", "no"), help="refuse stale orders")
    add("--weights-url", default="", help="base URL of the weight store")
    add("--kv-url", default="", help="base URL of the KV store")
    add("--kv-export", default="no", choices=("yes", "no"), help="export after each prefill")
    add("--keep-s", type=float, default=10.0, help="time for which streams are kept, s")
    add("--stop-early", default="no", choices=("yes", "no"), help="answers below max_tokens")
    add("--seed", type=int, default=0, help="chooses failures and lost cache events")
    add("--prefill-tokens-per-s", type=float, default=speeds.prefill_tokens_per_s)
    add("--decode-step-s", type=float, default=speeds.decode_step_s)
    add("--decode-per-request-s", type=float, default=speeds.decode_per_request_s)
    add("--max-batch", type=int, default=speeds.max_batch)
    add("--cache-blocks", type=int, default=speeds.cache_blocks, help="blocks of 16 tokens")
    add("--load-s", type=float, default=speeds.load_s, help="load time without a weight store")
    add("--report-lag-s", type=float, default=speeds.report_lag_s, help="lag of load reports")
