"""Send and receive messages over one TCP connection to a peer."""

import asyncio
import itertools
from typing import Any

from dogwoodshed._internal.exceptions import (
    PeerTimeoutError,
    PeerUnavailableError,
    ProtocolError,
)
from dogwoodshed._internal.mesh.codec import Decoder, Envelope, encode
from dogwoodshed._internal.mesh.fleet_messages import (
    FleetLoad,
    GatewayLoad,
)
from dogwoodshed._internal.mesh.messages import (
    Heartbeat,
    Hello,
)

READ_BYTES = 65_536
# Write buffer size above which heartbeats and loads are dropped, since later ones
# supersede them.
DROP_ABOVE_BYTES = 65_536
_DROPPABLE_TYPES = (Heartbeat, GatewayLoad, FleetLoad)
# Write buffer size above which the connection is closed, since its peer has stopped
# reading.
CLOSE_ABOVE_BYTES = 8 * 1024 * 1024


class PeerConnection:
    """An open connection on which both sides have sent Hello."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        decoder: Decoder,
        hello: Hello,
        *,
        dialled: bool,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._decoder = decoder
        self._peer_hello = hello
        self._dialled = dialled
        self._request_ids = itertools.count(1)
        self._pending_replies: dict[int, asyncio.Future[Any]] = {}
        self._sent_bytes = 0
        self._received_bytes = 0
        self._dropped = 0
        # The data that contained Hello may contain further messages.
        self._hello_data_pending = True

    @classmethod
    async def open(
        cls,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own_hello: Hello,
        *,
        dialled: bool,
        timeout: float,
    ) -> "PeerConnection":
        """Exchange Hello; raises ProtocolError or PeerTimeoutError."""
        writer.write(encode(own_hello))
        decoder = Decoder()
        try:
            async with asyncio.timeout(timeout):
                while True:
                    data = await reader.read(READ_BYTES)
                    if not data:
                        raise ProtocolError("connection closed before Hello")
                    for envelope in decoder.feed(data):
                        hello = _check_hello(envelope, own_hello)
                        return cls(reader, writer, decoder, hello, dialled=dialled)
        except TimeoutError:
            raise PeerTimeoutError("no Hello received") from None

    @property
    def hello(self) -> Hello:
        return self._peer_hello

    @property
    def dialled(self) -> bool:
        return self._dialled

    @property
    def sent_bytes(self) -> int:
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        return self._received_bytes

    @property
    def dropped(self) -> int:
        return self._dropped

    @property
    def closing(self) -> bool:
        return self._writer.transport.is_closing()

    def send(self, message: Any, request_id: int = 0) -> bool:
        """Queue a message; return False if it was dropped or the connection is closed.

        Heartbeats and loads are dropped while the peer reads too slowly.
        """
        droppable = isinstance(message, _DROPPABLE_TYPES)
        return self._may_queue(droppable) and self._write(encode(message, request_id))

    def send_encoded_load(self, data: bytes) -> bool:
        """Queue a load that was encoded once for several peers; may drop it."""
        return self._may_queue(True) and self._write(data)

    def _may_queue(self, droppable: bool) -> bool:
        if self.closing:
            return False
        buffered = self._writer.transport.get_write_buffer_size()
        if buffered > CLOSE_ABOVE_BYTES:
            self.close()
            return False
        if buffered > DROP_ABOVE_BYTES and droppable:
            self._dropped += 1
            return False
        return True

    def _write(self, data: bytes) -> bool:
        self._sent_bytes += len(data)
        self._writer.write(data)
        return True

    async def request(self, message: Any, timeout: float) -> Any:
        """Send a request and wait for its reply; raises MeshError."""
        request_id = next(self._request_ids)
        reply = asyncio.get_running_loop().create_future()
        self._pending_replies[request_id] = reply
        try:
            if not self.send(message, request_id):
                raise PeerUnavailableError(self._peer_hello.peer_id)
            async with asyncio.timeout(timeout):
                return await reply
        except TimeoutError:
            raise PeerTimeoutError(self._peer_hello.peer_id) from None
        finally:
            del self._pending_replies[request_id]

    async def receive(self) -> list[Envelope] | None:
        """Return the next messages, or None at the end of the connection.

        Replies complete their requests. A reply whose request has timed out is returned
        as a message, since it may grant a lease that must be returned.
        """
        if self._hello_data_pending:
            self._hello_data_pending = False
            return self._dispatch_replies(b"")
        data = await self._reader.read(READ_BYTES)
        if not data:
            return None
        self._received_bytes += len(data)
        return self._dispatch_replies(data)

    def _dispatch_replies(self, data: bytes) -> list[Envelope]:
        envelopes = []
        for envelope in self._decoder.feed(data):
            if envelope.request_id >= 0:
                envelopes.append(envelope)
            elif not self._complete_request(-envelope.request_id, envelope.message):
                envelopes.append(Envelope(0, envelope.message))
        return envelopes

    def close(self) -> None:
        """Abort the connection and fail all pending requests."""
        self._writer.transport.abort()
        for reply in self._pending_replies.values():
            if not reply.done():
                reply.set_exception(PeerUnavailableError(self._peer_hello.peer_id))

    async def flush(self, timeout: float) -> None:
        """Wait until queued messages are passed to the system, up to a timeout."""
        try:
            async with asyncio.timeout(timeout):
                while (
                    not self.closing and self._writer.transport.get_write_buffer_size()
                ):
                    await asyncio.sleep(0.005)
        except TimeoutError:
            pass

    def _complete_request(self, request_id: int, message: Any) -> bool:
        reply = self._pending_replies.get(request_id)
        if reply is None or reply.done():
            return False
        reply.set_result(message)
        return True


def _check_hello(envelope: Envelope, own_hello: Hello) -> Hello:
    hello = envelope.message
    if not isinstance(hello, Hello):
        raise ProtocolError("first message is not Hello")
    if hello.version != own_hello.version:
        raise ProtocolError(f"peer uses protocol version {hello.version}")
    if hello.peer_id == own_hello.peer_id:
        raise ProtocolError("peer has the same id as this gateway")
    return hello
