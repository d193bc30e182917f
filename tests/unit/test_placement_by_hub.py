"""Test that the hub places calls, and what happens without it."""

import asyncio
import time
import unittest
from collections import Counter
from unittest.mock import patch

from dogwoodshed._internal.exceptions import (
    DeadlineUnreachableError,
    NotRunError,
    OverloadedError,
)
from dogwoodshed._internal.mesh.fleet_messages import (
    DataCentreLoad,
    InFlightCalls,
)
from dogwoodshed._internal.mesh.placement_messages import (
    PlacementReply,
)
from dogwoodshed._internal.routing import delegating_router
from dogwoodshed._internal.routing.base import LoadReport, Outcome, OutcomeStatus
from dogwoodshed._internal.routing.delegating_router import (
    REPLY_TIMEOUT_S,
    DelegatedSlot,
)
from tests.lib.fleet_builders import usable_upstream
from tests.lib.placement_fleet import HUB, PlacementFleet

ANSWERED = Outcome(OutcomeStatus.ANSWERED, 0.1)


async def run_pending():
    """Let all messages that were sent arrive."""
    for _ in range(10):
        await asyncio.sleep(0)


class PlacementByHubTest(unittest.IsolatedAsyncioTestCase):
    async def acquire(self, fleet, gateway="g0", **changes):
        return await fleet.gateways[gateway].acquire(fleet.call(**changes))

    async def test_calls_that_arrive_together_use_different_slots(self):
        """Guards against gateways that all choose the upstream that seems best.

        Replays a burst of calls within the time in which gateways do not see each
        other's calls: 60 gateways, 40 upstreams with two slots, one of them fast.
        """
        for by_hub in (True, False):
            fleet = PlacementFleet(60, 40)
            for router in (fleet.hub, *fleet.gateways.values()):
                now = fleet.clock.monotonic()
                for number, state in enumerate(router._states.values()):
                    slowness = 0.8 if number < 3 else 1.0
                    state.performance.record_slowness(slowness, now)
            if not by_hub:
                for link in fleet.links.values():
                    link.hub = ""
            # On a busy machine, the sixty choices in one process take longer than a hub
            # may take for its reply.
            with patch.object(delegating_router, "REPLY_TIMEOUT_S", 10.0):
                slots = await asyncio.gather(
                    *(self.acquire(fleet, name) for name in fleet.gateways)
                )
            self.assertNotIn("placement.timeouts", fleet.metrics.counts)
            busiest = max(Counter(slot.upstream.id for slot in slots).values())
            with self.subTest(by_hub=by_hub):
                if by_hub:
                    self.assertLessEqual(busiest, 2)
                else:
                    # Shows that the replayed load provokes the failure.
                    self.assertGreater(busiest, 4)

    async def test_place_is_freed_at_the_end_of_the_call(self):
        """Guards against slots that the hub counts as busy for good."""
        fleet = PlacementFleet(1, 1)
        slot = await self.acquire(fleet)
        self.assertIsInstance(slot, DelegatedSlot)
        self.assertEqual(fleet.calls_at_hub(), [1])
        report = LoadReport(in_flight=1, slowness=1.5)
        fleet.gateways["g0"].release(slot, Outcome(OutcomeStatus.ANSWERED, 0.1, report))
        await run_pending()
        self.assertEqual(fleet.calls_at_hub(), [0])
        self.assertEqual(fleet.server.granted, 0)
        (state,) = fleet.hub._states.values()
        self.assertEqual(state.performance._slowness, 1.5)

    async def test_urgent_call_of_another_gateway_goes_first(self):
        """Guards against ranks that hold only among the calls of one gateway."""
        fleet = PlacementFleet(3, 1)
        held = [await self.acquire(fleet) for _ in range(2)]
        order = []

        async def wait(gateway, rank):
            slot = await self.acquire(fleet, gateway, rank=rank)
            order.append(rank)
            return slot

        tasks = [asyncio.create_task(wait("g1", 2))]
        await run_pending()
        tasks.append(asyncio.create_task(wait("g2", 0)))
        await run_pending()
        for slot in held:
            fleet.gateways["g0"].release(slot, ANSWERED)
            await run_pending()
        await asyncio.gather(*tasks)
        self.assertEqual(order, [0, 2])

    async def test_silent_hub(self):
        """Guards against calls that wait for a hub that is paused."""
        fleet = PlacementFleet(1, 2)
        link = fleet.links["g0"]
        link.paused = True
        slot = await self.acquire(fleet)
        self.assertNotIsInstance(slot, DelegatedSlot)
        # The next calls are placed at once.
        async with asyncio.timeout(0.05):
            await self.acquire(fleet)
        link.resume()
        await run_pending()
        self.assertEqual(fleet.calls_at_hub(), [0, 0])

    async def test_reply_just_after_the_timeout(self):
        """Guards against an error that would close the connection to the hub."""
        fleet = PlacementFleet(1, 2)
        fleet.links["g0"].paused = True
        router = fleet.gateways["g0"]
        loop = asyncio.get_running_loop()
        errors = []
        loop.set_exception_handler(lambda _, context: errors.append(context))
        task = asyncio.create_task(self.acquire(fleet))
        await asyncio.sleep(0)
        reply = PlacementReply(1, "queued")
        loop.call_later(REPLY_TIMEOUT_S + 0.001, router.handle_reply, HUB, reply)
        # Both timers are due when the loop runs again.
        time.sleep(REPLY_TIMEOUT_S + 0.02)
        self.assertNotIsInstance(await task, DelegatedSlot)
        self.assertEqual(errors, [])

    async def test_lost_hub_while_the_call_is_queued(self):
        """Guards against queued calls that are lost with their hub."""
        fleet = PlacementFleet(2, 1)
        for _ in range(2):
            await self.acquire(fleet, "g1")
        task = asyncio.create_task(self.acquire(fleet))
        await run_pending()
        self.assertFalse(task.done())
        fleet.links["g0"].hub = ""
        fleet.gateways["g0"].drop_hub(HUB)
        slot = await task
        self.assertNotIsInstance(slot, DelegatedSlot)

    async def test_lost_gateway(self):
        """Guards against places of a gateway that has ended."""
        fleet = PlacementFleet(2, 1)
        for _ in range(2):
            await self.acquire(fleet)
        waiting = asyncio.create_task(self.acquire(fleet))
        await run_pending()
        fleet.server.drop_peer("g0")
        self.assertEqual(fleet.calls_at_hub(), [0])
        await run_pending()
        self.assertEqual(len(fleet.hub._pools["profiles"].queue), 0)
        waiting.cancel()

    async def test_caller_that_leaves_while_its_call_is_queued(self):
        """Guards against slots granted to calls that nobody waits for."""
        fleet = PlacementFleet(2, 1)
        held = [await self.acquire(fleet, "g1") for _ in range(2)]
        task = asyncio.create_task(self.acquire(fleet))
        await run_pending()
        task.cancel()
        await run_pending()
        for slot in held:
            fleet.gateways["g1"].release(slot, ANSWERED)
        await run_pending()
        self.assertEqual(fleet.calls_at_hub(), [0])

    async def test_refusal_of_the_hub(self):
        """Guards against a refused call that is queued once more at its gateway."""
        fleet = PlacementFleet(2, 1)
        for _ in range(2):
            await self.acquire(fleet, "g1")
        with self.assertRaises(OverloadedError):
            await self.acquire(fleet, deadline=fleet.clock.monotonic() + 0.05)

    async def test_deadline_of_a_queued_call(self):
        """Guards against a call that is held until after its deadline."""
        fleet = PlacementFleet(2, 1)
        for _ in range(2):
            await self.acquire(fleet, "g1")
        for router in fleet.gateways.values():
            router._pools["profiles"].queue.evict_unservable = lambda *_: []
        started = fleet.clock.monotonic()
        with self.assertRaises((DeadlineUnreachableError, OverloadedError)):
            await self.acquire(fleet, deadline=started + 0.3)
        self.assertLess(fleet.clock.monotonic() - started, 0.35)

    async def test_upstream_that_leaves(self):
        """Guards against a call to an upstream whose leaving its gateway knows."""
        fleet = PlacementFleet(1, 1)
        fleet.gateways["g0"].apply_upstreams([usable_upstream("i-7")])
        slot = await self.acquire(fleet)
        self.assertEqual(slot.upstream.id, "i-7")
        await run_pending()
        self.assertEqual(fleet.calls_at_hub(), [0])

    async def test_hub_without_the_configuration(self):
        """Guards against a refused call because its hub has an older configuration."""
        fleet = PlacementFleet(1, 1)
        fleet.hub._pools.clear()
        slot = await self.acquire(fleet)
        self.assertNotIsInstance(slot, DelegatedSlot)

    async def test_service_that_is_removed_while_a_call_is_queued(self):
        """Guards against a call that waits until its deadline for an answer."""
        fleet = PlacementFleet(2, 1)
        for _ in range(2):
            await self.acquire(fleet, "g1")
        task = asyncio.create_task(self.acquire(fleet))
        await asyncio.sleep(0)
        # Runs after the request was queued, before the hub's task has started.
        asyncio.get_running_loop().call_soon(fleet.hub._pools.clear)
        async with asyncio.timeout(0.5):
            self.assertNotIsInstance(await task, DelegatedSlot)

    async def test_calls_placed_by_the_hub_are_not_counted_twice(self):
        """Guards against sums that contain a call of hub and gateway."""
        fleet = PlacementFleet(1, 1)
        router = fleet.gateways["g0"]
        slot = await self.acquire(fleet)
        self.assertEqual(router.load.compose_load(1)["in_flight"], ())
        # The next hub does not know the call.
        fleet.links["g0"].hub = "other"
        router.load.switch_hub("other")
        (item,) = router.load.compose_load(1)["in_flight"]
        self.assertEqual(item.calls, 1)
        router.release(slot, ANSWERED)
        self.assertEqual(router.load.compose_load(2)["in_flight"], ())

    async def test_counts_of_a_lost_hub_are_dropped(self):
        """Guards against upstreams that seem busy for seconds after a hub failed.

        The sum of a hub includes the calls that it placed. A gateway that reports these
        itself from then on would refuse calls until the sum expires.
        """
        fleet = PlacementFleet(1, 1)
        router = fleet.gateways["g0"]
        await self.acquire(fleet)
        in_flight = (InFlightCalls("i-0", 2),)
        router.load.apply_load(DataCentreLoad(HUB, 1, 1, in_flight=in_flight))
        self.assertEqual(router._states["i-0"].in_flight, 2)
        router.drop_hub(HUB)
        self.assertEqual(router._states["i-0"].in_flight, 1)

    async def test_late_reply_of_an_earlier_request(self):
        """Guards against a place that is used twice, or by another call."""
        fleet = PlacementFleet(1, 1)
        router = fleet.gateways["g0"]
        router.handle_reply(HUB, PlacementReply(99, "granted", "i-0"))
        router.handle_reply("another", PlacementReply(1, "granted", "i-0"))
        await self.acquire(fleet)
        router.handle_reply(HUB, PlacementReply(1, "granted", "i-0"))
        self.assertEqual(router._states["i-0"].own_calls, 1)

    async def test_every_refusal_means_not_run(self):
        """Guards against an error that does not state that the call has not run."""
        fleet = PlacementFleet(1, 0)
        with self.assertRaises(NotRunError):
            await self.acquire(fleet)
