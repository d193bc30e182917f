"""Test which peer is asked for the table of the directory."""

import unittest
from types import SimpleNamespace

from dogwoodshed._internal.mesh.messages import SnapshotRequest
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.mesh.snapshot_requester import RETRY_S, SnapshotRequester
from tests.lib import fleet_builders as builders


class _Peer:
    """Keep what was sent to a peer."""

    def __init__(self, name, data_centre):
        self.hello = SimpleNamespace(peer_id=name, data_centre=data_centre)
        self.asked = 0

    def send(self, message):
        self.asked += isinstance(message, SnapshotRequest)


class TableRequestsTest(unittest.TestCase):
    def setUp(self):
        self.clock = builders.ManualClock()
        self.roster = FleetRoster(builders.member("g9", incarnation=9), self.clock)
        self.metrics = builders.CountingMetrics()
        self.requests = SnapshotRequester(self.roster, self.clock, self.metrics)
        self.near = _Peer("g1", "lima-a")
        self.far = _Peer("g2", "lima-b")

    def learn_of_relays(self):
        for number, peer in enumerate((self.near, self.far), start=1):
            name, data_centre = peer.hello.peer_id, peer.hello.data_centre
            member = builders.member(name, data_centre, incarnation=number)
            self.roster.record_member(member)
            self.roster.record_seen(name, number, leaving=False)

    def test_only_the_own_relay_is_asked(self):
        """Guards against a table from each first contact of a starting gateway."""
        self.learn_of_relays()
        self.requests.note_ahead(self.far)
        self.requests.note_ahead(self.near)
        self.assertEqual((self.near.asked, self.far.asked), (1, 0))

    def test_relay_asks_anyone(self):
        """Guards against a relay that waits for a gap to show after a partition."""
        self.requests.note_ahead(self.far)
        self.assertEqual(self.far.asked, 1)

    def test_gap_is_asked_about_elsewhere_and_not_at_once_again(self):
        """Guards against one table after the other while the first is on its way."""
        peers = {"g1": self.near, "g2": self.far}
        for _ in range(3):
            self.requests.close_gap(peers)
        self.assertEqual((self.near.asked, self.far.asked), (0, 1))
        self.clock.now += 2 * RETRY_S
        self.requests.close_gap(peers)
        self.assertEqual(self.far.asked, 2)

    def test_gateway_without_peers_asks_nobody(self):
        """Guards against an error in a gateway that is cut off."""
        self.requests.close_gap({})
        self.assertEqual(self.metrics.counts, {})
