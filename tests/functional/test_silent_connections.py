"""Test connections that go silent in the middle of a response."""

import asyncio

from tests.lib.raw import (
    OK,
    TIMEOUT_S,
    RawHttpTestCase,
    respond_with,
    run_on_class_loop,
)


class SilentConnectionsTest(RawHttpTestCase):
    settings = {"limits": {"progress_timeout_s": 0.3}}

    async def _stall(self, data: bytes) -> None:
        """Send an incomplete response; expect a reset, then a new connection."""
        stalled = asyncio.Event()

        async def script(request, reader, writer):
            writer.write(data)
            await writer.drain()
            stalled.set()
            # No more bytes are sent, so the gateway must close this connection.
            self.assertEqual(await reader.read(1), b"")

        await self.call()
        self.upstream.script = script
        with self.assertRaises(ConnectionResetError):
            await self.exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(stalled.is_set())
        self.upstream.script = respond_with(OK)
        self.assertIn(b"200 OK", await self.call())
        used = [request.connection for request in self.upstream.requests]
        self.assertEqual(len(used), 3)
        self.assertNotEqual(used[2], used[1])

    @run_on_class_loop
    async def test_response_with_a_length_stalls(self):
        """Guards against a caller that waits forever for the rest of a response."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
        await self._stall(head + b"x" * 50_000)

    @run_on_class_loop
    async def test_chunked_response_stalls(self):
        """Guards against a stalled response that ends as if it were complete."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self._stall(head + b"2\r\nok\r\n")

    @run_on_class_loop
    async def test_stalled_response_replaces_the_pool(self):
        """Guards against later calls on other silent connections of the pool."""
        # Opens two connections at once, so that one stays idle in the pool.
        ready = asyncio.Event()

        async def respond_to_both(request, reader, writer):
            if len(self.upstream.requests) == 2:
                ready.set()
            await asyncio.wait_for(ready.wait(), TIMEOUT_S)
            writer.write(OK)

        self.upstream.script = respond_to_both
        await asyncio.gather(self.call(), self.call())
        old = {request.connection for request in self.upstream.requests}
        self.assertEqual(len(old), 2)

        async def stall(request, reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nx")
            await reader.read(1)

        self.upstream.script = stall
        with self.assertRaises(ConnectionResetError):
            await self.exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
        self.upstream.script = respond_with(OK)
        await self.call()
        self.assertNotIn(self.upstream.requests[-1].connection, old)
