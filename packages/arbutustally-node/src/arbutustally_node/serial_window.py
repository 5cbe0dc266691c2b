"""Detects broadcasts of one origin that arrive more than once, over any of its paths."""

#: Number of serials remembered per origin, enough for the events of the slower of two paths.
WINDOW_SERIALS = 64


class SerialWindow:
    """Records which serials of one incarnation of an origin have arrived."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._highest = -1
        self._mask = 0

    @property
    def incarnation(self) -> str:
        """Returns the incarnation whose serials are recorded."""
        return self._incarnation

    def accept(self, serial: int) -> bool:
        """Records a serial; returns whether it is new. One older than the window counts as seen."""
        if serial > self._highest:
            self._mask = (self._mask << min(serial - self._highest, WINDOW_SERIALS)) | 1
            self._mask &= (1 << WINDOW_SERIALS) - 1
            self._highest = serial
            return True
        age = self._highest - serial
        if age >= WINDOW_SERIALS or self._mask >> age & 1:
            return False
        self._mask |= 1 << age
        return True
