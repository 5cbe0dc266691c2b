"""Orders to load and unload versions and adapters or to change role, with fencing."""

from collections import deque
from collections.abc import Callable
from typing import Any

import gevent

from arbutustally_standins.engine.options import ROLES, EngineOptions
from arbutustally_standins.engine.runner import Runner
from arbutustally_standins.engine.stores import PlatformClient, PlatformError

_KEPT = 200


class StaleFenceError(Exception):
    """An order carries a lower fencing number than one that was accepted."""


class OrderInvalidError(Exception):
    """An order is malformed."""


class Orders:
    """Carries out orders; loads run in the background and show in the load report when done."""

    def __init__(
        self,
        options: EngineOptions,
        runner: Runner,
        platform: PlatformClient,
        load_fails: Callable[[], bool],
    ) -> None:
        self._options = options
        self._runner = runner
        self._platform = platform
        self._load_fails = load_fails
        self._fence = -1
        self._loading: set[str] = set()
        self._accepted: deque[dict[str, Any]] = deque(maxlen=_KEPT)
        self.adapters = list(options.adapters)
        self.role = options.role

    @property
    def accepted(self) -> list[dict[str, Any]]:
        """Returns the last accepted orders."""
        return list(self._accepted)

    def carry_out(self, order: dict[str, Any]) -> str:
        """Begins an order.

        :returns: ``loading`` or ``done``.
        :raises StaleFenceError: if fencing numbers are checked and this one is old.
        :raises OrderInvalidError: if the order is malformed.
        """
        act = {"load": self._load, "unload": self._unload, "role": self._change_role}.get(
            order.get("order", "")
        )
        if act is None:
            raise OrderInvalidError("order is load, unload or role")
        self._check_fence(order.get("fence"))
        state = act(order)
        self._accepted.append(order)
        return state

    def _check_fence(self, fence: Any) -> None:
        if not self._options.checks_fencing:
            return
        if not isinstance(fence, int):
            raise OrderInvalidError("this engine checks fencing numbers; send an integer fence")
        if fence < self._fence:
            raise StaleFenceError(f"fence {fence} is below {self._fence}; read the lease again")
        self._fence = fence

    def _load(self, order: dict[str, Any]) -> str:
        if order.get("adapter"):
            return self._load_adapter(str(order["adapter"]))
        version = str(order.get("version") or "")
        if not version:
            raise OrderInvalidError("name a version or an adapter to load")
        if version in self._runner.model.versions:
            return "done"
        if version not in self._loading:
            self._loading.add(version)
            gevent.spawn(self._fetch, version)
        return "loading"

    def _load_adapter(self, adapter: str) -> str:
        if adapter not in self.adapters:
            self.adapters.append(adapter)
        return "done"

    def _fetch(self, version: str) -> None:
        try:
            self._wait_for_weights(version)
        except PlatformError:
            self._runner.counts["loads_failed"] += 1
            return
        finally:
            self._loading.discard(version)
        self._runner.load(version)
        self._runner.counts["loads"] += 1

    def _wait_for_weights(self, version: str) -> None:
        if self._load_fails():
            raise PlatformError("loads were told to fail; POST /faults to end it")
        if self._platform.has_weights:
            self._platform.fetch_weights(self._options.model.model, version)
        else:
            gevent.sleep(self._options.model.load_s)

    def _unload(self, order: dict[str, Any]) -> str:
        adapter = order.get("adapter")
        if adapter in self.adapters:
            self.adapters.remove(adapter)
        elif not adapter:
            self._runner.model.unload(str(order.get("version")))
        return "done"

    def _change_role(self, order: dict[str, Any]) -> str:
        if order.get("role") not in ROLES:
            raise OrderInvalidError(f"role is one of {', '.join(ROLES)}")
        self.role = order["role"]
        return "done"
