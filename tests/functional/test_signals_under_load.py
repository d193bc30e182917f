"""Test signals and configurations that reach a gateway while it serves calls."""

import asyncio
import signal
import unittest
from collections import Counter

import aiohttp

from tests.lib.deployment import ROUTES, Deployment, route

TIMEOUT_S = 30.0
CALLERS = 20
LONG_ROUTES = tuple({**entry, "timeout_ms": 4000} for entry in ROUTES)


class SignalsUnderLoadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Deployment()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.fleet.start(4, LONG_ROUTES, 20)
        except BaseException:
            await self.fleet.stop()
            raise
        self.gateway = self.fleet.gateways[0]
        self.outcomes = Counter()

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def call_repeatedly(self, caller, stopped):
        """Read and write, one call after the other."""
        number = 0
        while not stopped.is_set():
            unsafe = number % 2
            try:
                response = await self.fleet.call(
                    "/write/a" if unsafe else "/read/a",
                    method="POST" if unsafe else "GET",
                    request_id=f"c{caller}-{number}",
                    body=b"body" if unsafe else b"",
                    deadline_ms=4000,
                )
                self.outcomes[response.status] += 1
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                self.outcomes[type(error).__name__] += 1
            number += 1
            # The targets answer at different times.
            for target in self.fleet.targets.values():
                target.service_time_s = 0.02 + (number % 7) / 20

    async def run_load(self, disturb):
        """Disturb the gateway under load, and check that each call is answered."""
        stopped = asyncio.Event()
        callers = [
            asyncio.create_task(self.call_repeatedly(caller, stopped))
            for caller in range(CALLERS)
        ]
        await asyncio.sleep(0.5)
        await disturb()
        await asyncio.sleep(0.5)
        stopped.set()
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*callers)
        self.assertEqual(set(self.outcomes), {200}, self.outcomes)
        self.assertIsNone(self.gateway.process.returncode)

    async def test_changed_settings(self):
        """Guards against calls that a SIGHUP ends, also with settings that are bad."""
        path = self.gateway.settings_path
        good = path.read_bytes()
        texts = (good, b"", good[: len(good) // 2], b"\xff\xfe", b"[]", None, good)

        async def reload():
            for text in texts:
                if text is None:
                    path.unlink()
                else:
                    path.write_bytes(text)
                for _ in range(5):
                    self.gateway.send_signal(signal.SIGHUP)
                    await asyncio.sleep(0.02)

        await self.run_load(reload)

    async def test_new_configurations(self):
        """Guards against calls that a new configuration ends."""

        async def configure():
            for number in range(3):
                timeout_ms = 3000 + 100 * number
                routes = [{**entry, "timeout_ms": timeout_ms} for entry in LONG_ROUTES]
                await self.fleet.configure(
                    *routes, route("extra", f"/extra{number}/", service=f"s{number}")
                )
                await asyncio.sleep(0.3)

        await self.run_load(configure)

    async def test_vanished_and_draining_upstreams(self):
        """Guards against calls at an upstream that end because it leaves."""

        async def leave():
            first, second = list(self.fleet.targets.values())[:2]
            await self.fleet.store.put(
                f"servers/{first.id}", first.entry(state="draining")
            )
            await self.fleet.store.delete(f"servers/{second.id}")
            await asyncio.sleep(1.5)

        await self.run_load(leave)
