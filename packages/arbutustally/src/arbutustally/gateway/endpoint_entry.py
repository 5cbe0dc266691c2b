"""What the platform's list and an endpoint itself tell about the endpoint."""

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True)
class EndpointEntry:
    """An endpoint as registered in the platform's list.

    :ivar slots: requests that it runs concurrently.
    :ivar is_leaving: it finishes its running requests and accepts no new ones.
    :ivar weights: version of the weights by model.
    :ivar incarnation: differs between two starts of an endpoint, also under the same id. A decimal
        number increases from start to start.
    :ivar release: version of its program.
    :ivar cold_remaining_s: time for which it remains slow, seconds. It changes with each heartbeat,
        so entries that differ only in it are equal.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    is_leaving: bool
    weights: Mapping[str, int]
    incarnation: str
    release: str = ""
    cold_remaining_s: float = field(default=0.0, compare=False)


@dataclass(frozen=True)
class EndpointNotice:
    """Status of an endpoint that it sends along with an answer.

    :ivar is_leaving: it stops soon and accepts no new requests.
    :ivar pause_s: time for which this node must send it no requests, seconds; 0 for no pause.
    :ivar cold_s: time for which it remains slow, seconds; ``None`` if not stated.
    """

    is_leaving: bool = False
    pause_s: float = 0.0
    cold_s: float | None = None


#: Notice for an answer that carries no status of the endpoint.
NO_NOTICE = EndpointNotice()
