"""Health, readiness and drain state of the node."""

from dataclasses import dataclass

from arbutustally_node.kernel import Kernel
from arbutustally_node.options import Options


@dataclass(frozen=True)
class Readiness:
    """Whether callers should use this node.

    :ivar ready: new callers may be sent here.
    :ivar reason: what is missing and what to do; empty when ready.
    """

    ready: bool
    reason: str = ""


class HealthService:
    """Answers for the health endpoints."""

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel

    @classmethod
    def from_config(cls, kernel: Kernel, options: Options) -> "HealthService":
        """Builds the service."""
        return cls(kernel)

    def readiness(self) -> Readiness:
        """Returns the readiness of the node at this moment."""
        if self._kernel.lookup("membership").draining:
            return Readiness(False, "draining; ask another node for an address")
        if self._kernel.lookup("log").state.version < 0:
            return Readiness(False, "no configuration yet; the log or a peer must be reachable")
        return Readiness(True)
