"""Test which gateways are hubs and which read the directory."""

import unittest

from dogwoodshed._internal.mesh.roster import (
    DEAD_AFTER_S,
    FORGET_AFTER_S,
    FleetRoster,
)
from tests.lib.fleet_builders import FakeClock, member


class RosterTest(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.own = member("b", "lima-a", 5)
        self.roster = FleetRoster(self.own, self.clock)

    def see(self, *members, leaving=False):
        for seen in members:
            self.roster.record_member(seen)
            self.roster.record_seen(seen.id, seen.incarnation, leaving=leaving)

    def test_oldest_gateway_of_a_data_centre_is_its_hub(self):
        """Guards against a hub that changes with every restart of another host."""
        self.assertTrue(self.roster.is_hub)
        old, young = member("c", "lima-a", 2), member("a", "lima-a", 9)
        self.see(old, young)
        self.assertEqual(self.roster.peers_to_connect(), (old,))

    def test_gateway_on_a_small_host_is_not_the_hub(self):
        """Guards against a hub whose network link is saturated by updates."""
        self.see(member("c", "lima-a", 1)._replace(hub_weight=0.1))
        self.assertTrue(self.roster.is_hub)

    def test_gateways_that_may_go_on_unseen_count(self):
        """Guards against a gateway that takes the budget of the others when cut off."""
        self.see(member("c", "lima-a", 2), member("d", "lima-b", 3))
        self.see(member("e", "lima-b", 4), leaving=True)
        self.assertEqual(self.roster.fleet_size, 3)
        self.clock.now += DEAD_AFTER_S + 0.1
        self.roster.refresh()
        self.assertEqual(len(self.roster.live), 1)
        self.assertEqual(self.roster.fleet_size, 3)
        self.clock.now += FORGET_AFTER_S
        self.assertEqual(self.roster.fleet_size, 1)

    def test_silent_hub_is_replaced(self):
        """Guards against a data centre without updates after its hub failed."""
        self.see(member("c", "lima-a", 2))
        self.clock.now += DEAD_AFTER_S + 0.1
        self.roster.refresh()
        self.assertTrue(self.roster.is_hub)

    def test_leaving_hub_is_replaced_at_once(self):
        """Guards against updates that wait for a hub that is stopping."""
        old = member("c", "lima-a", 2)
        self.see(old)
        self.see(old, leaving=True)
        self.assertTrue(self.roster.is_hub)

    def test_late_message_of_the_previous_run_does_not_affect_a_restarted_gateway(self):
        """Guards against a late leave message of a process that has ended."""
        self.see(member("c", "lima-a", 2))
        self.roster.record_member(member("c", "lima-a", 8))
        self.roster.record_seen("c", 2, leaving=True)
        self.see(member("c", "lima-a", 8))
        self.assertIn(member("c", "lima-a", 8), self.roster.live)

    def test_hubs_read_the_directory_first(self):
        """Guards against readers that are all in one data centre."""
        self.see(member("c", "lima-b", 2), member("d", "lima-a", 7))
        self.assertEqual(self.roster.reader_rank, 1)
        self.see(member("e", "lima-a", 1))
        self.assertEqual(self.roster.reader_rank, 2)

    def test_reader_with_failed_requests_is_replaced_at_once(self):
        """Guards against stale data while the store rejects both readers.

        On pareja-gw trouble-1 a configuration then took 2.4 s to reach the gateways
        that were connected.
        """
        self.see(member("c", "lima-b", 2), member("d", "lima-c", 3))
        self.see(member("e", "lima-a", 1))
        self.assertGreater(self.roster.reader_rank, 1)
        self.roster.record_reader("e", failing=True)
        self.roster.record_reader("c", failing=True)
        self.assertLess(self.roster.reader_rank, 2)
        self.roster.record_reader("e", failing=False)
        self.roster.record_reader("c", failing=False)
        self.assertGreater(self.roster.reader_rank, 1)

    def test_unreachable_hub_is_avoided_for_a_while(self):
        """Guards against waiting until an unreachable hub counts as dead."""
        self.see(member("c", "lima-a", 2), member("d", "lima-a", 3))
        self.roster.record_unreachable("c")
        self.assertEqual(self.roster.peers_to_connect()[0].id, "d")

    def test_restarted_gateway_with_an_earlier_clock_is_a_member(self):
        """Guards against ignoring a gateway because its incarnation is lower."""
        self.see(member("c", "lima-a", 8))
        self.clock.now += DEAD_AFTER_S + 0.1
        self.roster.refresh()
        again = member("c", "lima-a", 2)
        self.see(again)
        self.assertIn(again, self.roster.live)

    def test_live_gateway_is_not_replaced_by_its_previous_run(self):
        """Guards against a member list that is older than the restart."""
        self.see(member("c", "lima-a", 8))
        self.see(member("c", "lima-a", 2))
        self.assertIn(member("c", "lima-a", 8), self.roster.live)
