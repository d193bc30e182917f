"""Bound extra calls to a share of the traffic."""


class Budget:
    """Earn a share of a token with each call and spend a token on each extra one."""

    __slots__ = ("_reserve", "_share", "_tokens")

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        # Also the start, so that a quiet gateway can repeat its few calls.
        self._reserve = reserve
        self._tokens = reserve

    @property
    def available(self) -> bool:
        return self._tokens >= 1

    def set_reserve(self, reserve: float) -> None:
        """Change the most tokens that are kept."""
        self._reserve = reserve
        self._tokens = min(self._tokens, reserve)

    def deposit(self) -> None:
        """Count a call of the traffic."""
        tokens = self._tokens + self._share
        self._tokens = tokens if tokens < self._reserve else self._reserve

    def try_withdraw(self) -> bool:
        """Spend a token if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class ServiceBudgets:
    """Hold a budget for each service, so that one cannot spend another's."""

    def __init__(self, share: float, reserve: float) -> None:
        self._share = share
        self._reserve = reserve
        self._budgets: dict[str, Budget] = {}

    def set_reserve(self, reserve: float) -> None:
        """Change what may come on top, as the fleet grows or shrinks."""
        self._reserve = reserve
        for budget in self._budgets.values():
            budget.set_reserve(reserve)

    def of(self, service: str) -> Budget:
        """Return the budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = Budget(self._share, self._reserve)
        return budget
