"""Pass news between gateways along a tree of relays."""

import asyncio
import random
import time
from typing import Any, Protocol

from mode import Service

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import MeshError
from dogwoodshed._internal.membership import STATE_LEAVING, STATE_READY
from dogwoodshed._internal.mesh.connection import Connection
from dogwoodshed._internal.mesh.messages import (
    PROTOCOL_VERSION,
    Bundle,
    Hello,
    Member,
    News,
    Roster,
    Table,
    TableRequest,
)
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.settings import Settings, split_address

# News leave at once after a quiet time and are gathered for this long otherwise; a
# larger fleet gathers longer, since every gateway decodes the news of all others.
GATHER_LEAST_S = 0.025
GATHER_PER_GATEWAY_S = 0.001
# Bytes between data centres have a price, and each bundle has headers of its own.
REMOTE_GATHER_S = 0.06
FULL_NEWS_S = 0.5
KEEPALIVE_S = 0.3
# Three missed keepalives; on loopback and in a data centre nothing else delays them.
SILENT_AFTER_S = 1.0
CONNECT_TIMEOUT_S = 0.3
TICK_S = 0.1
# A relay looks for gateways that it lost or never heard of.
SEEK_S = 1.0
# A connection that is not wanted any more serves its peer until that has another.
UNWANTED_AFTER_S = 2.0
TABLE_RETRY_S = 0.5


class NewsSource(Protocol):
    """Give what this gateway tells the others, and take what they tell."""

    @property
    def directory_failing(self) -> bool:
        """Tell whether the directory turns this gateway away."""

    def compose(self, *, full: bool) -> dict[str, Any] | None:
        """Return the fields of the next news, or None without any."""

    def take_news(self, news: News) -> None:
        """Use news of another gateway."""

    def table(self) -> Table:
        """Return everything known of the directory."""

    def take_table(self, table: Table) -> None:
        """Use what a peer knows of the directory."""


class Overlay(Service):
    """Keep the connections to relays and flood news over them."""

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
            settings.capacity.relay_weight,
        )
        self._hello = Hello(
            PROTOCOL_VERSION,
            own.id,
            incarnation,
            own.data_centre,
            address=own.address,
            relay_weight=own.relay_weight,
        )
        self._roster = FleetRoster(own, clock)
        self._source: NewsSource | None = None
        self._connections: dict[str, Connection] = {}
        self._heard_at: dict[str, float] = {}
        self._wanted_at: dict[str, float] = {}
        self._dialling: set[str] = set()
        self._seen: dict[str, tuple[int, int]] = {}
        self._pending: dict[str, list[News]] = {}
        self._sent_at: dict[str, float] = {}
        self._sequence = 0
        self._dirty = False
        self._flush_timer: asyncio.TimerHandle | None = None
        self._flushed_at = float("-inf")
        self._full_at = float("-inf")
        self._sought_at = float("-inf")
        self._table_asked_at = float("-inf")
        self._leaving = False
        self._listener: asyncio.Server | None = None

    @property
    def roster(self) -> FleetRoster:
        return self._roster

    @property
    def connected(self) -> tuple[str, ...]:
        return tuple(sorted(self._connections))

    def attach(self, source: NewsSource) -> None:
        """Set what composes and uses news."""
        self._source = source

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Use other first contacts, after a change of the settings."""
        self._seeds = seeds

    def publish(self) -> None:
        """Send news soon."""
        self._dirty = True
        self._schedule_flush()

    def ask_for_table(self) -> None:
        """Ask a peer for everything, because its news show a gap."""
        now = self._clock.monotonic()
        if now - self._table_asked_at < TABLE_RETRY_S:
            return
        self._table_asked_at = now
        for connection in list(self._connections.values()):
            self._metrics.increment("overlay.table_requests")
            connection.send(TableRequest())

    async def on_start(self) -> None:
        """Listen for peers."""
        ip, port = split_address(self._settings.mesh.listen)
        self._listener = await asyncio.start_server(self._accept, ip, port)

    async def announce_leaving(self) -> None:
        """Tell all peers that this gateway stops, and relay for nobody."""
        self._leaving = True
        self._roster.note_leaving()
        self._full_at = float("-inf")
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
            if now - self._full_at >= FULL_NEWS_S or (
                now - self._flushed_at >= KEEPALIVE_S
            ):
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
        if not (alone or self._roster.is_relay):
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
                self._roster.note_unreachable(peer_id)
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
                self._heard_at[hello.peer_id] = self._clock.monotonic()
                for envelope in envelopes:
                    self._handle(connection, envelope.message)
        except (OSError, MeshError):
            self._metrics.increment("overlay.connections_broken")
        finally:
            connection.close()
            if self._connections.get(hello.peer_id) is connection:
                del self._connections[hello.peer_id]
                self._pending.pop(hello.peer_id, None)

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
        now = self._clock.monotonic()
        self._connections[hello.peer_id] = connection
        self._heard_at[hello.peer_id] = self._wanted_at[hello.peer_id] = now
        self._pending[hello.peer_id] = []
        self._sent_at[hello.peer_id] = float("-inf")
        self._roster.note_member(
            Member(
                hello.peer_id,
                hello.address,
                hello.data_centre,
                hello.incarnation,
                hello.relay_weight,
            )
        )
        self._roster.note_heard(hello.peer_id, hello.incarnation, leaving=False)
        connection.send(Roster(self._roster.live))
        connection.send(self._source.table())
        self._full_at = float("-inf")
        self.publish()
        return True

    def _handle(self, connection: Connection, message: Any) -> None:
        peer_id = connection.hello.peer_id
        if isinstance(message, Bundle):
            for news in message.news:
                self._take(peer_id, news)
        elif isinstance(message, Roster):
            for member in message.members:
                self._note_told(member)
        elif isinstance(message, Table):
            self._source.take_table(message)
        elif isinstance(message, TableRequest):
            connection.send(self._source.table())

    def _note_told(self, member: Member) -> None:
        self._roster.note_member(member)
        self._roster.note_heard(member.id, member.incarnation, leaving=False)

    def _take(self, peer_id: str, news: News) -> None:
        if news.origin == self._hello.peer_id:
            return
        incarnation, sequence = self._seen.get(news.origin, (0, 0))
        if (news.incarnation, news.sequence) <= (incarnation, sequence):
            return
        self._seen[news.origin] = news.incarnation, news.sequence
        if news.address:
            self._roster.note_member(
                Member(
                    news.origin,
                    news.address,
                    news.data_centre,
                    news.incarnation,
                    news.relay_weight,
                )
            )
        leaving = news.state == STATE_LEAVING
        self._roster.note_heard(news.origin, news.incarnation, leaving=leaving)
        self._roster.note_reader(news.origin, failing=news.directory_failing)
        self._source.take_news(news)
        from_remote = self._is_remote(peer_id)
        for other, pending in self._pending.items():
            if other in (peer_id, news.origin):
                continue
            # The relays hold connections to each other and need no second copy.
            if not (from_remote and self._is_remote(other)):
                pending.append(news)
                self._schedule_flush()

    def _is_remote(self, peer_id: str) -> bool:
        connection = self._connections.get(peer_id)
        return (
            connection is not None
            and connection.hello.data_centre != self._hello.data_centre
        )

    def _close_silent(self, now: float) -> None:
        for peer_id, connection in list(self._connections.items()):
            if now - self._heard_at[peer_id] > SILENT_AFTER_S:
                self._metrics.increment("overlay.silent_closed")
                self._roster.note_unreachable(peer_id)
                connection.close()

    def _schedule_flush(self) -> None:
        if self._flush_timer is not None:
            return
        gather = max(GATHER_LEAST_S, GATHER_PER_GATEWAY_S * len(self._roster.live))
        delay = self._flushed_at + gather - self._clock.monotonic()
        loop = asyncio.get_running_loop()
        self._flush_timer = loop.call_later(max(0.0, delay), self._flush)

    def _flush(self) -> None:
        if self._flush_timer is not None:
            self._flush_timer.cancel()
            self._flush_timer = None
        now = self._clock.monotonic()
        own = self._own_news(now)
        self._flushed_at = now
        held = False
        for peer_id, connection in list(self._connections.items()):
            news = self._pending[peer_id]
            if own is not None:
                news.append(own)
            if now - self._sent_at[peer_id] < self._least_gap(peer_id):
                held = held or bool(news)
            elif news or now - self._sent_at[peer_id] >= KEEPALIVE_S:
                self._pending[peer_id] = []
                self._sent_at[peer_id] = now
                connection.send(Bundle(tuple(news)))
        if held:
            self._schedule_flush()

    def _least_gap(self, peer_id: str) -> float:
        return REMOTE_GATHER_S if self._is_remote(peer_id) else 0.0

    def _own_news(self, now: float) -> News | None:
        full = now - self._full_at >= FULL_NEWS_S
        if not (full or self._dirty) or self._source is None:
            return None
        self._dirty = False
        fields = self._source.compose(full=full)
        if full:
            self._full_at = now
            fields = fields or {}
            fields["address"] = self._hello.address
            fields["data_centre"] = self._hello.data_centre
            fields["relay_weight"] = self._hello.relay_weight
            fields["state"] = STATE_LEAVING if self._leaving else STATE_READY
        if fields is None:
            return None
        fields["directory_failing"] = self._source.directory_failing
        self._sequence += 1
        return News(
            self._hello.peer_id, self._hello.incarnation, self._sequence, **fields
        )
