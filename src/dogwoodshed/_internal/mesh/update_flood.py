"""Flood updates from any gateway to all others."""

from collections.abc import Callable, Iterator
from typing import Any

from dogwoodshed._internal.mesh.codec import encode
from dogwoodshed._internal.mesh.fleet_messages import (
    GatewayUpdate,
    UpdateBatch,
)
from dogwoodshed._internal.mesh.messages import (
    Hello,
)


class UpdateFlood:
    """Number own updates, drop duplicates, and queue updates for each peer.

    All hubs are connected with each other, so an update from a hub of another data
    centre is forwarded only to the gateways of this data centre, and a gateway of
    another data centre that is not its hub gets no updates.
    """

    def __init__(
        self,
        own: Hello,
        is_remote: Callable[[str], bool],
        is_remote_hub: Callable[[str], bool],
    ) -> None:
        self._own = own
        self._is_remote = is_remote
        self._is_remote_hub = is_remote_hub
        self._sequence = 0
        # By origin and incarnation: sequence numbers start again after a restart, and
        # the new incarnation is lower if the clock was set back.
        self._seen: dict[tuple[str, int], int] = {}
        self._pending: dict[str, list[GatewayUpdate]] = {}

    def add_peer(self, peer_id: str) -> None:
        """Start to queue updates for a peer."""
        self._pending[peer_id] = []

    def drop_peer(self, peer_id: str) -> None:
        """Drop the queue of a peer."""
        self._pending.pop(peer_id, None)

    def queue_own_update(self, fields: dict[str, Any]) -> None:
        """Queue an own update for every peer; raises UnencodableMessageError."""
        update = GatewayUpdate(
            self._own.peer_id, self._own.incarnation, self._sequence + 1, **fields
        )
        # A batch with an update that cannot be encoded loses the others as well.
        encode(UpdateBatch((update,)))
        self._sequence += 1
        for peer_id, pending in self._pending.items():
            if not self._is_remote(peer_id) or self._is_remote_hub(peer_id):
                pending.append(update)

    def queue_received_update(self, peer_id: str, update: GatewayUpdate) -> bool:
        """Queue a received update for other peers; return False for a duplicate."""
        if update.origin == self._own.peer_id:
            return False
        source_run = update.origin, update.incarnation
        if update.sequence <= self._seen.get(source_run, 0):
            return False
        self._seen[source_run] = update.sequence
        from_remote = self._is_remote(peer_id)
        for other, pending in self._pending.items():
            if other in (peer_id, update.origin):
                continue
            if not self._is_remote(other) or (
                not from_remote and self._is_remote_hub(other)
            ):
                pending.append(update)
        return True

    def take_batches(self) -> Iterator[tuple[str, UpdateBatch]]:
        """Yield each peer with its queued updates, and clear the queues."""
        for peer_id, pending in self._pending.items():
            if pending:
                self._pending[peer_id] = []
                yield peer_id, UpdateBatch(tuple(pending))
