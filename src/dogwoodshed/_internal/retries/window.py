"""Count events over a sliding window of time."""

from collections import deque

# A window moves in this many steps; finer ones change the count by little.
STEPS = 20


class WindowCount:
    """Count what happened within the last seconds."""

    __slots__ = ("_steps", "_total", "_width", "_window")

    def __init__(self, window: float) -> None:
        self._window = window
        self._width = window / STEPS
        # The start of each step and its count.
        self._steps: deque[tuple[float, int]] = deque()
        self._total = 0

    def add(self, now: float) -> None:
        """Count one event."""
        if self._steps and now - self._steps[-1][0] < self._width:
            start, count = self._steps.pop()
            self._steps.append((start, count + 1))
        else:
            self._steps.append((now, 1))
        self._total += 1

    def total(self, now: float) -> int:
        """Return the count."""
        while self._steps and now - self._steps[0][0] > self._window:
            self._total -= self._steps.popleft()[1]
        return self._total
