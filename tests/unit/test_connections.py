"""Test what pools of connections tell of themselves."""

import asyncio
import unittest

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
        self.assertFalse(self.pools.has_idle(self.address))
        pool = self.pools.pool(self.address, 10)
        call = asyncio.ensure_future(pool.session.get(f"http://{self.address}/"))
        await asyncio.sleep(0.05)
        self.assertFalse(self.pools.has_idle(self.address))
        self.held.set()
        await (await call).read()
        self.assertTrue(self.pools.has_idle(self.address))
        self.pools.replace(pool)
        self.assertFalse(self.pools.has_idle(self.address))
