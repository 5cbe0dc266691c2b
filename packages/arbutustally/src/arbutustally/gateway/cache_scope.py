"""Scope of cached prompt parts: a request finds parts that were made under its own scope only.

Accounts that are not isolated share a scope, which names the set of isolated accounts. Under it, no
account of that set has ever made a part, so the parts that an account made before it became isolated
are out of reach of the others at once, at every node that knows the configuration. A node whose
configuration may have been replaced gives each account a scope of its own.
"""

from collections.abc import Iterable
from hashlib import blake2b

from arbutustally.gateway.configuration import ClientAccount, Configuration

EPOCH_BYTES = 8
#: Epoch of requests without an account that share with each other only; no digest is as short.
NO_ACCOUNT_EPOCH = "0"


def isolation_epoch(isolated: Iterable[str]) -> str:
    """Returns a text that differs between sets of isolated accounts, ``""`` for the empty set.

    :param isolated: names of the accounts.
    """
    names = sorted(set(isolated))
    if not names:
        return ""
    digest = blake2b(digest_size=EPOCH_BYTES)
    for name in names:
        encoded = name.encode()
        # The length prevents that two sets of names have the same bytes.
        digest.update(b"%d:%s" % (len(encoded), encoded))
    return digest.hexdigest()


def cache_scope(
    version: int,
    account: ClientAccount | None,
    configuration: Configuration,
    isolated: Iterable[str],
    is_current: bool = True,
) -> str:
    """Returns the scope of a request's cached parts.

    :param version: version of the weights.
    :param account: account of the request, ``None`` without one.
    :param configuration: configuration in force, which decides whether the account is isolated; the
        account itself may stem from the older one under which the request began.
    :param isolated: names of all accounts that count as isolated, see ``IsolationHistory``.
    :param is_current: whether this node would know a configuration that replaced this one. Any
        account may be isolated otherwise.
    """
    if account is not None:
        account = configuration.accounts.get(account.name, account)
        if account.is_isolated or not is_current:
            return f"{version}.{account.name}"
    if not is_current:
        return f"{version}-{NO_ACCOUNT_EPOCH}."
    epoch = isolation_epoch(isolated)
    return f"{version}-{epoch}." if epoch else f"{version}."
