"""Speak HTTP byte by byte, on both sides of a gateway."""

import asyncio
import functools
import json
import re
import unittest
from collections.abc import Awaitable, Callable

from dogwoodshed._internal.standins.fleet import Fleet
from tests.lib import builders

BOUND_S = 10.0
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class RawRequest:
    """A request as it arrived at a raw server."""

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
    """An upstream that answers with given bytes."""

    def __init__(self) -> None:
        self.requests: list[RawRequest] = []
        self.script: Script = reply(OK)
        self.read_bodies = True
        self._connections = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._connections += 1
        number = self._connections
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                body = await read_body(head, reader) if self.read_bodies else b""
                request = RawRequest(head, body, number)
                self.requests.append(request)
                await self.script(request, reader, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def read_body(head: bytes, reader: asyncio.StreamReader) -> bytes:
    """Read the body that follows a head, without its coding."""
    if re.search(rb"(?i)\r\ntransfer-encoding: *chunked", head):
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readline()
        while (await reader.readline()).strip():
            pass
        return body
    match = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    return await reader.readexactly(int(match[1])) if match else b""


def reply(data: bytes) -> Script:
    """Return a script that answers with these bytes."""

    async def script(request, reader, writer) -> None:
        writer.write(data)

    return script


def on_loop(test):
    """Run a test on the event loop of its class, within a bound."""

    @functools.wraps(test)
    def run(self):
        self.runner.run(asyncio.wait_for(test(self), 6 * BOUND_S))

    return run


class RawCase(unittest.TestCase):
    """Test one gateway between raw callers and a raw upstream."""

    settings: dict = {}
    service: dict = {}

    @classmethod
    def setUpClass(cls):
        # A set-up that fails must not leave stand-ins running: they keep the output of
        # the test run open, so that whoever reads it waits for ever.
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
        service = builders.service_entry(
            "raw", (cls.upstream.address,), kinds=cls.kinds(), **cls.service
        )
        await cls.fleet.publish(json.dumps(builders.configuration_document(service)))
        await cls.fleet.start_gateways(1, routing="round_robin", **cls.settings)
        cls.gateway = cls.fleet.gateways[0]

    @classmethod
    def kinds(cls) -> list[dict]:
        """Return the kinds of the service: all but POST is idempotent."""
        once = builders.kind_entry(
            "write", method="POST", path="/raw", idempotent=False, time_limit_ms=5000
        )
        rest = builders.kind_entry(method="*", path="/raw", time_limit_ms=5000)
        return [once, rest]

    def setUp(self):
        self.upstream.requests.clear()
        self.upstream.script = reply(OK)
        self.upstream.read_bodies = True

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the gateway."""
        ip, _, port = self.gateway.address.rpartition(":")
        return await asyncio.open_connection(ip, int(port))

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes on a new connection and return all that comes back."""
        reader, writer = await self.connect()
        writer.write(data)
        try:
            return await asyncio.wait_for(reader.read(), BOUND_S)
        finally:
            writer.close()

    async def call(
        self,
        line: str = "GET /raw",
        *lines: str,
        body: bytes = b"",
        host: str = "Host: example.test",
    ) -> bytes:
        """Send one request and return the answer."""
        head = [f"{line} HTTP/1.1", host, "Connection: close", *lines]
        head = [entry for entry in head if entry]
        return await self.exchange("\r\n".join(head).encode() + b"\r\n\r\n" + body)

    async def until(self, condition: Callable[[], bool]) -> None:
        """Wait for a condition within the bound."""
        async with asyncio.timeout(BOUND_S):
            while not condition():
                await asyncio.sleep(0.01)
