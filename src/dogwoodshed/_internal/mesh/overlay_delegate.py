"""Define what the overlay needs from the rest of a gateway."""

from typing import Any, Protocol

from dogwoodshed._internal.directory.model import DirectoryRevision
from dogwoodshed._internal.mesh.fleet_messages import DirectorySnapshot, GatewayUpdate
from dogwoodshed._internal.mesh.load_exchange import LoadDelegate
from dogwoodshed._internal.mesh.placement_messages import (
    PlacementEnd,
    PlacementReply,
    PlacementRequest,
)


class OverlayDelegate(LoadDelegate, Protocol):
    """Provide the updates and loads of this gateway and apply those of others."""

    @property
    def directory_revision(self) -> DirectoryRevision:
        """Return the revision of the directory data of this gateway."""

    def compose_update(self) -> dict[str, Any] | None:
        """Return the fields of the next update, or None if nothing changed."""

    def apply_update(self, update: GatewayUpdate) -> None:
        """Apply the update of another gateway."""

    def snapshot(self) -> DirectorySnapshot:
        """Return all directory data of this gateway."""

    def handle_placement_request(self, peer_id: str, request: PlacementRequest) -> None:
        """Place a call of another gateway."""

    def handle_placement_reply(self, peer_id: str, reply: PlacementReply) -> None:
        """Use the place that the hub grants, or place the call here."""

    def handle_placement_end(self, peer_id: str, end: PlacementEnd) -> None:
        """Free the place of a call of another gateway."""

    def drop_peer(self, peer_id: str) -> None:
        """Free the places of a peer whose connection ended."""

    def apply_snapshot(self, snapshot: DirectorySnapshot, *, announce: bool) -> None:
        """Apply the directory data of a peer; announce new data if `announce`."""

    def record_peer_progress(self, revision: DirectoryRevision, age_ms: int) -> None:
        """Record the revision and age of the directory data of a peer."""
