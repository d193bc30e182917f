"""Exchange raw HTTP bytes with a gateway, as its caller and as its upstream."""

import asyncio
import functools
import json
import re
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from pathlib import Path

from dogwoodshed._internal.standins.fleet import Fleet
from tests.lib import builders

TIMEOUT_S = 10.0
LINGER_ZERO = struct.pack("ii", 1, 0)
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawRequest:
    """Request as received by a raw server."""

    def __init__(self, head: bytes, body: bytes, connection: int) -> None:
        lines = head.decode("latin-1").split("\r\n")
        self.line = lines[0]
        self.headers = [tuple(line.split(": ", 1)) for line in lines[1:] if line]
        self.body = body
        self.connection = connection

    def values(self, name: str) -> list[str]:
        """Return the values of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower()]


Script = Callable[
    [RawRequest, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]


class RawServer:
    """Upstream that responds with scripted bytes."""

    def __init__(self) -> None:
        self.requests: list[RawRequest] = []
        self.script: Script = respond_with(OK)
        self.read_bodies = True
        self._connections = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    def close(self) -> None:
        """Close the listener."""
        self._server.close()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        connection_number = self._connections
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                body = await read_body(head, reader) if self.read_bodies else b""
                request = RawRequest(head, body, connection_number)
                self.requests.append(request)
                await self.script(request, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def read_body(head: bytes, reader: asyncio.StreamReader) -> bytes:
    """Read the body that follows a message head, without its transfer coding."""
    if re.search(rb"(?i)\r\ntransfer-encoding: *chunked", head):
        body = b""
        while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readuntil(b"\n")
        while (await reader.readuntil(b"\n")).strip():
            pass
        return body
    match = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    return await reader.readexactly(int(match[1])) if match else b""


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset a connection, which an orderly close would end as if it were complete."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()


def respond_with(data: bytes) -> Script:
    """Return a script that responds with the given bytes."""

    async def script(request, reader, writer) -> None:
        writer.write(data)

    return script


def run_on_class_loop(test):
    """Run a test on the event loop of its class, with a timeout."""

    @functools.wraps(test)
    def run(self):
        self.runner.run(asyncio.wait_for(test(self), 6 * TIMEOUT_S))

    return run


class RawHttpTestCase(unittest.TestCase):
    """Base for tests of one gateway between raw callers and a raw upstream."""

    routing = "round_robin"
    settings: dict = {}
    service: dict = {}

    @classmethod
    def setUpClass(cls):
        # A failed set-up must not leave stand-ins running: they keep the output of the
        # test run open, so that a process that reads it waits forever.
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.fleet = Fleet()
        cls.addClassCleanup(lambda: cls.runner.run(cls.fleet.stop()))
        cls.runner.run(cls._start())

    @classmethod
    async def _start(cls):
        cls.upstream = RawServer()
        await cls.upstream.start()
        await cls.fleet.start_platform()
        document = builders.configuration_document(*cls.services())
        await cls.fleet.publish(json.dumps(document))
        await cls.fleet.start_gateways(1, routing=cls.routing, **cls.settings)
        cls.gateway = cls.fleet.gateways[0]

    @classmethod
    def services(cls) -> tuple[dict, ...]:
        """Return the configuration entries of the services."""
        service = builders.service_entry(
            "raw", (cls.upstream.address,), kinds=cls.kinds(), **cls.service
        )
        return (service,)

    @classmethod
    def kinds(cls) -> list[dict]:
        """Return the kinds of the service; all methods except POST are idempotent."""
        write = builders.kind_entry(
            "write", method="POST", path="/raw", idempotent=False, time_limit_ms=5000
        )
        other = builders.kind_entry(method="*", path="/raw", time_limit_ms=5000)
        return [write, other]

    def setUp(self):
        self.upstream.requests.clear()
        self.upstream.script = respond_with(OK)
        self.upstream.read_bodies = True

    def peak_kb(self) -> int:
        """Return the highest resident memory of the gateway so far."""
        text = Path(f"/proc/{self.gateway.pid}/status").read_text(encoding="utf-8")
        return int(re.search(r"VmHWM:\s+(\d+)", text)[1])

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the gateway."""
        ip, _, port = self.gateway.address.rpartition(":")
        return await asyncio.open_connection(ip, int(port))

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes on a new connection and return all bytes received."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(), TIMEOUT_S)
        finally:
            writer.close()

    async def call(
        self,
        request_line: str = "GET /raw",
        *header_lines: str,
        body: bytes = b"",
        host: str = "Host: example.test",
    ) -> bytes:
        """Send one request and return the response."""
        head = [f"{request_line} HTTP/1.1", host, "Connection: close", *header_lines]
        head = [line for line in head if line]
        return await self.exchange("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds, at most `TIMEOUT_S`."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)
