"""Test how gateways divide, lend and take over slots."""

import asyncio
import unittest

from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import (
    BorrowReply,
    BorrowRequest,
    Heartbeat,
    Hello,
    Lease,
    LeaseReturn,
    ServiceLoad,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.routing.base import Outcome, OutcomeStatus, RouterContext
from dogwoodshed._internal.routing.slices import SlicesRouter
from dogwoodshed._internal.settings import Settings
from tests.lib import builders
from tests.lib.mesh_fakes import FakeMesh, ManualClock

ADDRESSES = tuple(f"127.0.0.1:{port}" for port in range(1, 9))
ANSWERED = Outcome(OutcomeStatus.ANSWERED, 0.02)


class Gateway:
    """One router with its membership and a mesh that records."""

    def __init__(self, clock, fleet, own=0):
        peers = [
            {"id": f"g{number}", "address": "127.0.0.1:9"}
            for number in range(fleet)
            if number != own
        ]
        settings = Settings.from_value(
            {
                "id": f"g{own}",
                "host": "host",
                "data_centre": "lima-1",
                "listen": "127.0.0.1:0",
                "mesh": {"peers": peers},
            }
        )
        self.clock = clock
        self.membership = Membership(settings, clock)
        self.mesh = FakeMesh(self.membership)
        self.pause_listeners = []
        self.mesh.on_pause = self.pause_listeners.append
        self.metrics = Metrics()
        self.router = SlicesRouter.from_context(
            RouterContext(
                settings, self.mesh, self.membership, self.clock, self.metrics
            )
        )
        self.membership.subscribe(self.router.apply_members)
        self.configuration = builders.configuration(
            builders.service_entry(addresses=ADDRESSES)
        )
        self.service = self.configuration.services[0]

    def hear(self, *numbers, idle=0.0):
        """Receive a heartbeat from peers."""
        loads = (ServiceLoad(idle, (0, 0, 0)),)
        for number in numbers:
            peer = f"g{number}"
            self.membership.record_hello(Hello(1, peer, 1, "lima-1"))
            beat = Heartbeat(1, "ready", 1, "", loads)
            self.membership.record_heartbeat(peer, 1, beat)

    def own_slots(self):
        snapshot = self.router._services["profiles"].table
        return {slot.id for slot in snapshot.owned}

    def call(self, **changes):
        call = builders.call(self.service, arrived_at=self.clock.now, **changes)
        return asyncio.ensure_future(self.router.acquire(call))


class SlicesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()

    def start(self, fleet, own=0, heard=None):
        gateway = Gateway(self.clock, fleet, own)
        gateway.hear(*(heard or [n for n in range(fleet) if n != own]))
        gateway.router.apply_configuration(gateway.configuration)
        return gateway

    async def take_all(self, gateway):
        return [await gateway.call() for _ in gateway.own_slots()]

    async def test_slices_are_disjoint_and_complete(self):
        """Guards against two gateways on one slot, and against unused slots."""
        slices = [self.start(4, own).own_slots() for own in range(4)]
        self.assertEqual(sum(len(part) for part in slices), 16)
        self.assertEqual(len(frozenset().union(*slices)), 16)

    async def test_slots_of_one_lost_gateway_pass_on_after_a_settling_time(self):
        """Guards against capacity that is lost with a host, and against haste."""
        gateway = self.start(4)
        before = gateway.own_slots()
        self.clock.now += 2.0
        gateway.hear(1, 2)
        gateway.membership.expire()
        gained = gateway.own_slots() - before
        self.assertTrue(gained)
        taken = [await gateway.call() for _ in before]
        self.assertTrue({slot.id for slot in taken} <= before)
        waiting = gateway.call()
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        waiting.cancel()

    async def test_many_silent_gateways_are_taken_for_a_partition(self):
        """Guards against both sides of a partition using all the slots."""
        gateway = self.start(8)
        before = gateway.own_slots()
        self.clock.now += 2.0
        gateway.hear(1, 2, 3)
        gateway.membership.expire()
        self.assertEqual(gateway.own_slots(), before)

    async def test_waiting_call_gets_a_slot_from_a_peer_and_gives_it_back(self):
        """Guards against calls that wait while a peer's slots are idle."""
        gateway = self.start(4)
        taken = await self.take_all(gateway)
        gateway.hear(1, idle=2.0)
        owned = {slot.upstream.address for slot in taken}
        address = next(a for a in ADDRESSES if a not in owned)
        gateway.mesh.replies["g1"] = BorrowReply((Lease(7, address, 200, 20.0),))
        slot = await asyncio.wait_for(gateway.call(), 2)
        self.assertEqual(slot.upstream.address, address)
        self.assertIsInstance(gateway.mesh.requests[0][1], BorrowRequest)
        gateway.router.release(slot, ANSWERED)
        self.assertIn(("g1", LeaseReturn((7,))), gateway.mesh.sent)

    async def test_silent_peer_costs_the_waiting_call_nothing(self):
        """Guards against a call that waits for a peer while a slot frees here."""
        gateway = self.start(4)
        taken = await self.take_all(gateway)
        gateway.hear(1, idle=2.0)
        never = asyncio.get_running_loop().create_future()
        gateway.mesh.request = lambda *_: never
        waiting = gateway.call()
        await asyncio.sleep(0)
        gateway.router.release(taken[0], ANSWERED)
        await asyncio.wait_for(waiting, 1)

    async def test_late_grant_is_given_back(self):
        """Guards against a slot that is lost when an answer comes after its timeout."""
        gateway = self.start(4)
        late = BorrowReply((Lease(9, ADDRESSES[0], 200, 20.0),))
        gateway.mesh.handlers[BorrowReply]("g1", late)
        self.assertEqual(gateway.mesh.sent, [("g1", LeaseReturn((9,)))])

    async def test_slot_lent_to_a_lost_gateway_is_taken_back(self):
        """Guards against slots that stay lent to a host that is gone."""
        gateway = self.start(4)
        answer = await self.borrow(gateway)
        self.assertEqual(len(answer.leases), 1)
        self.clock.now += 2.0
        gateway.hear(2, 3)
        gateway.membership.expire()
        self.assertEqual(gateway.metrics.counters["lend.reclaimed"], 1)

    async def test_held_question_gets_the_next_idle_slot(self):
        """Guards against borrowers that must ask again and again."""
        gateway = self.start(4)
        taken = await self.take_all(gateway)
        question = asyncio.ensure_future(self.borrow(gateway))
        await asyncio.sleep(0)
        self.assertFalse(question.done())
        gateway.router.release(taken[0], ANSWERED)
        answer = await asyncio.wait_for(question, 1)
        self.assertEqual(answer.leases[0].address, taken[0].upstream.address)

    async def test_own_calls_go_before_a_peers(self):
        """Guards against a lender whose own calls wait for its own slots."""
        gateway = self.start(4)
        taken = await self.take_all(gateway)
        question = asyncio.ensure_future(self.borrow(gateway))
        waiting = gateway.call()
        await asyncio.sleep(0)
        gateway.router.release(taken[0], ANSWERED)
        await asyncio.wait_for(waiting, 1)
        self.assertFalse(question.done())
        await question

    async def test_pause_drops_borrowed_slots(self):
        """Guards against a process that wakes and uses leases of before."""
        gateway = self.start(4)
        taken = await self.take_all(gateway)
        gateway.hear(1, idle=2.0)
        gateway.mesh.replies["g1"] = BorrowReply(
            (Lease(7, ADDRESSES[0], 200_000, 20.0),)
        )
        slot = await asyncio.wait_for(gateway.call(), 2)
        for listener in gateway.pause_listeners:
            listener(10.0)
        waiting = gateway.call()
        await asyncio.sleep(0)
        gateway.router.release(slot, ANSWERED)
        self.assertFalse(waiting.done())
        waiting.cancel()
        self.assertTrue(taken)

    async def borrow(self, gateway):
        question = BorrowRequest("profiles", 1, 1)
        return await gateway.mesh.handlers[BorrowRequest]("g1", question)


if __name__ == "__main__":
    unittest.main()
