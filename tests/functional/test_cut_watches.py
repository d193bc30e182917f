"""Test that a removed target gets no calls while the store cuts waiting watches."""

import asyncio

from tests.lib.removal_case import RemovalTestCase

CUT_INTERVAL_S = 0.6
BEFORE_REMOVAL_S = 2.0


class CutWatchesTest(RemovalTestCase):
    gateways = 3

    async def cut_watches(self):
        """Close the connections of all waiting watches again and again."""
        while True:
            await asyncio.sleep(CUT_INTERVAL_S)
            self.fleet.store.cut_watches()

    async def test_removal_while_watches_are_cut(self):
        """Guards against cut watches that count as an outage, which extends the use."""
        cutting = asyncio.create_task(self.cut_watches())

        async def disturb():
            await asyncio.sleep(BEFORE_REMOVAL_S)
            await self.remove()

        try:
            await self.check_last_arrivals(disturb)
        finally:
            cutting.cancel()
