"""Keep one connection to every other gateway."""

import asyncio
import inspect
import random
import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, NamedTuple

from absl import logging
from mode import Service

from dogwoodshed._internal.clock import Clock, PauseDetector
from dogwoodshed._internal.exceptions import MeshError, PeerUnavailableError
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.codec import Envelope
from dogwoodshed._internal.mesh.connection import Connection
from dogwoodshed._internal.mesh.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Leaving,
    ServiceLoad,
)
from dogwoodshed._internal.mesh.redial import RedialPace
from dogwoodshed._internal.mesh.traffic import PeerTraffic, TrafficCounter
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.settings import MeshSettings, Settings, split_address

Handler = Callable[[str, Any], Any | Awaitable[Any]]

FEATURE_REFUSAL = "refusal"
HELLO_TIMEOUT_S = 1.0
FLUSH_TIMEOUT_S = 0.5


class HeartbeatState(NamedTuple):
    """What this gateway tells its peers in every heartbeat."""

    state: str
    revision: int
    digest: str
    loads: tuple[ServiceLoad, ...] = ()
    hosts_revision: int = 0


class Mesh(Service):
    """Exchange messages with the other gateways."""

    mundane_level = "debug"

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        heartbeat_state: Callable[[], HeartbeatState],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._settings: MeshSettings = settings.mesh
        self._detect_refusal = settings.is_enabled(FEATURE_REFUSAL)
        self._membership = membership
        self._heartbeat_state = heartbeat_state
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        # Rises with every start, so that peers tell a restart from a reconnect.
        self._incarnation = time.time_ns() // 1000
        self._own = Hello(
            PROTOCOL_VERSION, settings.id, self._incarnation, settings.data_centre
        )
        self._connections: dict[str, Connection] = {}
        self._handlers: dict[type, list[Handler]] = {}
        self._connect_listeners: list[Callable[[str], None]] = []
        self._pause_listeners: list[Callable[[float], None]] = []
        # Peers count silence from the last heartbeat, so a pause that is shorter by
        # one heartbeat may already have cost this gateway its place.
        self._pauses = PauseDetector(
            clock, settings.mesh.dead_after_s - settings.mesh.heartbeat_s
        )
        self._dialling: dict[str, RedialPace] = {}
        self._answering: set[asyncio.Task[None]] = set()
        self._traffic = TrafficCounter()
        self._sequence = 0
        self._listener: asyncio.Server | None = None

    @property
    def id(self) -> str:
        return self._own.peer_id

    @property
    def incarnation(self) -> int:
        return self._incarnation

    @property
    def connected(self) -> tuple[str, ...]:
        return tuple(sorted(self._connections))

    @property
    def traffic(self) -> Mapping[str, PeerTraffic]:
        return self._traffic.totals(self._connections)

    def subscribe(self, message_type: type, handler: Handler) -> None:
        """Answer messages of a type; the handler may be a coroutine function."""
        self._handlers.setdefault(message_type, []).append(handler)

    def on_connect(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the peer's id at every new connection."""
        self._connect_listeners.append(listener)

    def on_pause(self, listener: Callable[[float], None]) -> None:
        """Call a listener after the process did not run for a while."""
        self._pause_listeners.append(listener)

    def send(self, peer_id: str, message: Any) -> bool:
        """Send a message without a reply; tell whether it was queued."""
        connection = self._connections.get(peer_id)
        return connection is not None and connection.send(message)

    def broadcast(self, message: Any) -> None:
        """Send a message to every connected peer."""
        for connection in list(self._connections.values()):
            connection.send(message)

    async def request(self, peer_id: str, message: Any, timeout: float) -> Any:
        """Send a request and return the reply; raises MeshError."""
        connection = self._connections.get(peer_id)
        if connection is None:
            raise PeerUnavailableError(peer_id)
        return await connection.request(message, timeout)

    async def on_start(self) -> None:
        """Listen for peers."""
        ip, port = split_address(self._settings.listen)
        self._listener = await asyncio.start_server(self._accept, ip, port)

    async def announce_leaving(self) -> None:
        """Tell all peers that this gateway stops."""
        self.broadcast(Leaving())
        await asyncio.gather(
            *(c.flush(FLUSH_TIMEOUT_S) for c in list(self._connections.values()))
        )

    async def on_stop(self) -> None:
        """Close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections.values()):
            connection.close()
        for task in self._answering:
            task.cancel()

    @Service.task
    async def _dial_known_peers(self) -> None:
        while not self.should_stop:
            for peer_id, address in self._membership.addresses.items():
                if peer_id not in self._dialling:
                    self._dialling[peer_id] = RedialPace(self._random)
                    self.add_future(self._keep_dialled(peer_id, address))
            await self.sleep(self._settings.heartbeat_s)

    @Service.task
    async def _send_heartbeats(self) -> None:
        while not self.should_stop:
            self.check_pause()
            self._sequence += 1
            self.broadcast(Heartbeat(self._sequence, *self._heartbeat_state()))
            self._membership.expire()
            self._close_silent()
            await self.sleep(
                self._settings.heartbeat_s * self._random.uniform(0.9, 1.1)
            )

    async def _keep_dialled(self, peer_id: str, address: str) -> None:
        pace = self._dialling[peer_id]
        while not self.should_stop and self._membership.address(peer_id) == address:
            if peer_id in self._connections:
                if await pace.wait_lost(self._settings.dead_after_s):
                    await self.sleep(pace.next_delay())
                continue
            started = self._clock.monotonic()
            try:
                await self._dial(address)
            except (OSError, MeshError) as error:
                self._metrics.increment("mesh.dial_failed")
                if isinstance(error, ConnectionRefusedError):
                    self._record_refusal(peer_id)
            pace.note_attempt(self._clock.monotonic() - started)
            await self.sleep(pace.next_delay())
        del self._dialling[peer_id]

    def _record_refusal(self, peer_id: str) -> None:
        # The peer may have connected to this gateway in the meantime.
        if self._detect_refusal and peer_id not in self._connections:
            self._membership.record_refusal(peer_id)

    async def _dial(self, address: str) -> None:
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*split_address(address))
        await self._run_connection(reader, writer, dialled=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._run_connection(reader, writer, dialled=False)
        except (OSError, MeshError):
            self._metrics.increment("mesh.accept_failed")

    async def _run_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        dialled: bool,
    ) -> None:
        try:
            connection = await Connection.open(
                reader, writer, self._own, dialled=dialled, timeout=HELLO_TIMEOUT_S
            )
        except BaseException:
            writer.transport.abort()
            raise
        peer_id = connection.hello.peer_id
        if not self._adopt(connection):
            connection.close()
            return
        try:
            while (envelopes := await connection.receive()) is not None:
                self.check_pause()
                for envelope in envelopes:
                    # What a closed connection still holds is out of date.
                    if not connection.closing:
                        self._handle(connection, envelope)
        finally:
            connection.close()
            if self._connections.get(peer_id) is connection:
                del self._connections[peer_id]
                if peer_id in self._dialling:
                    self._dialling[peer_id].note_lost()
            self._traffic.note_finished(connection)

    def _adopt(self, connection: Connection) -> bool:
        """Use a connection unless a better one to the same peer is open."""
        hello = connection.hello
        current = self._connections.get(hello.peer_id)
        if current is not None and not current.closing:
            same_process = current.hello.incarnation == hello.incarnation
            if current.hello.incarnation > hello.incarnation:
                return False
            # Both sides dialled at once: both keep what the lower id dialled.
            preferred = connection.dialled == (self.id < hello.peer_id)
            if same_process and not preferred:
                return False
            current.close()
        self._connections[hello.peer_id] = connection
        self._membership.record_hello(hello)
        # Before the heartbeat, which tells the peer that it has heard everything.
        for listener in self._connect_listeners:
            listener(hello.peer_id)
        self._sequence += 1
        connection.send(Heartbeat(self._sequence, *self._heartbeat_state()))
        return True

    def _handle(self, connection: Connection, envelope: Envelope) -> None:
        peer_id, message = connection.hello.peer_id, envelope.message
        if isinstance(message, Heartbeat):
            incarnation = connection.hello.incarnation
            self._membership.record_heartbeat(peer_id, incarnation, message)
        elif isinstance(message, Leaving):
            self._membership.record_leaving(peer_id, connection.hello.incarnation)
        for handler in self._handlers.get(type(message), ()):
            try:
                answer = handler(peer_id, message)
            except Exception:
                # A faulty message of one peer must not end this process.
                self._metrics.increment("mesh.handler_failed")
                logging.exception("%s from %s failed", type(message).__name__, peer_id)
            else:
                self._answer(connection, envelope, answer)

    def _answer(self, connection: Connection, envelope: Envelope, answer: Any) -> None:
        if inspect.isawaitable(answer):
            task = asyncio.ensure_future(
                self._answer_later(connection, envelope, answer)
            )
            self._answering.add(task)
            task.add_done_callback(self._answering.discard)
        elif answer is not None and envelope.request_id:
            connection.send(answer, -envelope.request_id)

    async def _answer_later(
        self, connection: Connection, envelope: Envelope, answer: Awaitable[Any]
    ) -> None:
        message = await answer
        if message is not None and envelope.request_id:
            connection.send(message, -envelope.request_id)

    def check_pause(self) -> None:
        """Drop everything that was learned from peers if the process was paused."""
        gap = self._pauses.tick()
        if gap:
            self._metrics.increment("pauses")
            logging.warning("process was paused for %.1f s", gap)
            # What waits in the socket buffers was sent before or during the pause.
            for connection in list(self._connections.values()):
                connection.close()
            self._membership.forget_views()
            for listener in self._pause_listeners:
                listener(gap)

    def _close_silent(self) -> None:
        for peer_id, connection in list(self._connections.items()):
            if not self._membership.seen_recently(peer_id):
                self._metrics.increment("mesh.silent_closed")
                connection.close()
