"""Count events in a sliding time window."""

from collections import deque

# Number of buckets of a window; more of them would change the count only little.
BUCKETS = 20


class SlidingWindowCounter:
    """Number of events within the last seconds."""

    __slots__ = ("_bucket_seconds", "_buckets", "_total", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._bucket_seconds = window / BUCKETS
        # Start time and count of each bucket.
        self._buckets: deque[tuple[float, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        if self._buckets and now - self._buckets[-1][0] < self._bucket_seconds:
            start, count = self._buckets.pop()
            self._buckets.append((start, count + 1))
        else:
            self._buckets.append((now, 1))
        self._total += 1

    def total(self, now: float) -> int:
        """Return the number of events within the window."""
        while self._buckets and now - self._buckets[0][0] > self._window:
            self._total -= self._buckets.popleft()[1]
        return self._total
