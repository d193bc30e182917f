"""Count the finished calls and the probes of the open minute."""

from collections import deque
from typing import NamedTuple

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.proxy.server import CallRecord
from dogwoodshed._internal.reporting.summary import CallStats, TrafficCounts


class ClosedMinute(NamedTuple):
    """The final counts of a minute."""

    minute: int
    counts: TrafficCounts


class MinuteRecorder:
    """Count calls and probes until the open minute is closed."""

    def __init__(self, minute_s: float, clock: Clock) -> None:
        self._minute_s = minute_s
        self._clock = clock
        self._minute = self.current_minute
        self._counts = TrafficCounts.empty()
        self._call_stats = self._counts.call_stats
        self._closed: deque[ClosedMinute] = deque()

    @property
    def current_minute(self) -> int:
        return int(self._clock.wall() // self._minute_s)

    @property
    def seconds_to_next_minute(self) -> float:
        return self._minute_s - self._clock.wall() % self._minute_s

    def record(self, record: CallRecord) -> None:
        """Count one finished call."""
        self._roll_over()
        key = (record.service, record.kind, record.rank)
        stats = self._call_stats.get(key)
        if stats is None:
            stats = self._call_stats[key] = CallStats()
        stats.add_call(record)

    def count_probe(self, service: str) -> None:
        """Count one probe sent to an upstream of a service."""
        self._roll_over()
        self._counts.probes[service] += 1

    def take_closed_minute(self) -> ClosedMinute | None:
        """Return the next minute that is over, or None if there is none."""
        self._roll_over()
        return self._closed.popleft() if self._closed else None

    def close_now(self) -> ClosedMinute:
        """Close the open minute before its end, on a planned stop."""
        closed = ClosedMinute(self._minute, self._counts)
        self._minute = max(self.current_minute, self._minute + 1)
        self._counts = TrafficCounts.empty()
        self._call_stats = self._counts.call_stats
        return closed

    def _roll_over(self) -> None:
        # A timer that runs late must not add calls of the next minute to this one. If
        # the wall clock was set back, the minute stays open, so that one incarnation
        # never uses the same minute number twice.
        if self.current_minute > self._minute:
            self._closed.append(self.close_now())
