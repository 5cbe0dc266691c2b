"""Client of the platform's instance list."""

from dataclasses import dataclass
from typing import Any, Literal

import orjson
import urllib3

from arbutustally.bounded_head import bounded_pools
from arbutustally.errors import InstanceListUnavailableError

#: Largest accepted list in bytes; 3,000 instances need about 0.6 MB.
MAX_LIST_BYTES = 8 << 20
STATES = ("live", "leaving")


@dataclass(frozen=True)
class Instance:
    """One entry of the list.

    :ivar service: ``entry`` for the nodes, otherwise the service of an endpoint.
    :ivar address: ``host:port``; for nodes the address of their peer listener.
    :ivar model: of a model engine, otherwise ``None``.
    :ivar version: weights version at start, if the platform knows it.
    """

    id: str
    service: str
    address: str
    zone: str
    state: Literal["live", "leaving"]
    model: str | None = None
    version: str | None = None


class InstanceClient:
    """Reads the instance list over HTTP.

    :param url: base URL.
    :param timeout_s: timeout of connecting and of each read, seconds.
    """

    def __init__(self, url: str, timeout_s: float) -> None:
        self._url = url.rstrip("/") + "/v1/instances"
        self._timeout = urllib3.Timeout(connect=timeout_s, read=timeout_s)
        self._http = bounded_pools(maxsize=1, retries=False)

    @classmethod
    def from_config(cls, url: str, timeout_s: float = 2.0) -> "InstanceClient":
        """Builds a client of the list at ``url``."""
        return cls(url, timeout_s)

    def list(self) -> list[Instance]:
        """Returns all instances; malformed entries are skipped.

        :raises InstanceListUnavailableError: if there is no valid response.
        """
        try:
            response = self._http.request(
                "GET", self._url, timeout=self._timeout, preload_content=False
            )
            try:
                body = response.read(MAX_LIST_BYTES + 1)
            finally:
                response.release_conn()
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise _unavailable(type(error).__name__) from error
        if response.status != 200 or len(body) > MAX_LIST_BYTES:
            raise _unavailable(f"status {response.status}, {len(body)} bytes")
        try:
            entries = orjson.loads(body)["instances"]
        except (orjson.JSONDecodeError, KeyError, TypeError) as error:
            raise _unavailable("the response is malformed") from error
        if not isinstance(entries, list):
            raise _unavailable("the response has no list")
        return [instance for instance in map(_parse, entries) if instance is not None]


def _unavailable(detail: str) -> InstanceListUnavailableError:
    return InstanceListUnavailableError(
        f"the instance list sent no valid response ({detail}); the last list stays in use, "
        "check --instances-url and the platform",
        retry_after_s=1.0,
    )


def _parse(entry: Any) -> Instance | None:
    if not isinstance(entry, dict):
        return None
    required = [entry.get(name) for name in ("id", "service", "address", "zone", "state")]
    if not all(isinstance(value, str) and value for value in required):
        return None
    if entry["state"] not in STATES:
        return None
    # Plain services may be listed with an empty model; their load is not polled.
    model, version = entry.get("model") or None, entry.get("version") or None
    return Instance(*required, model=model, version=version)
