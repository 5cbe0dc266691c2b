"""Which broadcasts of one origin have arrived, over any of its paths."""

#: Serials remembered for each origin, enough for the events of the slower of two paths.
WINDOW = 64


class SerialWindow:
    """Remembers which serials of one origin incarnation have arrived."""

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._highest = -1
        self._mask = 0

    @property
    def incarnation(self) -> str:
        """Returns the incarnation whose serials these are."""
        return self._incarnation

    def accept(self, serial: int) -> bool:
        """Returns whether the serial is new; one too old to tell is not."""
        if serial > self._highest:
            self._mask = (self._mask << min(serial - self._highest, WINDOW)) | 1
            self._mask &= (1 << WINDOW) - 1
            self._highest = serial
            return True
        age = self._highest - serial
        if age >= WINDOW or self._mask >> age & 1:
            return False
        self._mask |= 1 << age
        return True
