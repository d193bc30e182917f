"""Test how gateways divide, lend and reassign slots."""

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


class BorrowingGateway:
    """A router with its membership and a mesh that records messages."""

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

    def receive_heartbeats(self, *numbers, idle=0.0):
        """Receive a heartbeat from peers."""
        loads = (ServiceLoad(idle, (0, 0, 0)),)
        for number in numbers:
            peer = f"g{number}"
            self.membership.record_hello(Hello(1, peer, 1, "lima-1"))
            heartbeat = Heartbeat(1, "ready", 1, "", loads)
            self.membership.record_heartbeat(peer, 1, heartbeat)

    def own_slots(self):
        table = self.router._services["profiles"].table
        return {slot.id for slot in table.owned}

    def call(self, **changes):
        call = builders.call(self.service, arrived_at=self.clock.now, **changes)
        return asyncio.ensure_future(self.router.acquire(call))


class SlicesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()

    def start_gateway(self, fleet, own=0, live_peers=None):
        gateway = BorrowingGateway(self.clock, fleet, own)
        gateway.receive_heartbeats(
            *(live_peers or [n for n in range(fleet) if n != own])
        )
        gateway.router.apply_configuration(gateway.configuration)
        return gateway

    async def acquire_all(self, gateway):
        return [await gateway.call() for _ in gateway.own_slots()]

    async def test_owned_slots_are_disjoint_and_complete(self):
        """Guards against slots with two owners and slots without an owner."""
        slices = [self.start_gateway(4, own).own_slots() for own in range(4)]
        self.assertEqual(sum(len(part) for part in slices), 16)
        self.assertEqual(len(frozenset().union(*slices)), 16)

    async def test_slots_of_a_lost_gateway_are_used_after_a_delay(self):
        """Guards against capacity lost with a host, and against its use too early."""
        gateway = self.start_gateway(4)
        before = gateway.own_slots()
        self.clock.now += 2.0
        gateway.receive_heartbeats(1, 2)
        gateway.membership.expire()
        gained = gateway.own_slots() - before
        self.assertTrue(gained)
        acquired = [await gateway.call() for _ in before]
        self.assertTrue({slot.id for slot in acquired} <= before)
        waiting = gateway.call()
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        waiting.cancel()

    async def test_many_silent_gateways_are_treated_as_a_partition(self):
        """Guards against both sides of a partition using all the slots."""
        gateway = self.start_gateway(8)
        before = gateway.own_slots()
        self.clock.now += 2.0
        gateway.receive_heartbeats(1, 2, 3)
        gateway.membership.expire()
        self.assertEqual(gateway.own_slots(), before)

    async def test_waiting_call_borrows_a_slot_and_returns_it(self):
        """Guards against calls that wait although a peer has idle slots."""
        gateway = self.start_gateway(4)
        acquired = await self.acquire_all(gateway)
        gateway.receive_heartbeats(1, idle=2.0)
        owned = {slot.upstream.address for slot in acquired}
        address = next(a for a in ADDRESSES if a not in owned)
        gateway.mesh.replies["g1"] = BorrowReply((Lease(7, address, 200, 20.0),))
        slot = await asyncio.wait_for(gateway.call(), 2)
        self.assertEqual(slot.upstream.address, address)
        self.assertIsInstance(gateway.mesh.requests[0][1], BorrowRequest)
        gateway.router.release(slot, ANSWERED)
        self.assertIn(("g1", LeaseReturn((7,))), gateway.mesh.sent)

    async def test_silent_peer_does_not_delay_the_waiting_call(self):
        """Guards against a call that waits for a peer when an own slot becomes free."""
        gateway = self.start_gateway(4)
        acquired = await self.acquire_all(gateway)
        gateway.receive_heartbeats(1, idle=2.0)
        never = asyncio.get_running_loop().create_future()
        gateway.mesh.request = lambda *_: never
        waiting = gateway.call()
        await asyncio.sleep(0)
        gateway.router.release(acquired[0], ANSWERED)
        await asyncio.wait_for(waiting, 1)

    async def test_lease_granted_after_the_timeout_is_returned(self):
        """Guards against losing a slot when a reply arrives after its timeout."""
        gateway = self.start_gateway(4)
        late = BorrowReply((Lease(9, ADDRESSES[0], 200, 20.0),))
        gateway.mesh.handlers[BorrowReply]("g1", late)
        self.assertEqual(gateway.mesh.sent, [("g1", LeaseReturn((9,)))])

    async def test_slot_lent_to_a_lost_gateway_is_reclaimed(self):
        """Guards against slots that stay lent to a lost host."""
        gateway = self.start_gateway(4)
        reply = await self.borrow(gateway)
        self.assertEqual(len(reply.leases), 1)
        self.clock.now += 2.0
        gateway.receive_heartbeats(2, 3)
        gateway.membership.expire()
        self.assertEqual(gateway.metrics.counters["lend.reclaimed"], 1)

    async def test_pending_request_gets_the_next_idle_slot(self):
        """Guards against borrowers that have to repeat their requests."""
        gateway = self.start_gateway(4)
        acquired = await self.acquire_all(gateway)
        request = asyncio.ensure_future(self.borrow(gateway))
        await asyncio.sleep(0)
        self.assertFalse(request.done())
        gateway.router.release(acquired[0], ANSWERED)
        reply = await asyncio.wait_for(request, 1)
        self.assertEqual(reply.leases[0].address, acquired[0].upstream.address)

    async def test_own_calls_are_served_before_those_of_a_peer(self):
        """Guards against a lender whose calls wait while it lends its slots."""
        gateway = self.start_gateway(4)
        acquired = await self.acquire_all(gateway)
        request = asyncio.ensure_future(self.borrow(gateway))
        waiting = gateway.call()
        await asyncio.sleep(0)
        gateway.router.release(acquired[0], ANSWERED)
        await asyncio.wait_for(waiting, 1)
        self.assertFalse(request.done())
        await request

    async def test_pause_drops_borrowed_slots(self):
        """Guards against a process that uses expired leases after a pause."""
        gateway = self.start_gateway(4)
        acquired = await self.acquire_all(gateway)
        gateway.receive_heartbeats(1, idle=2.0)
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
        self.assertTrue(acquired)

    async def borrow(self, gateway):
        request = BorrowRequest("profiles", 1, 1)
        return await gateway.mesh.handlers[BorrowRequest]("g1", request)


if __name__ == "__main__":
    unittest.main()
