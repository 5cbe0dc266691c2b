"""Traces of the latest requests; each trace is a list of named steps."""

import secrets
import time
from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from arbutustally.clock import Clock, monotonic
from arbutustally.errors import RouterError
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options

MAX_TRACES = 4096
MAX_STEPS = 64
MAX_SUMMARY_CHARACTERS = 900


@dataclass(frozen=True)
class TraceStep:
    """One step of a request.

    :ivar name: what happened, for instance ``placed``.
    :ivar at_s: seconds since the request began.
    :ivar fields: details as plain JSON values.
    """

    name: str
    at_s: float
    fields: dict[str, Any] = field(default_factory=dict)

    @property
    def text(self) -> str:
        """Returns the step as one line of text."""
        details = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if not isinstance(value, (list, dict))
        )
        return f"{self.at_s * 1000:.1f}ms {self.name}" + (f" {details}" if details else "")


class Trace:
    """The steps of one request."""

    def __init__(self, request_id: str, account: str, route: str, clock: Clock) -> None:
        self._request_id = request_id
        self._account = account
        self._route = route
        self._clock = clock
        self._begun = clock()
        self._begun_unix_s = time.time()
        self._steps: list[TraceStep] = []
        self._dropped = 0
        self._refusal: RouterError | None = None

    @property
    def request_id(self) -> str:
        """Returns the request id, ``<node_id>~<random>``."""
        return self._request_id

    @property
    def steps(self) -> tuple[TraceStep, ...]:
        """Returns the steps so far."""
        return tuple(self._steps)

    @property
    def elapsed_s(self) -> float:
        """Returns the seconds since the request began."""
        return self._clock() - self._begun

    def note(self, step: str, **fields: Any) -> None:
        """Adds a step; beyond ``MAX_STEPS`` steps of a request, further ones are only counted."""
        if len(self._steps) >= MAX_STEPS:
            self._dropped += 1
            return
        self._steps.append(TraceStep(step, self.elapsed_s, fields))

    def identify(self, account: str, route: str) -> None:
        """Names the account and route once they are known."""
        self._account = account
        self._route = route

    def refuse(self, error: RouterError) -> None:
        """Records the error that ended the request."""
        self._refusal = error
        self.note("refused", code=error.code, ran=str(error.ran))

    def as_dict(self) -> dict[str, Any]:
        """Returns the JSON form."""
        return {
            "request_id": self._request_id,
            "account": self._account,
            "route": self._route,
            "node": self._request_id.partition("~")[0],
            "started_at": datetime.fromtimestamp(self._begun_unix_s, UTC).isoformat(),
            "error": self._error(),
            "steps": [
                {"step": step.name, "at_s": step.at_s, **step.fields} for step in self._steps
            ],
            "steps_dropped": self._dropped,
            "summary": self.summary(),
        }

    def _error(self) -> dict[str, Any] | None:
        error = self._refusal
        if error is None:
            return None
        return {
            "code": error.code,
            "message": error.message,
            "ran": str(error.ran),
            "retry_after_s": error.retry_after_s,
        }

    def summary(self) -> str:
        """Returns the steps on one line of printable ASCII, for a response header."""
        text = "; ".join(step.text for step in self._steps)
        text = "".join(c if " " <= c <= "~" else "?" for c in text[:MAX_SUMMARY_CHARACTERS])
        return text or "no steps"


class ExplainService:
    """Keeps the traces of the latest requests of this node.

    :param clock: monotonic seconds.
    :param limit: traces kept.
    """

    def __init__(self, node_id: str, clock: Clock, limit: int) -> None:
        self._node_id = node_id
        self._clock = clock
        self._limit = limit
        self._traces: OrderedDict[str, Trace] = OrderedDict()

    @classmethod
    def from_config(cls, _kernel: Kernel, options: Options) -> "ExplainService":
        """Builds the service for a node."""
        return cls(options.node_id, monotonic, MAX_TRACES)

    def start(self) -> None:
        """Does nothing; the service has no greenlet."""

    def stop(self) -> None:
        """Drops all traces."""
        self._traces.clear()

    def new_request_id(self) -> str:
        """Returns an id that names this node and cannot be guessed."""
        return f"{self._node_id}~{secrets.token_hex(12)}"

    def begin(self, request_id: str, account: str, route: str) -> Trace:
        """Begins a trace and drops the oldest one beyond the limit."""
        trace = Trace(request_id, account, route, self._clock)
        self._traces[request_id] = trace
        if len(self._traces) > self._limit:
            self._traces.popitem(last=False)
        return trace

    def get(self, request_id: str) -> dict[str, Any] | None:
        """Returns the JSON form of a trace, or ``None`` if it is unknown."""
        trace = self._traces.get(request_id)
        return None if trace is None else trace.as_dict()
