"""Account of the memory that callers' requests and their responses occupy in one process.

Every connection has a holding. When the account is full, the callers with the most holdings that
may be ended are shed first, the newest holding of each before its older ones.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from arbutustally.errors import OverloadedError

MIB = 1 << 20
#: Fraction of the process's memory that the account covers. The rest is for the program itself, its
#: tables, and the allocator.
ACCOUNT_FRACTION = 0.35
#: Fraction of the process's memory above which its resident memory narrows the account.
RESIDENT_FRACTION = 0.8
#: Fraction of the account that stays usable however large the resident memory is, so that a process
#: that is large for other reasons still serves.
LEAST_FRACTION = 0.2
#: Fraction of the allowed bytes above which memory is scarce.
SCARCE_FRACTION = 0.5
#: Retry delay suggested to callers that are rejected, seconds.
RETRY_S = 1.0


@dataclass(eq=False)
class Holding:
    """Memory of one connection.

    :ivar caller: address of the caller, without its port.
    :ivar shed: ends what occupies the memory; called at most once for each time it may be ended.
    :ivar number: increases with each holding.
    :ivar size: reserved bytes.
    :ivar may_be_shed: the request is unfinished or its response is not being read.
    """

    caller: str
    shed: Callable[[], None]
    number: int = field(default_factory=count().__next__)
    size: int = 0
    may_be_shed: bool = False


class MemoryAccount:
    """Reserves bytes for holdings, and decides which of them end when none are left.

    :param limit: bytes of all holdings.
    :param ceiling: resident bytes of the process above which the limit is narrowed.
    """

    def __init__(self, limit: int, ceiling: int) -> None:
        self._limit = limit
        self._ceiling = ceiling
        self._allowed = limit
        self._reserved = 0
        self._holdings: set[Holding] = set()
        self._open: Counter[str] = Counter()
        self._shed = 0
        self._refused = 0

    @classmethod
    def from_config(cls, memory_mb: int) -> "MemoryAccount":
        """Returns the account of a process.

        :param memory_mb: memory of the process, MiB.
        """
        memory = memory_mb * MIB
        return cls(int(memory * ACCOUNT_FRACTION), int(memory * RESIDENT_FRACTION))

    @property
    def limit(self) -> int:
        """Returns the bytes that all holdings may have at most."""
        return self._limit

    @property
    def allowed(self) -> int:
        """Returns the bytes that all holdings may have at the resident memory last observed."""
        return self._allowed

    @property
    def reserved(self) -> int:
        """Returns the bytes of all holdings."""
        return self._reserved

    @property
    def ceiling(self) -> int:
        """Returns the resident bytes of the process above which the limit is narrowed."""
        return self._ceiling

    @property
    def is_scarce(self) -> bool:
        """Returns whether so much is reserved that slow senders are rejected."""
        return self._reserved > self._allowed * SCARCE_FRACTION

    @property
    def shed(self) -> int:
        """Returns the number of holdings that were shed."""
        return self._shed

    @property
    def refused(self) -> int:
        """Returns the number of reservations that were refused."""
        return self._refused

    def observe(self, resident: int) -> None:
        """Narrows the account while the process is larger than its ceiling.

        :param resident: resident memory of the process, bytes.
        """
        room = self._reserved + self._ceiling - resident
        least = int(self._limit * LEAST_FRACTION)
        self._allowed = max(least, min(self._limit, room))

    def open(self, caller: str, shed: Callable[[], None]) -> Holding:
        """Returns a new holding without bytes."""
        holding = Holding(caller, shed)
        self._holdings.add(holding)
        return holding

    def close(self, holding: Holding) -> None:
        """Releases all of a holding."""
        self.protect(holding)
        self.release(holding, holding.size)
        self._holdings.discard(holding)

    def expose(self, holding: Holding) -> None:
        """Marks a holding as one that may be shed."""
        if not holding.may_be_shed:
            holding.may_be_shed = True
            self._open[holding.caller] += 1

    def protect(self, holding: Holding) -> None:
        """Marks a holding as one that may not be shed."""
        if holding.may_be_shed:
            holding.may_be_shed = False
            self._open[holding.caller] -= 1
            if not self._open[holding.caller]:
                del self._open[holding.caller]

    def reserve(self, holding: Holding, size: int) -> None:
        """Adds bytes to a holding, for which holdings of other callers may be shed.

        :raises OverloadedError: if the bytes are not available.
        """
        if not self.try_reserve(holding, size):
            self._refused += 1
            raise OverloadedError(
                "not run: the node's memory for requests is in use; retry later",
                retry_after_s=RETRY_S,
            )

    def try_reserve(self, holding: Holding, size: int) -> bool:
        """Adds bytes to a holding as ``reserve``; returns whether they are available."""
        if self._reserved + size > self._allowed and not self._make_room(holding, size):
            return False
        holding.size += size
        self._reserved += size
        return True

    def release(self, holding: Holding, size: int) -> None:
        """Takes bytes from a holding, at most those that it has."""
        size = min(size, holding.size)
        holding.size -= size
        self._reserved -= size

    def _make_room(self, holding: Holding, size: int) -> bool:
        """Sheds holdings of callers with more of them until bytes are available."""
        if size > self._allowed:
            return False
        victims = self._victims(holding)
        missing = self._reserved + size - self._allowed
        if sum(victim.size for victim in victims) < missing:
            return False
        for victim in victims:
            if self._reserved + size <= self._allowed:
                break
            self._end(victim)
        return True

    def _end(self, victim: Holding) -> None:
        self.protect(victim)
        self.release(victim, victim.size)
        self._shed += 1
        victim.shed()

    def _victims(self, holding: Holding) -> list[Holding]:
        """Returns what may be shed for a holding, in this order."""
        own = self._open.get(holding.caller, 0)
        crowds = {caller for caller, number in self._open.items() if number > max(own, 1)}
        if not crowds:
            return []
        victims = [one for one in self._holdings if one.may_be_shed and one.caller in crowds]
        victims.sort(key=lambda one: (-self._open[one.caller], -one.number))
        return victims
