"""Test which gateways relay news and read the directory."""

import unittest

from dogwoodshed._internal.mesh.roster import DEAD_AFTER_S, FleetRoster
from tests.lib.fleet_builders import ManualClock, member


class RosterTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.own = member("b", "lima-a", 5)
        self.roster = FleetRoster(self.own, self.clock)

    def hear(self, *members, leaving=False):
        for heard in members:
            self.roster.record_member(heard)
            self.roster.record_seen(heard.id, heard.incarnation, leaving=leaving)

    def test_oldest_gateway_of_a_data_centre_relays(self):
        """Guards against a relay that changes with every restart of another host."""
        self.assertTrue(self.roster.is_hub)
        old, young = member("c", "lima-a", 2), member("a", "lima-a", 9)
        self.hear(old, young)
        self.assertEqual(self.roster.wanted_peers(), (old,))

    def test_small_host_does_not_relay(self):
        """Guards against a relay whose link is full with the news of its peers."""
        self.hear(member("c", "lima-a", 1)._replace(hub_weight=0.1))
        self.assertTrue(self.roster.is_hub)

    def test_silent_relay_is_replaced(self):
        """Guards against a data centre without news after its relay died."""
        self.hear(member("c", "lima-a", 2))
        self.clock.now += DEAD_AFTER_S + 0.1
        self.roster.refresh()
        self.assertTrue(self.roster.is_hub)

    def test_leaving_relay_is_replaced_at_once(self):
        """Guards against news that wait for a stopping host."""
        old = member("c", "lima-a", 2)
        self.hear(old)
        self.hear(old, leaving=True)
        self.assertTrue(self.roster.is_hub)

    def test_restarted_gateway_is_not_taken_for_its_predecessor(self):
        """Guards against late news of a process that is gone."""
        self.hear(member("c", "lima-a", 2))
        self.roster.record_member(member("c", "lima-a", 8))
        self.roster.record_seen("c", 2, leaving=True)
        self.hear(member("c", "lima-a", 8))
        self.assertIn(member("c", "lima-a", 8), self.roster.live)

    def test_relays_read_the_directory_first(self):
        """Guards against readers that all stand in one data centre."""
        self.hear(member("c", "lima-b", 2), member("d", "lima-a", 7))
        self.assertEqual(self.roster.reader_rank, 1)
        self.hear(member("e", "lima-a", 1))
        self.assertEqual(self.roster.reader_rank, 2)

    def test_reader_that_is_turned_away_is_replaced_at_once(self):
        """Guards against old news while the store turns both readers away.

        Found on pareja-gw trouble-1: a configuration took 2.4 s to those in touch.
        """
        self.hear(member("c", "lima-b", 2), member("d", "lima-c", 3))
        self.hear(member("e", "lima-a", 1))
        self.assertGreater(self.roster.reader_rank, 1)
        self.roster.record_reader("e", failing=True)
        self.roster.record_reader("c", failing=True)
        self.assertLess(self.roster.reader_rank, 2)
        self.roster.record_reader("e", failing=False)
        self.roster.record_reader("c", failing=False)
        self.assertGreater(self.roster.reader_rank, 1)

    def test_unreachable_relay_is_passed_over_for_a_while(self):
        """Guards against a host cut off from its relay that waits for its death."""
        self.hear(member("c", "lima-a", 2), member("d", "lima-a", 3))
        self.roster.record_unreachable("c")
        self.assertEqual(self.roster.wanted_peers()[0].id, "d")

    def test_restart_after_the_clock_went_back_is_a_member(self):
        """Guards against a gateway that stays unknown because its number is lower."""
        self.hear(member("c", "lima-a", 8))
        self.clock.now += DEAD_AFTER_S + 0.1
        self.roster.refresh()
        again = member("c", "lima-a", 2)
        self.hear(again)
        self.assertIn(again, self.roster.live)

    def test_live_gateway_is_not_replaced_by_its_predecessor(self):
        """Guards against a list of members that is older than the restart."""
        self.hear(member("c", "lima-a", 8))
        self.hear(member("c", "lima-a", 2))
        self.assertIn(member("c", "lima-a", 8), self.roster.live)
