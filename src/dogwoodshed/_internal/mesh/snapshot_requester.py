"""Request directory snapshots from as few peers as possible."""

import random
from collections.abc import Mapping

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.mesh.connection import PeerConnection
from dogwoodshed._internal.mesh.fleet_messages import (
    SnapshotRequest,
)
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.metrics import Metrics

# Missing updates are not requested again for this long: the transfer time of a snapshot
# with hundreds of upstreams on a slow link.
RETRY_INTERVAL_S = 0.5


class SnapshotRequester:
    """Choose the peer to ask, since traffic between data centres is billed."""

    def __init__(self, roster: FleetRoster, clock: Clock, metrics: Metrics) -> None:
        self._roster = roster
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._requested_at = float("-inf")

    def request_from_new_peer(self, connection: PeerConnection) -> None:
        """Request a snapshot from a new peer with a later revision, if appropriate.

        A gateway asks only its hub; a hub asks any peer. Changes that are still missing
        after that are requested with `request_missing`.
        """
        hub = self._roster.hub(self._roster.own.data_centre)
        is_own_hub = hub is not None and hub.id == connection.hello.peer_id
        if is_own_hub or self._roster.is_hub:
            self._send_request(connection)

    def request_missing(self, connections: Mapping[str, PeerConnection]) -> None:
        """Request a snapshot from one peer, because updates are missing."""
        if not connections:
            return
        if self._clock.monotonic() - self._requested_at < RETRY_INTERVAL_S:
            return
        # Gateways in the same data centre usually miss the same updates.
        own_data_centre = self._roster.own.data_centre
        peers = list(connections.values())
        remote = [peer for peer in peers if peer.hello.data_centre != own_data_centre]
        self._send_request(self._random.choice(remote or peers))

    def _send_request(self, connection: PeerConnection) -> None:
        self._requested_at = self._clock.monotonic()
        self._metrics.increment("overlay.table_requests")
        connection.send(SnapshotRequest())
