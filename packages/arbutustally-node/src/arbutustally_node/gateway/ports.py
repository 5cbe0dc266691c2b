"""What the gateway needs of the platform that it runs on; an adapter implements it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from arbutustally.gateway.attempts import RepeatBudget
from arbutustally.gateway.configuration import Configuration
from arbutustally.gateway.endpoints import NO_NOTICE, EndpointEntry, EndpointNotice
from arbutustally.gateway.quota import QuotaTolerance
from arbutustally.gateway.requests import CallerRequest
from arbutustally.gateway.rollouts import RolloutOrder, RolloutProgress
from arbutustally_node.http_head import RequestHead


@dataclass(frozen=True)
class AttemptTerms:
    """What one attempt tells the endpoint beside the caller's request.

    :ivar endpoint_id: any other endpoint at the address must refuse.
    :ivar account: name of the account, empty on a public route without a key.
    :ivar left_s: time until the answer is of no use.
    :ivar cache_scope: cached parts are found under the same text only; empty for a plain service.
    :ivar weights: version that the engine must have, ``None`` for a plain service.
    :ivar priority: 0 is the most urgent, ``None`` for a plain service.
    :ivar resume_from: id of the last event that was relayed, empty for none.
    :ivar fetch_from: ``host:port`` of a place that holds more of the prompt, empty for none.
    :ivar save_to: ``host:port`` of the store that gets the parts once they are read.
    """

    endpoint_id: str
    account: str
    left_s: float
    cache_scope: str = ""
    weights: int | None = None
    priority: int | None = None
    resume_from: str = ""
    fetch_from: str = ""
    save_to: str = ""


@dataclass(frozen=True)
class AnswerTerms:
    """What the head of an endpoint's answer says.

    :ivar echoed_id: request id of the answer, empty without one.
    :ivar is_signed: the endpoint itself made the answer.
    :ivar is_not_run: the endpoint states that it did not run the request.
    :ivar is_mismatched: the endpoint is not the one that was named, or has other weights.
    :ivar endpoint_id: of the endpoint that answered, empty if not stated.
    :ivar weights: version of the weights, ``None`` if not stated.
    :ivar headers: headers to pass on to the caller.
    :ivar notice: what the endpoint says of itself.
    """

    echoed_id: str
    is_signed: bool
    is_not_run: bool
    is_mismatched: bool
    endpoint_id: str
    weights: int | None
    headers: tuple[tuple[str, str], ...]
    notice: EndpointNotice = NO_NOTICE


class NoticeWatcher(Protocol):
    """Takes what endpoints say of themselves in answers to calls beside requests."""

    def __call__(self, address: str, notice: EndpointNotice) -> None:
        """Takes the notice of the endpoint at an address."""


class HttpCodec(Protocol):
    """Wire form of requests and answers."""

    def decode_request(self, head: RequestHead, body: bytes, arrived_at: float) -> CallerRequest:
        """Returns the request.

        :raises BadRequestError: if a header is malformed.
        """

    def attempt_headers(self, request: CallerRequest, terms: AttemptTerms) -> dict[str, str]:
        """Returns the headers of an attempt."""

    def decode_answer(self, status: int, headers: Sequence[tuple[str, str]]) -> AnswerTerms:
        """Returns what the head of an answer says."""


@dataclass(frozen=True)
class Record:
    """The newest value of a key.

    :ivar value: ``None`` where the key was removed.
    """

    key: str
    value: bytes | None


class EraWatcher(Protocol):
    """Takes the number of an era of the store that has begun."""

    def __call__(self, era: int) -> None:
        """Takes the era; called once for each that is newer than all before."""


class StoreEra(Protocol):
    """The newest era that any answer of the store has told.

    The store begins an era each time that it comes back from an older copy: what was written
    since that copy is gone, and its offsets are given out again.
    """

    @property
    def newest(self) -> int:
        """Returns the era, 0 as long as no answer has told one."""

    def watch(self, watcher: EraWatcher) -> None:
        """Passes each newer era to ``watcher``, before the answer that told it is used."""


@dataclass(frozen=True)
class Batch:
    """Records of a topic.

    :ivar next_offset: where to read on.
    :ivar era: of the store when it answered, 0 if not stated.
    """

    records: tuple[Record, ...]
    next_offset: int
    era: int = 0


class KeyedTopic(Protocol):
    """A topic of the store that keeps the newest record of each key."""

    def newest(self) -> Batch:
        """Returns the newest record of every key.

        :raises StoreUnavailableError: if the store does not answer.
        """

    def since(self, offset: int, wait_s: float) -> Batch:
        """Returns the records from an offset on, waiting for the first.

        :raises StoreUnavailableError: if the store does not answer.
        :raises HoleFoundError: if the records have left the store.
        """


class StatusTopic(Protocol):
    """Topic in which the system tells the operator what it has done."""

    def newest(self) -> Batch:
        """Returns the newest record of every key.

        :raises StoreUnavailableError: if the store does not answer.
        """

    def put(self, key: str, value: bytes | None, expected: int | None = None) -> Any:
        """Appends a record; ``None`` in place of a result says that the topic ends elsewhere.

        :param expected: append only if the topic ends at this offset.
        :raises StoreUnavailableError: if nobody knows whether it was appended.
        """


class NodeTopic(KeyedTopic, Protocol):
    """Topic in which nodes announce themselves."""

    def announce(self, name: str, value: bytes | None) -> None:
        """Writes a node's record; ``None`` removes it.

        :raises StoreUnavailableError: if the store does not confirm it.
        """


@dataclass(frozen=True)
class LeaseRecord:
    """The last record of a lease.

    :ivar holder: node that wrote it.
    :ivar offset: of the record, which grows with each record.
    :ivar tenure: offset of the record that began the holder's tenure.
    :ivar is_released: the holder gave the lease up.
    :ivar era: of the store as its writer knew it; the record may have come into a later one.
    """

    holder: str
    offset: int
    tenure: int
    is_released: bool
    era: int = 0


@dataclass(frozen=True)
class LeaseReading:
    """What the topic of a lease held.

    :ivar last: the last record, ``None`` for none.
    :ivar end: offset of the next record.
    :ivar era: of the store when it answered, 0 if not stated.
    """

    last: LeaseRecord | None
    end: int
    era: int = 0


@dataclass(frozen=True)
class LeaseAppend:
    """Answer to an append.

    :ivar is_appended: the topic ended where it was expected to.
    :ivar era: of the store when it answered, 0 if not stated.
    """

    is_appended: bool
    era: int = 0


class LeaseTopic(Protocol):
    """Topic with the records of one lease."""

    def last(self) -> LeaseReading:
        """Returns the last record and the offset of the next one.

        :raises StoreUnavailableError: if the store does not answer.
        """

    def append(
        self, holder: str, tenure: int | None, is_released: bool, era: int, expected: int
    ) -> LeaseAppend:
        """Appends a record if the topic still ends at ``expected``.

        :param tenure: offset of the record that began it; ``None`` begins one with this record.
        :param era: of the store as this node knows it.
        :raises StoreUnavailableError: if nobody knows whether it was.
        """


@dataclass(frozen=True)
class EngineReport:
    """Load and weights of an engine.

    :ivar orders: orders accepted since its start.
    :ivar is_busy: an order is in progress.
    """

    orders: int
    is_busy: bool
    weights: Mapping[str, int]


class OrderReply:
    """Kinds of answers to an order."""

    ACCEPTED = "accepted"
    HOLDS_ALREADY = "holds_already"
    BUSY = "busy"
    FENCED = "fenced"
    OTHER_ENDPOINT = "other_endpoint"
    REFUSED = "refused"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class CacheChange:
    """A part that a place began to hold or dropped.

    :ivar tokens: tokens of the part that the place holds now.
    """

    is_stored: bool
    scope: str
    part_id: str
    tokens: int


@dataclass(frozen=True)
class CacheBatch:
    """Changes of one cache.

    :ivar epoch: differs between two starts of the place.
    :ivar next_number: where to read on.
    :ivar has_gap: changes before these were lost.
    """

    epoch: int
    next_number: int
    has_gap: bool
    changes: tuple[CacheChange, ...]


class CacheEvents(Protocol):
    """Changes of caches as engines and stores of parts tell them."""

    def changes(self, address: str, since: int, wait_s: float) -> CacheBatch | None:
        """Returns the changes from a number on, waiting for some; ``None`` without an answer."""

    def watch_notices(self, watcher: NoticeWatcher) -> None:
        """Passes notices in answers to ``watcher``."""


@dataclass(frozen=True)
class LoadOrder:
    """What an engine is told to load.

    :ivar orders: orders that the engine must have accepted so far.
    :ivar breaks_runs_off: end what runs at once; otherwise it finishes first.
    """

    model: str
    version: int
    orders: int
    breaks_runs_off: bool


class EngineControl(Protocol):
    """Calls that manage an engine."""

    def report(self, endpoint: EndpointEntry) -> EngineReport | None:
        """Returns the engine's report, ``None`` if it does not answer."""

    def load_weights(
        self,
        endpoint: EndpointEntry,
        order: LoadOrder,
        holder: str,
        fence: int,
    ) -> str:
        """Orders an engine to load weights; returns one of ``OrderReply``."""

    def watch_notices(self, watcher: NoticeWatcher) -> None:
        """Passes notices in answers to ``watcher``."""


@dataclass(frozen=True)
class WeightsNamed:
    """The operator named a version of a model's weights."""

    model: str
    version: int


#: What a record of the operator says.
OperatorChange = Configuration | WeightsNamed | RolloutOrder


class Documents(Protocol):
    """Decoding of what others write into the store; unreadable documents give ``None``."""

    def decode_operator(self, record: Record) -> OperatorChange | None:
        """Returns what the operator wrote."""

    def encode_rollout(self, progress: RolloutProgress) -> Record:
        """Returns the record that tells the operator how far a roll-out is."""

    def decode_rollout(self, record: Record) -> RolloutProgress | None:
        """Returns how far a roll-out was, as written by a node."""

    def decode_endpoint(self, record: Record) -> EndpointEntry | None:
        """Returns an endpoint's entry."""


@dataclass(frozen=True)
class GatewayBounds:
    """Bounds that the deployment sets.

    :ivar weights_s: after this time no request may begin on weights older than those named.
    :ivar lease_s: least time between orders of two holders.
    :ivar leaving_s: after this time a leaving endpoint gets no new requests.
    :ivar store_return_s: time after the store's return for which a missing entry may come back.
    :ivar grace_s: time from SIGTERM to SIGKILL.
    :ivar directory_ttl_s: longest time for which an answer with addresses counts.
    """

    weights_s: float
    lease_s: float
    grace_s: float
    directory_ttl_s: float
    quota: QuotaTolerance
    repeats: RepeatBudget
    leaving_s: float = 2.0
    store_return_s: float = 2.5


@dataclass(frozen=True)
class GatewayOptions:
    """Settings of one node.

    :ivar node: name of the node.
    :ivar ip: address of the instance.
    :ivar caller_listen: ``host:port`` for callers; the others likewise.
    :ivar peer_port: UDP port for messages between nodes, the same on all.
    :ivar metrics_listen: ``host:port`` for metrics.
    :ivar seeds: ``host:port`` of control listeners of some nodes.
    :ivar memory_mb: memory of the process.
    :ivar capacity: of processor and link; instances with more relay for others first.
    """

    node: str
    ip: str
    zone: str
    caller_listen: str
    ready_listen: str
    directory_listen: str
    control_listen: str
    metrics_listen: str
    peer_port: int
    seeds: tuple[str, ...]
    memory_mb: int
    bounds: GatewayBounds
    capacity: int = 0
    ready_path: str = "/ready"
    directory_path: str = "/addresses"


class DirectoryBody(Protocol):
    """Encodes the addresses named to a caller."""

    def __call__(self, addresses: Sequence[str], ttl_s: float) -> bytes:
        """Returns the body of the answer."""


@dataclass(frozen=True)
class Platform:
    """Everything that an adapter provides."""

    codec: HttpCodec
    documents: Documents
    operator_topic: KeyedTopic
    status_topic: StatusTopic
    endpoint_topic: KeyedTopic
    node_topic: NodeTopic
    engines: EngineControl
    lease_topic: LeaseTopic
    store_era: StoreEra
    cache_events: CacheEvents
    directory_body: DirectoryBody
