"""Test which peer is asked for a directory snapshot."""

import unittest
from types import SimpleNamespace

from dogwoodshed._internal.mesh.fleet_messages import (
    SnapshotRequest,
)
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.mesh.snapshot_requester import (
    RETRY_INTERVAL_S,
    SnapshotRequester,
)
from tests.lib import fleet_builders as builders


class _Peer:
    """Count the snapshot requests to a peer."""

    def __init__(self, name, data_centre):
        self.hello = SimpleNamespace(peer_id=name, data_centre=data_centre)
        self.requests = 0

    def send(self, message):
        self.requests += isinstance(message, SnapshotRequest)


class SnapshotRequesterTest(unittest.TestCase):
    def setUp(self):
        self.clock = builders.FakeClock()
        self.roster = FleetRoster(builders.member("g9", incarnation=9), self.clock)
        self.metrics = builders.CountingMetrics()
        self.requester = SnapshotRequester(self.roster, self.clock, self.metrics)
        self.local_peer = _Peer("g1", "lima-a")
        self.remote_peer = _Peer("g2", "lima-b")

    def record_hubs(self):
        for number, peer in enumerate((self.local_peer, self.remote_peer), start=1):
            name, data_centre = peer.hello.peer_id, peer.hello.data_centre
            member = builders.member(name, data_centre, incarnation=number)
            self.roster.record_member(member)
            self.roster.record_seen(name, number, leaving=False)

    def test_only_the_own_hub_is_asked(self):
        """Guards against a starting gateway that gets a snapshot from every seed."""
        self.record_hubs()
        self.requester.request_from_new_peer(self.remote_peer)
        self.requester.request_from_new_peer(self.local_peer)
        self.assertEqual((self.local_peer.requests, self.remote_peer.requests), (1, 0))

    def test_hub_asks_any_peer(self):
        """Guards against a hub that waits for missing updates after a partition."""
        self.requester.request_from_new_peer(self.remote_peer)
        self.assertEqual(self.remote_peer.requests, 1)

    def test_missing_updates_are_requested_remotely_and_not_repeated_at_once(self):
        """Guards against further snapshots while the first one is being sent."""
        peers = {"g1": self.local_peer, "g2": self.remote_peer}
        for _ in range(3):
            self.requester.request_missing(peers)
        self.assertEqual((self.local_peer.requests, self.remote_peer.requests), (0, 1))
        self.clock.now += 2 * RETRY_INTERVAL_S
        self.requester.request_missing(peers)
        self.assertEqual(self.remote_peer.requests, 2)

    def test_gateway_without_peers_asks_nobody(self):
        """Guards against an error in a gateway without connections."""
        self.requester.request_missing({})
        self.assertEqual(self.metrics.counts, {})
