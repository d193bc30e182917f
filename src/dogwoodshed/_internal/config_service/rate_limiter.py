"""Limit the rate of calls that the whole fleet makes to the platform."""

import random
from collections.abc import Callable

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.settings import PlatformSettings

FEATURE = "platform_budget"

# A quarter of the 2,000 calls per second that the platform serves for all its readers.
FLEET_CALLS_PER_S = 500.0
# Rate at which a large fleet renews watches that expire without a change.
FLEET_RENEWALS_PER_S = 20.0
# A new configuration must be in effect within 5 seconds. With this wait, a watch whose
# connection went silent is detected in that time even if there is only one gateway.
MIN_WATCH_WAIT_S = 3.0
BACKOFF_BASE_S = 0.1
# Every gateway of a small fleet must retry within the same limit of 5 seconds.
MAX_BACKOFF_S = 4.0


class TokenBucket:
    """Token bucket: grant calls at a rate, with a burst after an idle period."""

    def __init__(self, burst: int, clock: Clock) -> None:
        self._burst = burst
        self._clock = clock
        self._tokens = float(burst)
        self._refilled_at = clock.monotonic()

    def reserve(self, rate: float) -> float:
        """Reserve a token and return the seconds until it may be used."""
        now = self._clock.monotonic()
        refill = (now - self._refilled_at) * rate
        self._refilled_at = now
        self._tokens = min(float(self._burst), self._tokens + refill) - 1.0
        return max(0.0, -self._tokens / rate)


class PlatformRateLimiter:
    """Limit the calls of one gateway to its share of the rate of the fleet."""

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
        """Reserve the next call and return the seconds until it may be made."""
        if not self._enabled:
            return 0.0
        share = FLEET_CALLS_PER_S / self._fleet_size()
        return self._bucket.reserve(min(self._settings.calls_per_s, share))

    def fleet_jitter(self) -> float:
        """Return a random delay that spreads simultaneous calls of the whole fleet."""
        if not self._enabled:
            return 0.0
        return self._random.uniform(0, self._fleet_size() / FLEET_CALLS_PER_S)

    def watch_wait(self) -> float:
        """Return the wait of a watch, with jitter to desynchronise the fleet."""
        if not self._enabled:
            return self._settings.watch_wait_s
        wait = max(MIN_WATCH_WAIT_S, self._fleet_size() / FLEET_RENEWALS_PER_S)
        return min(wait, self._settings.watch_wait_s) * self._random.uniform(0.75, 1)

    def backoff(self, failures: int) -> float:
        """Return the exponential delay after consecutive failures, with full jitter."""
        if not self._enabled:
            return 0.0
        # The exponent is bounded because failures continue for as long as an outage.
        max_delay = max(MAX_BACKOFF_S, self._fleet_size() / FLEET_RENEWALS_PER_S)
        delay = BACKOFF_BASE_S * 2 ** min(failures, 16)
        return self._random.uniform(0, min(max_delay, delay))
