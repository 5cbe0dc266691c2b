"""Links between engines and stores, which carry one transfer after the other."""

from arbutustally.clock import Clock

#: Wait beyond which a transfer is not started, seconds.
MAX_WAIT_S = 2.0
#: Time of a transfer between availability zones over one within a zone.
CROSS_ZONE = 2.0


class Link:
    """The link of one engine or store.

    :param tokens_per_s: cached tokens that it carries.
    :param queues_at_both: transfers from it also wait for those of the link at the other end.
    """

    def __init__(
        self, clock: Clock, tokens_per_s: float, zone: str, queues_at_both: bool = True
    ) -> None:
        self._clock = clock
        self._tokens_per_s = tokens_per_s
        self._queues_at_both = queues_at_both
        self._free_at = 0.0
        self.zone = zone

    @property
    def wait_s(self) -> float:
        """Returns the time until another transfer would start."""
        return max(0.0, self._free_at - self._clock())

    def send(self, other: "Link", tokens: int) -> float | None:
        """Queues a transfer to another link.

        :returns: seconds until it is complete, ``None`` if it would wait too long.
        """
        wait_s = max(self.wait_s, other.wait_s) if self._queues_at_both else self.wait_s
        if wait_s > MAX_WAIT_S:
            return None
        duration = tokens / min(self._tokens_per_s, other._tokens_per_s)
        if self.zone != other.zone:
            duration *= CROSS_ZONE
        until = self._clock() + wait_s + duration
        self._free_at = until
        if self._queues_at_both:
            other._free_at = until
        return wait_s + duration
