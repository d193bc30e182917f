"""Count the bytes exchanged with each peer."""

from collections.abc import Mapping
from typing import NamedTuple

from dogwoodshed._internal.mesh.connection import Connection


class PeerTraffic(NamedTuple):
    """Bytes exchanged with a peer over all its connections."""

    sent: int
    received: int


class TrafficCounter:
    """Add up the bytes of finished and open connections."""

    def __init__(self) -> None:
        self._finished: dict[str, PeerTraffic] = {}

    def note_finished(self, connection: Connection) -> None:
        """Add a connection that has ended."""
        peer_id = connection.hello.peer_id
        self._finished[peer_id] = _add(self._finished.get(peer_id), connection)

    def totals(self, connections: Mapping[str, Connection]) -> dict[str, PeerTraffic]:
        """Return the bytes by peer."""
        totals = dict(self._finished)
        for peer_id, connection in connections.items():
            totals[peer_id] = _add(totals.get(peer_id), connection)
        return totals


def _add(total: PeerTraffic | None, connection: Connection) -> PeerTraffic:
    total = total or PeerTraffic(0, 0)
    return PeerTraffic(
        total.sent + connection.sent_bytes, total.received + connection.received_bytes
    )
