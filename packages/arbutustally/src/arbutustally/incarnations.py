"""Order of the starts of one endpoint."""

import re

#: Unix time in milliseconds from 2001 to 2286. A random hexadecimal text of even length that happens
#: to have decimal digits only is not taken for one.
_UNIX_MS = re.compile(r"[1-9][0-9]{12}")
#: Incarnation of an entry that states none.
UNSTATED = ""
#: Longest number of a start, digits; a longer text is taken for an unordered one.
MAX_DIGITS = 32


def start_number(incarnation: str) -> int:
    """Returns the number of a start, 0 if the incarnation states none.

    :param incarnation: a decimal number increases from start to start; other texts have no order.
    """
    is_number = incarnation.isdecimal() and len(incarnation) <= MAX_DIGITS
    return int(incarnation) if is_number else 0


def is_earlier_start(incarnation: str, other: str) -> bool:
    """Returns whether a start is known to be earlier than another one.

    Starts of which either states no number are ordered by the arrival of their news only.
    """
    number, other_number = start_number(incarnation), start_number(other)
    return 0 < number < other_number


def lacks_start(incarnation: str, other: str) -> bool:
    """Returns whether an incarnation is unstated although the endpoint is known to state it.

    Such an entry is not the endpoint's own.

    :param other: incarnation that the endpoint stated.
    """
    return incarnation == UNSTATED and start_number(other) > 0


def is_earlier_timed_start(incarnation: str, other: str) -> bool:
    """Returns the same for incarnations that may be random texts; only Unix times are compared."""
    if _UNIX_MS.fullmatch(incarnation) is None or _UNIX_MS.fullmatch(other) is None:
        return False
    return is_earlier_start(incarnation, other)
