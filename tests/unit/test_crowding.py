"""Test how many calls at a time an upstream gets."""

import unittest

from dogwoodshed._internal.routing.crowding import CrowdingEstimate


class CrowdingTest(unittest.TestCase):
    def limit(self, slots, *, crowded, uncrowded=1.0):
        estimate = CrowdingEstimate()
        for _ in range(50):
            estimate.observe(slots, slots, slots, crowded)
            estimate.observe(1, 1, slots, uncrowded)
        return estimate.limit(slots)

    def test_last_slots_stay_free_where_they_slow_the_others(self):
        """Guards against filling upstreams that get slower than they get fuller.

        Found on corrib-gw: six calls at a time took 1.65 times as long as four.
        """
        self.assertEqual(self.limit(6, crowded=1.65), 4)

    def test_all_slots_are_used_where_they_do_not(self):
        """Guards against a third of the capacity that nobody uses."""
        self.assertEqual(self.limit(6, crowded=1.05), 6)

    def test_few_slots_are_always_used(self):
        """Guards against half of an upstream that nobody uses."""
        self.assertEqual(self.limit(2, crowded=1.65), 2)

    def test_mixed_levels_tell_nothing(self):
        """Guards against samples of calls that saw both states."""
        estimate = CrowdingEstimate()
        for _ in range(50):
            estimate.observe(1, 6, 6, 9.0)
            estimate.observe(6, 6, 6, 1.0)
            estimate.observe(2, 2, 6, 1.0)
        self.assertEqual(estimate.limit(6), 6)
