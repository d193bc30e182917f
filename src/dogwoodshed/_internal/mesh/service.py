"""Keep one connection to every other gateway and exchange messages over it."""

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
from dogwoodshed._internal.mesh.connection import PeerConnection
from dogwoodshed._internal.mesh.messages import (
    PROTOCOL_VERSION,
    Heartbeat,
    Hello,
    Leaving,
    ServiceLoad,
)
from dogwoodshed._internal.mesh.redial import RedialBackoff
from dogwoodshed._internal.mesh.traffic import PeerTraffic, TrafficCounter
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.settings import MeshSettings, Settings, split_address

Handler = Callable[[str, Any], Any | Awaitable[Any]]

FEATURE_REFUSAL = "refusal"
HELLO_TIMEOUT_S = 1.0
FLUSH_TIMEOUT_S = 0.5


class HeartbeatState(NamedTuple):
    """The fields of a heartbeat that describe this gateway."""

    state: str
    revision: int
    digest: str
    loads: tuple[ServiceLoad, ...] = ()
    hosts_revision: int = 0


class Mesh(Service):
    """Maintain a full mesh of connections between gateways."""

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
        # Increases with every start, so that peers can detect a restart.
        self._incarnation = time.time_ns() // 1000
        self._own_hello = Hello(
            PROTOCOL_VERSION, settings.id, self._incarnation, settings.data_centre
        )
        self._connections: dict[str, PeerConnection] = {}
        self._handlers: dict[type, list[Handler]] = {}
        self._connect_listeners: list[Callable[[str], None]] = []
        self._pause_listeners: list[Callable[[float], None]] = []
        # Peers measure silence from the last heartbeat. A pause that is one heartbeat
        # shorter than the limit may already have made them count this gateway as dead.
        self._pause_detector = PauseDetector(
            clock, settings.mesh.dead_after_s - settings.mesh.heartbeat_s
        )
        self._dialling: dict[str, RedialBackoff] = {}
        self._reply_tasks: set[asyncio.Task[None]] = set()
        self._traffic = TrafficCounter()
        self._sequence = 0
        self._listener: asyncio.Server | None = None

    @property
    def id(self) -> str:
        return self._own_hello.peer_id

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
        """Add a handler for a message type; it may be a coroutine function."""
        self._handlers.setdefault(message_type, []).append(handler)

    def on_connect(self, listener: Callable[[str], None]) -> None:
        """Call a listener with the peer's id at every new connection."""
        self._connect_listeners.append(listener)

    def on_pause(self, listener: Callable[[float], None]) -> None:
        """Call a listener after the process was paused, with the duration."""
        self._pause_listeners.append(listener)

    def send(self, peer_id: str, message: Any) -> bool:
        """Send a message without a reply; return whether it was queued."""
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
        """Start to listen for peers."""
        ip, port = split_address(self._settings.listen)
        self._listener = await asyncio.start_server(self._accept, ip, port)

    async def announce_leaving(self) -> None:
        """Announce to all peers that this gateway stops."""
        self.broadcast(Leaving())
        await asyncio.gather(
            *(
                connection.flush(FLUSH_TIMEOUT_S)
                for connection in list(self._connections.values())
            )
        )

    async def on_stop(self) -> None:
        """Close all connections."""
        if self._listener is not None:
            self._listener.close()
        for connection in list(self._connections.values()):
            connection.close()
        for task in self._reply_tasks:
            task.cancel()

    @Service.task
    async def _dial_known_peers(self) -> None:
        while not self.should_stop:
            for peer_id, address in self._membership.addresses.items():
                if peer_id not in self._dialling:
                    self._dialling[peer_id] = RedialBackoff(self._random)
                    self.add_future(self._maintain_connection(peer_id, address))
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

    async def _maintain_connection(self, peer_id: str, address: str) -> None:
        backoff = self._dialling[peer_id]
        while not self.should_stop and self._membership.address(peer_id) == address:
            if peer_id in self._connections:
                if await backoff.wait_for_loss(self._settings.dead_after_s):
                    await self.sleep(backoff.next_delay())
                continue
            started = self._clock.monotonic()
            try:
                await self._dial(address)
            except (OSError, MeshError) as error:
                self._metrics.increment("mesh.dial_failed")
                if isinstance(error, ConnectionRefusedError):
                    self._record_refusal(peer_id)
            backoff.record_attempt(self._clock.monotonic() - started)
            await self.sleep(backoff.next_delay())
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
            connection = await PeerConnection.open(
                reader,
                writer,
                self._own_hello,
                dialled=dialled,
                timeout=HELLO_TIMEOUT_S,
            )
        except BaseException:
            writer.transport.abort()
            raise
        peer_id = connection.hello.peer_id
        if not self._register(connection):
            connection.close()
            return
        try:
            while (envelopes := await connection.receive()) is not None:
                self.check_pause()
                for envelope in envelopes:
                    # Unread messages of a closed connection are out of date.
                    if not connection.closing:
                        self._handle(connection, envelope)
        finally:
            connection.close()
            if self._connections.get(peer_id) is connection:
                del self._connections[peer_id]
                if peer_id in self._dialling:
                    self._dialling[peer_id].record_loss()
            self._traffic.record_closed(connection)

    def _register(self, connection: PeerConnection) -> bool:
        """Register a connection unless a preferred one to the peer is open."""
        hello = connection.hello
        existing = self._connections.get(hello.peer_id)
        if existing is not None and not existing.closing:
            same_process = existing.hello.incarnation == hello.incarnation
            if existing.hello.incarnation > hello.incarnation:
                return False
            # Both sides dialled at the same time: both keep the connection that the
            # gateway with the lower id dialled.
            preferred = connection.dialled == (self.id < hello.peer_id)
            if same_process and not preferred:
                return False
            existing.close()
        self._connections[hello.peer_id] = connection
        self._membership.record_hello(hello)
        # Listeners send before the heartbeat, since the peer concludes from the
        # heartbeat that it has received everything.
        for listener in self._connect_listeners:
            listener(hello.peer_id)
        self._sequence += 1
        connection.send(Heartbeat(self._sequence, *self._heartbeat_state()))
        return True

    def _handle(self, connection: PeerConnection, envelope: Envelope) -> None:
        peer_id, message = connection.hello.peer_id, envelope.message
        if isinstance(message, Heartbeat):
            incarnation = connection.hello.incarnation
            self._membership.record_heartbeat(peer_id, incarnation, message)
        elif isinstance(message, Leaving):
            self._membership.record_leaving(peer_id, connection.hello.incarnation)
        for handler in self._handlers.get(type(message), ()):
            try:
                reply = handler(peer_id, message)
            except Exception:
                # A faulty message of a peer must not terminate this process.
                self._metrics.increment("mesh.handler_failed")
                logging.exception(
                    "handling %s from %s failed", type(message).__name__, peer_id
                )
            else:
                self._send_reply(connection, envelope, reply)

    def _send_reply(
        self, connection: PeerConnection, envelope: Envelope, reply: Any
    ) -> None:
        if inspect.isawaitable(reply):
            task = asyncio.ensure_future(
                self._send_reply_later(connection, envelope, reply)
            )
            self._reply_tasks.add(task)
            task.add_done_callback(self._reply_tasks.discard)
        elif reply is not None and envelope.request_id:
            connection.send(reply, -envelope.request_id)

    async def _send_reply_later(
        self, connection: PeerConnection, envelope: Envelope, reply: Awaitable[Any]
    ) -> None:
        message = await reply
        if message is not None and envelope.request_id:
            connection.send(message, -envelope.request_id)

    def check_pause(self) -> None:
        """Drop all state received from peers if the process was paused."""
        duration = self._pause_detector.tick()
        if duration:
            self._metrics.increment("pauses")
            logging.warning("process was paused for %.1f s", duration)
            # Data in the socket buffers was sent before or during the pause.
            for connection in list(self._connections.values()):
                connection.close()
            self._membership.forget_views()
            for listener in self._pause_listeners:
                listener(duration)

    def _close_silent(self) -> None:
        for peer_id, connection in list(self._connections.items()):
            if not self._membership.seen_recently(peer_id):
                self._metrics.increment("mesh.silent_closed")
                connection.close()
