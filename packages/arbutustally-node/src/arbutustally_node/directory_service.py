"""Service ``directory``: the addresses that ``GET /entry`` names to a caller."""

from collections.abc import Callable
from typing import Any

from arbutustally.directory import HOME_WIDTH, addresses
from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options

#: How long callers may use an answer, seconds; the least grace of a drain.
TTL_S = 20.0


class DirectoryService:
    """Names the home nodes of an account.

    :param membership: returns the ``membership`` service.
    """

    def __init__(self, options: Options, membership: Callable[[], Any]) -> None:
        self._options = options
        self._membership = membership

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "DirectoryService":
        """Builds the service."""
        return cls(options, lambda: kernel.lookup("membership"))

    def start(self) -> None:
        """Does nothing; the service keeps no state."""

    def stop(self) -> None:
        """Does nothing; the service keeps no state."""

    def entry(self, account: str) -> tuple[tuple[str, ...], float]:
        """Returns the addresses for callers of an account, and their lifetime in seconds."""
        nodes = self._membership().live_nodes()
        named = addresses(
            account, self._options.zone, nodes, width=HOME_WIDTH, shards=self._options.shards
        )
        return named, TTL_S
