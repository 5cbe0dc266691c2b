"""Client of the engines' control interface."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

import orjson
import urllib3

from arbutustally.bounded_head import bounded_pools
from arbutustally.errors import (
    EndpointFailedError,
    EndpointTimeoutError,
    Ran,
    RouterError,
    StaleFenceError,
)

#: Largest accepted response body of the control interface.
MAX_RESPONSE_BYTES = 4 << 20
CONNECTIONS_PER_ENGINE = 2
MAX_ENGINES = 256


@dataclass(frozen=True)
class LoadReport:
    """An engine's report of its load.

    :ivar queued_tokens: prompt tokens that wait for prefill.
    :ivar running: requests in the batch.
    :ivar age_s: age of the figures in seconds when they were sent.
    """

    engine: str
    incarnation: str
    model: str
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    role: str
    queued_tokens: int
    running: int
    age_s: float


@dataclass(frozen=True)
class Order:
    """An order for an engine.

    :ivar order: ``load``, ``unload`` or ``role``.
    :ivar fence: fencing number, the offset of the lease claim.
    :ivar role: role to take, for a ``role`` order.
    """

    order: str
    model: str
    version: str
    fence: int
    adapter: str = ""
    role: str = ""


@dataclass(frozen=True)
class CacheEvent:
    """Blocks that an engine stored or evicted.

    :ivar kind: ``stored`` or ``evicted``.
    :ivar blocks: block hashes in hex.
    """

    sequence: int
    kind: str
    blocks: tuple[str, ...]


@dataclass(frozen=True)
class CacheEvents:
    """A page of cache events of one incarnation."""

    incarnation: str
    events: tuple[CacheEvent, ...]


class Engine(Protocol):
    """Control interface of engines."""

    def load(self, address: str) -> LoadReport:
        """Returns the engine's load report."""

    def order(self, address: str, order: Order) -> None:
        """Sends an order."""

    def cancel(self, address: str, request_id: str) -> None:
        """Cancels a request."""

    def events(self, address: str, after: int) -> CacheEvents:
        """Returns the cache events after a sequence number."""


class EngineClient:
    """Thin HTTP client of the control interface.

    :param timeout: timeouts of connecting and of reading.
    """

    def __init__(self, timeout: urllib3.Timeout) -> None:
        self._timeout = timeout
        self._manager = self._new_pools()

    @classmethod
    def from_config(cls, connect_s: float, read_s: float) -> "EngineClient":
        """Builds a client.

        :param connect_s: connect timeout in seconds.
        :param read_s: read timeout in seconds.
        """
        return cls(urllib3.Timeout(connect=connect_s, read=read_s))

    def load(self, address: str) -> LoadReport:
        """Returns the engine's load report.

        :raises EndpointFailedError: if the engine does not respond or its response is malformed.
        :raises EndpointTimeoutError: if the read timeout expires.
        """
        data = self._call("GET", address, "/v1/load")
        try:
            return LoadReport(
                engine=str(data["engine"]),
                incarnation=str(data["incarnation"]),
                model=str(data["model"]),
                versions=tuple(data.get("versions", ())),
                adapters=tuple(data.get("adapters", ())),
                role=str(data.get("role", "")),
                queued_tokens=int(data["queued_tokens"]),
                running=int(data["running"]),
                age_s=float(data.get("age_s", 0.0)),
            )
        except (KeyError, TypeError, ValueError):
            raise _malformed("load report") from None

    def order(self, address: str, order: Order) -> None:
        """Sends an order.

        :raises StaleFenceError: if the engine has accepted an order of a newer lease holder.
        :raises EndpointFailedError: with ``MAY_HAVE_RUN`` if the response was lost.
        """
        body: dict[str, Any] = {
            "order": order.order,
            "model": order.model,
            "version": order.version,
            "fence": order.fence,
        }
        if order.adapter:
            body["adapter"] = order.adapter
        if order.role:
            body["role"] = order.role
        # Answers bear no id. On a kept connection, a late copy of an earlier one would look like an
        # accepted order.
        with self._new_pools() as manager:
            _call(manager, "POST", address, "/v1/orders", body)

    def cancel(self, address: str, request_id: str) -> None:
        """Cancels a request; an unknown request is not an error.

        :raises EndpointFailedError: if the engine does not respond.
        """
        self._call("DELETE", address, f"/v1/requests/{request_id}")

    def events(self, address: str, after: int) -> CacheEvents:
        """Returns the cache events after a sequence number.

        :raises EndpointFailedError: if the engine does not respond or its response is malformed.
        """
        data = self._call("GET", address, f"/v1/cache/events?after={after}")
        try:
            events = tuple(
                CacheEvent(int(item["seq"]), str(item["kind"]), tuple(item["blocks"]))
                for item in data["events"]
            )
            return CacheEvents(str(data["incarnation"]), events)
        except (KeyError, TypeError, ValueError):
            raise _malformed("page of cache events") from None

    def _call(self, method: str, address: str, path: str) -> dict[str, Any]:
        return _call(self._manager, method, address, path)

    def _new_pools(self) -> urllib3.PoolManager:
        return bounded_pools(
            num_pools=MAX_ENGINES,
            maxsize=CONNECTIONS_PER_ENGINE,
            timeout=self._timeout,
            retries=False,
        )


def _call(
    manager: urllib3.PoolManager,
    method: str,
    address: str,
    path: str,
    body: Mapping[str, Any] | None = None,
) -> dict[str, Any]:
    encoded = None if body is None else orjson.dumps(body)
    headers = {"Content-Type": "application/json"} if encoded else {}
    response = None
    try:
        response = manager.request(
            method,
            f"http://{address}{path}",
            body=encoded,
            headers=headers,
            preload_content=False,
            redirect=False,
        )
        data = response.read(MAX_RESPONSE_BYTES)
    except urllib3.exceptions.HTTPError as error:
        raise connection_error(error, address) from error
    finally:
        if response is not None:
            response.drain_conn()
            response.release_conn()
    return _parse_response(response.status, data, address)


def _parse_response(status: int, data: bytes, address: str) -> dict[str, Any]:
    try:
        parsed = orjson.loads(data) if data else {}
    except orjson.JSONDecodeError:
        raise _malformed("response") from None
    if status == 409 and error_code(parsed) == "stale_fence":
        raise StaleFenceError(
            f"engine {address} has accepted an order of a newer lease holder; stop sending orders"
        )
    if status >= 400 and status != 404:
        raise EndpointFailedError(
            f"engine {address} responded with status {status}; see the engine's log"
        )
    return parsed if isinstance(parsed, dict) else {}


def error_code(parsed: Any) -> str:
    """Returns the code of an engine's error response, or an empty string."""
    error = parsed.get("error") if isinstance(parsed, dict) else None
    if isinstance(error, dict):
        return str(error.get("code", ""))
    return error if isinstance(error, str) else ""


def connection_error(error: Exception, address: str) -> RouterError:
    """Returns the typed error for a connection error.

    Only a connection that was never established proves that no byte of the request was sent.
    """
    if is_unsent(error):
        return EndpointFailedError(
            f"endpoint {address} cannot be reached; check that it runs", retry_after_s=1.0
        )
    if isinstance(error, (urllib3.exceptions.ReadTimeoutError, TimeoutError)):
        return EndpointTimeoutError(
            f"endpoint {address} did not answer in time; check its load", ran=Ran.MAY_HAVE_RUN
        )
    return EndpointFailedError(
        f"the connection to endpoint {address} broke; check that it runs", ran=Ran.MAY_HAVE_RUN
    )


def is_unsent(error: Exception) -> bool:
    """Returns whether an error proves that no byte of the request was sent."""
    return isinstance(
        error,
        (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError),
    )


def is_refused(error: Exception) -> bool:
    """Returns whether the endpoint's system refused the connection: no process listens there."""
    cause = error.__cause__
    return isinstance(cause, urllib3.exceptions.NewConnectionError) and isinstance(
        cause.__cause__, ConnectionRefusedError
    )


def parse_json(data: bytes) -> Any:
    """Returns the decoded JSON, or ``None`` if it is malformed."""
    try:
        return orjson.loads(data)
    except orjson.JSONDecodeError:
        return None


def _malformed(subject: str) -> EndpointFailedError:
    return EndpointFailedError(f"the engine's {subject} is malformed; check the engine's version")
