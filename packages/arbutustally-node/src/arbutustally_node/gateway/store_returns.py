"""Logs and counts restorations of the store from an older copy."""

from arbutustally_node.gateway.decision_log import DecisionLog
from arbutustally_node.gateway.instruments import Instruments
from arbutustally_node.gateway.ports import StoreEra


class StoreReturnMonitor:
    """Logs and counts each era of the store after the first one that this node has seen."""

    def __init__(self, log: DecisionLog, instruments: Instruments) -> None:
        self._log = log
        self._instruments = instruments
        self._era = 0

    @classmethod
    def from_config(
        cls, store_era: StoreEra, log: DecisionLog, instruments: Instruments
    ) -> "StoreReturnMonitor":
        """Returns one that watches the store's eras."""
        returns = cls(log, instruments)
        store_era.watch(returns.note)
        return returns

    def note(self, era: int) -> None:
        """Records an era; the first one that the store reports is no return."""
        previous, self._era = self._era, era
        if not previous:
            return
        self._instruments.count("store_returns")
        self._log.line("store_returned", era=era, previous=previous)
