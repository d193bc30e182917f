"""Clocks, and detection of pauses of the process."""

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic, wall and processor time in seconds."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""

    def cpu_time(self) -> float:
        """Return the processor time of this process in seconds."""


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since an arbitrary start."""
        return time.monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time.time()

    def cpu_time(self) -> float:
        """Return the processor time of this process in seconds."""
        return time.process_time()


# A process that used the processor during a gap was overloaded, not paused. Treating
# that as a pause would close the connections to all peers and increase the load.
MIN_IDLE_SHARE = 0.5


class PauseDetector:
    """Detect that the process did not run for longer than a threshold."""

    def __init__(self, clock: Clock, threshold: float) -> None:
        self._clock = clock
        self._threshold = threshold
        self._last_tick_at = clock.monotonic()
        self._last_cpu_time = clock.cpu_time()

    def tick(self) -> float:
        """Return the length of the pause since the last tick, or 0 without one."""
        now = self._clock.monotonic()
        cpu_time = self._clock.cpu_time()
        gap = now - self._last_tick_at
        idle = gap - (cpu_time - self._last_cpu_time)
        self._last_tick_at, self._last_cpu_time = now, cpu_time
        paused = gap > self._threshold and idle > MIN_IDLE_SHARE * gap
        return gap if paused else 0.0
