"""Test that leaving targets get no calls while the hubs of a data centre are silent."""

import asyncio
import signal
import time
import unittest

import aiohttp

from tests.lib.deployment import Deployment

TIMEOUT_S = 60.0
# The users require that a target gets no new request later than this after the store
# has acknowledged that it leaves.
DRAIN_BOUND_S = 2.0
CALLERS = 15
# The callers keep all targets busy, so that each of them is used.
SLOTS = 2
SERVICE_TIME_S = 0.1
RETRY_PAUSE_S = 0.1
LEAVING = "i-0"


class SilentHubsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        # Even gateways are in the data centre of the callers, odd ones in another one.
        self.fleet = Deployment(8, zones=2)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.fleet.start(3, slots=SLOTS)
                # The gateways of a data centre become its hub in the order of their
                # starts.
                for gateway in self.fleet.gateways[2:]:
                    await gateway.stop()
                    await gateway.start()
                    await gateway.wait_ready()
        except BaseException:
            await self.fleet.stop()
            raise
        for target in self.fleet.targets.values():
            target.service_time_s = SERVICE_TIME_S
        await asyncio.sleep(1.0)
        self.frozen = []
        self.removed_at = None

    async def asyncTearDown(self):
        await self.fleet.stop()

    def freeze(self, *indexes):
        """Stop the processes of gateways without ending them."""
        for index in indexes:
            self.frozen.append(index)
            self.fleet.gateways[index].send_signal(signal.SIGSTOP)

    async def call_repeatedly(self, caller, stopped):
        number = 0
        while not stopped.is_set():
            number += 1
            index = (caller + number) * 2 % len(self.fleet.gateways)
            if index in self.frozen:
                continue
            try:
                response = await self.fleet.call(
                    "/write/a",
                    method="POST",
                    request_id=f"w{caller}-{number}",
                    gateway=index,
                )
                refused = response.status == 503
            except (aiohttp.ClientError, OSError, TimeoutError):
                refused = True
            await asyncio.sleep(RETRY_PAUSE_S if refused else 0.0)

    async def run_removal(self, disturb):
        """Remove a target while gateways fail; return its last arrivals after that."""
        stopped = asyncio.Event()
        callers = [
            asyncio.create_task(self.call_repeatedly(caller, stopped))
            for caller in range(CALLERS)
        ]
        await asyncio.sleep(1.0)
        await disturb()
        await asyncio.sleep(DRAIN_BOUND_S + 1.5)
        stopped.set()
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*callers)
        target = self.fleet.targets[LEAVING]
        arrivals = [at for runs in target.runs.values() for at in runs]
        self.assertGreater(len(arrivals), 10)
        after = [at - self.removed_at for at in arrivals if at > self.removed_at]
        return sorted(after)[-10:]

    async def remove(self):
        await self.fleet.remove_target(LEAVING)
        self.removed_at = time.monotonic()

    async def check_removal(self, *silent):
        async def disturb():
            self.freeze(*silent)
            await self.remove()

        last = await self.run_removal(disturb)
        self.assertTrue(all(at < DRAIN_BOUND_S for at in last), last)

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

        async def disturb():
            self.freeze(0)
            await asyncio.sleep(0.2)
            await self.remove()

        last = await self.run_removal(disturb)
        self.assertTrue(all(at < DRAIN_BOUND_S for at in last), last)
