"""Interfaces to the platform that the gateway runs on; a platform adapter implements them."""

from arbutustally_node.gateway.ports.codec import (
    AnswerTerms,
    AttemptTerms,
    DirectoryBody,
    HttpCodec,
    NoticeWatcher,
)
from arbutustally_node.gateway.ports.documents import (
    Documents,
    OperatorChange,
    WeightsNamed,
)
from arbutustally_node.gateway.ports.engines import (
    CacheBatch,
    CacheChange,
    CacheEvents,
    EngineControl,
    EngineReport,
    LoadOrder,
    OrderReply,
)
from arbutustally_node.gateway.ports.options import (
    GatewayBounds,
    GatewayOptions,
)
from arbutustally_node.gateway.ports.platform import (
    Platform,
)
from arbutustally_node.gateway.ports.store import (
    Batch,
    EraWatcher,
    KeyedTopic,
    LeaseAppend,
    LeaseReading,
    LeaseRecord,
    LeaseTopic,
    NodeTopic,
    Record,
    StatusTopic,
    StoreEra,
)

__all__ = [
    "AnswerTerms",
    "AttemptTerms",
    "Batch",
    "CacheBatch",
    "CacheChange",
    "CacheEvents",
    "DirectoryBody",
    "Documents",
    "EngineControl",
    "EngineReport",
    "EraWatcher",
    "GatewayBounds",
    "GatewayOptions",
    "HttpCodec",
    "KeyedTopic",
    "LeaseAppend",
    "LeaseReading",
    "LeaseRecord",
    "LeaseTopic",
    "LoadOrder",
    "NodeTopic",
    "NoticeWatcher",
    "OperatorChange",
    "OrderReply",
    "Platform",
    "Record",
    "StatusTopic",
    "StoreEra",
    "WeightsNamed",
]
