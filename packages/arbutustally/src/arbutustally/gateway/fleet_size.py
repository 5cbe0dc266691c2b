"""Number of nodes among which limits and budgets of the fleet are divided.

It rests on two counts: the nodes that this one has heard recently, and the size that a node has
recorded in the store, which also includes nodes that this one can't hear since its start. The
higher one applies: with too few nodes each takes more than its share, and the fleet exceeds the
limit, whereas too many cost a part of it until the silent ones no longer count.

Load patterns: some nodes are cut off and serve on, the others are killed and start again. The ones
that start again hear only each other. Or all nodes are killed and start again: while they find each
other, each must not take the others for cut off, or callers within their limits are refused.
"""

from collections.abc import Callable

from arbutustally.clock import Clock

#: Time for which a recorded size counts after it was read, seconds: as long as a silent peer counts.
RECORD_VALID_S = 30.0
#: Largest size that is accepted from a record.
MAX_NODES = 100_000


class FleetSize:
    """Number of nodes as one node knows it.

    :param clock: clock in seconds that keeps counting while the instance is suspended.
    :param heard_peers: returns the number of peers that were heard recently.
    :param is_discovering: returns whether this node has started recently and still finds peers.
    """

    def __init__(
        self, clock: Clock, heard_peers: Callable[[], int], is_discovering: Callable[[], bool]
    ) -> None:
        self._clock = clock
        self._heard_peers = heard_peers
        self._is_discovering = is_discovering
        self._recorded: int | None = None
        self._read_at = 0.0

    @property
    def heard(self) -> int:
        """Returns the number of nodes that were heard recently, this one included."""
        return self._heard_peers() + 1

    @property
    def recorded(self) -> int | None:
        """Returns the size read from the store, ``None`` if none was read recently."""
        if self._recorded is not None and self._clock() - self._read_at > RECORD_VALID_S:
            self._recorded = None
        return self._recorded

    @property
    def nodes(self) -> int:
        """Returns the number of nodes of the fleet, this one included."""
        return max(self.heard, self.recorded or 0)

    @property
    def sharing_nodes(self) -> int:
        """Returns the number of nodes among which limits are divided now, this one included."""
        return self.heard if self._is_discovering() else self.nodes

    def record_read(self, nodes: int) -> None:
        """Takes the size that the store had when this node started.

        :param nodes: 1 to ``MAX_NODES``.
        """
        self._recorded = nodes
        self._read_at = self._clock()
