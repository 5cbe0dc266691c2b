"""Tells an outage of the endpoints' list from a gap in which only one node did not read it.

Endpoints renew their entries at every heartbeat. Entries that expire while nobody can renew them
belong to endpoints that still serve; any other removed entry belongs to one that has left. What a
single node could not read does not tell the two apart, but the records do: while the store serves,
endpoints keep writing them, whether this node reads or not.
"""

#: Shortest time without a reading in which entries may have expired, in heartbeat intervals. An
#: entry expires after three, of which one may have passed before the outage.
MIN_OUTAGE_HEARTBEATS = 1.5
#: Share of the records expected in a gap below which the endpoints could not write.
MIN_WRITTEN_SHARE = 0.7


class ListOutage:
    """Judges the gaps between a node's readings of the list.

    :param heartbeat_s: interval at which endpoints renew their entries, seconds.
    """

    def __init__(self, heartbeat_s: float) -> None:
        self._heartbeat_s = heartbeat_s

    def is_possible(self, gap_s: float) -> bool:
        """Returns whether entries may have expired in a gap.

        :param gap_s: time since the list was last known to be current, seconds.
        """
        return gap_s >= MIN_OUTAGE_HEARTBEATS * self._heartbeat_s

    def is_shown(self, gap_s: float, entries: int, endpoints: int) -> bool:
        """Returns whether the records written in a gap show that endpoints could not write.

        :param entries: entries that were written in the gap.
        :param endpoints: endpoints that were listed before it.
        """
        expected = endpoints * gap_s / self._heartbeat_s
        return self.is_possible(gap_s) and entries < expected * MIN_WRITTEN_SHARE
