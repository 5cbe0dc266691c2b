"""Grants: an account's tokens that a node may use until a deadline, and reports of their use."""

from dataclasses import dataclass, replace

#: Clocks of two nodes may differ in rate by this fraction; a holder shortens the lifetime of its
#: grants by it.
CLOCK_RATE_MARGIN = 0.01


@dataclass(frozen=True)
class Grant:
    """Tokens that a node may use until a deadline.

    :ivar grant_id: unique among all grants of the fleet.
    :ivar until: deadline on the clock of the process that holds this object, seconds.
    :ivar epoch: lease epoch of the issuer, or offset of the share slot.
    """

    grant_id: str
    account: str
    holder: str
    tokens: float
    until: float
    epoch: int


@dataclass(frozen=True)
class UsageReport:
    """A holder's usage report on one grant, sent to its issuer.

    :ivar spent: tokens used since the last report; these cannot return.
    :ivar closed: the holder will use no more tokens of the grant.
    :ivar unused: tokens returned to the issuer if ``closed``.
    """

    grant_id: str
    spent: float
    closed: bool = False
    unused: float = 0.0


def grant_for_receiver(grant: Grant, lifetime_s: float, sent_at: float) -> Grant:
    """Returns a grant with its deadline on the receiver's clock.

    :param lifetime_s: time from issue to deadline on the issuer's clock.
    :param sent_at: when the receiver sent its request, on the receiver's clock; the grant was
        issued later, so the receiver's deadline is earlier than the issuer's.
    """
    return replace(grant, until=sent_at + lifetime_s * (1 - CLOCK_RATE_MARGIN))
