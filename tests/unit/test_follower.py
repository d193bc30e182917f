"""Test which gateways read the directory, and when."""

import asyncio
import unittest

from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.directory import follower as module
from dogwoodshed._internal.directory.follower import DirectoryFollower
from dogwoodshed._internal.directory.model import DirectoryChanges
from dogwoodshed._internal.exceptions import HistoryLostError, PlatformError
from tests.lib.fleet_builders import CountingMetrics


class _Directory:
    def __init__(self):
        self.calls = []
        self.error = None

    async def load(self):
        return await self._answer("load", DirectoryChanges(5, (), complete=True))

    async def watch(self, revision, wait):
        await asyncio.sleep(0.05)
        return await self._answer(f"watch {revision}", DirectoryChanges(revision, ()))

    async def close(self):
        pass

    async def _answer(self, name, changes):
        self.calls.append(name)
        if self.error is not None:
            error, self.error = self.error, None
            raise error
        return changes


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def follow(self, seconds, *, rank=0, before=None):
        self.directory = _Directory()
        self.failures = []
        follower = DirectoryFollower(
            self.directory,
            lambda: rank,
            lambda changes: None,
            lambda: self.failures.append(1),
            lambda: None,
            SystemClock(),
            CountingMetrics(),
        )
        if before is not None:
            before(follower)
        await follower.start()
        await asyncio.sleep(seconds)
        await follower.stop()
        return follower

    async def test_first_gateway_reads_at_once_and_watches(self):
        """Guards against a fleet that starts without a configuration."""
        await self.follow(0.3)
        self.assertEqual(self.directory.calls[:2], ["load", "watch 5"])

    async def test_others_leave_it_to_the_first(self):
        """Guards against store calls that grow with the fleet."""
        await self.follow(0.4, rank=5, before=lambda f: f.record_peer_progress(7, 0.0))
        self.assertEqual(self.directory.calls, [])

    async def test_others_read_on_when_news_are_old(self):
        """Guards against gateways that wait for readers that are gone."""
        old = module.STALE_AFTER_S + module.MOST_STANDBY_S + 1
        await self.follow(0.3, rank=5, before=lambda f: f.record_peer_progress(7, old))
        self.assertEqual(self.directory.calls, [])
        self.addCleanup(setattr, module, "STALE_AFTER_S", module.STALE_AFTER_S)
        module.STALE_AFTER_S = -module.MOST_STANDBY_S
        await self.follow(0.3, rank=5, before=lambda f: f.record_peer_progress(7, 0.0))
        self.assertEqual(self.directory.calls[0], "watch 7")

    async def test_lost_history_is_read_again(self):
        """Guards against changes that were made while history was dropped."""

        def lose(follower):
            follower.record_peer_progress(3, 0.0)
            self.directory.error = HistoryLostError("gone")

        await self.follow(0.4, before=lose)
        self.assertEqual(self.directory.calls[:3], ["watch 3", "load", "watch 5"])

    async def test_failure_is_told(self):
        """Guards against a reader that fails while the others wait for it."""

        def fail(follower):
            self.directory.error = PlatformError("busy")

        follower = await self.follow(0.05, before=fail)
        self.assertTrue(follower.failing)
        self.assertEqual(len(self.failures), 1)
