"""Test that no slot is granted on the basis of state from before a pause."""

import asyncio
import unittest

from dogwoodshed._internal.catch_up import CatchUp, GuardedRouter
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.routing.base import (
    LoadReport,
    Outcome,
    OutcomeStatus,
    Slot,
)
from tests.lib import builders
from tests.lib.mesh_fakes import ManualClock


class _Mesh:
    def __init__(self):
        self.pauses = []
        self.paused = False

    def on_pause(self, listener):
        self.pauses.append(listener)

    def check_pause(self):
        if self.paused:
            self.paused = False
            self.pauses[0](9.0)


class _Replicator:
    def __init__(self):
        self.caught_up = asyncio.Event()

    async def resynchronize(self, timeout):
        await self.caught_up.wait()


class _Router:
    def __init__(self, mesh):
        service = builders.configuration().services[0]
        self.slot = Slot(service, service.upstreams[0])
        self.mesh = mesh
        self.pause_in_acquire = False
        self.acquired = 0
        self.released = []
        self.notices = []

    async def acquire(self, call, *, exclude):
        self.acquired += 1
        if self.pause_in_acquire:
            self.pause_in_acquire, self.mesh.paused = False, True
        return self.slot

    def release(self, slot, outcome):
        self.released.append(outcome)

    def record_notice(self, slot, report):
        self.notices.append((slot, report))


class _DrainTracker:
    def __init__(self):
        self.reports = []

    def apply_load_report(self, address, report, sent_at):
        self.reports.append((address, report.draining, sent_at))


class CatchUpTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.mesh, self.drains = _Mesh(), _DrainTracker()
        self.replicator = _Replicator()
        self.router = _Router(self.mesh)
        catch_up = CatchUp(self.mesh, self.replicator, Metrics())
        self.guarded = GuardedRouter(self.router, catch_up, self.drains, ManualClock())

    async def run_pending_tasks(self):
        for _ in range(5):
            await asyncio.sleep(0)

    async def test_holds_calls_that_arrive_after_a_pause(self):
        """Guards against using an upstream that started to drain during the pause."""
        self.mesh.paused = True
        call = asyncio.ensure_future(self.guarded.acquire(None))
        await self.run_pending_tasks()
        self.assertEqual(self.router.acquired, 0)
        self.replicator.caught_up.set()
        await call

    async def test_releases_a_slot_that_was_granted_before_a_pause(self):
        """Guards against queued calls that get a slot chosen before the pause."""
        self.router.pause_in_acquire = True
        call = asyncio.ensure_future(self.guarded.acquire(None))
        await self.run_pending_tasks()
        self.assertFalse(call.done())
        self.assertEqual(self.router.released[0].status, OutcomeStatus.CANCELLED)
        self.replicator.caught_up.set()
        await call
        self.assertEqual(self.router.acquired, 2)

    async def test_passes_on_what_responses_say(self):
        """Guards against calls that fail because of the report in their response."""
        report = LoadReport(draining=True)
        self.guarded.record_notice(self.router.slot, report)
        self.assertEqual(self.router.notices, [(self.router.slot, report)])

    async def test_tracks_load_reports_with_the_time_of_the_call(self):
        """Guards against a response from before a drain that ends the drain."""
        outcome = Outcome(OutcomeStatus.ANSWERED, 2.0, LoadReport(draining=True))
        self.guarded.release(self.router.slot, outcome)
        self.assertEqual(self.drains.reports, [("127.0.0.1:1", True, 998.0)])


if __name__ == "__main__":
    unittest.main()
