"""Limit extra attempts to a share of the traffic."""


class RetryBudget:
    """Token bucket: each call adds a share of a token, each extra attempt costs one."""

    __slots__ = ("_reserve", "_share", "_tokens")

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        # Also the initial value, so that a gateway with few calls can repeat them.
        self._reserve = reserve
        self._tokens = reserve

    @property
    def available(self) -> bool:
        return self._tokens >= 1

    def set_reserve(self, reserve: float) -> None:
        """Change the maximum number of tokens."""
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def deposit(self) -> None:
        """Add the share of a token for one call."""
        tokens = self._tokens + self._share
        self._tokens = tokens if tokens < self._reserve else self._reserve

    def try_withdraw(self) -> bool:
        """Spend a token; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ServiceBudgets:
    """One budget for each service, so that none can exhaust that of another."""

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._budgets: dict[str, RetryBudget] = {}

    def set_reserve(self, reserve: float) -> None:
        """Change the maximum number of tokens of every service."""
        self._reserve = reserve
        for budget in self._budgets.values():
            budget.set_reserve(reserve)

    def for_service(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RetryBudget(self._share, self._reserve)
        return budget
