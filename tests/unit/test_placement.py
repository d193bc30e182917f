"""Test which upstream is chosen for a call."""

import collections
import random
import unittest

from dogwoodshed._internal.routing.placement import (
    PerformanceEstimate,
    choose_upstream,
    expected_time,
)
from tests.lib.fleet_builders import candidate

SERVICE_TIME_S = 0.1


class PlacementTest(unittest.TestCase):
    def chosen(self, *candidates):
        rng = random.Random(1)
        return {choose_upstream(candidates, SERVICE_TIME_S, rng).id for _ in range(50)}

    def test_slowed_upstream_is_avoided(self):
        """Guards against calls to a machine that a noisy neighbour slows down."""
        near, far = candidate("i-1", slowness=5.0), candidate("i-2", remote=True)
        self.assertEqual(self.chosen(near, far), {"i-2"})

    def test_own_data_centre_is_preferred_among_equals(self):
        """Guards against traffic between data centres without a benefit."""
        self.assertEqual(
            self.chosen(candidate("i-1"), candidate("i-2", remote=True)), {"i-1"}
        )

    def test_open_connection_decides_among_equals(self):
        """Guards against a new connection for nearly every call in a large fleet.

        Found on corrib-gw-grown: 24,307 new connections for 27,388 requests.
        """
        self.assertEqual(
            self.chosen(candidate("i-1", connected=False), candidate("i-2")), {"i-2"}
        )

    def test_open_connection_does_not_outweigh_a_slow_machine(self):
        """Guards against calls that keep using an upstream that has become slow."""
        fast = candidate("i-1", connected=False)
        self.assertEqual(self.chosen(fast, candidate("i-2", slowness=1.6)), {"i-1"})

    def test_free_remote_upstream_is_preferred_to_a_full_near_one(self):
        """Guards against queueing at an upstream while another is idle."""
        full = candidate("i-1", in_flight=2)
        self.assertEqual(self.chosen(full, candidate("i-2", remote=True)), {"i-2"})

    def test_free_slot_elsewhere_is_not_left_idle(self):
        """Guards against calls that wait for a near upstream while others are idle.

        Found on a day with load at the limit: upstreams ran 2.4 calls on their 4 slots
        while other calls waited.
        """
        full = candidate("i-1", slots=4, in_flight=4)
        far = candidate("i-2", slots=4, in_flight=3, remote=True, slowness=1.3)
        self.assertEqual(self.chosen(full, far), {"i-2"})

    def test_upstream_that_fails_fast_is_avoided(self):
        """Guards against a failing upstream that looks idle and attracts all calls."""
        failing = candidate("i-1", error_rate=0.4)
        self.assertEqual(self.chosen(failing, candidate("i-2", in_flight=1)), {"i-2"})

    def test_equal_upstreams_share_the_calls(self):
        """Guards against gateways with the same view all choosing the same upstream."""
        self.assertEqual(len(self.chosen(candidate("i-1"), candidate("i-2"))), 2)

    def test_gateways_with_the_same_view_spread_over_the_best_slots(self):
        """Guards against many gateways sending to the upstream that looks best.

        Found on corrib-gw-grown scale-1: twenty calls reached an upstream of six slots
        within a tenth of a second, each sent on a view that showed three.
        """
        upstreams = [candidate(f"i-{n}", slots=4, slowness=1.3) for n in range(10)]
        upstreams[3] = upstreams[3]._replace(slowness=1.0)
        slow = candidate("i-11", slots=4, slowness=7.0)
        rng = random.Random(1)
        chosen = collections.Counter(
            choose_upstream(
                [*upstreams, slow], SERVICE_TIME_S, rng, competing_calls=19
            ).id
            for _ in range(20)
        )
        self.assertLessEqual(max(chosen.values()), 8)
        self.assertNotIn("i-11", chosen)

    def test_upstreams_are_weighted_by_their_free_slots(self):
        """Guards against an upstream with one free slot getting half of the calls."""
        wide = candidate("i-1", slots=8, slowness=1.2)
        narrow = candidate("i-2", slots=8, in_flight=7)
        rng = random.Random(1)
        chosen = [
            choose_upstream([wide, narrow], SERVICE_TIME_S, rng, competing_calls=30).id
            for _ in range(90)
        ]
        self.assertLess(chosen.count("i-2"), 25)

    def test_expected_time_grows_with_the_queue(self):
        """Guards against an estimate that ignores queued calls."""
        times = [
            expected_time(candidate(in_flight=n), SERVICE_TIME_S) for n in (1, 2, 4)
        ]
        self.assertEqual(times, sorted(times))

    def test_old_report_decays_to_the_mean_slowness(self):
        """Guards against avoiding an upstream that was slow long ago."""
        performance = PerformanceEstimate()
        performance.record_slowness(7.0, 0.0)
        self.assertGreater(performance.slowness(2.0, 0.05), 6.0)
        self.assertAlmostEqual(performance.slowness(2.0, 5.0), 2.0, places=2)
