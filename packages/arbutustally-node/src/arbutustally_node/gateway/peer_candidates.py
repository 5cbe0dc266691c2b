"""Addresses at which peers may run, and the times at which a relay probes them."""

from collections.abc import Container, KeysView
from dataclasses import dataclass

from arbutustally.clock import Clock

#: Time without messages after which a peer or a candidate address is forgotten, seconds.
FORGET_S = 30.0
#: Interval at which a relay probes a candidate that sends no messages, seconds. ``LATE_PROBE_S``
#: applies once the candidate has been probed for ``EARLY_PROBES_S``.
PROBE_S = 0.4
LATE_PROBE_S = 5.0
EARLY_PROBES_S = 4.0
#: Largest number of candidates that are probed at the same time.
MAX_PROBES = 8


@dataclass
class Candidate:
    """An address at which a node may run.

    :ivar is_lasting: whether it is kept even if the node stays silent for long.
    """

    added_at: float
    is_lasting: bool
    probed_at: float = float("-inf")


class PeerCandidates:
    """Candidate peers of one node, by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._candidates: dict[str, Candidate] = {}

    @property
    def ips(self) -> KeysView[str]:
        """Returns the candidate addresses."""
        return self._candidates.keys()

    def add(self, ip: str, is_lasting: bool) -> None:
        """Adds an address unless it is known."""
        self._candidates.setdefault(ip, Candidate(self._clock(), is_lasting))

    def due_probes(self, present: Container[str]) -> tuple[str, ...]:
        """Returns the addresses to probe now, and drops those that have been probed for too long.

        :param present: addresses of the present peers, which are not probed.
        """
        now = self._clock()
        due = []
        for ip, candidate in list(self._candidates.items()):
            tried_s = now - candidate.added_at
            if ip in present:
                candidate.added_at = now
                candidate.probed_at = float("-inf")
            elif tried_s > FORGET_S and not candidate.is_lasting:
                del self._candidates[ip]
            elif len(due) < MAX_PROBES:
                pause = PROBE_S if tried_s <= EARLY_PROBES_S else LATE_PROBE_S
                if now - candidate.probed_at >= pause:
                    candidate.probed_at = now
                    due.append(ip)
        return tuple(due)
