"""Bound further attempts by a budget that the whole fleet shares."""

from collections.abc import Callable

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.retries.hedges import HedgePolicy
from dogwoodshed._internal.retries.policy import RetryPolicy
from dogwoodshed._internal.retries.window import WindowCount
from dogwoodshed._internal.settings import RetrySettings

# Gateways count in windows of their own, which do not end together, and a restarted one
# has forgotten what it spent.
BUDGET_USED = 0.9
# The caller of a refused first try comes back and is a first arrival again; one that
# came back before is lost, so that first tries leave a part of the budget.
FIRST_TRY_SHARE = 0.7
# Nine calls in ten on an unburdened upstream end within this many service times.
HEDGE_SERVICE_TIMES = 1.45
# What a hedge itself needs to be in time, and the earliest that one is worth its load.
HEDGE_RESERVE_SERVICE_TIMES = 1.25
LEAST_HEDGE_SERVICE_TIMES = 1.15


class _ServiceCounts:
    """The calls of one service, and what came beyond their first arrivals."""

    __slots__ = ("calls", "extra")

    def __init__(self, window: float) -> None:
        self.calls = WindowCount(window)
        self.extra = WindowCount(window)


class FleetRetryBudget:
    """Hold this gateway's share of what a service may get beyond first arrivals.

    It counts over the users' window: a bucket that holds little at a time wastes what
    quiet seconds earn, and a gateway of a large fleet sees its failures in bursts.
    """

    def __init__(self, settings: RetrySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._reserve = 0.0
        self._counts: dict[str, _ServiceCounts] = {}
        self.set_fleet_size(1)

    def set_fleet_size(self, size: int) -> None:
        """Divide the reserve among more or fewer gateways."""
        self._reserve = self._settings.reserve * BUDGET_USED / max(1, size)

    def deposit(self, call: Call) -> None:
        """Count a call of the traffic."""
        self._of(call).calls.add(self._clock.monotonic())

    def available(self, call: Call) -> bool:
        """Tell whether one more arrival is allowed."""
        counts = self._of(call)
        now = self._clock.monotonic()
        share = self._settings.ratio * BUDGET_USED * counts.calls.total(now)
        allowed = share + self._reserve
        if not call.is_caller_retry:
            allowed *= FIRST_TRY_SHARE
        return counts.extra.total(now) + 1 <= allowed

    def try_withdraw(self, call: Call) -> bool:
        """Spend one arrival if it is allowed."""
        if not self.available(call):
            return False
        self._of(call).extra.add(self._clock.monotonic())
        return True

    def _of(self, call: Call) -> _ServiceCounts:
        name = call.service.name
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = _ServiceCounts(self._settings.window_s)
        return counts


class FleetRetryPolicy(RetryPolicy):
    """Allow another attempt within the fleet's budget and the kind's bound."""

    def __init__(
        self, budget: FleetRetryBudget, expected_service_time: Callable[[Call], float]
    ) -> None:
        super().__init__()
        self._budget = budget
        self._expected_service_time = expected_service_time

    def record_call(self, call: Call) -> None:
        """Count a call of the traffic."""
        self._budget.deposit(call)

    def allow_move(
        self, call: Call, moved: int, now: float, *, arrived: bool = True
    ) -> bool:
        """Allow or refuse to move a call that certainly did not run."""
        if not self._has_time(call, now):
            return False
        # What never reached an upstream is no arrival there.
        return not arrived or (
            call.has_attempts_left and self._budget.try_withdraw(call)
        )

    def may_repeat(self, call: Call, repeated: int, now: float) -> bool:
        """Tell whether a call that may have run could be sent again."""
        return (
            call.idempotent
            and call.has_attempts_left
            and self._has_time(call, now)
            and self._budget.available(call)
        )

    def allow_repeat(self, call: Call, repeated: int, now: float) -> bool:
        """Allow or refuse to send a call that may have run again."""
        return self.may_repeat(call, repeated, now) and self._budget.try_withdraw(call)

    def _has_time(self, call: Call, now: float) -> bool:
        return now + self._expected_service_time(call) < call.deadline


class FleetHedgePolicy(HedgePolicy):
    """Send a second attempt when the first takes longer than the work explains."""

    def __init__(
        self,
        budget: FleetRetryBudget,
        expected_service_time: Callable[[Call], float],
        has_waiting_calls: Callable[[Call], bool],
    ) -> None:
        super().__init__()
        self._budget = budget
        self._expected_service_time = expected_service_time
        self._has_waiting_calls = has_waiting_calls

    def record_call(self, call: Call) -> None:
        """Leave the counting to the retry policy, which shares the budget."""

    def observe(self, call: Call, elapsed: float) -> None:
        """Leave the service times to the router."""

    def p95(self, call: Call) -> float | None:
        """Let attempts run to their deadline; a hedge covers the silent ones."""
        return call.kind.deadline

    def delay(self, call: Call) -> float | None:
        """Return how long to wait before a hedge, or None for no hedge."""
        if not (call.idempotent and call.has_attempts_left):
            return None
        work = self._expected_service_time(call)
        waited = 0.0
        if call.dispatched_at is not None:
            waited = call.dispatched_at - call.arrived_at
        to_aim = call.kind.time_limit - call.prior_wait - waited
        in_time = to_aim - HEDGE_RESERVE_SERVICE_TIMES * work
        return max(
            LEAST_HEDGE_SERVICE_TIMES * work, min(HEDGE_SERVICE_TIMES * work, in_time)
        )

    def allow_hedge(self, call: Call) -> bool:
        """Allow or refuse one hedge."""
        # While calls wait, a slot does more for one of them than for a hedge.
        if self._has_waiting_calls(call):
            return False
        return call.has_attempts_left and self._budget.try_withdraw(call)
