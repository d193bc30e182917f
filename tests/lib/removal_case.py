"""Remove a target under load, and see when its last request arrives."""

import asyncio
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


class RemovalTestCase(unittest.IsolatedAsyncioTestCase):
    gateways = 1
    zones = 1

    async def asyncSetUp(self):
        self.fleet = Deployment(self.gateways, zones=self.zones)
        # Indexes of the gateways that are not called.
        self.frozen = []
        self.removed_at = None
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.fleet.start(3, slots=SLOTS)
                await self.prepare()
        except BaseException:
            await self.fleet.stop()
            raise
        for target in self.fleet.targets.values():
            target.service_time_s = SERVICE_TIME_S
        await asyncio.sleep(1.0)

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def prepare(self):
        """Bring the fleet into the state in which a test begins."""

    async def call_repeatedly(self, caller, stopped):
        """Call the gateways of the first data centre in turn."""
        number = 0
        while not stopped.is_set():
            number += 1
            index = (caller + number) * self.zones % len(self.fleet.gateways)
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

    async def remove(self):
        """Remove the entry of the leaving target."""
        await self.fleet.remove_target(LEAVING)
        self.removed_at = time.monotonic()

    async def check_last_arrivals(self, disturb):
        """Check when requests reach a target that is removed by `disturb`."""
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
        last = sorted(at - self.removed_at for at in arrivals)[-10:]
        self.assertLess(last[-1], DRAIN_BOUND_S, last)
