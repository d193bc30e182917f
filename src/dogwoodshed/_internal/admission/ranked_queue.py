"""Queue the calls of one service by rank, caller and deadline."""

import heapq
import itertools
from collections import Counter
from collections.abc import Sequence
from typing import Generic, TypeVar

from dogwoodshed._internal.configuration.model import Rank
from dogwoodshed._internal.proxy.call import Call

T = TypeVar("T")

# A rank may save up its floor for this many dispatches while it waits.
MOST_CREDIT = 2.0
# Ten times a floor of 0.1 adds up to slightly less than one.
ROUNDING = 1e-9


class Waiter(Generic[T]):
    """A queued call and what is needed to wake it."""

    __slots__ = ("_call", "_exclude", "_removed", "_token")

    def __init__(self, call: Call, token: T, exclude: frozenset[str]) -> None:
        self._call = call
        self._token = token
        self._exclude = exclude
        self._removed = True

    @property
    def call(self) -> Call:
        return self._call

    @property
    def token(self) -> T:
        return self._token

    @property
    def exclude(self) -> frozenset[str]:
        return self._exclude

    @property
    def removed(self) -> bool:
        return self._removed

    def mark_queued(self) -> None:
        """Note that the call stands in the queue."""
        self._removed = False

    def mark_removed(self) -> None:
        """Note that the call left the queue; its heap entry is passed over."""
        self._removed = True


class _RankQueue:
    """Calls of one rank in fair order.

    Each call gets a start tag, one above its caller's last and not below the tag
    served last (self-clocked fair queueing, Golestani 1994), so one caller's burst
    stands behind the first calls of the others. Equal tags go by deadline.
    """

    def __init__(self, floor_share: float) -> None:
        self._configured_floor = floor_share
        self._floor_share = floor_share
        self._credit = 0.0
        self._heap: list[tuple[int, float, int, Waiter]] = []
        self._numbers = itertools.count()
        self._served_tag = 0
        self._last_tags: dict[str, int] = {}
        self._by_caller: Counter[str] = Counter()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def is_owed(self) -> bool:
        """Tell whether the floor is owed a dispatch by now."""
        return self._credit + self._floor_share >= 1 - ROUNDING

    def scale_floor(self, factor: float) -> None:
        """Set the floor to a multiple of the configured one."""
        self._floor_share = self._configured_floor * factor

    def refund(self) -> None:
        """Take back the charge for a dispatch that brought no answer."""
        self._credit = min(MOST_CREDIT, self._credit + 1)

    def earn(self) -> None:
        """Add the floor's share of one dispatch."""
        self._credit = min(MOST_CREDIT, self._credit + self._floor_share)

    def spend(self) -> None:
        """Pay for one dispatch of this rank."""
        self._credit = max(0.0, self._credit - 1)

    def push(self, waiter: Waiter) -> None:
        waiter.mark_queued()
        caller = waiter.call.caller
        tag = max(self._served_tag, self._last_tags.get(caller, 0)) + 1
        self._last_tags[caller] = tag
        self._by_caller[caller] += 1
        self._length += 1
        entry = (tag, waiter.call.deadline, next(self._numbers), waiter)
        heapq.heappush(self._heap, entry)

    def pop(self) -> Waiter | None:
        while self._heap:
            tag, _, _, waiter = heapq.heappop(self._heap)
            if waiter.removed:
                continue
            self._served_tag = tag
            waiter.mark_removed()
            self.forget(waiter)
            return waiter
        return None

    def peek(self) -> Waiter | None:
        while self._heap and self._heap[0][3].removed:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def forget(self, waiter: Waiter) -> None:
        """Take a call out of the counts."""
        caller = waiter.call.caller
        self._length -= 1
        self._by_caller[caller] -= 1
        if not self._by_caller[caller]:
            del self._by_caller[caller]
            del self._last_tags[caller]

    def ahead_of(self, caller: str) -> int:
        """Estimate how many calls would be served before a new one."""
        fair = (self._by_caller[caller] + 1) * max(1, len(self._by_caller))
        return min(self._length, fair)

    def latest(self) -> Waiter | None:
        """Return the call with the latest deadline."""
        waiting = (entry[3] for entry in self._heap if not entry[3].removed)
        return max(waiting, key=lambda waiter: waiter.call.deadline, default=None)


class RankedQueue:
    """Calls that wait for a slot, the most urgent first, with a floor for each rank."""

    def __init__(self, ranks: Sequence[Rank], max_length: int) -> None:
        self._ranks = [_RankQueue(rank.floor_share) for rank in ranks]
        self._max_length = max_length
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def lengths(self) -> tuple[int, ...]:
        return tuple(len(rank) for rank in self._ranks)

    def push(self, waiter: Waiter) -> Waiter | None:
        """Add a call; return the one that must be refused if the queue is full."""
        self._ranks[waiter.call.rank].push(waiter)
        self._length += 1
        if len(self) <= self._max_length:
            return None
        victim = next(rank for rank in reversed(self._ranks) if len(rank)).latest()
        self.remove(victim)
        return victim

    def scale_floor(self, rank: int, factor: float) -> None:
        """Set the floor of a rank to a multiple of the configured one."""
        self._ranks[rank].scale_floor(factor)

    def refund(self, rank: int) -> None:
        """Take back the charge for a dispatch that brought no answer."""
        self._ranks[rank].refund()

    def pop(self) -> Waiter | None:
        """Take the next call."""
        position = self._next_rank()
        if position is None:
            return None
        for rank in self._ranks:
            if len(rank):
                rank.earn()
        self._ranks[position].spend()
        self._length -= 1
        return self._ranks[position].pop()

    def peek(self) -> Waiter | None:
        """Return the next call without taking it."""
        position = self._next_rank()
        return None if position is None else self._ranks[position].peek()

    def remove(self, waiter: Waiter) -> None:
        """Take a call out before its turn."""
        if not waiter.removed:
            waiter.mark_removed()
            self._length -= 1
            self._ranks[waiter.call.rank].forget(waiter)

    def ahead_of(self, call: Call) -> int:
        """Estimate how many calls of its rank would be served before a new call."""
        return self._ranks[call.rank].ahead_of(call.caller)

    def waiting_up_to(self, rank: int) -> int:
        """Count the calls that are at least as urgent as a rank."""
        return sum(len(queue) for queue in self._ranks[: rank + 1])

    def _next_rank(self) -> int | None:
        waiting = [i for i, rank in enumerate(self._ranks) if len(rank)]
        if not waiting:
            return None
        for position in waiting:
            if self._ranks[position].is_owed:
                return position
        return waiting[0]
