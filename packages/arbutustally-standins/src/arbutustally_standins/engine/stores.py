"""The engine's calls to the weight store and the KV store."""

from collections.abc import Sequence

import urllib3

from arbutustally.bounded_head import bounded_pools
from arbutustally_standins.tokens import PIECE_BLOCKS

_TIMEOUT_S = 30.0


class PlatformError(Exception):
    """The weight store or the KV store did not answer with success."""


class PlatformClient:
    """Calls the stores over HTTP.

    :param weights_url: base URL of the weight store, empty without one.
    :param kv_url: base URL of the KV store, empty without one.
    """

    def __init__(self, weights_url: str, kv_url: str) -> None:
        self._weights_url = weights_url
        self._kv_url = kv_url
        self._pool = bounded_pools(maxsize=32, retries=False, timeout=_TIMEOUT_S)

    @property
    def has_weights(self) -> bool:
        """Returns whether there is a weight store."""
        return bool(self._weights_url)

    @property
    def has_kv(self) -> bool:
        """Returns whether there is a KV store."""
        return bool(self._kv_url)

    def fetch_weights(self, model: str, version: str) -> None:
        """Waits until a version's weights have arrived.

        :raises PlatformError: if the weight store fails.
        """
        self._call("GET", f"{self._weights_url}/v1/weights/{model}/{version}")

    def fetch_pieces(self, blocks: Sequence[bytes]) -> int:
        """Fetches the leading pieces of a chain and returns their number."""
        return self._pieces("fetch", blocks)

    def put_pieces(self, blocks: Sequence[bytes]) -> int:
        """Stores the pieces of a chain and returns their number."""
        return self._pieces("put", blocks)

    def _pieces(self, verb: str, blocks: Sequence[bytes]) -> int:
        keys = [block.hex() for block in blocks[PIECE_BLOCKS - 1 :: PIECE_BLOCKS]]
        if not keys:
            return 0
        answer = self._call("POST", f"{self._kv_url}/v1/pieces/{verb}", {"keys": keys})
        return int(answer["held"])

    def _call(self, method: str, url: str, body: dict | None = None) -> dict:
        try:
            response = self._pool.request(method, url, json=body)
        except urllib3.exceptions.HTTPError as error:
            raise PlatformError(f"{method} failed; check that the store runs") from error
        if response.status != 200:
            raise PlatformError(f"{method} answered {response.status}; see GET /stats there")
        return response.json()
