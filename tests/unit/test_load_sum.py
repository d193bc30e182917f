"""Test the sums of loads that a hub sends."""

import unittest

from dogwoodshed._internal.mesh.fleet_messages import (
    DataCentreLoad,
    GatewayLoad,
    InFlightCalls,
    UpstreamReport,
    WaitingCalls,
)
from dogwoodshed._internal.mesh.load_sum import LoadSum, merge_loads


def gateway_load(reports=(), waiting=(), **calls):
    """Build the load of a gateway from its calls by upstream."""
    in_flight = tuple(InFlightCalls(*item) for item in calls.items())
    return GatewayLoad(1, in_flight, tuple(reports), tuple(waiting))


class LoadSumTest(unittest.TestCase):
    def setUp(self):
        self.sum = LoadSum(("gateways", "hubs"))

    def compose_in_flight(self, group="gateways", *, full=False):
        fields = self.sum.compose(group, full=full)
        return {item.upstream_id: item.calls for item in fields["in_flight"]}

    def test_calls_of_all_gateways_are_added(self):
        """Guards against an upstream that looks idle because two gateways use it."""
        self.sum.record("a", gateway_load(u=1, v=2))
        self.sum.record("b", gateway_load(u=3))
        self.assertEqual(self.compose_in_flight(), {"u": 4, "v": 2})

    def test_only_changes_are_sent(self):
        """Guards against messages whose size grows with all calls in flight."""
        self.sum.record("a", gateway_load(u=1, v=2))
        self.compose_in_flight()
        self.sum.record("a", gateway_load(u=1, v=1))
        self.assertEqual(self.compose_in_flight(), {"v": 1})
        self.assertFalse(self.sum.has_changes("gateways"))

    def test_each_peer_group_gets_all_changes(self):
        """Guards against changes that are sent to only one of the groups."""
        self.sum.record("a", gateway_load(u=1))
        self.compose_in_flight("gateways")
        self.assertEqual(self.compose_in_flight("hubs"), {"u": 1})

    def test_ended_calls_are_sent_as_zero(self):
        """Guards against ended calls that other gateways count for ever."""
        self.sum.record("a", gateway_load(u=1))
        self.compose_in_flight()
        self.sum.record("a", gateway_load())
        self.assertEqual(self.compose_in_flight(), {"u": 0})
        self.assertEqual(self.compose_in_flight(full=True), {})

    def test_calls_of_a_dropped_gateway_are_subtracted(self):
        """Guards against slots that stay occupied by a dead gateway."""
        self.sum.record("a", gateway_load(u=1))
        self.sum.record("b", gateway_load(u=1))
        self.sum.drop("a")
        self.assertEqual(self.compose_in_flight(full=True), {"u": 1})

    def test_waiting_calls_are_added_by_rank(self):
        """Guards against an overload of which each gateway sees only a part."""
        self.sum.record("a", gateway_load(waiting=[WaitingCalls("s", (1, 2))]))
        self.sum.record("b", gateway_load(waiting=[WaitingCalls("s", (0, 5))]))
        fields = self.sum.compose("gateways", full=False)
        self.assertEqual(fields["waiting"], (WaitingCalls("s", (1, 7)),))

    def test_reports_keep_all_failures_and_the_latest_slowness(self):
        """Guards against a failure that is overwritten by a later success."""
        self.sum.record("a", gateway_load([UpstreamReport("u", 0, 0, 1)]))
        self.sum.record("b", gateway_load([UpstreamReport("u", 150, 2, 0)]))
        self.sum.record("b", gateway_load([UpstreamReport("u", 0, 1, 0)]))
        fields = self.sum.compose("gateways", full=False)
        self.assertEqual(fields["reports"], (UpstreamReport("u", 150, 3, 1),))


class MergeLoadsTest(unittest.TestCase):
    def load(self, sequence, *, incarnation=1, **fields):
        return DataCentreLoad("hub", incarnation, sequence, **fields)

    def test_later_counts_replace_earlier_ones(self):
        """Guards against a change that is lost when two loads are sent as one."""
        earlier = self.load(
            1, in_flight=(InFlightCalls("a", 1), InFlightCalls("b", 2)), full=True
        )
        later = self.load(2, in_flight=(InFlightCalls("a", 0),))
        merged = merge_loads(earlier, later)
        self.assertEqual(
            set(merged.in_flight), {InFlightCalls("a", 0), InFlightCalls("b", 2)}
        )
        self.assertTrue(merged.full)
        self.assertEqual(merged.sequence, 2)

    def test_complete_load_replaces_earlier_counts_and_keeps_reports(self):
        """Guards against calls that ended before the complete load."""
        reports = (UpstreamReport("a", 120, 0, 1),)
        earlier = self.load(1, in_flight=(InFlightCalls("a", 1),), reports=reports)
        merged = merge_loads(earlier, self.load(2, full=True))
        self.assertEqual(merged.in_flight, ())
        self.assertEqual(merged.reports, reports)

    def test_loads_of_two_runs_are_not_merged(self):
        """Guards against the counts of a hub before its restart."""
        earlier = self.load(9, in_flight=(InFlightCalls("a", 1),))
        later = self.load(1, incarnation=2, full=True)
        self.assertEqual(merge_loads(earlier, later), later)
