"""Decide whether a call that failed is sent again."""

from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.retries.budget import ServiceBudgets
from dogwoodshed._internal.settings import Settings

REPEAT_SHARE = 0.1
REPEAT_RESERVE = 10
# More than one repeat of a call seldom helps and takes budget from other calls.
MAX_REPEATS = 2
# The first move of a call is free. Further ones cost a budget, so that a service that
# refuses everywhere is not asked once per upstream for each call.
FREE_MOVES = 1
MOVE_SHARE = 1.0
MOVE_RESERVE = 100
# Statuses that another upstream may not give.
REPEATABLE_STATUSES = frozenset({500, 502, 503, 504})


class RetryPolicy:
    """Bound moves and repeats over all calls of one gateway."""

    def __init__(self, *, enabled: bool = True, bounded: bool = True) -> None:
        self._enabled = enabled
        self._bounded = bounded
        self._repeats = ServiceBudgets(REPEAT_SHARE, REPEAT_RESERVE)
        self._moves = ServiceBudgets(MOVE_SHARE, MOVE_RESERVE)

    @classmethod
    def from_settings(cls, settings: Settings) -> "RetryPolicy":
        """Create a policy; the feature `retry_budget` takes the bounds away."""
        return cls(
            enabled=settings.is_enabled("retries"),
            bounded=settings.is_enabled("retry_budget"),
        )

    def record_call(self, call: Call) -> None:
        """Count a call of the traffic."""
        # Nested calls are not repeated, so they must not pay for repeats either: in a
        # tree of six levels they would raise the share of the top from 10% to 60%.
        if call.depth == 0:
            self._repeats.of(call.service.name).deposit()
        self._moves.of(call.service.name).deposit()

    def allow_move(
        self, call: Call, moved: int, now: float, *, arrived: bool = True
    ) -> bool:
        """Allow or refuse to move a call that certainly did not run."""
        if not self._enabled or now >= call.deadline:
            return False
        return (
            moved < FREE_MOVES
            or not self._bounded
            or self._moves.of(call.service.name).try_withdraw()
        )

    def may_repeat(self, call: Call, repeated: int, now: float) -> bool:
        """Tell whether a call that may have run could be sent again."""
        if not (self._enabled and call.idempotent) or now >= call.deadline:
            return False
        if repeated >= MAX_REPEATS:
            return False
        if not self._bounded:
            return True
        # Below the top, the repeats of each level would multiply.
        return call.depth == 0 and self._repeats.of(call.service.name).available

    def allow_repeat(self, call: Call, repeated: int, now: float) -> bool:
        """Allow or refuse to send a call that may have run again."""
        if not self.may_repeat(call, repeated, now):
            return False
        return self._repeats.of(call.service.name).try_withdraw() or not self._bounded
