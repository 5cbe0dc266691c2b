"""Versions of the weights that the operator named."""

import math

#: Named versions that are kept per model.
MAX_VERSIONS = 8


class NamedWeights:
    """Versions of one model that the operator named.

    :ivar known_at: when each version became known in the fleet, monotonic seconds.
    """

    def __init__(self) -> None:
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
        for old in sorted(self.known_at)[:-MAX_VERSIONS]:
            del self.known_at[old]
            self._undated.discard(old)
        return is_newer

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
