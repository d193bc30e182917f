"""Test connections that go silent half way through an answer."""

import asyncio

from tests.lib.raw import BOUND_S, OK, RawCase, on_loop, reply


class SilenceTest(RawCase):
    settings = {"limits": {"progress_timeout_s": 0.3}}

    async def _stall(self, data: bytes) -> None:
        """Read an answer that stops; expect a reset, then a new connection."""
        stalled = asyncio.Event()

        async def script(request, reader, writer):
            writer.write(data)
            await writer.drain()
            stalled.set()
            # Nothing more is sent; the gateway must close this connection.
            self.assertEqual(await reader.read(1), b"")

        await self.call()
        self.upstream.script = script
        with self.assertRaises(ConnectionResetError):
            await self.exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertTrue(stalled.is_set())
        self.upstream.script = reply(OK)
        self.assertIn(b"200 OK", await self.call())
        used = [request.connection for request in self.upstream.requests]
        self.assertEqual(len(used), 3)
        self.assertNotEqual(used[2], used[1])

    @on_loop
    async def test_answer_with_a_length_stalls(self):
        """Guards against a caller that waits for ever for the rest of an answer."""
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
        await self._stall(head + b"x" * 50_000)

    @on_loop
    async def test_answer_in_chunks_stalls(self):
        """Guards against a stalled answer that ends like a whole one."""
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        await self._stall(head + b"2\r\nok\r\n")

    @on_loop
    async def test_stalled_answer_replaces_the_pool(self):
        """Guards against later calls on connections that were lost with this one."""
        # Two connections at once, so that one stays idle in the pool.
        ready = asyncio.Event()

        async def both(request, reader, writer):
            if len(self.upstream.requests) == 2:
                ready.set()
            await asyncio.wait_for(ready.wait(), BOUND_S)
            writer.write(OK)

        self.upstream.script = both
        await asyncio.gather(self.call(), self.call())
        old = {request.connection for request in self.upstream.requests}
        self.assertEqual(len(old), 2)

        async def stall(request, reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nx")
            await reader.read(1)

        self.upstream.script = stall
        with self.assertRaises(ConnectionResetError):
            await self.exchange(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
        self.upstream.script = reply(OK)
        await self.call()
        self.assertNotIn(self.upstream.requests[-1].connection, old)
