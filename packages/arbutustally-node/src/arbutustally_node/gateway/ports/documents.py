"""Documents in the store and the interface to decode and encode them."""

from dataclasses import dataclass
from typing import Protocol

from arbutustally.gateway.configuration import Configuration
from arbutustally.gateway.endpoint_entry import EndpointEntry
from arbutustally.gateway.evacuation import ZoneEvacuation
from arbutustally.gateway.rollouts import RolloutOrder, RolloutProgress
from arbutustally_node.gateway.ports.store import Record


@dataclass(frozen=True)
class WeightsNamed:
    """The operator named a version of a model's weights."""

    model: str
    version: int


#: Decoded content of an operator's record.
OperatorChange = Configuration | WeightsNamed | RolloutOrder | ZoneEvacuation


class Documents(Protocol):
    """Decodes and encodes documents in the store; an unreadable one is decoded to ``None``."""

    def decode_operator(self, record: Record) -> OperatorChange | None:
        """Returns the content of an operator's record, or what its removal means."""

    def encode_rollout(self, progress: RolloutProgress) -> Record:
        """Returns the record that reports a roll-out's progress to the operator."""

    def decode_rollout(self, record: Record) -> RolloutProgress | None:
        """Returns a roll-out's progress as written by a node."""

    def decode_endpoint(self, record: Record) -> EndpointEntry | None:
        """Returns an endpoint's entry."""
