"""Test the state of connection pools."""

import asyncio
import socket
import struct
import unittest

import aiohttp
from aiohttp import web

from dogwoodshed._internal.proxy.connections import UpstreamPools
from dogwoodshed._internal.settings import LimitSettings
from tests.lib.fleet_builders import CountingMetrics


class IdleConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.released = asyncio.Event()

        async def respond(request):
            await self.released.wait()
            return web.Response(text="ok")

        self.runner = web.ServerRunner(web.Server(respond))
        await self.runner.setup()
        site = web.TCPSite(self.runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        self.pools = UpstreamPools(LimitSettings(), 1, CountingMetrics())

    async def asyncTearDown(self):
        await self.pools.close()
        await self.runner.cleanup()

    async def test_connection_is_idle_between_calls_only(self):
        """Guards against reporting a connection as idle that is in use or closed."""
        self.assertFalse(self.pools.has_idle_connection(self.address))
        pool = self.pools.pool(self.address, 10)
        call = asyncio.ensure_future(pool.session.get(f"http://{self.address}/"))
        await asyncio.sleep(0.05)
        self.assertFalse(self.pools.has_idle_connection(self.address))
        self.released.set()
        await (await call).read()
        self.assertTrue(self.pools.has_idle_connection(self.address))
        self.pools.replace(pool)
        self.assertFalse(self.pools.has_idle_connection(self.address))


class ConnectionLimitTest(unittest.IsolatedAsyncioTestCase):
    """An upstream resets connections over its limit right after the handshake."""

    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self.reset, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        # Longer than the default, so that the test also passes on a busy machine.
        limits = LimitSettings(connection_settle_s=0.3)
        self.pools = UpstreamPools(limits, 1, CountingMetrics())
        self.pool = self.pools.pool(f"127.0.0.1:{port}", 10)

    async def asyncTearDown(self):
        await self.pools.close()
        self.server.close()

    async def reset(self, reader, writer):
        connection = writer.get_extra_info("socket")
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        writer.transport.abort()

    async def test_reset_before_the_request_means_not_sent(self):
        """Guards against failing a call that was never sent.

        In corrib-gw-grown scale-1, 397 requests were answered with 502 or 504 although
        no upstream received them, and upstreams reset 380 connections over their limit.
        """
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.pool.session.post(self.url, data=b"charge")
