"""Estimate how many calls of a rank are dispatched per second."""

from collections import deque

MOST_SAMPLES = 32
LEAST_SAMPLES = 8


class Throughput:
    """Remember the moments of the last dispatches."""

    def __init__(self) -> None:
        self._moments: deque[float] = deque(maxlen=MOST_SAMPLES)

    def note(self, now: float) -> None:
        """Note a dispatch."""
        self._moments.append(now)

    def rate(self, now: float) -> float | None:
        """Return the dispatches per second, once enough were seen."""
        if len(self._moments) < LEAST_SAMPLES:
            return None
        return len(self._moments) / max(1e-6, now - self._moments[0])
