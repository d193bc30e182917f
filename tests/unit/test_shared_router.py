"""Test placement on the view that gateways share."""

import asyncio
import unittest

from dogwoodshed._internal.exceptions import NoUpstreamError, OverloadedError
from dogwoodshed._internal.mesh.messages import InFlight, News, UpstreamReport, Waiting
from dogwoodshed._internal.routing.base import LoadReport, Outcome, OutcomeStatus
from dogwoodshed._internal.routing.shared import FORGET_ORIGIN_S
from tests.lib import fleet_builders as builders


def news(**fields):
    """Build news of another gateway."""
    return News("other", 1, 1, **fields)


class SharedRouterTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = builders.ManualClock()
        self.router = builders.router(self.clock, "i-1", "i-2")

    def call(self, rank=1, **changes):
        return builders.call(self.clock, rank, **changes)

    async def chosen(self):
        slot = await self.router.acquire(self.call())
        self.router.release(slot, Outcome(OutcomeStatus.CANCELLED, 0.0))
        return slot.upstream.id

    async def test_other_gateways_calls_count(self):
        """Guards against gateways that all send to the upstream that looks idle."""
        self.router.take_news(news(in_flight=(InFlight("i-1", 2),)), full=False)
        self.assertEqual({await self.chosen() for _ in range(20)}, {"i-2"})

    async def test_counts_of_a_silent_gateway_are_dropped(self):
        """Guards against slots that a dead gateway holds for ever."""
        self.router.take_news(news(in_flight=(InFlight("i-1", 2),)), full=False)
        self.clock.now += FORGET_ORIGIN_S + 0.1
        self.router.forget_silent()
        self.assertEqual(len({await self.chosen() for _ in range(40)}), 2)

    async def test_full_news_replace_what_was_known(self):
        """Guards against counts that stay after news were lost."""
        self.router.take_news(news(in_flight=(InFlight("i-1", 2),)), full=False)
        self.router.take_news(news(), full=True)
        self.assertEqual(len({await self.chosen() for _ in range(40)}), 2)

    async def test_reports_of_other_gateways_count(self):
        """Guards against calls for a machine that others know to be slow."""
        self.router.take_news(news(reports=(UpstreamReport("i-1", 700),)), full=False)
        self.assertEqual({await self.chosen() for _ in range(20)}, {"i-2"})

    async def test_freed_slot_goes_to_the_waiting_call(self):
        """Guards against a call that waits while an upstream is idle."""
        slots = [await self.router.acquire(self.call()) for _ in range(4)]
        waiting = asyncio.ensure_future(self.router.acquire(self.call()))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        report = LoadReport(1, 2, slowness=1.0)
        self.router.release(slots[0], Outcome(OutcomeStatus.ANSWERED, 0.1, report))
        slot = await waiting
        self.assertEqual(slot.upstream.id, slots[0].upstream.id)

    async def test_caller_that_leaves_while_waiting_takes_no_slot(self):
        """Guards against work for callers who are gone."""
        slots = [await self.router.acquire(self.call()) for _ in range(4)]
        waiting = asyncio.ensure_future(self.router.acquire(self.call()))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        for slot in slots:
            self.router.release(slot, Outcome(OutcomeStatus.CANCELLED, 0.1))
        fields = self.router.compose(full=True)
        self.assertNotIn("in_flight", fields)

    async def test_flood_elsewhere_refuses_at_once(self):
        """Guards against calls held at a gateway that knows they cannot be served."""
        for _ in range(4):
            await self.router.acquire(self.call())
        flood = Waiting("profiles", (0, 500, 0))
        self.router.take_news(news(waiting=(flood,)), full=False)
        with self.assertRaises(OverloadedError):
            await self.router.acquire(self.call())

    async def test_flood_of_less_urgent_calls_does_not_refuse_urgent_ones(self):
        """Guards against urgent calls refused for a flood that they go before."""
        slots = [await self.router.acquire(self.call()) for _ in range(4)]
        flood = Waiting("profiles", (0, 0, 500))
        self.router.take_news(news(waiting=(flood,)), full=False)
        waiting = asyncio.ensure_future(self.router.acquire(self.call(0)))
        await asyncio.sleep(0)
        self.router.release(slots[0], Outcome(OutcomeStatus.CANCELLED, 0.1))
        self.assertIsNotNone(await waiting)

    async def test_shedding_upstream_is_left_alone_for_a_while(self):
        """Guards against one refusal after the other from a full upstream."""
        slot = await self.router.acquire(self.call())
        self.router.release(slot, Outcome(OutcomeStatus.REFUSED, 0.001))
        self.assertNotIn(slot.upstream.id, {await self.chosen() for _ in range(20)})

    async def test_service_without_upstreams_refuses(self):
        """Guards against a call that waits for nothing."""
        self.router.apply_upstreams([])
        with self.assertRaises(NoUpstreamError):
            await self.router.acquire(self.call())

    async def test_restarted_upstream_starts_anew(self):
        """Guards against a restart under the same id that inherits failures."""
        self.router.take_news(
            news(reports=(UpstreamReport("i-1", 900, True),)), full=False
        )
        self.router.apply_upstreams(
            [builders.listed("i-1", started_ms=9), builders.listed("i-2")]
        )
        self.assertIn("i-1", {await self.chosen() for _ in range(40)})
