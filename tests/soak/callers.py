"""Callers of the soak: requests with a unique id each, and what came back."""

import re
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import gevent
import urllib3

from tests.soak.backends import STREAM_EVENTS
from tests.soak.fleet import MODEL, PORTS, SoakFleet

#: Statuses that state that the request has not run and never will.
NOT_RUN = (408, 421, 429, 503)
DENIED = (401, 403, 404)
DEADLINE_S = 4.0
PAUSE_S = 0.04
_EVENT = re.compile(rb"id: (\d+)\ndata: piece (\d+)\n\n")


class Kind(StrEnum):
    """Kinds of requests."""

    BOOK = "book"
    LOOK = "look"
    CHAT = "chat"


@dataclass
class Result:
    """What a caller saw of one request.

    :ivar status: 0 without an answer.
    :ivar is_whole: the answer came to its end.
    :ivar is_done: the caller waits for nothing more.
    """

    id: str
    kind: Kind
    status: int = 0
    body: bytes = b""
    is_whole: bool = False
    is_done: bool = False
    is_signed: bool = False
    echoed_id: str = ""

    @property
    def is_served(self) -> bool:
        """Returns whether the caller got what it asked for."""
        return self.status == 200 and self.is_whole

    def fault(self, ran: list[str]) -> str:
        """Returns which promise the answer breaks, empty for none.

        :param ran: workers that ran the request.
        """
        if self.kind is Kind.BOOK and len(ran) > 1:
            return f"ran {len(ran)} times"
        if self.status in NOT_RUN and ran:
            return f"refused with {self.status}, but ran at {ran}"
        if self.status in DENIED:
            return f"denied with {self.status}"
        if not self.is_served:
            return self._fault_of_stream(is_whole=False) if self.status == 200 else ""
        if not self.is_signed or self.echoed_id != self.id:
            return f"unsigned or of another request ({self.echoed_id!r})"
        if self.kind is Kind.CHAT:
            return self._fault_of_stream(is_whole=True)
        return "" if self.body == self.id.encode() else "body of another request"

    def _fault_of_stream(self, is_whole: bool) -> str:
        if self.kind is not Kind.CHAT:
            return ""
        numbers = [int(number) for number, _piece in _EVENT.findall(self.body)]
        expected = list(range(1, STREAM_EVENTS + 1 if is_whole else len(numbers) + 1))
        return "" if numbers == expected else f"events {numbers}"


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

    def start(self, count: int) -> None:
        """Starts a number of callers; each keeps its connections open."""
        self._greenlets = [gevent.spawn(self._run, number) for number in range(count)]

    def stop(self) -> None:
        """Ends all callers after their current request."""
        self._is_stopping = True
        gevent.joinall(self._greenlets)

    def ask(self, http: urllib3.PoolManager, request_id: str, kind: Kind, ip: str) -> Result:
        """Sends one request and notes what came back."""
        result = Result(request_id, kind)
        self.results.append(result)
        headers = {
            "Host": "h.example",
            "Request-Id": request_id,
            "Authorization": "Token key-school",
            "Deadline-Ms": str(int(DEADLINE_S * 1000)),
        }
        if kind is Kind.CHAT:
            headers |= {"Model": MODEL, "Token-Usage": "100,20", "Prompt-Prefix": "aa:60,bb:40"}
        url = f"http://{ip}:{PORTS['front']}/{kind}/a"
        try:
            self._read(
                http.request("POST", url, body=request_id, headers=headers, preload_content=False),
                result,
            )
        except (urllib3.exceptions.HTTPError, OSError):
            # No answer, or one that broke off: the caller knows nothing more.
            return result
        finally:
            result.is_done = True
        return result

    def _read(self, answer: urllib3.BaseHTTPResponse, result: Result) -> None:
        result.status = answer.status
        result.is_signed = "Server-Stamp" in answer.headers
        result.echoed_id = answer.headers.get("Request-Id", "")
        try:
            for piece in answer.stream(4096):
                result.body += piece
            result.is_whole = True
        finally:
            answer.release_conn() if result.is_whole else answer.close()

    def _run(self, number: int) -> None:
        timeout = urllib3.Timeout(connect=1.0, read=DEADLINE_S)
        http = urllib3.PoolManager(retries=False, timeout=timeout)
        sent = 0
        while not self._is_stopping:
            sent += 1
            kind = self.rng.choice(list(Kind))
            self.ask(http, f"{number}-{sent}", kind, self.rng.choice(self.fleet.ips))
            gevent.sleep(PAUSE_S)
