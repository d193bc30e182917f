"""Keep the connections between gateways along a tree of relays."""

import asyncio
import random
import time
from typing import Any, Protocol

from mode import Service

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import MeshError
from dogwoodshed._internal.membership import STATE_LEAVING
from dogwoodshed._internal.mesh.connection import Connection
from dogwoodshed._internal.mesh.load_exchange import (
    KEEPALIVE_S,
    LoadDelegate,
    LoadExchange,
)
from dogwoodshed._internal.mesh.messages import (
    PROTOCOL_VERSION,
    DirectorySnapshot,
    FleetLoad,
    GatewayLoad,
    GatewayUpdate,
    Hello,
    LoadAcknowledgement,
    Member,
    MemberList,
    SnapshotRequest,
    UpdateBatch,
)
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.mesh.snapshot_requester import SnapshotRequester
from dogwoodshed._internal.mesh.update_flood import UpdateFlood
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.settings import Settings, split_address

# Messages leave at once after a quiet time and are gathered for this long otherwise; a
# larger fleet gathers longer, since its relays send to more gateways.
GATHER_LEAST_S = 0.025
GATHER_PER_GATEWAY_S = 0.0005
# Three missed keepalives; on loopback and in a data centre nothing else delays them.
SILENT_AFTER_S = 1.0
CONNECT_TIMEOUT_S = 0.3
TICK_S = 0.1
# A relay looks for gateways that it lost or never heard of.
SEEK_S = 1.0
# A connection that is not wanted any more serves its peer until that has another.
UNWANTED_AFTER_S = 2.0


class OverlayDelegate(LoadDelegate, Protocol):
    """Give what this gateway tells the others, and take what they tell."""

    @property
    def directory_revision(self) -> int:
        """Return how far this gateway knows the directory."""

    def compose_update(self) -> dict[str, Any] | None:
        """Return the fields of the next news, or None without any."""

    def apply_update(self, news: GatewayUpdate) -> None:
        """Use news of another gateway."""

    def snapshot(self) -> DirectorySnapshot:
        """Return everything known of the directory."""

    def apply_snapshot(self, snapshot: DirectorySnapshot, *, announce: bool) -> None:
        """Use what a peer knows of the directory, and tell what was new if asked to."""

    def record_peer_progress(self, revision: int, age_ms: int) -> None:
        """Note how far and how freshly a peer knows the directory."""


class Overlay(Service):
    """Keep the connections to relays; loads and news pass over them."""

    mundane_level = "debug"

    def __init__(self, settings: Settings, clock: Clock, metrics: Metrics) -> None:
        super().__init__()
        self._settings = settings
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._seeds = settings.mesh.seeds
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
        self._source: OverlayDelegate | None = None
        self._connections: dict[str, Connection] = {}
        self._last_seen_at: dict[str, float] = {}
        self._wanted_at: dict[str, float] = {}
        self._dialling: set[str] = set()
        self._news = UpdateFlood(self._hello, self._is_remote)
        self._loads = LoadExchange(self._hello, self._roster, clock)
        self._tables = SnapshotRequester(self._roster, clock, metrics)
        self._flush_timer: asyncio.TimerHandle | None = None
        self._flushed_at = float("-inf")
        self._sought_at = float("-inf")
        self._listener: asyncio.Server | None = None

    @property
    def roster(self) -> FleetRoster:
        return self._roster

    @property
    def connected(self) -> tuple[str, ...]:
        return tuple(sorted(self._connections))

    def attach(self, source: OverlayDelegate) -> None:
        """Set what composes and uses loads and news."""
        self._source = source
        self._loads.attach(source)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other first contacts, after a change of the settings."""
        self._seeds = seeds

    def publish(self) -> None:
        """Send what is new soon."""
        self._schedule_flush()

    def request_snapshot(self) -> None:
        """Ask a peer for everything, because its news show a gap."""
        self._tables.close_gap(self._connections)

    async def on_start(self) -> None:
        """Listen for peers."""
        ip, port = split_address(self._settings.mesh.listen)
        self._listener = await asyncio.start_server(self._accept, ip, port)

    async def announce_leaving(self) -> None:
        """Tell all peers that this gateway stops, and relay for nobody."""
        self._roster.record_leaving()
        self._news.add_own({"state": STATE_LEAVING})
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
            now = self._clock.monotonic()
            self._roster.refresh()
            self._close_silent(now)
            self._dial_wanted(now)
            self._seek(now)
            if now - self._flushed_at >= KEEPALIVE_S - TICK_S:
                self._flush()
            await self.sleep(TICK_S)

    def _dial_wanted(self, now: float) -> None:
        wanted = self._roster.wanted_peers()
        for member in wanted:
            self._wanted_at[member.id] = now
            if member.id not in self._connections:
                self._dial_soon(member.address, member.id)
        for peer_id, connection in list(self._connections.items()):
            unwanted = now - self._wanted_at.setdefault(peer_id, now)
            if connection.dialled and unwanted > UNWANTED_AFTER_S:
                connection.close()

    def _seek(self, now: float) -> None:
        alone = not self._connections
        if not (alone or self._roster.is_hub):
            return
        if now - self._sought_at < (SEEK_S if not alone else 2 * TICK_S):
            return
        self._sought_at = now
        self._roster.forget_old()
        live = {member.id for member in self._roster.live}
        live_addresses = {member.address for member in self._roster.live}
        for seed in self._seeds:
            if seed not in live_addresses and seed != self._settings.mesh.listen:
                self._dial_soon(seed, None)
        lost = [m for m in self._roster.known if m.id not in live]
        if lost:
            member = self._random.choice(lost)
            self._dial_soon(member.address, member.id)

    def _dial_soon(self, address: str, peer_id: str | None) -> None:
        if address in self._dialling or address == self._settings.mesh.listen:
            return
        self._dialling.add(address)
        self.add_future(self._dial(address, peer_id))

    async def _dial(self, address: str, peer_id: str | None) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*split_address(address))
                connection = await self._open(reader, writer, dialled=True)
        except (OSError, MeshError):
            # TimeoutError is an OSError. The roster chooses another relay.
            self._metrics.increment("overlay.dial_failed")
            if peer_id is not None:
                self._roster.record_unreachable(peer_id)
            return
        finally:
            self._dialling.discard(address)
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
    ) -> Connection:
        try:
            return await Connection.open(
                reader, writer, self._hello, dialled=dialled, timeout=CONNECT_TIMEOUT_S
            )
        except BaseException:
            writer.transport.abort()
            raise

    async def _serve(self, connection: Connection) -> None:
        hello = connection.hello
        if not self._adopt(connection):
            connection.close()
            return
        try:
            while (envelopes := await connection.receive()) is not None:
                self._last_seen_at[hello.peer_id] = self._clock.monotonic()
                self._roster.record_seen(
                    hello.peer_id, hello.incarnation, leaving=False
                )
                for envelope in envelopes:
                    self._handle(connection, envelope.message)
        except (OSError, MeshError):
            self._metrics.increment("overlay.connections_broken")
        finally:
            connection.close()
            if self._connections.get(hello.peer_id) is connection:
                self._drop(hello.peer_id)

    def _drop(self, peer_id: str) -> None:
        del self._connections[peer_id]
        self._news.drop_peer(peer_id)
        self._loads.drop_peer(peer_id)

    def _adopt(self, connection: Connection) -> bool:
        hello = connection.hello
        current = self._connections.get(hello.peer_id)
        if current is not None and not current.closing:
            if current.hello.incarnation > hello.incarnation:
                return False
            # Both sides dialled at once: both keep what the lower id dialled.
            preferred = connection.dialled == (self._hello.peer_id < hello.peer_id)
            if current.hello.incarnation == hello.incarnation and not preferred:
                return False
            current.close()
        if current is not None:
            self._drop(hello.peer_id)
        now = self._clock.monotonic()
        self._connections[hello.peer_id] = connection
        self._last_seen_at[hello.peer_id] = self._wanted_at[hello.peer_id] = now
        self._news.add_peer(hello.peer_id)
        self._loads.add_peer(remote=self._is_remote(hello.peer_id))
        self._roster.record_member(
            Member(
                hello.peer_id,
                hello.address,
                hello.data_centre,
                hello.incarnation,
                hello.hub_weight,
            )
        )
        self._roster.record_seen(hello.peer_id, hello.incarnation, leaving=False)
        connection.send(
            MemberList(self._roster.live, **self._source.directory_progress())
        )
        self.publish()
        return True

    def _handle(self, connection: Connection, message: Any) -> None:
        peer_id = connection.hello.peer_id
        if isinstance(message, FleetLoad):
            self._loads.take_fleet(peer_id, message)
            self._schedule_flush_as_relay()
        elif isinstance(message, GatewayLoad):
            self._loads.take_host(peer_id, message)
            self._schedule_flush()
        elif isinstance(message, LoadAcknowledgement):
            self._loads.take_received(peer_id, message)
        elif isinstance(message, UpdateBatch):
            for news in message.updates:
                self._take(peer_id, news)
        elif isinstance(message, MemberList):
            self._take_roster(connection, message)
        elif isinstance(message, DirectorySnapshot):
            # Gateways behind this one ask it for the table themselves. If each passed
            # on what it is told, a fleet that starts would tell everything by everyone.
            self._source.apply_snapshot(message, announce=self._roster.is_hub)
        elif isinstance(message, SnapshotRequest):
            connection.send(self._source.snapshot())

    def _take_roster(self, connection: Connection, roster: MemberList) -> None:
        for member in roster.members:
            self._note_told(member)
        self._dial_wanted(self._clock.monotonic())
        behind = roster.directory_revision > self._source.directory_revision
        self._source.record_peer_progress(
            roster.directory_revision, roster.directory_age_ms
        )
        if behind:
            self._tables.note_ahead(connection)

    def _note_told(self, member: Member) -> None:
        self._roster.record_member(member)
        self._roster.record_seen(member.id, member.incarnation, leaving=False)

    def _take(self, peer_id: str, news: GatewayUpdate) -> None:
        if not self._news.take(peer_id, news):
            return
        leaving = news.state == STATE_LEAVING
        self._roster.record_seen(news.origin, news.incarnation, leaving=leaving)
        self._source.apply_update(news)
        self._schedule_flush()

    def _is_remote(self, peer_id: str) -> bool:
        connection = self._connections.get(peer_id)
        return (
            connection is not None
            and connection.hello.data_centre != self._hello.data_centre
        )

    def _close_silent(self, now: float) -> None:
        for peer_id, connection in list(self._connections.items()):
            if now - self._last_seen_at[peer_id] > SILENT_AFTER_S:
                self._metrics.increment("overlay.silent_closed")
                self._roster.record_unreachable(peer_id)
                connection.close()

    def _schedule_flush(self) -> None:
        if self._flush_timer is not None:
            return
        gather = max(GATHER_LEAST_S, GATHER_PER_GATEWAY_S * len(self._roster.live))
        delay = self._flushed_at + gather - self._clock.monotonic()
        loop = asyncio.get_running_loop()
        self._flush_timer = loop.call_later(max(0.0, delay), self._flush)

    def _schedule_flush_as_relay(self) -> None:
        if self._roster.is_hub:
            self._schedule_flush()

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        self._flushed_at = self._clock.monotonic()
        if self._source is None:
            return
        fields = self._source.compose_update()
        if fields is not None:
            self._news.add_own(fields)
        for peer_id, bundle in self._news.take_pending():
            self._connections[peer_id].send(bundle)
        if self._loads.flush(self._connections):
            self._schedule_flush()
