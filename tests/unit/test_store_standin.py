"""Test the stand-in for the metadata store."""

import asyncio
import unittest

import aiohttp

from tests.lib.store_standin import StoreStandIn

TIMEOUT_S = 10.0


class StoreStandInTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = StoreStandIn()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def get(self, path, address=None, **query):
        """Return the status, the era and the body of a response."""
        url = f"http://{address or self.store.address}{path}"
        async with asyncio.timeout(TIMEOUT_S):
            async with self.session.get(url, params=query) as response:
                body = await response.json() if response.status == 200 else None
                return response.status, response.headers["Store-Era"], body

    async def watch(self, after, wait_ms=0):
        return await self.get("/kv-watch", prefix="", after=after, wait_ms=wait_ms)

    async def wait_for_waiting_watch(self):
        async with asyncio.timeout(TIMEOUT_S):
            while not self.store.calls:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)

    async def test_every_response_has_the_era(self):
        """Guards against a client test in which the era is missing on errors."""
        copy = self.store.copy()
        await self.store.compact_history()
        for era in ("1", "2"):
            self.assertEqual((await self.get("/none"))[:2], (404, era))
            self.assertEqual((await self.get("/kv-range"))[:2], (400, era))
            self.assertEqual((await self.get("/kv-range", prefix=""))[:2], (200, era))
            self.assertEqual((await self.watch(99))[:2], (410, era))
            self.store.mode = "busy"
            self.assertEqual((await self.watch(1))[:2], (503, era))
            self.store.mode = "ok"
            await self.store.restore(copy)

    async def test_restore_returns_to_the_copy(self):
        """Guards against a restore that keeps items, events or revisions."""
        created = await self.store.put("a", 1)
        copied = await self.store.put("a", 2)
        copy = self.store.copy()
        await self.store.put("b", 3)
        await self.store.delete("a")
        await self.store.restore(copy)
        _, _, body = await self.get("/kv-range", prefix="")
        (item,) = body["items"]
        self.assertEqual(body["store_revision"], copied)
        self.assertEqual((item["key"], item["revision"]), ("a", copied))
        self.assertEqual(item["create_revision"], created)
        _, _, body = await self.watch(created)
        self.assertEqual([event["revision"] for event in body["events"]], [copied])
        self.assertEqual((await self.watch(copied + 2))[0], 410)
        self.assertEqual(await self.store.put("c", 4), copied + 1)
        self.assertEqual(await self.store.put("d", 5), copied + 2)
        _, era, body = await self.watch(copied)
        self.assertEqual([event["key"] for event in body["events"]], ["c", "d"])
        self.assertEqual(era, "2")

    async def test_copy_of_an_earlier_moment(self):
        """Guards against a copy that already has what was written after its moment."""
        await self.store.put("a", 1)
        await asyncio.sleep(0.1)
        await self.store.put("a", 2)
        self.assertEqual(self.store.copy().revision, 3)
        self.assertEqual(self.store.copy(age=0.05).revision, 2)
        self.assertEqual(self.store.copy(age=60).revision, 1)
        await self.store.restore(self.store.copy(age=0.05))
        self.assertEqual(self.store.copy(age=0.0).revision, 2)

    async def test_restore_cuts_a_waiting_watch(self):
        """Guards against a watch that survives while the store is away."""
        copy = self.store.copy()
        after = await self.store.put("a", 1)
        watch = asyncio.ensure_future(self.watch(after, wait_ms=9000))
        await self.wait_for_waiting_watch()
        await self.store.restore(copy)
        # The client library repeats a request whose connection was closed.
        self.assertEqual((await watch)[:2], (410, "2"))
        self.assertEqual(self.store.calls, 2)

    async def test_restore_answers_a_waiting_watch(self):
        """Guards against a watch of the old era that waits on in the new one."""
        copy = self.store.copy()
        after = await self.store.put("a", 1)
        watch = asyncio.ensure_future(self.watch(after, wait_ms=9000))
        await self.wait_for_waiting_watch()
        await self.store.restore(copy, cut_watches=False)
        self.assertEqual((await watch)[:2], (410, "2"))
        self.assertEqual(self.store.calls, 1)

    async def test_rejected_address(self):
        """Guards against rejecting clients of another address as well."""
        other = await self.store.add_address()
        self.store.rejected_addresses.add(other)
        self.assertEqual((await self.get("/kv-range", other, prefix=""))[0], 503)
        self.assertEqual((await self.get("/kv-range", prefix=""))[0], 200)
        self.assertEqual(self.store.calls_by_address[other], 1)
