"""Bound the calls that the whole fleet makes to the platform."""

import random
from collections.abc import Callable

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.settings import PlatformSettings

FEATURE = "platform_budget"

# A quarter of the 2,000 calls a second that the platform serves over all its readers.
FLEET_CALLS_PER_S = 500.0
# Watches of a large fleet that end unchanged and are renewed.
FLEET_RENEWALS_PER_S = 20.0
# With this wait a watch whose connection went silent is noticed within 5 seconds, the
# bound on bringing a text into force, even when there is one gateway only.
WATCH_WAIT_LEAST_S = 3.0
BACKOFF_FIRST_S = 0.1
# In a small fleet every gateway tries again within the same 5 seconds.
BACKOFF_MOST_S = 4.0


class TokenBucket:
    """Grant calls at a rate, with a burst after a quiet time."""

    def __init__(self, burst: int, clock: Clock) -> None:
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._filled_at = clock.monotonic()

    def reserve(self, rate: float) -> float:
        """Take a token and return the time until it is due."""
        now = self._clock.monotonic()
        gained = (now - self._filled_at) * rate
        self._filled_at = now
        self._tokens = min(float(self._burst), self._tokens + gained) - 1.0
        return max(0.0, -self._tokens / rate)


class PlatformRateLimiter:
    """Time the calls of one gateway by the size of the fleet."""

    def __init__(
        self,
        settings: PlatformSettings,
        fleet_size: Callable[[], int],
        clock: Clock,
        *,
        enabled: bool = True,
        seed: int | None = None,
    ) -> None:
        self._settings = settings
        self._fleet_size = fleet_size
        self._enabled = enabled
        self._random = random.Random(seed)
        self._bucket = TokenBucket(settings.call_burst, clock)

    def reserve(self) -> float:
        """Return the time until the next call is due."""
        if not self._enabled:
            return 0.0
        share = FLEET_CALLS_PER_S / self._fleet_size()
        return self._bucket.reserve(min(self._settings.calls_per_s, share))

    def fleet_jitter(self) -> float:
        """Return a delay for a call that the whole fleet makes at the same moment."""
        if not self._enabled:
            return 0.0
        return self._random.uniform(0, self._fleet_size() / FLEET_CALLS_PER_S)

    def watch_wait(self) -> float:
        """Return how long a watch may wait; jitter keeps the fleet out of step."""
        if not self._enabled:
            return self._settings.watch_wait_s
        wait = max(WATCH_WAIT_LEAST_S, self._fleet_size() / FLEET_RENEWALS_PER_S)
        return min(wait, self._settings.watch_wait_s) * self._random.uniform(0.75, 1)

    def backoff(self, failures: int) -> float:
        """Return the delay after some failures in a row, with full jitter."""
        if not self._enabled:
            return 0.0
        # The exponent is bounded because failures go on for as long as an outage.
        most = max(BACKOFF_MOST_S, self._fleet_size() / FLEET_RENEWALS_PER_S)
        delay = BACKOFF_FIRST_S * 2 ** min(failures, 16)
        return self._random.uniform(0, min(most, delay))
