"""Limit extra attempts by a budget that the whole fleet shares."""

from collections.abc import Callable

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.retries.hedges import HedgePolicy
from dogwoodshed._internal.retries.policy import RetryPolicy
from dogwoodshed._internal.retries.window import SlidingWindowCounter
from dogwoodshed._internal.settings import RetrySettings

# Only this share of the budget is used, since the windows of gateways are not aligned
# and a restarted gateway has lost its counts.
USED_BUDGET_SHARE = 0.9
# Share of the budget for calls whose caller has not retried yet. Such a caller retries
# a refused call, which is then a first arrival again. If the caller has retried before,
# a refused call is lost, so the rest of the budget is kept for those calls.
FIRST_TRY_SHARE = 0.7
# A hedge starts after this many service times at the latest; nine of ten calls to an
# unloaded upstream end within them.
MAX_HEDGE_SERVICE_TIMES = 1.45
# Service times before the on-time deadline at which a hedge still responds on time.
HEDGE_RESERVE_SERVICE_TIMES = 1.25
# A hedge starts after this many service times at the earliest; before that it is not
# worth its load.
MIN_HEDGE_SERVICE_TIMES = 1.15


class _ServiceCounts:
    """Calls of one service, and arrivals at upstreams beyond the first of each call.

    An arrival is an attempt that reached an upstream.
    """

    __slots__ = ("calls", "extra_arrivals")

    def __init__(self, window: float) -> None:
        self.calls = SlidingWindowCounter(window)
        self.extra_arrivals = SlidingWindowCounter(window)


class FleetRetryBudget:
    """This gateway's share of the budget for arrivals beyond the first of each call.

    Counts over the window in which the users measure the limit. A token bucket with a
    small capacity would lose the tokens of idle seconds, while a gateway of a large
    fleet sees failures in bursts.
    """

    def __init__(
        self, settings: RetrySettings, clock: Clock, *, min_fleet_size: int = 1
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._min_fleet_size = min_fleet_size
        self._reserve = 0.0
        self._counts: dict[str, _ServiceCounts] = {}
        self.set_fleet_size(1)

    def set_fleet_size(self, size: int) -> None:
        """Set this gateway's share of the reserve from the number of gateways."""
        size = max(1, self._min_fleet_size, size)
        self._reserve = self._settings.reserve * USED_BUDGET_SHARE / size

    def deposit(self, call: Call) -> None:
        """Count a call, which increases the budget."""
        self._counts_of(call).calls.add(self._clock.monotonic())

    def available(self, call: Call) -> bool:
        """Return whether one more arrival is allowed."""
        counts = self._counts_of(call)
        now = self._clock.monotonic()
        share = self._settings.ratio * USED_BUDGET_SHARE * counts.calls.total(now)
        allowed = share + self._reserve
        if not call.is_caller_retry:
            allowed *= FIRST_TRY_SHARE
        return counts.extra_arrivals.total(now) + 1 <= allowed

    def try_withdraw(self, call: Call) -> bool:
        """Count one more arrival; return False if the budget does not allow it."""
        if not self.available(call):
            return False
        self._counts_of(call).extra_arrivals.add(self._clock.monotonic())
        return True

    def _counts_of(self, call: Call) -> _ServiceCounts:
        name = call.service.name
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = _ServiceCounts(self._settings.window_s)
        return counts


class FleetRetryPolicy(RetryPolicy):
    """Allow attempts within the budget of the fleet and the limit of the kind."""

    def __init__(
        self, budget: FleetRetryBudget, expected_service_time: Callable[[Call], float]
    ) -> None:
        super().__init__()
        self._budget = budget
        self._expected_service_time = expected_service_time

    def record_call(self, call: Call) -> None:
        """Count a call, which increases the budget."""
        self._budget.deposit(call)

    def allow_move(
        self, call: Call, moved: int, now: float, *, arrived: bool = True
    ) -> bool:
        """Allow or refuse another upstream for a call that did not run."""
        if not self._has_time(call, now):
            return False
        # An attempt that never reached an upstream does not count as an arrival.
        return not arrived or (
            call.has_attempts_left and self._budget.try_withdraw(call)
        )

    def may_repeat(self, call: Call, repeated: int, now: float) -> bool:
        """Return whether a call that may have run could be sent again."""
        return (
            call.idempotent
            and call.has_attempts_left
            and self._has_time(call, now)
            and self._budget.available(call)
        )

    def allow_repeat(self, call: Call, repeated: int, now: float) -> bool:
        """Allow or refuse to send a call again that may have run."""
        return self.may_repeat(call, repeated, now) and self._budget.try_withdraw(call)

    def _has_time(self, call: Call, now: float) -> bool:
        return now + self._expected_service_time(call) < call.deadline


class FleetHedgePolicy(HedgePolicy):
    """Hedge a call when its first attempt takes longer than the service time."""

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
        """Do nothing: the retry policy counts the call in the shared budget."""

    def observe(self, call: Call, elapsed: float) -> None:
        """Do nothing: the router estimates service times."""

    def p95(self, call: Call) -> float | None:
        """Return the deadline instead of a percentile; attempts may run until then.

        A hedge covers attempts without a response.
        """
        return call.kind.deadline

    def delay(self, call: Call) -> float | None:
        """Return the delay before a hedge, or None for no hedge."""
        if not (call.idempotent and call.has_attempts_left):
            return None
        service_time = self._expected_service_time(call)
        queue_time = 0.0
        if call.dispatched_at is not None:
            queue_time = call.dispatched_at - call.arrived_at
        time_to_on_time_deadline = call.kind.time_limit - call.prior_wait - queue_time
        latest_delay = (
            time_to_on_time_deadline - HEDGE_RESERVE_SERVICE_TIMES * service_time
        )
        return max(
            MIN_HEDGE_SERVICE_TIMES * service_time,
            min(MAX_HEDGE_SERVICE_TIMES * service_time, latest_delay),
        )

    def allow_hedge(self, call: Call) -> bool:
        """Allow or refuse one hedge."""
        # While calls wait, a free slot is more useful to one of them than to a hedge.
        if self._has_waiting_calls(call):
            return False
        return call.has_attempts_left and self._budget.try_withdraw(call)
