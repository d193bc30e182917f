"""Carry messages over one TCP connection to a peer."""

import asyncio
import itertools
from typing import Any

from dogwoodshed._internal.exceptions import (
    PeerTimeoutError,
    PeerUnavailableError,
    ProtocolError,
)
from dogwoodshed._internal.mesh.codec import Decoder, Envelope, encode
from dogwoodshed._internal.mesh.messages import FleetLoad, GatewayLoad, Heartbeat, Hello

READ_BYTES = 65_536
# Above the first bound heartbeats and loads are dropped, since later ones replace them;
# above the second the peer does not read any more and the connection is closed.
STALE_DROP_BYTES = 65_536
_REPLACED_SOON = (Heartbeat, GatewayLoad, FleetLoad)
MAX_BUFFER_BYTES = 8 * 1024 * 1024


class Connection:
    """One open connection after the exchange of Hello."""

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
        self._hello = hello
        self._dialled = dialled
        self._numbers = itertools.count(1)
        self._replies: dict[int, asyncio.Future[Any]] = {}
        self._sent_bytes = 0
        self._received_bytes = 0
        self._dropped = 0
        # The bytes that brought Hello may hold further messages.
        self._unread = True

    @classmethod
    async def open(
        cls,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        own: Hello,
        *,
        dialled: bool,
        timeout: float,
    ) -> "Connection":
        """Exchange Hello; raises ProtocolError or PeerTimeoutError."""
        writer.write(encode(own))
        decoder = Decoder()
        try:
            async with asyncio.timeout(timeout):
                while True:
                    data = await reader.read(READ_BYTES)
                    if not data:
                        raise ProtocolError("connection closed before Hello")
                    for envelope in decoder.feed(data):
                        hello = _check_hello(envelope, own)
                        return cls(reader, writer, decoder, hello, dialled=dialled)
        except TimeoutError:
            raise PeerTimeoutError("no Hello") from None

    @property
    def hello(self) -> Hello:
        return self._hello

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
        """Queue a message; drop it if it would soon be stale."""
        replaced_soon = isinstance(message, _REPLACED_SOON)
        return self._may_queue(replaced_soon) and self._write(
            encode(message, request_id)
        )

    def send_encoded_load(self, data: bytes) -> bool:
        """Queue a load that several peers get; drop it if it would soon be stale."""
        return self._may_queue(True) and self._write(data)

    def _may_queue(self, replaced_soon: bool) -> bool:
        if self.closing:
            return False
        waiting = self._writer.transport.get_write_buffer_size()
        if waiting > MAX_BUFFER_BYTES:
            self.close()
            return False
        if waiting > STALE_DROP_BYTES and replaced_soon:
            self._dropped += 1
            return False
        return True

    def _write(self, data: bytes) -> bool:
        self._sent_bytes += len(data)
        self._writer.write(data)
        return True

    async def request(self, message: Any, timeout: float) -> Any:
        """Send a request and wait for its reply; raises MeshError."""
        number = next(self._numbers)
        reply = asyncio.get_running_loop().create_future()
        self._replies[number] = reply
        try:
            if not self.send(message, number):
                raise PeerUnavailableError(self._hello.peer_id)
            async with asyncio.timeout(timeout):
                return await reply
        except TimeoutError:
            raise PeerTimeoutError(self._hello.peer_id) from None
        finally:
            del self._replies[number]

    async def receive(self) -> list[Envelope] | None:
        """Return the next messages, or None at the end of the connection.

        Replies go to their requests. A reply whose request has timed out is returned
        as a message, since it may grant something that must be given back.
        """
        if self._unread:
            self._unread = False
            return self._take(b"")
        data = await self._reader.read(READ_BYTES)
        if not data:
            return None
        self._received_bytes += len(data)
        return self._take(data)

    def _take(self, data: bytes) -> list[Envelope]:
        envelopes = []
        for envelope in self._decoder.feed(data):
            if envelope.request_id >= 0:
                envelopes.append(envelope)
            elif not self._settle(-envelope.request_id, envelope.message):
                envelopes.append(Envelope(0, envelope.message))
        return envelopes

    def close(self) -> None:
        """Close at once and fail what waits for a reply."""
        self._writer.transport.abort()
        for reply in self._replies.values():
            if not reply.done():
                reply.set_exception(PeerUnavailableError(self._hello.peer_id))

    async def flush(self, timeout: float) -> None:
        """Wait until queued messages are handed to the system, within a bound."""
        try:
            async with asyncio.timeout(timeout):
                while (
                    not self.closing and self._writer.transport.get_write_buffer_size()
                ):
                    await asyncio.sleep(0.005)
        except TimeoutError:
            pass

    def _settle(self, number: int, message: Any) -> bool:
        reply = self._replies.get(number)
        if reply is None or reply.done():
            return False
        reply.set_result(message)
        return True


def _check_hello(envelope: Envelope, own: Hello) -> Hello:
    hello = envelope.message
    if not isinstance(hello, Hello):
        raise ProtocolError("the first message is not Hello")
    if hello.version != own.version:
        raise ProtocolError(f"peer speaks version {hello.version}")
    if hello.peer_id == own.peer_id:
        raise ProtocolError("peer has the same id")
    return hello
