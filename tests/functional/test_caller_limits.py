"""Test the limits on callers that the operator's configuration sets."""

import asyncio
import signal
import unittest

from tests.lib.deployment import HOST, Deployment, route

TIMEOUT_S = 60.0
IDLE_TIMEOUT_MS = 2000
# Callers use connections again that have been idle for this share of the timeout.
REUSE_SHARE = 0.8
# Idle connections are looked for once a second, and counted from the first look.
IDLE_CLOSE_SLACK_S = 2.5
HEAD_TIMEOUT_MS = 500
# A busy machine starts the timer of a head, and closes the connection, later.
HEAD_CLOSE_SLACK_S = 1.0
ROUTES = (route("read", "/read/"), route("write", "/write/", route_type="unsafe"))
REQUEST = f"GET /read/a HTTP/1.1\r\nHost: {HOST}\r\n".encode()


class CallerLimitsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Deployment(1)
        self.fleet.caller_limits = {
            "max_header_bytes": 1000,
            "max_body_bytes": 100,
            "header_timeout_ms": HEAD_TIMEOUT_MS,
            "idle_timeout_ms": IDLE_TIMEOUT_MS,
        }
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.fleet.start(2, ROUTES)
        except BaseException:
            await self.fleet.stop()
            raise

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def change_limits(self, **changes):
        """Publish a configuration with other limits and wait until it is in effect."""
        self.fleet.caller_limits |= changes
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        async with asyncio.timeout(5.0):
            while (await self.fleet.call("/new/a")).status == 404:
                await asyncio.sleep(0.02)

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.fleet.gateways[0].port)

    async def call_on(self, reader, writer, fields=b"", start=REQUEST):
        """Send a request on a connection and return the status of its response."""
        writer.write(start + fields + b"\r\n")
        async with asyncio.timeout(5.0):
            head = await reader.readuntil(b"\r\n\r\n")
            (length,) = (
                int(line.partition(b":")[2])
                for line in head.lower().split(b"\r\n")
                if line.startswith(b"content-length:")
            )
            await reader.readexactly(length)
        return int(head.split(b" ", 2)[1])

    async def seconds_until_closed(self, reader):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        async with asyncio.timeout(10.0):
            while await reader.read(65_536):
                pass
        return loop.time() - started_at

    async def test_sizes(self):
        """Guards against requests within the operator's limits that are rejected."""
        for size, status in ((100, 200), (101, 413)):
            response = await self.fleet.call(
                "/write/a", method="POST", body=b"b" * size
            )
            self.assertEqual(response.status, status, size)
        for size, status in ((900, 200), (1100, 400)):
            reader, writer = await self.connect()
            field = b"X-A: " + b"a" * size + b"\r\n"
            self.assertEqual(await self.call_on(reader, writer, field), status, size)
            writer.close()
        # Larger than the settings of the gateway allow.
        await self.change_limits(max_body_bytes=200, max_header_bytes=40_000)
        response = await self.fleet.call("/write/a", method="POST", body=b"b" * 200)
        self.assertEqual(response.status, 200)
        reader, writer = await self.connect()
        field = b"X-A: " + b"a" * 30_000 + b"\r\n"
        self.assertEqual(await self.call_on(reader, writer, field), 200)
        writer.close()

    async def test_idle_connection(self):
        """Guards against a connection that ends while callers still use it, or never.

        A caller that sends on a connection as the gateway closes it loses the request.
        """
        reader, writer = await self.connect()
        for _ in range(3):
            self.assertEqual(await self.call_on(reader, writer), 200)
            await asyncio.sleep(REUSE_SHARE * IDLE_TIMEOUT_MS / 1000)
        self.assertEqual(await self.call_on(reader, writer), 200)
        seconds = await self.seconds_until_closed(reader)
        self.assertGreaterEqual(seconds, IDLE_TIMEOUT_MS / 1000)
        self.assertLess(seconds, IDLE_TIMEOUT_MS / 1000 + IDLE_CLOSE_SLACK_S)
        writer.close()

    async def test_request_while_the_gateway_is_paused(self):
        """Guards against closing a connection on a request that was not read yet."""
        gateway = self.fleet.gateways[0]
        for offset in (0.0, 0.3, 0.6, 0.9):
            reader, writer = await self.connect()
            self.assertEqual(await self.call_on(reader, writer), 200)
            await asyncio.sleep(offset)
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(REUSE_SHARE * IDLE_TIMEOUT_MS / 1000 - offset)
            writer.write(REQUEST + b"\r\n")
            await asyncio.sleep(IDLE_TIMEOUT_MS / 1000)
            gateway.send_signal(signal.SIGCONT)
            self.assertEqual(await self.call_on(reader, writer), 200, offset)
            writer.close()

    async def test_idle_timeout_that_grows(self):
        """Guards against open connections that keep the shorter timeout of before."""
        reader, writer = await self.connect()
        self.assertEqual(await self.call_on(reader, writer), 200)
        await self.change_limits(idle_timeout_ms=4 * IDLE_TIMEOUT_MS)
        await asyncio.sleep(2.5 * IDLE_TIMEOUT_MS / 1000)
        self.assertEqual(await self.call_on(reader, writer), 200)
        writer.close()

    async def test_slow_head(self):
        """Guards against callers that hold a connection with half a request."""
        reader, writer = await self.connect()
        writer.write(REQUEST)
        seconds = await self.seconds_until_closed(reader)
        self.assertLess(seconds, HEAD_TIMEOUT_MS / 1000 + HEAD_CLOSE_SLACK_S)
        writer.close()
        await self.change_limits(header_timeout_ms=4 * HEAD_TIMEOUT_MS)
        reader, writer = await self.connect()
        writer.write(REQUEST)
        await asyncio.sleep(2 * HEAD_TIMEOUT_MS / 1000)
        self.assertEqual(await self.call_on(reader, writer, start=b""), 200)
        writer.close()
