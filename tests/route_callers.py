"""Callers that keep their connections and ask for several routes with several keys."""

import time
from dataclasses import dataclass, field
from random import Random

import gevent
import urllib3

from tests.soak.callers import LibraryCaller
from tests.soak.content import request_body
from tests.soak.rules import Kind, Result

PAUSE_S = 0.02
#: Deadline of the callers, longer than the timeout of any route.
DEADLINE_MS = 4000


@dataclass(frozen=True)
class Target:
    """A route and the key that requests for it bear."""

    route: str
    key: str
    kind: Kind


@dataclass
class Asked(Result):
    """A request for a target.

    :ivar done_at: when its caller waited for nothing more.
    """

    target: Target | None = None
    done_at: float = 0.0


@dataclass
class RouteCallers:
    """Sends requests for targets to nodes in random order until it is stopped.

    :ivar results: every request sent.
    """

    ips: list[str]
    rng: Random
    name: str
    results: list[Asked] = field(default_factory=list)
    _is_stopping: bool = False
    _greenlets: list[gevent.Greenlet] = field(default_factory=list)

    def start(self, count: int, targets: tuple[Target, ...]) -> None:
        """Starts callers; each keeps one connection to each node."""
        for number in range(count):
            self._greenlets.append(gevent.spawn(self._run, number, targets))

    def stop(self) -> None:
        """Ends all callers after their current request."""
        self._is_stopping = True
        gevent.joinall(self._greenlets, raise_error=True)

    def _run(self, number: int, targets: tuple[Target, ...]) -> None:
        caller, sent = LibraryCaller(), 0
        while not self._is_stopping:
            sent += 1
            target, ip = self.rng.choice(targets), self.rng.choice(self.ips)
            asked = Asked(f"{self.name}-{number}-{sent}", target.kind, ip, target=target)
            self._ask(caller, asked)
            gevent.sleep(PAUSE_S)
        caller.close()

    def _ask(self, caller: LibraryCaller, asked: Asked) -> None:
        self.results.append(asked)
        headers = {
            "Host": "h.example",
            "Request-Id": asked.id,
            "Authorization": f"Token {asked.target.key}",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        asked.sent_at = time.monotonic()
        try:
            caller.post(f"/{asked.target.route}/a", headers, request_body(asked.id), asked)
        except (urllib3.exceptions.HTTPError, OSError):
            # No answer, or one that broke off: the caller knows nothing more.
            return
        finally:
            asked.done_at = time.monotonic()
            asked.is_done = True
