"""Test the sums that a relay tells."""

import unittest

from dogwoodshed._internal.mesh.load_sum import LoadSum
from dogwoodshed._internal.mesh.messages import (
    GatewayLoad,
    InFlightCalls,
    UpstreamReport,
    WaitingCalls,
)


def host_load(reports=(), waiting=(), **calls):
    """Build the load of a gateway from its calls by upstream."""
    in_flight = tuple(InFlightCalls(*item) for item in calls.items())
    return GatewayLoad(1, in_flight, tuple(reports), tuple(waiting))


class LoadSumTest(unittest.TestCase):
    def setUp(self):
        self.sum = LoadSum(("hosts", "relays"))

    def told(self, audience="hosts", *, full=False):
        fields = self.sum.compose(audience, full=full)
        return {item.upstream_id: item.calls for item in fields["in_flight"]}

    def test_calls_of_all_gateways_are_added(self):
        """Guards against an upstream that looks idle because two gateways use it."""
        self.sum.note("a", host_load(u=1, v=2))
        self.sum.note("b", host_load(u=3))
        self.assertEqual(self.told(), {"u": 4, "v": 2})

    def test_only_changes_are_told(self):
        """Guards against messages that grow with everything in flight."""
        self.sum.note("a", host_load(u=1, v=2))
        self.told()
        self.sum.note("a", host_load(u=1, v=1))
        self.assertEqual(self.told(), {"v": 1})
        self.assertFalse(self.sum.has_changes("hosts"))

    def test_each_audience_is_told_everything(self):
        """Guards against changes that one audience takes from the other."""
        self.sum.note("a", host_load(u=1))
        self.told("hosts")
        self.assertEqual(self.told("relays"), {"u": 1})

    def test_ended_calls_are_told_as_none(self):
        """Guards against calls that stay in the view of others for ever."""
        self.sum.note("a", host_load(u=1))
        self.told()
        self.sum.note("a", host_load())
        self.assertEqual(self.told(), {"u": 0})
        self.assertEqual(self.told(full=True), {})

    def test_gateway_that_left_takes_its_calls_along(self):
        """Guards against slots that a dead gateway holds."""
        self.sum.note("a", host_load(u=1))
        self.sum.note("b", host_load(u=1))
        self.sum.drop("a")
        self.assertEqual(self.told(full=True), {"u": 1})

    def test_waiting_calls_are_added_by_rank(self):
        """Guards against a flood that each gateway sees only a part of."""
        self.sum.note("a", host_load(waiting=[WaitingCalls("s", (1, 2))]))
        self.sum.note("b", host_load(waiting=[WaitingCalls("s", (0, 5))]))
        fields = self.sum.compose("hosts", full=False)
        self.assertEqual(fields["waiting"], (WaitingCalls("s", (1, 7)),))

    def test_reports_keep_every_failure_and_the_last_slowness(self):
        """Guards against a failure that a later success hides."""
        self.sum.note("a", host_load([UpstreamReport("u", 0, 0, 1)]))
        self.sum.note("b", host_load([UpstreamReport("u", 150, 2, 0)]))
        self.sum.note("b", host_load([UpstreamReport("u", 0, 1, 0)]))
        fields = self.sum.compose("hosts", full=False)
        self.assertEqual(fields["reports"], (UpstreamReport("u", 150, 3, 1),))
