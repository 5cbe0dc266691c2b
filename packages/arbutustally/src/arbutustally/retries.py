"""Retry budget: retries may be only a fraction of the work that succeeds."""

from collections import OrderedDict

#: Retries earned by one success.
RETRY_FRACTION = 0.1
#: One engine may break about this many streams of a node at once, and each continuation counts.
NODE_RESERVE = 64.0
ACCOUNT_RESERVE = 32.0
MAX_ACCOUNTS = 16384


class RetryBudget:
    """Balance of retries for the node and for each account.

    :param fraction: retries earned by one success.
    :param node_reserve: largest and first balance of the node.
    :param account_reserve: largest and first balance of an account.
    """

    def __init__(self, fraction: float, node_reserve: float, account_reserve: float) -> None:
        self._fraction = fraction
        self._node_reserve = node_reserve
        self._account_reserve = account_reserve
        self._node = node_reserve
        self._accounts: OrderedDict[str, float] = OrderedDict()

    @classmethod
    def from_config(
        cls,
        fraction: float = RETRY_FRACTION,
        node_reserve: float = NODE_RESERVE,
        account_reserve: float = ACCOUNT_RESERVE,
    ) -> "RetryBudget":
        """Builds a budget with full balances."""
        return cls(fraction, node_reserve, account_reserve)

    def allow(self, account: str) -> bool:
        """Takes one retry from both balances if both have one."""
        balance = self._accounts.get(account, self._account_reserve)
        if self._node < 1 or balance < 1:
            return False
        self._node -= 1
        self._set(account, balance - 1)
        return True

    def succeeded(self, account: str) -> None:
        """Earns a fraction of a retry for both balances."""
        self._node = min(self._node_reserve, self._node + self._fraction)
        balance = self._accounts.get(account)
        if balance is not None:
            self._set(account, balance + self._fraction)

    def _set(self, account: str, balance: float) -> None:
        if balance >= self._account_reserve:
            self._accounts.pop(account, None)
            return
        self._accounts[account] = balance
        self._accounts.move_to_end(account)
        if len(self._accounts) > MAX_ACCOUNTS:
            self._accounts.popitem(last=False)
