"""Estimate how many calls of a rank are dispatched per second."""

from collections import deque

MAX_SAMPLES = 32
MIN_SAMPLES = 8


class Throughput:
    """Sliding window of dispatch times."""

    def __init__(self) -> None:
        self._dispatched_at: deque[float] = deque(maxlen=MAX_SAMPLES)

    def record_dispatch(self, now: float) -> None:
        """Add a dispatch."""
        self._dispatched_at.append(now)

    def rate(self, now: float) -> float | None:
        """Return the dispatches per second, or None without enough samples."""
        if len(self._dispatched_at) < MIN_SAMPLES:
            return None
        return len(self._dispatched_at) / max(1e-6, now - self._dispatched_at[0])
