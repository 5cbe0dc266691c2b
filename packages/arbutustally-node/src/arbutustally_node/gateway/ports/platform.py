"""The set of interfaces that a platform adapter provides."""

from dataclasses import dataclass

from arbutustally_node.gateway.ports.codec import DirectoryBody, HttpCodec
from arbutustally_node.gateway.ports.documents import Documents
from arbutustally_node.gateway.ports.engines import CacheEvents, EngineControl
from arbutustally_node.gateway.ports.store import (
    KeyedTopic,
    LeaseTopic,
    NodeTopic,
    StatusTopic,
    StoreEra,
)


@dataclass(frozen=True)
class Platform:
    """The set of interfaces that a platform adapter provides.

    :ivar isolated_topic: names of the accounts that were isolated, one key for each.
    :ivar fleet_size_topic: number of nodes of the fleet, under one key.
    """

    codec: HttpCodec
    documents: Documents
    operator_topic: KeyedTopic
    status_topic: StatusTopic
    isolated_topic: StatusTopic
    fleet_size_topic: StatusTopic
    endpoint_topic: KeyedTopic
    node_topic: NodeTopic
    engines: EngineControl
    lease_topic: LeaseTopic
    store_era: StoreEra
    cache_events: CacheEvents
    directory_body: DirectoryBody
