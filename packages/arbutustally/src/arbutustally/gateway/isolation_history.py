"""Client accounts that were isolated at some time.

The operator may remove an account while it is isolated. Engines and part stores still hold what it
made, also parts from before its isolation, so the account counts as isolated from then on.
"""

from secrets import token_hex

from arbutustally.gateway.configuration import Configuration

#: Random bytes of the name that stands for accounts not yet known.
UNKNOWN_BYTES = 8
#: Accounts that are remembered; the one that was learned first is forgotten beyond that.
MAX_ACCOUNTS = 1024


class IsolationHistory:
    """Names of the accounts that were isolated, as far as one node knows them.

    The set only grows, so nodes may merge their sets in any order.
    """

    def __init__(self) -> None:
        self._names: dict[str, None] = {}
        self._is_complete = False
        # No account has this name: an account's name is printable.
        self._unknown = f"\0{token_hex(UNKNOWN_BYTES)}"

    @property
    def names(self) -> tuple[str, ...]:
        """Returns the names, in the order in which they became known."""
        return tuple(self._names)

    @property
    def is_complete(self) -> bool:
        """Returns whether the accounts that were isolated before this node started are known."""
        return self._is_complete

    def complete(self) -> None:
        """Records that all accounts that were isolated before this node started are known."""
        self._is_complete = True

    def add(self, name: str) -> None:
        """Adds an account that is or was isolated."""
        self._names.setdefault(name)
        if len(self._names) > MAX_ACCOUNTS:
            del self._names[next(iter(self._names))]

    def observe(self, configuration: Configuration) -> None:
        """Adds the isolated accounts of a configuration."""
        for account in configuration.accounts.values():
            if account.is_isolated:
                self.add(account.name)

    def removed(self, configuration: Configuration) -> tuple[str, ...]:
        """Returns the accounts that a configuration no longer has, and so still count as isolated.

        An account that it has decides by its own field whether it is isolated.
        """
        return tuple(name for name in self._names if name not in configuration.accounts)

    def isolated(self, configuration: Configuration) -> tuple[str, ...]:
        """Returns all accounts that count as isolated under a configuration.

        While the history is incomplete, one name stands for the accounts that were removed while
        isolated. It differs between nodes, so such a node shares cached parts with no other node.
        """
        current = (one.name for one in configuration.accounts.values() if one.is_isolated)
        unknown = () if self._is_complete else (self._unknown,)
        return (*current, *self.removed(configuration), *unknown)
