"""Queue calls so that those that can still be answered on time go first."""

from collections.abc import Callable
from typing import NamedTuple

from dogwoodshed._internal.admission.ranked_queue import Waiter
from dogwoodshed._internal.proxy.call import Call

# A call counts as on time while at least this many mean service times are left. Nine in
# ten calls end within this; a machine that a noisy neighbour slows down for a moment
# takes longer than the mean.
ON_TIME_RESERVE_SERVICE_TIMES = 1.8
# The retry of a caller is queued if the expected wait is at most this share of the time
# left, since the caller will not try a third time.
CALLER_RETRY_WAIT_SHARE = 0.3
# A call with fewer service times than this until its deadline is not sent.
DEADLINE_RESERVE_SERVICE_TIMES = 1.0


class Backlog(NamedTuple):
    """The waiting calls of a service and the rate at which they are finished."""

    # Calls of all gateways that would be served before a new call.
    calls_ahead: int
    # Calls that all usable upstreams together finish per second.
    capacity: float

    @property
    def expected_wait(self) -> float:
        """Return the seconds until a new call is expected to get a slot."""
        return self.calls_ahead / self.capacity if self.capacity > 0 else float("inf")


def on_time_deadline(call: Call) -> float:
    """Return the time up to which a response counts as on time."""
    return call.arrived_at + call.kind.time_limit - call.prior_wait


def _is_late(call: Call, service_time: float, now: float) -> bool:
    return now + ON_TIME_RESERVE_SERVICE_TIMES * service_time > on_time_deadline(call)


def should_refuse(
    call: Call, service_time: float, backlog: Backlog, now: float
) -> bool:
    """Return whether to refuse a new call at once instead of queueing it.

    A queued call that cannot be answered on time would delay calls that can, and its
    caller gains more from an early retry than from a late refusal.
    """
    ready_at = now + backlog.expected_wait
    if ready_at + DEADLINE_RESERVE_SERVICE_TIMES * service_time > call.deadline:
        return True
    if ready_at + ON_TIME_RESERVE_SERVICE_TIMES * service_time <= on_time_deadline(
        call
    ):
        return False
    if call.is_caller_retry:
        return backlog.expected_wait > CALLER_RETRY_WAIT_SHARE * (call.deadline - now)
    return backlog.calls_ahead > 0


class OnTimeQueue:
    """Waiting calls of one service: on-time before late calls, by rank, by deadline.

    This matters when a service is at its limit for seconds: in a first-come queue every
    call would then wait until it is late.
    """

    def __init__(self, rank_count: int, max_length: int) -> None:
        self._waiters: list[Waiter] = []
        self._lengths = [0] * rank_count
        self._max_length = max_length

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def lengths(self) -> tuple[int, ...]:
        return tuple(self._lengths)

    def waiting_up_to(self, rank: int) -> int:
        """Return how many calls of a rank or a more urgent one wait."""
        return sum(self._lengths[: rank + 1])

    def push(self, waiter: Waiter) -> Waiter | None:
        """Add a call; if the queue is too long, return the call evicted from it."""
        waiter.mark_queued()
        self._waiters.append(waiter)
        self._lengths[waiter.call.rank] += 1
        if len(self._waiters) <= self._max_length:
            return None
        evicted = max(self._waiters, key=lambda w: (w.call.rank, w.call.deadline))
        self.remove(evicted)
        return evicted

    def remove(self, waiter: Waiter) -> None:
        """Remove a call; do nothing if it was removed before."""
        if not waiter.removed:
            waiter.mark_removed()
            self._waiters.remove(waiter)
            self._lengths[waiter.call.rank] -= 1

    def evict_unservable(
        self, service_time_of: Callable[[Call], float], now: float
    ) -> list[Waiter]:
        """Remove and return the calls to refuse instead of keeping them queued.

        These are calls that cannot meet their deadline and, while other calls can still
        be answered on time, late calls that are not retries of the caller.
        """
        late = [
            w for w in self._waiters if _is_late(w.call, service_time_of(w.call), now)
        ]
        others_on_time = len(late) < len(self._waiters)
        unservable = [
            waiter
            for waiter in late
            if (others_on_time and not waiter.call.is_caller_retry)
            or now + DEADLINE_RESERVE_SERVICE_TIMES * service_time_of(waiter.call)
            > waiter.call.deadline
        ]
        for waiter in unservable:
            self.remove(waiter)
        return unservable

    def ordered(
        self, service_time_of: Callable[[Call], float], now: float
    ) -> list[Waiter]:
        """Return the waiting calls in the order in which to serve them."""

        def key(waiter: Waiter) -> tuple[bool, int, float]:
            call = waiter.call
            late = _is_late(call, service_time_of(call), now)
            return late, call.rank, call.deadline if late else on_time_deadline(call)

        return sorted(self._waiters, key=key)
