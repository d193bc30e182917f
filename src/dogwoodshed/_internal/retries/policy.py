"""Decide whether a failed call is sent again.

A call that did not run is moved to another upstream; a call that may have run is
repeated if it is idempotent.
"""

from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.retries.budget import ServiceBudgets
from dogwoodshed._internal.settings import Settings

REPEAT_SHARE = 0.1
REPEAT_RESERVE = 10
# Repeats of a call after the first one seldom help, and use up the budget of other
# calls.
MAX_REPEATS = 2
# The first move of a call is free. Further moves are limited by a budget, so that a
# call to a service whose upstreams all refuse is not sent to each of them.
FREE_MOVES = 1
MOVE_SHARE = 1.0
MOVE_RESERVE = 100
# Response statuses after which another upstream may succeed.
REPEATABLE_STATUSES = frozenset({500, 502, 503, 504})


class RetryPolicy:
    """Limit moves and repeats over all calls of one gateway."""

    def __init__(self, *, enabled: bool = True, bounded: bool = True) -> None:
        self._enabled = enabled
        self._bounded = bounded
        self._repeats = ServiceBudgets(REPEAT_SHARE, REPEAT_RESERVE)
        self._moves = ServiceBudgets(MOVE_SHARE, MOVE_RESERVE)

    @classmethod
    def from_settings(cls, settings: Settings) -> "RetryPolicy":
        """Create a policy; without the feature `retry_budget` it has no limits."""
        return cls(
            enabled=settings.is_enabled("retries"),
            bounded=settings.is_enabled("retry_budget"),
        )

    def record_call(self, call: Call) -> None:
        """Count a call, which increases the budgets of its service."""
        # Nested calls are not repeated, so they must not add to the budget either: in
        # a tree of six levels they would raise the share at the top from 10% to 60%.
        if call.depth == 0:
            self._repeats.for_service(call.service.name).deposit()
        self._moves.for_service(call.service.name).deposit()

    def allow_move(
        self, call: Call, moved: int, now: float, *, arrived: bool = True
    ) -> bool:
        """Allow or refuse another upstream for a call that did not run."""
        if not self._enabled or now >= call.deadline:
            return False
        return (
            moved < FREE_MOVES
            or not self._bounded
            or self._moves.for_service(call.service.name).try_withdraw()
        )

    def may_repeat(self, call: Call, repeated: int, now: float) -> bool:
        """Return whether a call that may have run could be sent again."""
        if not (self._enabled and call.idempotent) or now >= call.deadline:
            return False
        if repeated >= MAX_REPEATS:
            return False
        if not self._bounded:
            return True
        # Repeats of nested calls would multiply from level to level.
        return (
            call.depth == 0 and self._repeats.for_service(call.service.name).available
        )

    def allow_repeat(self, call: Call, repeated: int, now: float) -> bool:
        """Allow or refuse to send a call again that may have run."""
        if not self.may_repeat(call, repeated, now):
            return False
        return (
            self._repeats.for_service(call.service.name).try_withdraw()
            or not self._bounded
        )
