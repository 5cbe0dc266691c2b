"""Callers of the soak: requests with a unique id each, and what came back."""

import time
from dataclasses import dataclass, field
from random import Random

import gevent
import urllib3

from tests.soak.content import request_body
from tests.soak.fleet import MODEL, SoakFleet
from tests.soak.program import PORTS
from tests.soak.raw_caller import RawCaller
from tests.soak.rules import Kind, Result
from tests.soak.wire import CutError, Head, NotHttpError

DEADLINE_S = 4.0
PAUSE_S = 0.04
#: Share of the plain requests that have a long body.
LONG_SHARE = 0.15


class LibraryCaller:
    """Sends requests through a library's pool of kept connections."""

    def __init__(self) -> None:
        timeout = urllib3.Timeout(connect=1.0, read=DEADLINE_S)
        self._http = urllib3.PoolManager(retries=False, timeout=timeout)

    def post(self, path: str, headers: dict[str, str], body: bytes, result: Result) -> None:
        """Sends one request and notes what comes back.

        :raises urllib3.exceptions.HTTPError: if the answer breaks off.
        """
        url = f"http://{result.ip}:{PORTS['front']}{path}"
        options = {"body": body, "headers": headers, "preload_content": False}
        answer = self._http.request("POST", url, **options)
        result.status = answer.status
        result.headers = tuple(answer.headers.items())
        result.framing = Head("", result.headers).framing
        try:
            for piece in answer.stream(4096):
                result.body += piece
            result.is_whole = True
        finally:
            answer.release_conn() if result.is_whole else answer.close()

    def close(self) -> None:
        """Closes all kept connections."""
        self._http.clear()


@dataclass
class Callers:
    """Sends requests to all nodes until it is stopped.

    :ivar results: every request sent.
    """

    fleet: SoakFleet
    rng: Random
    results: list[Result] = field(default_factory=list)
    _is_stopping: bool = False
    _greenlets: list[gevent.Greenlet] = field(default_factory=list)
    _callers: list[LibraryCaller | RawCaller] = field(default_factory=list)

    def start(self, count: int) -> None:
        """Starts a number of callers; each keeps its connections open."""
        self._greenlets = [gevent.spawn(self._run, number) for number in range(count)]

    def stop(self) -> None:
        """Ends all callers after their current request."""
        self._is_stopping = True
        gevent.joinall(self._greenlets, raise_error=True)

    def close(self) -> None:
        """Closes the connections that the callers keep, once the nodes are gone."""
        for caller in self._callers:
            caller.close()

    def ask(self, caller: LibraryCaller | RawCaller, result: Result) -> None:
        """Sends one request and notes what came back."""
        self.results.append(result)
        result.sent_at = time.monotonic()
        headers = {
            "Host": "h.example",
            "Request-Id": result.id,
            "Authorization": "Token key-school",
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        if result.kind is Kind.CHAT:
            headers |= {"Model": MODEL, "Token-Usage": "100,20", "Prompt-Prefix": "aa:60,bb:40"}
        is_long = result.kind is not Kind.CHAT and self.rng.random() < LONG_SHARE
        try:
            caller.post(f"/{result.kind}/a", headers, request_body(result.id, is_long), result)
        except (urllib3.exceptions.HTTPError, OSError, CutError):
            # No answer, or one that broke off: the caller knows nothing more.
            return
        except NotHttpError as error:
            result.stray = str(error)
        finally:
            result.is_done = True

    def _run(self, number: int) -> None:
        is_raw = number % 2 == 0
        caller = RawCaller(PORTS["front"], DEADLINE_S) if is_raw else LibraryCaller()
        self._callers.append(caller)
        sent = 0
        while not self._is_stopping:
            sent += 1
            kind, ip = self.rng.choice(list(Kind)), self.rng.choice(self.fleet.ips)
            self.ask(caller, Result(f"{number}-{sent}", kind, ip))
            gevent.sleep(PAUSE_S)
