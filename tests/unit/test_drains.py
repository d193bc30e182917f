"""Test that all gateways agree on which upstreams drain."""

import unittest

from dogwoodshed._internal.configuration.model import Upstream
from dogwoodshed._internal.discovery.host_list import HostList
from dogwoodshed._internal.drains import DrainTracker
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import (
    DrainState,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.routing.base import LoadReport
from tests.lib import builders
from tests.lib.mesh_fakes import FakeMesh, ManualClock, gateway_settings

ADDRESS = "127.0.0.1:1"
DRAINING = LoadReport(draining=True)
LIVE = LoadReport(draining=False)


def hosts(leaving=()):
    """Build a host list of one upstream."""
    return HostList((), {"profiles": (Upstream(ADDRESS, ""),)}, frozenset(leaving))


class DrainsTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.mesh = FakeMesh(Membership(gateway_settings(), self.clock))
        self.drains = self.build(self.mesh)

    def build(self, mesh):
        return DrainTracker(lambda *_: None, mesh, self.clock, Metrics())

    def test_drain_is_broadcast_and_forwarded_once(self):
        """Guards against gateways that miss a drain, and against forwarding loops.

        The gateway that detects the drain cannot reach every other one.
        """
        self.drains.apply_load_report(ADDRESS, DRAINING, self.clock.now)
        self.drains.apply_load_report(ADDRESS, DRAINING, self.clock.now)
        self.assertEqual(len(self.mesh.broadcasts), 1)
        mesh = FakeMesh(self.mesh.membership)
        other = self.build(mesh)
        for _ in range(3):
            mesh.receive("g1", self.mesh.broadcasts[0])
        self.assertEqual(other.draining, {ADDRESS})
        self.assertEqual(mesh.broadcasts, self.mesh.broadcasts)

    def test_new_peer_gets_current_drains(self):
        """Guards against a new gateway that sends calls to a draining upstream."""
        self.drains.apply_load_report(ADDRESS, DRAINING, self.clock.now)
        self.mesh.connect_listeners[0]("g2")
        self.assertEqual(self.mesh.sent, [("g2", self.mesh.broadcasts[0])])

    def test_outdated_message_does_not_replace_a_later_one(self):
        """Guards against an upstream that drains for ever, or not at all."""
        self.mesh.receive("g1", DrainState(ADDRESS, False, 7))
        self.mesh.receive("g2", DrainState(ADDRESS, True, 5))
        self.assertEqual(self.drains.draining, frozenset())

    def test_only_a_response_to_a_later_call_ends_a_drain(self):
        """Guards against a drain that a response in transit ends, or that never ends.

        The version of the drain is from a host whose clock is ahead.
        """
        self.mesh.receive("g1", DrainState(ADDRESS, True, 10**15))
        recorded_at = self.clock.now
        self.clock.now += 10
        self.drains.apply_load_report(ADDRESS, LIVE, recorded_at + 0.5)
        self.assertEqual(self.drains.draining, {ADDRESS})
        self.drains.apply_load_report(ADDRESS, LIVE, recorded_at + 2)
        self.assertEqual(self.drains.draining, frozenset())
        self.assertGreater(self.mesh.broadcasts[-1].version, 10**15)

    def test_a_source_does_not_end_the_drain_of_another(self):
        """Guards against a lagging host list that ends a drain."""
        self.drains.apply_operator_order(ADDRESS, True)
        self.drains.apply_load_report(ADDRESS, DRAINING, self.clock.now)
        self.drains.apply_host_list(hosts(leaving=[ADDRESS]), 5)
        self.drains.apply_host_list(hosts(), 6)
        self.drains.apply_operator_order(ADDRESS, False)
        self.assertEqual(self.drains.draining, {ADDRESS})
        self.clock.now += 10
        self.drains.apply_load_report(ADDRESS, LIVE, self.clock.now)
        self.assertEqual(self.drains.draining, frozenset())

    def test_host_lists_are_ordered_by_revision(self):
        """Guards against peers with an older list that end or restore a drain."""
        self.mesh.receive("g1", DrainState(ADDRESS, True, 9, "host_list"))
        self.drains.apply_host_list(hosts(), 8)
        self.assertEqual(self.drains.draining, {ADDRESS})
        self.drains.apply_host_list(hosts(), 10)
        self.assertEqual(self.drains.draining, frozenset())
        fresh = self.build(FakeMesh(self.mesh.membership))
        fresh.apply_host_list(hosts(), 10)
        fresh._mesh.receive("g1", DrainState(ADDRESS, True, 9, "host_list"))
        self.assertEqual(fresh.draining, frozenset())

    def test_states_of_upstreams_that_are_long_gone_are_removed(self):
        """Guards against memory that grows with every replaced host."""
        self.drains.apply_operator_order(ADDRESS, True)
        self.clock.now += 4000
        self.drains.apply_host_list(HostList((), {}, frozenset()), 9)
        self.drains.apply_configuration(builders.configuration()._replace(services=()))
        self.assertEqual(self.drains.draining, frozenset())


if __name__ == "__main__":
    unittest.main()
