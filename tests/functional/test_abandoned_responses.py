"""Test that the connection of a response that is no longer read is closed."""

import asyncio
import gc
import unittest

from tests.lib.loopback_proxy import (
    REQUEST_ID,
    SEAL,
    LoopbackProxy,
    build_response,
    status,
)

CHUNKED = b"Transfer-Encoding: chunked\r\n"
CLOSE_TIMEOUT_S = 0.5


class AbandonedResponseTest(unittest.IsolatedAsyncioTestCase):
    """A response without a length that is being buffered stops to arrive."""

    async def asyncSetUp(self):
        # Otherwise a collection may close the connection by chance.
        gc.disable()
        self.addCleanup(gc.enable)
        self.proxy = LoopbackProxy(1, hold_unsized=True)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)
        self.started = asyncio.Event()
        self.closed = asyncio.Event()

        async def stop_in_body(request, reader, writer):
            request_id = request.values(REQUEST_ID)[0]
            head = build_response(200, request_id, SEAL, CHUNKED, length=False)
            writer.write(head + b"4\r\ntwel\r\n")
            self.started.set()
            try:
                await reader.read()
            finally:
                self.closed.set()

        self.proxy.upstreams[0].script = stop_in_body

    async def test_connection_is_closed_at_the_deadline(self):
        """Guards against an upstream that works on after its call has timed out."""
        for method in ("POST", "GET"):
            with self.subTest(method=method):
                self.closed.clear()
                response = await self.proxy.call("a", method, deadline_ms=300)
                self.assertEqual(status(response), 504)
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await self.closed.wait()

    async def test_connection_is_closed_with_that_of_the_caller(self):
        """Guards against an upstream that works for a caller that has disconnected."""
        task = asyncio.create_task(self.proxy.call("a", "GET", deadline_ms=5000))
        await self.started.wait()
        await asyncio.sleep(0.05)
        task.cancel()
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await self.closed.wait()
