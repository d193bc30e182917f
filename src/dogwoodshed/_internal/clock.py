"""Provide the clocks that the rest of the package uses."""

import time
from typing import Protocol


class Clock(Protocol):
    """Give monotonic and wall time in seconds."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()


class PauseDetector:
    """Detect that the process did not run for longer than a threshold."""

    def __init__(self, clock: Clock, threshold: float) -> None:
        self._clock = clock
        self._threshold = threshold
        self._last = clock.monotonic()

    def tick(self) -> float:
        """Return the length of the gap since the last tick, or 0 if it was short."""
        now = self._clock.monotonic()
        gap = now - self._last
        self._last = now
        return gap if gap > self._threshold else 0.0
