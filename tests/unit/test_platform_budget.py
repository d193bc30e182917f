"""Test that the calls of a whole fleet stay within the rate of the platform."""

import unittest

from dogwoodshed._internal.config_service.rate_limiter import (
    PlatformRateLimiter,
    TokenBucket,
)
from dogwoodshed._internal.settings import PlatformSettings
from tests.lib.mesh_fakes import ManualClock


def create_limiter(fleet_size, clock, seed=1):
    """Create the rate limiter of one gateway of a fleet."""
    return PlatformRateLimiter(PlatformSettings(), lambda: fleet_size, clock, seed=seed)


class PlatformBudgetTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()

    def test_bucket_limits_the_rate_after_the_burst(self):
        """Guards against a loop that calls as fast as the platform responds."""
        bucket = TokenBucket(3, self.clock)
        self.assertEqual([bucket.reserve(5.0) for _ in range(3)], [0.0] * 3)
        delays = [bucket.reserve(5.0) for _ in range(3)]
        for expected, delay in zip((0.2, 0.4, 0.6), delays, strict=True):
            self.assertAlmostEqual(delay, expected)

    def test_a_pause_allows_no_more_than_the_burst(self):
        """Guards against a large burst of calls after a long pause of a gateway."""
        bucket = TokenBucket(3, self.clock)
        self.clock.now += 3600
        free = sum(bucket.reserve(5.0) == 0.0 for _ in range(10))
        self.assertEqual(free, 3)

    def test_a_fleet_makes_at_most_500_calls_per_second(self):
        """Guards against a fleet that overloads a platform that responds immediately.

        A gateway makes all allowed calls for a minute; the burst is not counted.
        """
        for size in (1, 19, 300, 2000):
            clock = ManualClock()
            limiter, calls = create_limiter(size, clock), 0
            while clock.now < 1060.0:
                clock.now += limiter.reserve()
                calls += 1
            self.assertLessEqual((calls - 4) * size / 60, 500, size)

    def test_jitter_spreads_simultaneous_calls_of_the_fleet(self):
        """Guards against 2,000 gateways that call within the same second."""
        delays = [
            create_limiter(2000, self.clock, seed).fleet_jitter()
            for seed in range(2000)
        ]
        busiest = max(
            sum(second <= delay < second + 1 for delay in delays) for second in range(4)
        )
        self.assertLess(busiest, 600)

    def test_backoff_has_jitter_and_a_maximum(self):
        """Guards against synchronised retries, and against an unlimited delay."""
        limiter = create_limiter(19, self.clock)
        delays = [limiter.backoff(5000) for _ in range(500)]
        self.assertLess(max(delays), 4.0)
        self.assertLess(min(delays), 0.4)
        self.assertLess(max(limiter.backoff(1) for _ in range(500)), 0.2)

    def test_a_small_fleet_detects_a_silent_watch_in_time(self):
        """Guards against a delayed configuration because all watches went silent."""
        limiter = create_limiter(1, self.clock)
        self.assertLess(max(limiter.watch_wait() for _ in range(100)) * 1.0625 + 1, 5)


if __name__ == "__main__":
    unittest.main()
