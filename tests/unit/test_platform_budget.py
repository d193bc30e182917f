"""Test that the calls of a whole fleet stay within the platform's rate."""

import unittest

from dogwoodshed._internal.config_service.rate_limiter import (
    PlatformRateLimiter,
    TokenBucket,
)
from dogwoodshed._internal.settings import PlatformSettings
from tests.lib.mesh_fakes import ManualClock


def pace(fleet_size, clock, seed=1):
    """Build the pace of one gateway of a fleet."""
    return PlatformRateLimiter(PlatformSettings(), lambda: fleet_size, clock, seed=seed)


class PlatformBudgetTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()

    def test_bucket_holds_the_rate_after_its_burst(self):
        """Guards against a loop that calls as fast as the platform answers."""
        bucket = TokenBucket(3, self.clock)
        self.assertEqual([bucket.reserve(5.0) for _ in range(3)], [0.0] * 3)
        due = [bucket.reserve(5.0) for _ in range(3)]
        for expected, delay in zip((0.2, 0.4, 0.6), due, strict=True):
            self.assertAlmostEqual(delay, expected)

    def test_a_pause_earns_no_more_than_the_burst(self):
        """Guards against a burst of calls after a gateway was paused for long."""
        bucket = TokenBucket(3, self.clock)
        self.clock.now += 3600
        free = sum(bucket.reserve(5.0) == 0.0 for _ in range(10))
        self.assertEqual(free, 3)

    def test_a_platform_that_answers_at_once_gets_500_calls_a_second_at_most(self):
        """Guards against a fleet of any size that exhausts the platform by its loops.

        Each gateway calls as often as it may for a minute; the burst is left out.
        """
        for size in (1, 19, 300, 2000):
            clock = ManualClock()
            one, calls = pace(size, clock), 0
            while clock.now < 1060.0:
                clock.now += one.reserve()
                calls += 1
            self.assertLessEqual((calls - 4) * size / 60, 500, size)

    def test_calls_of_the_same_moment_are_spread_over_the_fleet(self):
        """Guards against 2,000 gateways that call in the same second after a change."""
        delays = [pace(2000, self.clock, seed).fleet_jitter() for seed in range(2000)]
        busiest = max(
            sum(second <= delay < second + 1 for delay in delays) for second in range(4)
        )
        self.assertLess(busiest, 600)

    def test_backoff_is_spread_and_bounded(self):
        """Guards against retries in step, and against an endless delay."""
        one = pace(19, self.clock)
        late = [one.backoff(5000) for _ in range(500)]
        self.assertLess(max(late), 4.0)
        self.assertLess(min(late), 0.4)
        self.assertLess(max(one.backoff(1) for _ in range(500)), 0.2)

    def test_a_small_fleet_notices_a_silent_watch_in_time(self):
        """Guards against a text that is late because all watches went silent."""
        one = pace(1, self.clock)
        self.assertLess(max(one.watch_wait() for _ in range(100)) * 1.0625 + 1, 5)


if __name__ == "__main__":
    unittest.main()
