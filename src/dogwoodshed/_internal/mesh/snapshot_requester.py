"""Ask for the table of the directory, from as few peers as possible."""

import random
from collections.abc import Mapping

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.mesh.connection import Connection
from dogwoodshed._internal.mesh.messages import SnapshotRequest
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.metrics import Metrics

# A table of hundreds of upstreams takes this long on a slow link.
RETRY_S = 0.5


class SnapshotRequester:
    """Decide which peer to ask, since a table has a price between data centres."""

    def __init__(self, roster: FleetRoster, clock: Clock, metrics: Metrics) -> None:
        self._roster = roster
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._asked_at = float("-inf")

    def note_ahead(self, connection: Connection) -> None:
        """Ask a new peer that knows more, if it is the one to ask.

        A gateway asks its relay, and a relay anyone. Other peers are left alone: a gap
        that stays is closed by `close_gap`.
        """
        hub = self._roster.hub(self._roster.own.data_centre)
        is_own_relay = hub is not None and hub.id == connection.hello.peer_id
        if is_own_relay or self._roster.is_hub:
            self._ask(connection)

    def close_gap(self, connections: Mapping[str, Connection]) -> None:
        """Ask one peer, because news showed a gap."""
        if not connections:
            return
        if self._clock.monotonic() - self._asked_at < RETRY_S:
            return
        # Gateways of the own data centre are mostly behind as well.
        own = self._roster.own.data_centre
        peers = list(connections.values())
        remote = [peer for peer in peers if peer.hello.data_centre != own]
        self._ask(self._random.choice(remote or peers))

    def _ask(self, connection: Connection) -> None:
        self._asked_at = self._clock.monotonic()
        self._metrics.increment("overlay.table_requests")
        connection.send(SnapshotRequest())
