"""Test how many concurrent calls an upstream gets."""

import unittest

from dogwoodshed._internal.routing.crowding import CrowdingEstimate


class CrowdingTest(unittest.TestCase):
    def call_limit(self, slots, *, crowded, uncrowded=1.0):
        estimate = CrowdingEstimate()
        for _ in range(50):
            estimate.observe(slots, slots, slots, crowded)
            estimate.observe(1, 1, slots, uncrowded)
        return estimate.call_limit(slots)

    def test_last_slots_stay_free_when_they_slow_down_all_calls(self):
        """Guards against calls on the last slots that reduce the throughput.

        Found on corrib-gw: six concurrent calls took 1.65 times as long as four.
        """
        self.assertEqual(self.call_limit(6, crowded=1.65), 4)

    def test_all_slots_are_used_when_they_raise_the_throughput(self):
        """Guards against a third of the capacity left unused."""
        self.assertEqual(self.call_limit(6, crowded=1.05), 6)

    def test_few_slots_are_always_used(self):
        """Guards against half of a small upstream left unused."""
        self.assertEqual(self.call_limit(2, crowded=1.65), 2)

    def test_calls_that_cross_the_crowding_limit_are_ignored(self):
        """Guards against samples of calls that ran partly on a crowded upstream."""
        estimate = CrowdingEstimate()
        for _ in range(50):
            estimate.observe(1, 6, 6, 9.0)
            estimate.observe(6, 6, 6, 1.0)
            estimate.observe(2, 2, 6, 1.0)
        self.assertEqual(estimate.call_limit(6), 6)
