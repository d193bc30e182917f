"""Queue the calls of one service by rank, caller and deadline."""

import heapq
import itertools
from collections import Counter
from collections.abc import Sequence
from typing import Generic, TypeVar

from dogwoodshed._internal.configuration.model import Rank
from dogwoodshed._internal.proxy.call import Call

T = TypeVar("T")

# The credit that a rank may accumulate from its floor, in dispatches.
MAX_CREDIT = 2.0
# Ten times a floor of 0.1 adds up to slightly less than one in floating point.
ROUNDING_TOLERANCE = 1e-9


class Waiter(Generic[T]):
    """A queued call with the token that its owner waits on."""

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
        """Mark the call as queued."""
        self._removed = False

    def mark_removed(self) -> None:
        """Mark the call as removed; a heap entry that it still has is skipped."""
        self._removed = True


class _RankQueue:
    """Calls of one rank, queued fairly between callers.

    Each call gets a tag that is one above the larger of its caller's last tag and the
    tag served last (self-clocked fair queueing, Golestani 1994), so that a burst of one
    caller is served after the first calls of the others. Equal tags are served by
    deadline.
    """

    def __init__(self, floor_share: float) -> None:
        self._configured_floor = floor_share
        self._floor_share = floor_share
        self._credit = 0.0
        self._heap: list[tuple[int, float, int, Waiter]] = []
        self._sequence = itertools.count()
        self._served_tag = 0
        self._last_tags: dict[str, int] = {}
        self._count_by_caller: Counter[str] = Counter()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def is_owed(self) -> bool:
        """Return whether the floor entitles this rank to the next dispatch."""
        return self._credit + self._floor_share >= 1 - ROUNDING_TOLERANCE

    def scale_floor(self, factor: float) -> None:
        """Set the floor to a multiple of the configured floor."""
        self._floor_share = self._configured_floor * factor

    def refund(self) -> None:
        """Restore the credit for a dispatch that got no response."""
        self._credit = min(MAX_CREDIT, self._credit + 1)

    def earn(self) -> None:
        """Add the share of one dispatch that the floor reserves."""
        self._credit = min(MAX_CREDIT, self._credit + self._floor_share)

    def spend(self) -> None:
        """Subtract one dispatch of this rank from its credit."""
        self._credit = max(0.0, self._credit - 1)

    def push(self, waiter: Waiter) -> None:
        waiter.mark_queued()
        caller = waiter.call.caller
        tag = max(self._served_tag, self._last_tags.get(caller, 0)) + 1
        self._last_tags[caller] = tag
        self._count_by_caller[caller] += 1
        self._length += 1
        entry = (tag, waiter.call.deadline, next(self._sequence), waiter)
        heapq.heappush(self._heap, entry)

    def pop(self) -> Waiter | None:
        while self._heap:
            tag, _, _, waiter = heapq.heappop(self._heap)
            if waiter.removed:
                continue
            self._served_tag = tag
            waiter.mark_removed()
            self.decrement_counts(waiter)
            return waiter
        return None

    def peek(self) -> Waiter | None:
        while self._heap and self._heap[0][3].removed:
            heapq.heappop(self._heap)
        return self._heap[0][3] if self._heap else None

    def decrement_counts(self, waiter: Waiter) -> None:
        """Remove a call from the counts."""
        caller = waiter.call.caller
        self._length -= 1
        self._count_by_caller[caller] -= 1
        if not self._count_by_caller[caller]:
            del self._count_by_caller[caller]
            del self._last_tags[caller]

    def count_ahead_of(self, caller: str) -> int:
        """Estimate how many calls would be served before a new call of a caller."""
        fair_position = (self._count_by_caller[caller] + 1) * max(
            1, len(self._count_by_caller)
        )
        return min(self._length, fair_position)

    def find_latest_deadline(self) -> Waiter | None:
        """Return the waiting call with the latest deadline."""
        waiting = (entry[3] for entry in self._heap if not entry[3].removed)
        return max(waiting, key=lambda waiter: waiter.call.deadline, default=None)


class RankedQueue:
    """Calls that wait for a slot, the most urgent first, with a floor per rank.

    The floor of a rank is the share of the dispatches that is reserved for it while it
    has waiting calls.
    """

    def __init__(self, ranks: Sequence[Rank], max_length: int) -> None:
        self._queues = [_RankQueue(rank.floor_share) for rank in ranks]
        self._max_length = max_length
        self._length = 0

    def __len__(self) -> int:
        return self._length

    @property
    def lengths(self) -> tuple[int, ...]:
        return tuple(len(queue) for queue in self._queues)

    def push(self, waiter: Waiter) -> Waiter | None:
        """Add a call; if the queue is too long, return the call evicted from it."""
        self._queues[waiter.call.rank].push(waiter)
        self._length += 1
        if len(self) <= self._max_length:
            return None
        evicted = next(
            queue for queue in reversed(self._queues) if len(queue)
        ).find_latest_deadline()
        self.remove(evicted)
        return evicted

    def scale_floor(self, rank: int, factor: float) -> None:
        """Set the floor of a rank to a multiple of the configured floor."""
        self._queues[rank].scale_floor(factor)

    def refund(self, rank: int) -> None:
        """Restore the credit of a rank for a dispatch that got no response."""
        self._queues[rank].refund()

    def pop(self) -> Waiter | None:
        """Remove and return the next call."""
        rank = self._next_rank()
        if rank is None:
            return None
        for queue in self._queues:
            if len(queue):
                queue.earn()
        self._queues[rank].spend()
        self._length -= 1
        return self._queues[rank].pop()

    def peek(self) -> Waiter | None:
        """Return the next call without removing it."""
        rank = self._next_rank()
        return None if rank is None else self._queues[rank].peek()

    def remove(self, waiter: Waiter) -> None:
        """Remove a call; do nothing if it was removed before."""
        if not waiter.removed:
            waiter.mark_removed()
            self._length -= 1
            self._queues[waiter.call.rank].decrement_counts(waiter)

    def count_ahead_of(self, call: Call) -> int:
        """Estimate how many calls of the same rank would be served first."""
        return self._queues[call.rank].count_ahead_of(call.caller)

    def waiting_up_to(self, rank: int) -> int:
        """Return how many calls of a rank or a more urgent one wait."""
        return sum(len(queue) for queue in self._queues[: rank + 1])

    def _next_rank(self) -> int | None:
        waiting_ranks = [rank for rank, queue in enumerate(self._queues) if len(queue)]
        if not waiting_ranks:
            return None
        for rank in waiting_ranks:
            if self._queues[rank].is_owed:
                return rank
        return waiting_ranks[0]
