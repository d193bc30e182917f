"""Test routing on the load that all gateways share."""

import asyncio
import unittest

from dogwoodshed._internal.exceptions import NoUpstreamError, OverloadedError
from dogwoodshed._internal.mesh.fleet_messages import (
    DataCentreLoad,
    InFlightCalls,
    UpstreamReport,
    WaitingCalls,
)
from dogwoodshed._internal.routing.base import LoadReport, Outcome, OutcomeStatus
from dogwoodshed._internal.routing.shared_load import HUB_TIMEOUT_S
from tests.lib import fleet_builders as builders


def load(**fields):
    """Build the load that a hub sends."""
    return DataCentreLoad("hub", 1, 1, **fields)


def in_flight_load(calls):
    """Build the load of a hub with calls in flight at the first upstream."""
    return load(in_flight=(InFlightCalls("i-1", calls),))


class SharedRouterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = builders.FakeClock()
        self.router = builders.router(self.clock, "i-1", "i-2")

    def call(self, rank=1, **changes):
        return builders.call(self.clock, rank, **changes)

    async def chosen(self):
        slot = await self.router.acquire(self.call())
        self.router.release(slot, Outcome(OutcomeStatus.CANCELLED, 0.0))
        return slot.upstream.id

    async def test_calls_of_other_gateways_are_counted(self):
        """Guards against all gateways sending to an upstream that looks idle."""
        self.router.load.apply_load(in_flight_load(2))
        self.assertEqual({await self.chosen() for _ in range(20)}, {"i-2"})

    async def test_counts_of_a_silent_hub_are_dropped(self):
        """Guards against slots that a dead gateway occupies for ever."""
        self.router.load.apply_load(in_flight_load(2))
        self.clock.now += HUB_TIMEOUT_S + 0.1
        self.router.load.drop_stale_loads()
        self.assertEqual(len({await self.chosen() for _ in range(40)}), 2)

    async def test_full_load_replaces_earlier_counts(self):
        """Guards against counts that stay wrong after a lost message."""
        self.router.load.apply_load(in_flight_load(2))
        self.router.load.apply_load(load(full=True))
        self.assertEqual(len({await self.chosen() for _ in range(40)}), 2)

    async def test_reports_of_other_gateways_are_used(self):
        """Guards against calls to a machine that other gateways found to be slow."""
        self.router.load.apply_load(load(reports=(UpstreamReport("i-1", 700, 1),)))
        self.assertEqual({await self.chosen() for _ in range(20)}, {"i-2"})

    async def test_freed_slot_goes_to_the_waiting_call(self):
        """Guards against a call that waits although an upstream is idle."""
        slots = [await self.router.acquire(self.call()) for _ in range(4)]
        waiting = asyncio.ensure_future(self.router.acquire(self.call()))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        report = LoadReport(1, 2, slowness=1.0)
        self.router.release(slots[0], Outcome(OutcomeStatus.ANSWERED, 0.1, report))
        slot = await waiting
        self.assertEqual(slot.upstream.id, slots[0].upstream.id)

    async def test_gateways_with_waiting_calls_do_not_all_take_one_slot(self):
        """Guards against every gateway sending a call to a slot that becomes free.

        Found on corrib-gw-grown scale-1, during the burst of cutting orders.
        """
        placed = 0
        for _ in range(40):
            router = builders.router(self.clock, "i-1", "i-2")
            full = (InFlightCalls("i-1", 2), InFlightCalls("i-2", 2))
            waiting_calls = (WaitingCalls("profiles", (0, 9, 0)),)
            router.load.apply_load(load(in_flight=full, waiting=waiting_calls))
            call = self.call(deadline=self.clock.now + 9)
            call.set_prior_wait(0.1)
            waiting = asyncio.ensure_future(router.acquire(call))
            await asyncio.sleep(0)
            router.load.apply_load(load(in_flight=(InFlightCalls("i-1", 1),)))
            await asyncio.sleep(0.03)
            placed += waiting.done() and waiting.exception() is None
            waiting.cancel()
        self.assertLessEqual(placed, 8)

    async def test_cancelled_waiting_call_occupies_no_slot(self):
        """Guards against calls sent for callers that have disconnected."""
        slots = [await self.router.acquire(self.call()) for _ in range(4)]
        waiting = asyncio.ensure_future(self.router.acquire(self.call()))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        for slot in slots:
            self.router.release(slot, Outcome(OutcomeStatus.CANCELLED, 0.1))
        self.assertEqual(self.router.load.compose_load(1)["in_flight"], ())

    async def test_log_marks_an_upstream_without_a_report(self):
        """Guards against a report age of years in the log line of a call."""
        slot = await self.router.acquire(self.call())
        self.assertIn("unreported", slot.describe_choice())
        report = LoadReport(1, 2, slowness=1.0)
        self.router.release(slot, Outcome(OutcomeStatus.ANSWERED, 0.1, report))
        self.clock.now += 0.02
        choices = [
            (await self.router.acquire(self.call())).describe_choice() for _ in range(4)
        ]
        self.assertTrue(any("20ms-old" in choice for choice in choices), choices)

    async def test_backlog_at_other_gateways_refuses_calls_at_once(self):
        """Guards against queueing calls that cannot be served on time."""
        for _ in range(4):
            await self.router.acquire(self.call())
        flood = WaitingCalls("profiles", (0, 500, 0))
        self.router.load.apply_load(load(waiting=(flood,)))
        with self.assertRaises(OverloadedError):
            await self.router.acquire(self.call())

    async def test_flood_of_less_urgent_calls_does_not_refuse_urgent_ones(self):
        """Guards against refusing urgent calls, which are served before that flood."""
        slots = [await self.router.acquire(self.call()) for _ in range(4)]
        flood = WaitingCalls("profiles", (0, 0, 500))
        self.router.load.apply_load(load(waiting=(flood,)))
        waiting = asyncio.ensure_future(self.router.acquire(self.call(0)))
        await asyncio.sleep(0)
        self.router.release(slots[0], Outcome(OutcomeStatus.CANCELLED, 0.1))
        self.assertIsNotNone(await waiting)

    async def test_shedding_upstream_gets_no_calls_during_its_backoff(self):
        """Guards against repeated refusals by a full upstream."""
        slot = await self.router.acquire(self.call())
        self.router.release(slot, Outcome(OutcomeStatus.REFUSED, 0.001))
        self.assertNotIn(slot.upstream.id, {await self.chosen() for _ in range(20)})

    async def test_service_without_upstreams_refuses_calls(self):
        """Guards against a call that waits in vain."""
        self.router.apply_upstreams([])
        with self.assertRaises(NoUpstreamError):
            await self.router.acquire(self.call())

    async def test_restarted_upstream_has_no_history(self):
        """Guards against a restarted upstream that inherits earlier failures."""
        self.router.load.apply_load(load(reports=(UpstreamReport("i-1", 900, 0, 1),)))
        self.router.apply_upstreams(
            [
                builders.usable_upstream("i-1", started_ms=9),
                builders.usable_upstream("i-2"),
            ]
        )
        self.assertIn("i-1", {await self.chosen() for _ in range(40)})


class OwnLoadTest(unittest.IsolatedAsyncioTestCase):
    """Test that the own load, included in the sums of a hub, is subtracted."""

    def setUp(self):
        self.clock = builders.FakeClock()
        self.router = builders.router(self.clock, "i-1")
        self.router.load.switch_hub("hub")

    async def acquire_slot(self):
        return await self.router.acquire(builders.call(self.clock))

    def in_flight(self):
        return self.router.snapshot().upstreams[0].in_flight

    async def test_own_calls_are_counted_once(self):
        """Guards against an upstream that looks full because own calls count twice."""
        await self.acquire_slot()
        self.router.load.compose_load(1)
        self.router.load.record_acknowledgement("hub", 1)
        self.router.load.apply_load(in_flight_load(1))
        self.assertEqual(self.in_flight(), 1)

    async def test_calls_that_the_hub_does_not_count_yet_are_added(self):
        """Guards against missing calls that are newer than the sum of the hub."""
        await self.acquire_slot()
        self.router.load.compose_load(1)
        self.router.load.record_acknowledgement("hub", 1)
        self.router.load.apply_load(in_flight_load(1))
        await self.acquire_slot()
        self.assertEqual(self.in_flight(), 2)

    async def test_own_calls_are_not_subtracted_for_a_new_hub(self):
        """Guards against subtracting own calls from a sum without them."""
        await self.acquire_slot()
        self.router.load.compose_load(1)
        self.router.load.record_acknowledgement("hub", 1)
        self.router.load.switch_hub("next-hub")
        self.router.load.apply_load(in_flight_load(1)._replace(hub="next-hub"))
        self.assertEqual(self.in_flight(), 2)

    async def test_own_calls_are_not_subtracted_for_a_silent_hub(self):
        """Guards against subtracting own calls after the sum was dropped."""
        await self.acquire_slot()
        self.router.load.compose_load(1)
        self.router.load.record_acknowledgement("hub", 1)
        self.router.load.apply_load(in_flight_load(1))
        self.clock.now += HUB_TIMEOUT_S + 0.1
        self.router.load.drop_stale_loads()
        self.assertEqual(self.in_flight(), 1)

    async def test_own_failures_are_counted_once(self):
        """Guards against counting failures again when the hub reports them."""
        slot = await self.acquire_slot()
        self.router.release(slot, Outcome(OutcomeStatus.FAILED, 0.1))
        performance = slot.state.performance
        before = performance.error_rate(self.clock.now)
        fields = self.router.load.compose_load(1)
        self.router.load.record_acknowledgement("hub", 1)
        self.router.load.apply_load(load(reports=fields["reports"]))
        self.assertEqual(performance.error_rate(self.clock.now), before)
        self.router.load.apply_load(load(reports=fields["reports"]))
        self.assertGreater(performance.error_rate(self.clock.now), before)
