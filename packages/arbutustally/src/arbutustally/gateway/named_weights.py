"""Versions of the weights that the operator named.

Load pattern: many versions are named within the time for which a replaced one is still allowed. The
date of each version is when those before it were replaced, so it is kept for as long as one of them
may be allowed. Where these are too many, neighbours that were named shortly after each other share
the earlier date: the versions between them expire early by that difference, and never late.
"""

import math

#: Most named versions that are kept per model.
MAX_VERSIONS = 64


class NamedWeights:
    """Versions of one model that the operator named.

    :param keep_s: time after which no version that was replaced is allowed, seconds.
    :ivar known_at: when each version became known in the fleet, monotonic seconds.
    """

    def __init__(self, keep_s: float = math.inf) -> None:
        self._keep_s = keep_s
        self.known_at: dict[int, float] = {}
        self._undated: set[int] = set()

    @property
    def dated(self) -> dict[int, float]:
        """Returns ``known_at`` of the versions whose naming was observed by a node of the fleet."""
        return {
            version: at for version, at in self.known_at.items() if version not in self._undated
        }

    @property
    def undated(self) -> tuple[int, ...]:
        """Returns the replaced versions whose naming was observed by no node that is known."""
        return tuple(sorted(self._undated - {self.version}))

    @property
    def version(self) -> int:
        """Returns the newest version."""
        return max(self.known_at)

    def learn(self, version: int, known_at: float) -> bool:
        """Records a version; returns whether it is the newest one and was not known.

        :param known_at: ``-inf`` if it was named before this node started, at an unknown time.
        """
        is_newer = not self.known_at or version > self.version
        if known_at == -math.inf:
            if version not in self.known_at:
                self._undated.add(version)
                self.known_at[version] = known_at
        else:
            before = known_at if version in self._undated else self.known_at.get(version, known_at)
            self._undated.discard(version)
            self.known_at[version] = min(before, known_at)
        self._forget_expired()
        while len(self.known_at) > MAX_VERSIONS:
            self._merge_closest()
        return is_newer

    def _forget_expired(self) -> None:
        """Drops the versions before the newest one that has replaced all of them for good.

        A version without a date may still get one.
        """
        dates = self.dated
        latest = max(dates.values(), default=-math.inf)
        replacing = [version for version, at in dates.items() if latest - at >= self._keep_s]
        for version in [one for one in self.known_at if one < max(replacing, default=0)]:
            self._drop(version)

    def _merge_closest(self) -> None:
        """Drops the version that was named the shortest time before the next one.

        The next one takes over its date. The newest one keeps its own, as peers date new weights.
        """
        dates = self.dated
        dated = sorted(dates)
        pairs = list(zip(dated[:-2], dated[1:-1], strict=True))
        if not pairs:
            self._drop(min(self.known_at))
            return
        first, second = min(pairs, key=lambda pair: dates[pair[1]] - dates[pair[0]])
        self.known_at[second] = min(dates[first], dates[second])
        self._drop(first)

    def _drop(self, version: int) -> None:
        del self.known_at[version]
        self._undated.discard(version)

    def allowed_until(self, version: int, bound_s: float) -> float:
        """Returns until when requests may begin on a version, ``inf`` if none has replaced it.

        :param bound_s: time for which a version remains allowed after a newer one was named.
        """
        replaced_at = (at for newer, at in self.known_at.items() if newer > version)
        return min(replaced_at, default=math.inf) + bound_s

    def oldest_allowed(self, now: float, bound_s: float) -> int:
        """Returns the oldest version that was not replaced longer than ``bound_s`` ago."""
        replaced = [version for version, at in self.known_at.items() if now - at >= bound_s]
        return max(replaced, default=0)
