"""Test which gateways count as live or listed."""

import unittest

from dogwoodshed._internal.membership import GatewayEntry, Membership
from tests.lib.mesh_fakes import ManualClock, gateway_settings, heartbeat, hello


class MembershipTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.membership = Membership(gateway_settings(), self.clock)

    def connect(self, peer_id, incarnation=1):
        self.membership.record_hello(hello(peer_id, incarnation))
        self.membership.record_heartbeat(peer_id, incarnation, heartbeat())

    def test_silent_peer_stays_listed_but_not_live(self):
        """Guards against a partition that looks like a fleet of fewer gateways."""
        self.connect("g1")
        self.assertEqual(self.membership.members.live, ("g0", "g1"))
        self.clock.now += 1.1
        self.membership.expire()
        self.assertEqual(self.membership.members.live, ("g0",))
        self.assertEqual(self.membership.members.listed, ("g0", "g1", "g2"))

    def test_refused_peer_is_dead_at_once(self):
        """Guards against waiting for silence when nothing listens at an address."""
        self.connect("g1")
        self.membership.record_refusal("g1")
        self.assertEqual(self.membership.members.live, ("g0",))
        self.connect("g1", 2)
        self.assertEqual(self.membership.members.live, ("g0", "g1"))
        self.assertNotIn("g1", self.membership.refused)

    def test_late_leave_of_a_predecessor_does_not_remove_its_successor(self):
        """Guards against a restarted gateway that its peers never use again."""
        self.connect("g1", 1)
        self.connect("g1", 2)
        self.membership.record_leaving("g1", 1)
        self.membership.record_heartbeat("g1", 1, heartbeat(state="leaving"))
        self.assertIn("g1", self.membership.members.live)

    def test_successor_with_an_earlier_clock_is_live(self):
        """Guards against a replaced host whose clock is behind being left out."""
        self.connect("g1", 5)
        self.membership.record_leaving("g1", 5)
        self.connect("g1", 3)
        self.assertIn("g1", self.membership.members.live)

    def test_state_leaving_counts_as_leave(self):
        """Guards against a leave that is lost with its connection."""
        self.connect("g1")
        self.membership.record_heartbeat("g1", 1, heartbeat(state="leaving"))
        self.assertEqual(self.membership.members.listed, ("g0", "g2"))
        self.connect("g1")
        self.assertNotIn("g1", self.membership.members.live)

    def test_reconnected_peer_gets_time_for_its_first_heartbeat(self):
        """Guards against closing a new connection because of an old view."""
        self.connect("g1", 1)
        self.membership.record_leaving("g1", 1)
        self.clock.now += 5
        self.membership.record_hello(hello("g1", 2))
        self.assertTrue(self.membership.seen_recently("g1"))

    def test_host_list_names_the_listed_gateways(self):
        """Guards against listing gone or leaving hosts, and against dropping live ones.

        The list lags, so a live gateway that it does not name yet stays.
        """
        self.connect("g1")
        self.membership.apply_host_list(
            (
                GatewayEntry("g2", "127.0.0.1:2", leaving=True),
                GatewayEntry("g3", "127.0.0.1:3"),
            )
        )
        self.assertEqual(self.membership.members.listed, ("g0", "g1", "g3"))
        self.assertIn("g3", self.membership.addresses)


if __name__ == "__main__":
    unittest.main()
