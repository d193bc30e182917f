"""Count the bytes exchanged with each peer."""

from collections.abc import Mapping
from typing import NamedTuple

from dogwoodshed._internal.mesh.connection import PeerConnection


class PeerTraffic(NamedTuple):
    """Bytes exchanged with a peer over all its connections."""

    sent: int
    received: int


class TrafficCounter:
    """Sum the bytes of closed and open connections by peer."""

    def __init__(self) -> None:
        self._closed: dict[str, PeerTraffic] = {}

    def record_closed(self, connection: PeerConnection) -> None:
        """Add the bytes of a closed connection."""
        peer_id = connection.hello.peer_id
        self._closed[peer_id] = _add(self._closed.get(peer_id), connection)

    def totals(
        self, connections: Mapping[str, PeerConnection]
    ) -> dict[str, PeerTraffic]:
        totals = dict(self._closed)
        for peer_id, connection in connections.items():
            totals[peer_id] = _add(totals.get(peer_id), connection)
        return totals


def _add(total: PeerTraffic | None, connection: PeerConnection) -> PeerTraffic:
    total = total or PeerTraffic(0, 0)
    return PeerTraffic(
        total.sent + connection.sent_bytes, total.received + connection.received_bytes
    )
