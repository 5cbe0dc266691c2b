"""Drives running nodes over loopback with a trace and reports what callers see.

Keys are read from a JSON file that maps accounts to keys.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import json  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402
from collections.abc import Mapping  # noqa: E402
from dataclasses import dataclass, replace  # noqa: E402
from pathlib import Path  # noqa: E402
from typing import Any  # noqa: E402

import gevent  # noqa: E402
import orjson  # noqa: E402
import urllib3  # noqa: E402
from gevent.pool import Pool  # noqa: E402

from arbutustally_standins.caller.client import (  # noqa: E402
    Caller,
    CallFailedError,
    StreamResult,
)
from arbutustally_standins.tokens import output_tokens, prompt_text  # noqa: E402
from bench.figures import Figures, Sample  # noqa: E402
from bench.workloads import messages, read  # noqa: E402

_PATHS = {"chat": "/v1/chat/completions", "completions": "/v1/completions"}
_OUT = Path(__file__).parent / "out"


@dataclass(frozen=True)
class LoadOptions:
    """Options of a run.

    :ivar entries: addresses of nodes.
    :ivar keys: key by account.
    :ivar speed: the trace is replayed this many times faster than recorded.
    :ivar duration_s: no call begins later than this.
    :ivar most_open: most calls open at once; further ones are counted as ``not_sent``.
    :ivar grace_s: time for open calls to end after the last one began.
    :ivar versions: weights versions whose output is right; empty checks no output.
    """

    entries: tuple[str, ...]
    keys: Mapping[str, str]
    speed: float = 1.0
    duration_s: float = 30.0
    most_open: int = 500
    grace_s: float = 30.0
    versions: tuple[str, ...] = ()


class LoadRun:
    """One run of a trace against nodes."""

    def __init__(self, trace: list[dict[str, Any]], options: LoadOptions) -> None:
        self._header, *self._events = trace
        self._options = options
        self._figures = Figures()
        self._callers: dict[str, Caller] = {}
        self._start = 0.0

    @classmethod
    def from_config(cls, trace: list[dict[str, Any]], options: LoadOptions) -> "LoadRun":
        """Prepares a run.

        :param trace: as ``bench.workloads.read`` returns it.
        """
        return cls(trace, options)

    def run(self) -> Figures:
        """Sends the calls of the trace at their instants and waits for their ends."""
        self._start = time.monotonic()
        pool = Pool(self._options.most_open)
        for event in self._calls():
            gevent.sleep(max(0.0, self._wanted(event) - time.monotonic()))
            if pool.full():
                self._note(event, "not_sent", "not_run")
                continue
            pool.spawn(self._call, event)
        if not pool.join(timeout=self._options.grace_s):
            pool.kill()
        return self._figures

    def _calls(self) -> list[dict[str, Any]]:
        last = self._options.duration_s * self._options.speed
        kinds = ("completion", "booking")
        return [e for e in self._events if e["kind"] in kinds and e["at"] < last]

    def _wanted(self, event: dict[str, Any]) -> float:
        return self._start + event["at"] / self._options.speed

    def _caller(self, account: str) -> Caller:
        if account not in self._callers:
            key = self._options.keys.get(account, "")
            self._callers[account] = Caller.from_config(
                self._options.entries, key, gevent.sleep, repeats_refusals=False
            )
        return self._callers[account]

    def _call(self, event: dict[str, Any]) -> None:
        try:
            if event["kind"] == "booking":
                self._book(event)
            else:
                self._complete(event)
        except CallFailedError as error:
            self._note(event, error.code, error.ran)
        except gevent.GreenletExit:
            self._note(event, "unfinished", "may_have_run")
            raise

    def _book(self, event: dict[str, Any]) -> None:
        path = self._header["deployment"]["plain_path"]
        response = self._caller(event["account"]).book("POST", path, event["body"])
        if response.status < 400:
            self._note(event, "ok", "")
            return
        code, ran = _read_error(response)
        self._note(event, code, ran)

    def _complete(self, event: dict[str, Any]) -> None:
        body = self._body(event)
        seen_at: list[float] = []
        result = StreamResult()
        caller = self._caller(event["account"])
        for _ in caller.stream(_PATHS[event["route"]], body, result):
            seen_at.append(time.monotonic())
        code = "ok" if self._right(body, result.text) else "wrong_text"
        gaps = [later - before for before, later in zip(seen_at, seen_at[1:], strict=False)]
        details = result.usage.get("prompt_tokens_details") or {}
        sample = replace(
            self._sample(event, code, ""),
            first_token_ms=(seen_at[0] - self._wanted(event)) * 1000 if seen_at else -1.0,
            tokens=len(seen_at),
            prompt_tokens=result.usage.get("prompt_tokens", 0),
            cached_tokens=details.get("cached_tokens", 0),
            nodes=len(result.nodes),
        )
        self._figures.add(sample, gaps)

    def _body(self, event: dict[str, Any]) -> dict[str, Any]:
        body = {
            "model": self._header["deployment"]["model"],
            "max_tokens": event["max_tokens"],
        }
        shown = messages(event)
        if event["route"] == "chat":
            return {**body, "messages": shown}
        return {**body, "prompt": "".join(message["content"] for message in shown)}

    def _right(self, body: dict[str, Any], text: str) -> bool:
        """Compares an answer with what the stand-in engines generate for its prompt."""
        if not self._options.versions:
            return True
        prompt = prompt_text(body)
        return any(text == _expected(body, version, prompt) for version in self._options.versions)

    def _note(self, event: dict[str, Any], code: str, ran: str) -> None:
        self._figures.add(self._sample(event, code, ran))

    def _sample(self, event: dict[str, Any], code: str, ran: str) -> Sample:
        return Sample(
            at_s=event["at"] / self._options.speed,
            account=event["account"],
            kind=event.get("route", event["kind"]),
            code=code,
            ran=ran,
            within_rate=event.get("within_rate", True),
            first_token_ms=-1.0,
            total_ms=(time.monotonic() - self._wanted(event)) * 1000,
            tokens=0,
            prompt_tokens=0,
            cached_tokens=0,
            nodes=0,
        )


def _expected(body: dict[str, Any], version: str, prompt: str) -> str:
    tokens = output_tokens(body["model"], version, prompt)
    return "".join(next(tokens) for _ in range(body["max_tokens"]))


def _read_error(response: urllib3.BaseHTTPResponse) -> tuple[str, str]:
    try:
        error = orjson.loads(response.data)["error"]
        return error["code"], error.get("ran", "")
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return f"status_{response.status}", ""


def speed_for(trace: list[dict[str, Any]], rate: float) -> float:
    """Returns the speed at which a trace brings a mean rate of calls.

    :param rate: calls per second.
    """
    calls = sum(event["kind"] in ("completion", "booking") for event in trace)
    return rate * trace[0]["deployment"]["duration_s"] / calls


def main() -> int:
    """Runs a trace; writes CSV and prints a table.

    :returns: 0 if every stream that ended was right, 1 otherwise.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entry", required=True, help="addresses of nodes, host:port by commas")
    parser.add_argument("--keys", type=Path, help="JSON file, account to key")
    parser.add_argument("--trace", type=Path, required=True)
    parser.add_argument("--speed", type=float, default=1.0, help="times faster than recorded")
    parser.add_argument("--rate", type=float, help="mean calls/s, instead of --speed")
    parser.add_argument("--duration-s", type=float, default=30.0, help="last start of a call")
    parser.add_argument("--most-open", type=int, default=500, help="calls open at once")
    parser.add_argument("--versions", default="", help="versions whose output is right, by commas")
    parser.add_argument("--out", type=Path, default=_OUT / "load.csv")
    arguments = parser.parse_args()
    trace = read(arguments.trace)
    options = LoadOptions(
        entries=tuple(arguments.entry.split(",")),
        keys=json.loads(arguments.keys.read_text()) if arguments.keys else {},
        speed=speed_for(trace, arguments.rate) if arguments.rate else arguments.speed,
        duration_s=arguments.duration_s,
        most_open=arguments.most_open,
        versions=tuple(part for part in arguments.versions.split(",") if part),
    )
    figures = LoadRun.from_config(trace, options).run()
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    figures.write_csv(arguments.out)
    print(figures.table())
    return 1 if figures.codes().get("wrong_text") else 0


if __name__ == "__main__":
    sys.exit(main())
