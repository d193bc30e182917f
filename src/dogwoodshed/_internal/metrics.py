"""Count events and send them to a statsd server."""

from collections import Counter

import statsd


class Metrics:
    """Hold counters and gauges of one process."""

    def __init__(self, client: statsd.StatsClient | None = None) -> None:
        self._client = client
        self._counters: Counter[str] = Counter()
        self._flushed: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}

    @classmethod
    def from_settings(cls, address: str | None, prefix: str) -> "Metrics":
        """Create metrics that are sent to an `ip:port` address, if one is set."""
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

    def flush(self) -> None:
        """Send what changed since the last flush."""
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
