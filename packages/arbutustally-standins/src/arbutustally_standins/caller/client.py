"""A caller of the router as the documentation asks callers to behave."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson
import urllib3

from arbutustally.bounded_head import bounded_pools
from arbutustally.clock import Clock, monotonic
from arbutustally_standins.caller.events import SseEvent, parse_events
from arbutustally_standins.idempotency import new_uuid7

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 30.0
MOST_ATTEMPTS = 8
_DEFAULT_TTL_S = 20.0
_RETRY_AFTER_S = 0.5


class CallFailedError(Exception):
    """A call ended without a whole answer.

    :ivar code: the router's code, or ``unreachable``, ``cut`` or ``repeated``.
    :ivar ran: ``not_run``, ``may_have_run`` or ``ran``.
    """

    def __init__(self, code: str, message: str, status: int = 0, ran: str = "") -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.status = status
        self.ran = ran


@dataclass
class StreamResult:
    """What a stream has brought so far.

    :ivar nodes: addresses that served it, in order.
    :ivar last_event_id: id with which it can be resumed.
    :ivar usage: usage of the engine, empty before the end.
    """

    nodes: list[str] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)
    last_event_id: str = ""
    request_id: str = ""
    usage: dict[str, Any] = field(default_factory=dict)

    @property
    def text(self) -> str:
        """Returns the text received."""
        return "".join(self.texts)


class Caller:
    """A client of one account.

    :param entries: addresses of nodes that are asked first.
    :param key: the account's key, empty on open routes.
    :param attempts: most attempts of one call.
    :param repeats_refusals: repeat a refused call that did not run; a measurement counts the
        refusal instead.
    """

    def __init__(
        self,
        entries: tuple[str, ...],
        key: str,
        clock: Clock,
        sleep: Callable[[float], None],
        attempts: int = MOST_ATTEMPTS,
        repeats_refusals: bool = True,
    ) -> None:
        self._attempts = attempts
        self._repeats_refusals = repeats_refusals
        self._entries = entries
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}
        self._clock = clock
        self._sleep = sleep
        self._addresses: tuple[str, ...] = ()
        self._expires = 0.0
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._pool = bounded_pools(
            num_pools=64, maxsize=64, retries=False, timeout=timeout, block=False
        )

    @classmethod
    def from_config(
        cls,
        entries: tuple[str, ...],
        key: str,
        sleep: Callable[[float], None],
        clock: Clock = monotonic,
        attempts: int = MOST_ATTEMPTS,
        repeats_refusals: bool = True,
    ) -> "Caller":
        """Builds a client that has asked nobody yet."""
        return cls(entries, key, clock, sleep, attempts, repeats_refusals)

    def addresses(self) -> tuple[str, ...]:
        """Returns the nodes to use, from the cached answer while it is valid.

        :raises CallFailedError: if no known node answers.
        """
        if self._addresses and self._clock() < self._expires:
            return self._addresses
        failure = CallFailedError("unreachable", "no node answers /entry; check the addresses")
        for address in dict.fromkeys(self._entries + self._addresses):
            try:
                self._ask(address)
            except CallFailedError as error:
                failure = error
            else:
                return self._addresses
        raise failure

    def stream(self, path: str, body: dict[str, Any], result: StreamResult) -> Iterator[str]:
        """Streams a completion, yielding each text, and resumes it at another node.

        :param result: filled while the stream runs, and valid after a failure too.
        :raises CallFailedError: if the stream cannot be completed.
        """
        wanted = {**body, "stream": True}
        failure = CallFailedError("unreachable", "no node takes the request")
        for attempt in range(self._attempts):
            try:
                yield from self._stream_once(self._pick(attempt), path, wanted, result)
            except CallFailedError as error:
                if not self._retriable(error):
                    raise
                failure = error
                self._wait_after(attempt)
            else:
                return
        raise failure

    def book(
        self, method: str, path: str, body: Any, idempotency_key: str = ""
    ) -> urllib3.BaseHTTPResponse:
        """Calls a plain route; an attempt that may have run is repeated with the same key only.

        :raises CallFailedError: if no node answers.
        """
        key = idempotency_key or new_uuid7()
        ran = "not_run"
        for attempt in range(self._attempts):
            url = f"http://{self._pick(attempt)}{path}"
            headers = {**self._headers, "Idempotency-Key": key}
            try:
                return self._pool.request(method, url, json=body, headers=headers)
            except urllib3.exceptions.NewConnectionError:
                # No byte was sent, so this attempt did not run.
                self._wait_after(attempt)
            except urllib3.exceptions.HTTPError:
                ran = "may_have_run"
                self._wait_after(attempt)
        raise CallFailedError("unreachable", "no node answers; send the same key later", ran=ran)

    def _ask(self, address: str) -> None:
        try:
            response = self._pool.request("GET", f"http://{address}/entry", headers=self._headers)
        except urllib3.exceptions.HTTPError as error:
            raise CallFailedError("unreachable", f"{address} does not answer") from error
        if response.status != 200:
            raise _refusal(response.status, response.data)
        answer = response.json()
        self._addresses = tuple(answer["addresses"]) or (address,)
        self._expires = self._clock() + float(answer.get("ttl_s", _DEFAULT_TTL_S))

    def _pick(self, attempt: int) -> str:
        addresses = self.addresses()
        return addresses[attempt % len(addresses)]

    def _wait_after(self, attempt: int) -> None:
        """Waits before the next attempt; asks for addresses again once each has failed."""
        if (attempt + 1) % max(1, len(self._addresses)) == 0:
            self._expires = 0.0
        self._sleep(_RETRY_AFTER_S)

    def _retriable(self, error: CallFailedError) -> bool:
        """A cut stream is resumed; a refusal is repeated if it says that nothing ran."""
        if error.code in ("cut", "unreachable"):
            return True
        not_run = error.status in (429, 503) and error.ran == "not_run"
        return not_run and self._repeats_refusals

    def _stream_once(
        self, address: str, path: str, body: dict[str, Any], result: StreamResult
    ) -> Iterator[str]:
        headers = dict(self._headers)
        if result.last_event_id:
            headers["Last-Event-ID"] = result.last_event_id
        url = f"http://{address}{path}"
        try:
            response = self._pool.request(
                "POST", url, json=body, headers=headers, preload_content=False
            )
            if response.status != 200:
                raise _refusal(response.status, response.read(decode_content=True))
            result.nodes.append(address)
            result.request_id = response.headers.get("X-Request-Id", "")
            try:
                yield from _collect(response, result)
            finally:
                response.close()
        except urllib3.exceptions.HTTPError as error:
            raise CallFailedError("cut", f"{address} broke the connection") from error


def _collect(response: urllib3.BaseHTTPResponse, result: StreamResult) -> Iterator[str]:
    for event in parse_events(response.stream(2048)):
        if event.data == "[DONE]":
            return
        if _take(event, result):
            yield result.texts[-1]
    raise CallFailedError("cut", "the stream ended before [DONE]")


def _take(event: SseEvent, result: StreamResult) -> bool:
    """Adds one event to the result; returns whether it brought text."""
    chunk = orjson.loads(event.data)
    if "error" in chunk:
        error = chunk["error"]
        raise CallFailedError(error["code"], error["message"], ran=error.get("ran", ""))
    result.usage = chunk.get("usage") or result.usage
    result.last_event_id = event.id or result.last_event_id
    choices = chunk.get("choices") or []
    if not choices:
        return False
    text = choices[0].get("text") or (choices[0].get("delta") or {}).get("content")
    if text:
        result.texts.append(text)
    return bool(text)


def _refusal(status: int, data: bytes) -> CallFailedError:
    try:
        error = orjson.loads(data)["error"]
        return CallFailedError(error["code"], error["message"], status, error.get("ran", ""))
    except (orjson.JSONDecodeError, KeyError, TypeError):
        return CallFailedError("unreadable", f"status {status} without an error body", status)
