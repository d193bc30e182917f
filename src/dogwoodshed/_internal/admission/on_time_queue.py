"""Queue calls so that those go first whose answers can still come in time."""

from collections.abc import Callable
from typing import NamedTuple

from dogwoodshed._internal.admission.ranked_queue import Waiter
from dogwoodshed._internal.proxy.call import Call

# A call counts as in time while this many service times are left: a machine that a
# neighbour slows down for a moment takes longer than the mean, and nine in ten calls
# end within this.
ON_TIME_SERVICE_TIMES = 1.8
# A caller that was turned away before is kept while it waits for less than this share
# of the time that it has left, since it will not come a third time.
RETURNING_WAIT_SHARE = 0.3
# Below this many service times before its deadline a call is not worth a slot.
LAST_SERVICE_TIMES = 1.0


class Pressure(NamedTuple):
    """How much work waits for a service, and how fast it is done."""

    # Calls of all gateways that would be served before a new one.
    ahead: int
    # Calls a second that all usable upstreams together finish.
    capacity: float

    @property
    def wait(self) -> float:
        """Return the expected seconds until a new call gets a slot."""
        return self.ahead / self.capacity if self.capacity > 0 else float("inf")


def aim(call: Call) -> float:
    """Return when the answer of a call must be there to count as in time."""
    return call.arrived_at + call.kind.time_limit - call.prior_wait


def _is_late(call: Call, work: float, now: float) -> bool:
    return now + ON_TIME_SERVICE_TIMES * work > aim(call)


def should_refuse(call: Call, work: float, pressure: Pressure, now: float) -> bool:
    """Tell whether a new call is better refused at once than made to wait.

    A call that would wait beyond its aim would take the turn of one that need not, and
    its caller has more from another try than from a late refusal.
    """
    ready_at = now + pressure.wait
    if ready_at + LAST_SERVICE_TIMES * work > call.deadline:
        return True
    if ready_at + ON_TIME_SERVICE_TIMES * work <= aim(call):
        return False
    if call.is_caller_retry:
        return pressure.wait > RETURNING_WAIT_SHARE * (call.deadline - now)
    return pressure.ahead > 0


class OnTimeQueue:
    """Waiting calls of one service: in time before late, by rank, by aim.

    The load that it answers is a service at its limit for seconds: with a queue by
    arrival every call then waits until it is late.
    """

    def __init__(self, ranks: int, max_length: int) -> None:
        self._waiters: list[Waiter] = []
        self._lengths = [0] * ranks
        self._max_length = max_length

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def lengths(self) -> tuple[int, ...]:
        return tuple(self._lengths)

    def waiting_up_to(self, rank: int) -> int:
        """Count the calls that are at least as urgent as a rank."""
        return sum(self._lengths[: rank + 1])

    def push(self, waiter: Waiter) -> Waiter | None:
        """Add a call; return the one that must be refused if the queue is full."""
        waiter.mark_queued()
        self._waiters.append(waiter)
        self._lengths[waiter.call.rank] += 1
        if len(self._waiters) <= self._max_length:
            return None
        victim = max(self._waiters, key=lambda w: (w.call.rank, w.call.deadline))
        self.remove(victim)
        return victim

    def remove(self, waiter: Waiter) -> None:
        """Take a call out."""
        if not waiter.removed:
            waiter.mark_removed()
            self._waiters.remove(waiter)
            self._lengths[waiter.call.rank] -= 1

    def take_hopeless(
        self, work_of: Callable[[Call], float], now: float
    ) -> list[Waiter]:
        """Remove and return the calls that are better refused than kept waiting.

        These are the calls whose deadline cannot be met, and, while others can still
        be answered in time, those that cannot.
        """
        late = [w for w in self._waiters if _is_late(w.call, work_of(w.call), now)]
        crowded = len(late) < len(self._waiters)
        hopeless = [
            waiter
            for waiter in late
            if (crowded and not waiter.call.is_caller_retry)
            or now + LAST_SERVICE_TIMES * work_of(waiter.call) > waiter.call.deadline
        ]
        for waiter in hopeless:
            self.remove(waiter)
        return hopeless

    def ordered(self, work_of: Callable[[Call], float], now: float) -> list[Waiter]:
        """Return the waiting calls, the next one first."""

        def key(waiter: Waiter) -> tuple[bool, int, float]:
            call = waiter.call
            late = _is_late(call, work_of(call), now)
            return late, call.rank, call.deadline if late else aim(call)

        return sorted(self._waiters, key=key)
