"""Collect metrics and send them to a statsd server."""

import bisect
from collections import Counter

import statsd

# Upper bounds of the histogram buckets, from less than a network hop to the longest
# deadlines.
HISTOGRAM_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
)


class Metrics:
    """Counters, gauges and histograms of one process."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self._counters: Counter[str] = Counter()
        self._flushed: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, list[int]] = {}

    @classmethod
    def from_settings(cls, address: str | None, prefix: str) -> "Metrics":
        """Create metrics that are sent to `ip:port`, or nowhere without an address."""
        if address is None:
            return cls()
        ip, _, port = address.rpartition(":")
        return cls(statsd.StatsClient(ip, int(port), prefix=prefix))

    @property
    def counters(self) -> dict[str, int]:
        return dict(self._counters)

    def increment(self, name: str, count: int = 1) -> None:
        """Add to a counter."""
        self._counters[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        self._gauges[name] = value

    def observe(self, name: str, seconds: float) -> None:
        """Add a duration to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = self._histograms[name] = [0] * (len(HISTOGRAM_BOUNDS_S) + 1)
        histogram[bisect.bisect_left(HISTOGRAM_BOUNDS_S, seconds)] += 1

    def render(self) -> str:
        """Return all values as text, one per line."""
        lines = [f"{name} {value}" for name, value in sorted(self._counters.items())]
        lines += [f"{name} {value}" for name, value in sorted(self._gauges.items())]
        for name, counts in sorted(self._histograms.items()):
            cumulative = 0
            for bound, count in zip((*HISTOGRAM_BOUNDS_S, "inf"), counts, strict=True):
                cumulative += count
                lines.append(f'{name}{{le="{bound}"}} {cumulative}')
        return "\n".join(lines) + "\n"

    def flush(self) -> None:
        """Send all gauges, and the counters that changed since the last flush."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self._counters.items():
                delta = value - self._flushed[name]
                if delta:
                    pipe.incr(name, delta)
            for name, value in self._gauges.items():
                pipe.gauge(name, value)
        self._flushed = Counter(self._counters)
