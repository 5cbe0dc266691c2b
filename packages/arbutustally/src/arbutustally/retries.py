"""Retry budget: limits retries to a fraction of the successful requests."""

from collections import OrderedDict

#: Retries credited for one success.
RETRY_FRACTION = 0.1
#: About as many streams of a node as one failing engine can break at once; each continuation
#: counts as a retry.
NODE_RESERVE = 64.0
ACCOUNT_RESERVE = 32.0
MAX_ACCOUNTS = 16384


class RetryBudget:
    """Balance of retries for the node and for each account.

    :param fraction: retries credited for one success.
    :param node_reserve: initial and largest balance of the node.
    :param account_reserve: initial and largest balance of an account.
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
        """Deducts one retry from both balances and returns whether both had one."""
        balance = self._accounts.get(account, self._account_reserve)
        if self._node < 1 or balance < 1:
            return False
        self._node -= 1
        self._set(account, balance - 1)
        return True

    def record_success(self, account: str) -> None:
        """Credits both balances with a fraction of a retry."""
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
