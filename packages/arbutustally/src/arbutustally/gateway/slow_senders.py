"""Slowest pace of a request that is accepted while memory is scarce.

Without scarcity only the timeout of the configuration applies.
"""

#: Longest silence inside a request, seconds.
SILENCE_S = 1.0
#: Time for the first bytes of a request, seconds.
GRACE_S = 1.0
#: Lowest rate after that time, bytes/s.
MIN_RATE = 16384.0


def is_too_slow(is_scarce: bool, elapsed_s: float, silent_s: float, received: int) -> bool:
    """Returns whether to reject a request that has not arrived completely.

    :param is_scarce: memory for requests is scarce.
    :param elapsed_s: time since the first byte of the request, seconds.
    :param silent_s: time since its last byte, seconds.
    :param received: bytes of the request so far.
    """
    if not is_scarce:
        return False
    return silent_s >= SILENCE_S or received < (elapsed_s - GRACE_S) * MIN_RATE
