"""Delays that double with each repetition up to a limit."""

#: Doublings after which every delay has reached its limit. The count of repetitions has none, and
#: the power of a larger one exceeds the numbers.
MAX_DOUBLINGS = 40


def doubled_delay_s(first_s: float, repetitions: int, longest_s: float) -> float:
    """Returns a delay in seconds.

    :param first_s: delay before any repetition, seconds.
    :param repetitions: how often it has doubled.
    :param longest_s: limit, seconds.
    """
    return min(first_s * 2 ** min(repetitions, MAX_DOUBLINGS), longest_s)
