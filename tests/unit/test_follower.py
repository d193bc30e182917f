"""Test which gateways read the directory, and when."""

import asyncio
import time
import unittest

from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.directory import follower as module
from dogwoodshed._internal.directory.follower import DirectoryFollower
from dogwoodshed._internal.directory.model import DirectoryChanges
from dogwoodshed._internal.exceptions import HistoryLostError, PlatformError
from tests.lib.fleet_builders import CountingMetrics, revision


class _Directory:
    def __init__(self):
        self.calls = []
        self.waits = []
        self.error = None

    async def load(self):
        changes = DirectoryChanges(revision(5), (), complete=True)
        return await self._respond("load", changes)

    async def watch(self, after, wait):
        self.waits.append(wait)
        await asyncio.sleep(0.05)
        changes = DirectoryChanges(after, ())
        return await self._respond(f"watch {after.number}", changes)

    async def close(self):
        pass

    async def _respond(self, name, changes):
        self.calls.append(name)
        if self.error is not None:
            error, self.error = self.error, None
            raise error
        return changes


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    async def run_follower(self, seconds, *, rank=0, before=None, **options):
        self.directory = _Directory()
        self.failures = []
        self.since = []
        follower = DirectoryFollower(
            self.directory,
            lambda: rank,
            lambda changes, since: self.since.append(since),
            lambda: self.failures.append(1),
            lambda: None,
            SystemClock(),
            CountingMetrics(),
            **options,
        )
        if before is not None:
            before(follower)
        await follower.start()
        await asyncio.sleep(seconds)
        await follower.stop()
        return follower

    async def test_first_gateway_reads_at_once_and_watches(self):
        """Guards against a fleet that starts without a configuration."""
        await self.run_follower(0.3)
        self.assertEqual(self.directory.calls[:2], ["load", "watch 5"])

    async def test_other_gateways_do_not_read_current_data(self):
        """Guards against directory requests that grow with the fleet."""
        await self.run_follower(
            0.4, rank=5, before=lambda f: f.record_peer_progress(revision(7), 0.0)
        )
        self.assertEqual(self.directory.calls, [])

    async def test_other_gateways_read_when_data_is_stale(self):
        """Guards against gateways that wait for readers that have stopped."""
        stale_age = module.STALE_AFTER_S + module.MAX_STANDBY_DELAY_S + 1
        await self.run_follower(
            0.3, rank=5, before=lambda f: f.record_peer_progress(revision(7), stale_age)
        )
        self.assertEqual(self.directory.calls, [])
        self.addCleanup(setattr, module, "STALE_AFTER_S", module.STALE_AFTER_S)
        module.STALE_AFTER_S = -module.MAX_STANDBY_DELAY_S
        await self.run_follower(
            0.3, rank=5, before=lambda f: f.record_peer_progress(revision(7), 0.0)
        )
        self.assertEqual(self.directory.calls[0], "watch 7")

    async def test_other_gateways_read_when_their_source_is_silent(self):
        """Guards against changes that wait until the data of a silent hub is stale."""
        await self.run_follower(
            0.4,
            rank=5,
            before=lambda f: f.record_peer_progress(revision(7), 0.0),
            is_source_silent=lambda: True,
        )
        self.assertEqual(self.directory.calls[0], "watch 7")

    async def test_prompt_response_may_report_an_earlier_change(self):
        """Guards against a removal that counts as new when a gateway learns of it."""
        known_at = []

        def wait_after_progress(follower):
            follower.record_peer_progress(revision(7), 0.0)
            known_at.append(SystemClock().monotonic())
            time.sleep(0.3)

        await self.run_follower(0.1, before=wait_after_progress)
        self.assertLessEqual(self.since[0], known_at[0])

    async def test_change_during_a_watch_is_new(self):
        """Guards against a removal that counts as old because the watch has waited."""

        async def watch(after, wait):
            await asyncio.sleep(0.5)
            return DirectoryChanges(after, ())

        def wait_long(follower):
            follower.record_peer_progress(revision(7), 0.0)
            self.directory.watch = watch

        started_at = SystemClock().monotonic()
        await self.run_follower(0.7, before=wait_long)
        self.assertGreater(self.since[0], started_at + 0.5 - module.PROMPT_RESPONSE_S)

    async def test_lost_history_causes_a_complete_read(self):
        """Guards against missing changes that are no longer in the history."""

        def lose_history(follower):
            follower.record_peer_progress(revision(3), 0.0)
            self.directory.error = HistoryLostError("gone")

        await self.run_follower(0.4, before=lose_history)
        self.assertEqual(self.directory.calls[:3], ["watch 3", "load", "watch 5"])

    async def test_failure_is_reported(self):
        """Guards against other gateways that wait for a reader that fails."""

        def fail(follower):
            self.directory.error = PlatformError("busy")

        follower = await self.run_follower(0.05, before=fail)
        self.assertTrue(follower.failing)
        self.assertEqual(len(self.failures), 1)

    async def test_watch_after_a_failure_hardly_waits(self):
        """Guards against cut watches that leave open whether the directory responds."""

        def cut(follower):
            follower.record_peer_progress(revision(3), 0.0)
            self.directory.error = PlatformError("cut")

        await self.run_follower(0.6, before=cut)
        waits = [module.WATCH_WAIT_S, module.CHECK_WAIT_S, module.WATCH_WAIT_S]
        self.assertEqual(self.directory.waits[:3], waits)

    async def test_peer_does_not_return_a_revision_whose_history_is_lost(self):
        """Guards against watches from a lost revision while complete reads fail."""

        def lose_history(follower):
            follower.record_peer_progress(revision(3), 0.0)
            self.directory.error = HistoryLostError("gone")
            self.follower = follower

        async def fail_load():
            self.directory.calls.append("load")
            self.follower.record_peer_progress(revision(3), 0.0)
            raise PlatformError("busy")

        def fail(follower):
            lose_history(follower)
            self.directory.load = fail_load

        await self.run_follower(0.6, before=fail)
        self.assertEqual(set(self.directory.calls[1:]), {"load"})

    async def test_peer_of_an_earlier_era_is_not_followed(self):
        """Guards against a watch from a revision that the store assigned again."""

        def record_both_eras(follower):
            follower.record_peer_progress(revision(5, era=1), 0.0)
            follower.record_peer_progress(revision(9), 0.0)

        follower = await self.run_follower(0.2, before=record_both_eras)
        self.assertEqual(self.directory.calls[0], "watch 5")
        self.assertEqual(follower.revision, revision(5, era=1))
