"""Test what pools of connections tell of themselves."""

import asyncio
import socket
import struct
import unittest

import aiohttp
from aiohttp import web

from dogwoodshed._internal.proxy.connections import UpstreamPools
from dogwoodshed._internal.settings import LimitSettings
from tests.lib.fleet_builders import CountingMetrics


class HasIdleTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.held = asyncio.Event()

        async def answer(request):
            await self.held.wait()
            return web.Response(text="ok")

        self.runner = web.ServerRunner(web.Server(answer))
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
        """Guards against calls that count on a connection which is in use or closed."""
        self.assertFalse(self.pools.has_idle_connection(self.address))
        pool = self.pools.pool(self.address, 10)
        call = asyncio.ensure_future(pool.session.get(f"http://{self.address}/"))
        await asyncio.sleep(0.05)
        self.assertFalse(self.pools.has_idle_connection(self.address))
        self.held.set()
        await (await call).read()
        self.assertTrue(self.pools.has_idle_connection(self.address))
        self.pools.replace(pool)
        self.assertFalse(self.pools.has_idle_connection(self.address))


class FullUpstreamTest(unittest.IsolatedAsyncioTestCase):
    """An upstream resets connections beyond its bound right after the handshake."""

    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self.reset, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        # Longer than shipped, so that a busy machine changes nothing.
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
        """Guards against a charge that is given up though no upstream saw it.

        Found on corrib-gw-grown scale-1: 397 requests were answered 502 or 504 though
        no upstream got them, beside 380 connections reset over their bound.
        """
        with self.assertRaises(aiohttp.ClientConnectorError):
            await self.pool.session.post(self.url, data=b"charge")
