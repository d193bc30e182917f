"""Test that leaving targets get no calls while the hubs of a data centre are silent."""

import asyncio
import signal

from tests.lib.removal_case import RemovalTestCase


class SilentHubsTest(RemovalTestCase):
    # Even gateways are in the data centre of the callers, odd ones in another one.
    gateways = 8
    zones = 2

    async def prepare(self):
        """Let gateways become the hub of their data centre in a known order."""
        for gateway in self.fleet.gateways[2:]:
            await gateway.stop()
            await gateway.start()
            await gateway.wait_ready()

    def freeze(self, *indexes):
        """Stop the processes of gateways without ending them."""
        for index in indexes:
            self.frozen.append(index)
            self.fleet.gateways[index].send_signal(signal.SIGSTOP)

    async def check_removal(self, *silent, delay=0.0):
        async def disturb():
            self.freeze(*silent)
            await asyncio.sleep(delay)
            await self.remove()

        await self.check_last_arrivals(disturb)

    async def test_silent_hub(self):
        """Guards against a removal that a data centre learns after the drain bound."""
        await self.check_removal(0)

    async def test_silent_hub_and_its_successors(self):
        """Guards against the same while one hub after the other is found silent."""
        await self.check_removal(0, 2, 4)

    async def test_silent_hubs_of_all_data_centres(self):
        """Guards against the same where all readers of the directory are silent."""
        await self.check_removal(0, 1)

    async def test_removal_between_the_freeze_and_its_detection(self):
        """Guards against a grace that begins when a gateway learns of the removal."""
        await self.check_removal(0, delay=0.2)
