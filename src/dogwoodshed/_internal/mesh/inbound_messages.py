"""Handle the messages that peers of the overlay send."""

from collections.abc import Callable
from functools import singledispatchmethod
from typing import Any

from dogwoodshed._internal.membership import STATE_LEAVING
from dogwoodshed._internal.mesh.connection import PeerConnection
from dogwoodshed._internal.mesh.fleet_messages import (
    DirectorySnapshot,
    FleetLoad,
    GatewayLoad,
    GatewayUpdate,
    LoadAcknowledgement,
    MemberList,
    SnapshotRequest,
    UpdateBatch,
)
from dogwoodshed._internal.mesh.load_exchange import LoadExchange
from dogwoodshed._internal.mesh.overlay_delegate import OverlayDelegate
from dogwoodshed._internal.mesh.placement_messages import (
    PlacementEnd,
    PlacementReply,
    PlacementRequest,
)
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.mesh.snapshot_requester import SnapshotRequester
from dogwoodshed._internal.mesh.update_flood import UpdateFlood


class InboundMessages:
    """Pass each message to the part of the gateway that it concerns."""

    def __init__(
        self,
        roster: FleetRoster,
        load_exchange: LoadExchange,
        update_flood: UpdateFlood,
        snapshot_requester: SnapshotRequester,
        delegate: OverlayDelegate,
        *,
        dial_wanted: Callable[[], None],
        schedule_flush: Callable[[], None],
    ) -> None:
        self._roster = roster
        self._load_exchange = load_exchange
        self._update_flood = update_flood
        self._snapshot_requester = snapshot_requester
        self._delegate = delegate
        self._dial_wanted = dial_wanted
        self._schedule_flush = schedule_flush

    @singledispatchmethod
    def handle(self, message: Any, connection: PeerConnection) -> None:
        """Handle a message; ignore those of other kinds of fleets."""

    @handle.register
    def _(self, message: PlacementRequest, connection: PeerConnection) -> None:
        self._delegate.handle_placement_request(connection.hello.peer_id, message)

    @handle.register
    def _(self, message: PlacementReply, connection: PeerConnection) -> None:
        self._delegate.handle_placement_reply(connection.hello.peer_id, message)

    @handle.register
    def _(self, message: PlacementEnd, connection: PeerConnection) -> None:
        self._delegate.handle_placement_end(connection.hello.peer_id, message)

    @handle.register
    def _(self, message: FleetLoad, connection: PeerConnection) -> None:
        self._load_exchange.handle_fleet_load(connection.hello.peer_id, message)
        if self._roster.is_hub:
            self._schedule_flush()

    @handle.register
    def _(self, message: GatewayLoad, connection: PeerConnection) -> None:
        self._load_exchange.handle_gateway_load(connection.hello.peer_id, message)
        self._schedule_flush()

    @handle.register
    def _(self, message: LoadAcknowledgement, connection: PeerConnection) -> None:
        self._load_exchange.handle_acknowledgement(connection.hello.peer_id, message)

    @handle.register
    def _(self, message: UpdateBatch, connection: PeerConnection) -> None:
        for update in message.updates:
            self._handle_update(connection.hello.peer_id, update)

    @handle.register
    def _(self, message: MemberList, connection: PeerConnection) -> None:
        self._roster.record_live(message.members)
        self._dial_wanted()
        revision = message.reached_revision
        is_behind = revision > self._delegate.directory_revision
        self._delegate.record_peer_progress(revision, message.directory_age_ms)
        if is_behind:
            self._snapshot_requester.request_from_new_peer(connection)

    @handle.register
    def _(self, message: DirectorySnapshot, connection: PeerConnection) -> None:
        # Other gateways request the snapshot from their hub themselves. If each
        # forwarded it, a starting fleet would send everything from every gateway.
        self._delegate.apply_snapshot(message, announce=self._roster.is_hub)

    @handle.register
    def _(self, message: SnapshotRequest, connection: PeerConnection) -> None:
        connection.send(self._delegate.snapshot())

    def _handle_update(self, peer_id: str, update: GatewayUpdate) -> None:
        if not self._update_flood.queue_received_update(peer_id, update):
            return
        leaving = update.state == STATE_LEAVING
        self._roster.record_seen(update.origin, update.incarnation, leaving=leaving)
        self._delegate.apply_update(update)
        self._schedule_flush()
