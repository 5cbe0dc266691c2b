"""What others write into the store."""

from dataclasses import dataclass
from typing import Protocol

from arbutustally.gateway.configuration import Configuration
from arbutustally.gateway.endpoints import EndpointEntry
from arbutustally.gateway.rollouts import RolloutOrder, RolloutProgress
from arbutustally_node.gateway.ports.store import Record


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
