"""Connect the gateways of a fleet in a tree of hubs, one for each data centre."""

import asyncio
import time
from typing import Any

from mode import Service

from dogwoodshed._internal.background import log_unexpected_errors
from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.directory.model import PRIMARY_READERS
from dogwoodshed._internal.exceptions import MeshError
from dogwoodshed._internal.membership import STATE_LEAVING
from dogwoodshed._internal.mesh.connection import PeerConnection
from dogwoodshed._internal.mesh.fleet_messages import (
    Member,
    MemberList,
)
from dogwoodshed._internal.mesh.inbound_messages import InboundMessages
from dogwoodshed._internal.mesh.load_exchange import (
    KEEPALIVE_S,
    LoadExchange,
)
from dogwoodshed._internal.mesh.messages import (
    PROTOCOL_VERSION,
    Hello,
)
from dogwoodshed._internal.mesh.overlay_delegate import OverlayDelegate
from dogwoodshed._internal.mesh.peer_finder import PeerAddress, PeerFinder
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.mesh.snapshot_requester import SnapshotRequester
from dogwoodshed._internal.mesh.update_flood import UpdateFlood
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.settings import Settings, split_address

# Minimum time between two flushes; if the last one was earlier, messages are sent at
# once. Gateways other than hubs wait longer in a large fleet, since their hub then
# receives the loads of more gateways.
MIN_FLUSH_INTERVAL_S = 0.025
FLUSH_INTERVAL_PER_GATEWAY_S = 0.0005
# Three missed keepalives; nothing else delays them this long in a data centre or on
# loopback.
SILENCE_TIMEOUT_S = 1.0
# Without a message for this long, more than one keepalive is missing, and changes of
# the directory may be missing as well.
SOURCE_SILENCE_S = 0.5
CONNECT_TIMEOUT_S = 0.3
MAINTENANCE_INTERVAL_S = 0.1


class Overlay(Service):
    """Maintain connections to hubs, and exchange loads and updates over them."""

    mundane_level = "debug"

    def __init__(self, settings: Settings, clock: Clock, metrics: Metrics) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        incarnation = time.time_ns() // 1000
        own = Member(
            settings.id,
            settings.mesh.listen,
            settings.data_centre,
            incarnation,
            settings.capacity.hub_weight,
        )
        self._hello = Hello(
            PROTOCOL_VERSION,
            own.id,
            incarnation,
            own.data_centre,
            address=own.address,
            hub_weight=own.hub_weight,
        )
        self._roster = FleetRoster(own, clock)
        self._finder = PeerFinder(self._roster, own.address, settings.mesh.seeds)
        self._delegate: OverlayDelegate | None = None
        self._connections: dict[str, PeerConnection] = {}
        self._last_seen_at: dict[str, float] = {}
        # Last message of a gateway from which changes of the directory arrive.
        self._source_seen_at = clock.monotonic()
        self._dialling: set[str] = set()
        # The hub that each connected peer was told to use.
        self._advised_hubs: dict[str, Member] = {}
        self._update_flood = UpdateFlood(
            self._hello, self._is_remote, self._is_remote_hub
        )
        self._load_exchange = LoadExchange(self._hello, self._roster, clock)
        self._snapshot_requester = SnapshotRequester(self._roster, clock, metrics)
        self._flush_timer: asyncio.TimerHandle | None = None
        self._flushed_at = float("-inf")
        self._listener: asyncio.Server | None = None

    @property
    def roster(self) -> FleetRoster:
        return self._roster

    @property
    def connected(self) -> tuple[str, ...]:
        return tuple(sorted(self._connections))

    @property
    def hub(self) -> str:
        """The hub to which this gateway sends its load; empty before the first."""
        return self._load_exchange.hub

    @property
    def connected_hub(self) -> str | None:
        """The hub that gets the load of this gateway; None without a connection."""
        hub = self.hub
        connection = self._connections.get(hub)
        return hub if connection is not None and not connection.closing else None

    def send_to(self, peer_id: str, message: Any) -> bool:
        """Send a message to a peer; return False without an open connection."""
        connection = self._connections.get(peer_id)
        return connection is not None and connection.send(message)

    def check_source_silence(self) -> bool:
        """Return whether the gateways that send changes of the directory are silent.

        Changes reach a gateway through its hub, and a hub from the first readers of the
        directory or their hubs.
        """
        sources = (self._roster.hub(self._hello.data_centre),)
        if self._roster.is_hub:
            readers = self._roster.readers[:PRIMARY_READERS]
            sources = (
                *readers,
                *(self._roster.hub(reader.data_centre) for reader in readers),
            )
        seen_at = [
            self._last_seen_at[source.id]
            for source in sources
            if source is not None and source.id in self._last_seen_at
        ]
        self._source_seen_at = max([self._source_seen_at, *seen_at])
        return self._clock.monotonic() - self._source_seen_at > SOURCE_SILENCE_S

    def attach(self, delegate: OverlayDelegate) -> None:
        """Set the delegate that provides and applies loads and updates."""
        self._delegate = delegate
        self._load_exchange.attach(delegate)
        self._inbound = InboundMessages(
            self._roster,
            self._load_exchange,
            self._update_flood,
            self._snapshot_requester,
            delegate,
            dial_wanted=self._dial_wanted,
            schedule_flush=self._schedule_flush,
        )

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses of the seeds after a change of the settings."""
        self._finder.set_seeds(seeds)

    def publish(self) -> None:
        """Schedule a flush of changed loads and updates."""
        self._schedule_flush()

    def request_snapshot(self) -> None:
        """Request a directory snapshot, because updates are missing."""
        self._snapshot_requester.request_missing(self._connections)

    async def on_start(self) -> None:
        """Start to listen for peers."""
        ip, port = split_address(self._settings.mesh.listen)
        self._listener = await asyncio.start_server(self._accept, ip, port)

    async def announce_leaving(self) -> None:
        """Announce to all peers that this gateway stops, and stop being a hub."""
        self._roster.record_leaving()
        self._update_flood.queue_own_update({"state": STATE_LEAVING})
        self._flush()

    async def on_stop(self) -> None:
        """Close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections.values()):
            connection.close()

    @Service.task
    async def _maintain(self) -> None:
        while not self.should_stop:
            with log_unexpected_errors("overlay", self._metrics):
                self._maintain_once()
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    def _maintain_once(self) -> None:
        now = self._clock.monotonic()
        self._roster.refresh()
        self._close_silent(now)
        self._dial_wanted()
        self._discover_peers(now)
        self._advise_peers()
        if now - self._flushed_at >= KEEPALIVE_S - MAINTENANCE_INTERVAL_S:
            self._flush()

    def _dial_wanted(self) -> None:
        now = self._clock.monotonic()
        for peer in self._finder.wanted(self._connections, now):
            self._schedule_dial(peer)
        for peer_id, connection in list(self._connections.items()):
            if connection.dialled and self._finder.is_unused(peer_id, now):
                connection.close()

    def _discover_peers(self, now: float) -> None:
        for peer in self._finder.discover(isolated=not self._connections, now=now):
            self._schedule_dial(peer)

    def _advise_peers(self) -> None:
        """Tell each peer the hub of its data centre, if that is a third gateway.

        A peer that joined before it knew the other gateways of its data centre would
        otherwise take itself, or this gateway, for the hub.
        """
        for peer_id, connection in self._connections.items():
            hub = self._roster.hub(connection.hello.data_centre)
            if hub is None or hub.id in (peer_id, self._hello.peer_id):
                continue
            if self._advised_hubs.get(peer_id) != hub:
                self._advised_hubs[peer_id] = hub
                connection.send(MemberList((hub,), 0, -1))

    def _schedule_dial(self, peer: PeerAddress) -> None:
        if peer.address in self._dialling or (
            peer.address == self._settings.mesh.listen
        ):
            return
        self._dialling.add(peer.address)
        self.add_future(self._dial(peer))

    async def _dial(self, peer: PeerAddress) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *split_address(peer.address)
                )
                connection = await self._open(reader, writer, dialled=True)
        except (OSError, MeshError):
            # TimeoutError is an OSError. The roster chooses another hub.
            self._metrics.increment("overlay.dial_failed")
            if peer.id is not None:
                self._roster.record_unreachable(peer.id)
            return
        finally:
            self._dialling.discard(peer.address)
        await self._serve(connection)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            connection = await self._open(reader, writer, dialled=False)
        except (OSError, MeshError):
            self._metrics.increment("overlay.accept_failed")
            return
        await self._serve(connection)

    async def _open(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        dialled: bool,
    ) -> PeerConnection:
        try:
            return await PeerConnection.open(
                reader, writer, self._hello, dialled=dialled, timeout=CONNECT_TIMEOUT_S
            )
        except BaseException:
            writer.transport.abort()
            raise

    async def _serve(self, connection: PeerConnection) -> None:
        peer_id = connection.hello.peer_id
        # After an unexpected error the connection is closed, and dialled again.
        with log_unexpected_errors("overlay", self._metrics):
            try:
                if self._register(connection):
                    await self._receive_all(connection)
            finally:
                connection.close()
                if self._connections.get(peer_id) is connection:
                    self._unregister(peer_id)

    async def _receive_all(self, connection: PeerConnection) -> None:
        hello = connection.hello
        try:
            while (envelopes := await connection.receive()) is not None:
                self._last_seen_at[hello.peer_id] = self._clock.monotonic()
                self._roster.record_seen(
                    hello.peer_id, hello.incarnation, leaving=False
                )
                for envelope in envelopes:
                    self._inbound.handle(envelope.message, connection)
        except (OSError, MeshError):
            self._metrics.increment("overlay.connections_broken")

    def _unregister(self, peer_id: str) -> None:
        del self._connections[peer_id]
        self._advised_hubs.pop(peer_id, None)
        self._update_flood.drop_peer(peer_id)
        self._load_exchange.drop_peer(peer_id)
        self._delegate.drop_peer(peer_id)

    def _register(self, connection: PeerConnection) -> bool:
        """Use a new connection; return False if the existing one is kept instead."""
        hello = connection.hello
        existing = self._connections.get(hello.peer_id)
        if existing is not None and not existing.closing:
            if existing.hello.incarnation > hello.incarnation:
                return False
            # Both sides dialled at the same time: both keep the connection that the
            # gateway with the lower id dialled.
            preferred = connection.dialled == (self._hello.peer_id < hello.peer_id)
            if existing.hello.incarnation == hello.incarnation and not preferred:
                return False
            existing.close()
        if existing is not None:
            self._unregister(hello.peer_id)
        now = self._clock.monotonic()
        self._connections[hello.peer_id] = connection
        self._last_seen_at[hello.peer_id] = now
        self._finder.record_connected(hello.peer_id, now)
        self._update_flood.add_peer(hello.peer_id)
        self._load_exchange.add_peer(remote=self._is_remote(hello.peer_id))
        member = Member(
            hello.peer_id,
            hello.address,
            hello.data_centre,
            hello.incarnation,
            hello.hub_weight,
        )
        self._roster.record_live((member,))
        # A peer in another data centre needs only the hubs: its own hub sends it the
        # other members, and traffic between data centres is billed.
        is_remote = self._is_remote(hello.peer_id)
        members = self._roster.hubs if is_remote else self._roster.live
        connection.send(MemberList(members, **self._delegate.directory_progress()))
        self.publish()
        return True

    def _is_remote(self, peer_id: str) -> bool:
        connection = self._connections.get(peer_id)
        return (
            connection is not None
            and connection.hello.data_centre != self._hello.data_centre
        )

    def _is_remote_hub(self, peer_id: str) -> bool:
        connection = self._connections.get(peer_id)
        if connection is None or not self._is_remote(peer_id):
            return False
        hub = self._roster.hub(connection.hello.data_centre)
        return hub is not None and hub.id == peer_id

    def _close_silent(self, now: float) -> None:
        for peer_id, connection in list(self._connections.items()):
            if now - self._last_seen_at[peer_id] > SILENCE_TIMEOUT_S:
                self._metrics.increment("overlay.silent_closed")
                self._roster.record_unreachable(peer_id)
                connection.close()

    def _schedule_flush(self) -> None:
        if self._flush_timer is not None:
            return
        interval = MIN_FLUSH_INTERVAL_S
        if not self._roster.is_hub:
            interval = max(
                interval, FLUSH_INTERVAL_PER_GATEWAY_S * len(self._roster.live)
            )
        delay = self._flushed_at + interval - self._clock.monotonic()
        loop = asyncio.get_running_loop()
        self._flush_timer = loop.call_later(max(0.0, delay), self._flush)

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        self._flushed_at = self._clock.monotonic()
        if self._delegate is None:
            return
        # An error in one part, or for one peer, does not affect the others.
        with log_unexpected_errors("overlay", self._metrics):
            fields = self._delegate.compose_update()
            if fields is not None:
                self._update_flood.queue_own_update(fields)
        for peer_id, batch in self._update_flood.take_batches():
            with log_unexpected_errors("overlay", self._metrics):
                self._connections[peer_id].send(batch)
        with log_unexpected_errors("overlay", self._metrics):
            if self._load_exchange.flush(self._connections):
                self._schedule_flush()
