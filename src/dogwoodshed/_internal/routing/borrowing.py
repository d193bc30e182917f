"""Borrow slots from peers while calls wait, and lend idle slots to them."""

import asyncio
import itertools
import random
from collections import deque
from typing import NamedTuple

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import MeshError
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import (
    BorrowReply,
    BorrowRequest,
    Lease,
    LeaseReturn,
)
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.routing.service_slots import ServiceSlots, find_upstream
from dogwoodshed._internal.routing.slots import HeldSlot

# Term of a lease in median service times; a borrower may keep the slot until the term
# ends while it has calls for it.
LEASE_TERM_SERVICE_TIMES = 10
# The borrower counts the term from its request, which the lender may hold for 0.1 s.
MIN_LEASE_TERM_S = 0.25
# A lender reclaims a slot that was not returned this long after the term: the message
# may be lost, and a call on the slot may still run.
RECLAIM_DELAY_S = 5.0
# A lender without an idle slot holds a request this long and grants the next idle slot.
REQUEST_HOLD_S = 0.1
REQUEST_TIMEOUT_S = REQUEST_HOLD_S + 0.05
MAX_CONCURRENT_REQUESTS = 3
# A reply is outdated after about half a service time.
REPLY_VALID_SERVICE_TIMES = 0.5
# Mean pause after a refusal, so that a busy fleet does not spend its time on requests.
REFUSAL_PAUSE_S = 0.01
# A peer with at least this many idle slots on average may have one when the request
# arrives.
MIN_IDLE_SLOTS = 0.3


class Borrower:
    """Request slots of one service from peers while calls wait."""

    def __init__(
        self,
        slots: ServiceSlots,
        position: int,
        mesh: Mesh,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
        data_centre: str,
    ) -> None:
        self._slots = slots
        self._position = position
        self._mesh = mesh
        self._membership = membership
        self._clock = clock
        self._metrics = metrics
        self._data_centre = data_centre
        self._random = random.Random()
        self._requests: set[asyncio.Task[None]] = set()
        # Idle slots in the last reply of each peer, with the time up to which they are
        # more accurate than the average in its last heartbeat.
        self._replied_idle: dict[str, tuple[float, float]] = {}

    def request_slots(self) -> None:
        """Start a request, unless enough requests are in flight."""
        wanted = min(len(self._slots.queue), MAX_CONCURRENT_REQUESTS)
        if len(self._requests) < wanted and self._choose_peer() is not None:
            task = asyncio.ensure_future(self._request_while_waiting())
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    def set_position(self, position: int) -> None:
        """Set the position of the service in a new configuration."""
        self._position = position

    async def _request_while_waiting(self) -> None:
        while self._slots.queue:
            peer = self._choose_peer()
            if peer is None:
                return
            if not await self._request_from(peer):
                # The random factor keeps gateways from sending requests in step.
                await asyncio.sleep(REFUSAL_PAUSE_S * self._random.uniform(0.5, 1.5))

    async def _request_from(self, peer: str) -> bool:
        waiter = self._slots.queue.peek()
        requested_at = self._clock.monotonic()
        request = BorrowRequest(
            self._slots.service.name,
            waiter.call.rank,
            1,
            tuple(sorted(waiter.exclude)),
        )
        self._metrics.increment("borrow.asked")
        self._decrement_idle(peer)
        try:
            reply = await self._mesh.request(peer, request, REQUEST_TIMEOUT_S)
        except MeshError:
            self._metrics.increment("borrow.unanswered")
            self._set_idle(peer, 0)
            return False
        self._set_idle(peer, reply.idle_slots)
        for lease in reply.leases:
            self._accept_lease(peer, lease, requested_at)
        return bool(reply.leases)

    def _accept_lease(self, peer: str, lease: Lease, requested_at: float) -> None:
        self._metrics.increment("borrow.borrowed")
        upstream = find_upstream(self._slots.service, lease.address)
        if upstream is None:
            self._mesh.send(peer, LeaseReturn((lease.lease_id,)))
            return
        slot = HeldSlot.from_lease(
            self._slots.service,
            upstream,
            lender=peer,
            lease_id=lease.lease_id,
            expires_at=requested_at + lease.term_ms / 1000,
        )
        self._slots.health(lease.address).set_initial_mean(lease.expected_ms / 1000)
        self._slots.table.add_borrowed(slot)
        self._slots.free_slot(slot)

    def _choose_peer(self) -> str | None:
        views = self._membership.views
        idle = {peer: self._idle_slots_of(peer) for peer in views}
        candidates = [peer for peer, count in idle.items() if count >= MIN_IDLE_SLOTS]
        if not candidates:
            return None
        near = [p for p in candidates if views[p].data_centre == self._data_centre]
        pool = near or candidates
        pair = self._random.sample(pool, min(2, len(pool)))
        return max(pair, key=idle.__getitem__)

    def _idle_slots_of(self, peer: str) -> float:
        until, idle = self._replied_idle.get(peer, (0.0, 0.0))
        if self._clock.monotonic() < until:
            return idle
        loads = self._membership.views[peer].heartbeat.loads
        return loads[self._position].idle_slots if self._position < len(loads) else 0.0

    def _set_idle(self, peer: str, idle: float) -> None:
        until = (
            self._clock.monotonic()
            + REPLY_VALID_SERVICE_TIMES * self._slots.median_service_time
        )
        self._replied_idle[peer] = (until, idle)

    def _decrement_idle(self, peer: str) -> None:
        """Subtract a requested slot from the idle slots of a peer."""
        self._set_idle(peer, self._idle_slots_of(peer) - 1)


class _PendingRequest(NamedTuple):
    borrower: str
    request: BorrowRequest
    reply: "asyncio.Future[BorrowReply]"


class Lender:
    """Lend idle slots to peers and reclaim them."""

    def __init__(self, mesh: Mesh, clock: Clock, metrics: Metrics) -> None:
        self._mesh = mesh
        self._clock = clock
        self._metrics = metrics
        self._lease_ids = itertools.count(1)
        self._pending: dict[str, deque[_PendingRequest]] = {}

    async def handle_request(
        self, slots: ServiceSlots, borrower: str, request: BorrowRequest
    ) -> BorrowReply:
        """Lend an idle slot, waiting for one for up to REQUEST_HOLD_S."""
        reply = self._lend(slots, borrower, request)
        if reply.leases:
            return reply
        pending = _PendingRequest(
            borrower, request, asyncio.get_running_loop().create_future()
        )
        pending_requests = self._pending.setdefault(slots.service.name, deque())
        pending_requests.append(pending)
        await asyncio.wait({pending.reply}, timeout=REQUEST_HOLD_S)
        if pending.reply.done():
            return pending.reply.result()
        pending_requests.remove(pending)
        self._metrics.increment("lend.refused")
        return BorrowReply(())

    def serve_pending(self, slots: ServiceSlots) -> None:
        """Lend idle slots to the requests that wait for one."""
        pending_requests = self._pending.get(slots.service.name)
        while pending_requests:
            pending = pending_requests[0]
            reply = self._lend(slots, pending.borrower, pending.request)
            if not reply.leases:
                return
            pending_requests.popleft()
            pending.reply.set_result(reply)

    def _lend(
        self, slots: ServiceSlots, borrower: str, request: BorrowRequest
    ) -> BorrowReply:
        slot = slots.find_lendable(request.rank, request.exclude)
        if slot is None:
            return BorrowReply(())
        self._metrics.increment("lend.lent")
        term = max(
            MIN_LEASE_TERM_S, LEASE_TERM_SERVICE_TIMES * slots.median_service_time
        )
        slots.lend(slot, borrower, next(self._lease_ids))
        slot.expires_at = self._clock.monotonic() + term + RECLAIM_DELAY_S
        service_time = slots.health(slot.upstream.address).mean_service_time or 0.0
        lease = Lease(
            slot.lease_id,
            slot.upstream.address,
            int(term * 1000),
            round(service_time * 1000, 1),
        )
        return BorrowReply((lease,), slots.lendable_count)

    def end_leases(
        self, slots: ServiceSlots, borrower: str, lease_ids: tuple[int, ...]
    ) -> None:
        """Make slots available again that the borrower returned."""
        for lease_id in lease_ids:
            slot = slots.table.find_lent(lease_id, borrower)
            if slot is not None:
                self._reclaim(slots, slot)

    def reclaim_expired(self, slots: ServiceSlots, live: frozenset[str]) -> None:
        """Reclaim slots whose borrower is not live or did not return them in time."""
        now = self._clock.monotonic()
        for slot in slots.table.lent():
            if slot.borrower not in live or now >= slot.expires_at:
                self._metrics.increment("lend.reclaimed")
                self._reclaim(slots, slot)

    def _reclaim(self, slots: ServiceSlots, slot: HeldSlot) -> None:
        slot.expires_at = float("inf")
        slots.end_lease(slot)
