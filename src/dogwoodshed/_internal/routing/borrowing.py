"""Borrow slots from peers while calls wait, and lend idle ones."""

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

# A borrower keeps a slot for this many usual service times while it has work for it.
TERM_SERVICE_TIMES = 10
# The borrower counts the term from its question, which the lender may hold for 0.1 s.
LEAST_TERM_S = 0.25
# A lender takes a slot back this long after the term if it hears nothing more: the
# message may be lost, and a call on the slot may still run.
RECLAIM_AFTER_S = 5.0
# A lender without an idle slot keeps the question this long and grants the next one.
HOLD_S = 0.1
ASK_TIMEOUT_S = HOLD_S + 0.05
MOST_ASKS_AT_ONCE = 3
HINT_SERVICE_TIMES = 0.5
# Pause after a refusal, so that a busy fleet does not spend its time asking.
REFUSED_PAUSE_S = 0.01
# A peer with this many idle slots on average may have one when asked.
LEAST_IDLE = 0.3


class Borrower:
    """Ask peers for slots of one service while calls wait."""

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
        self._asking: set[asyncio.Task[None]] = set()
        # Idle slots by peer as last answered, and until when that is worth more than
        # the average of the last heartbeat.
        self._hints: dict[str, tuple[float, float]] = {}

    def need(self) -> None:
        """Start to ask, unless enough questions are under way."""
        wanted = min(len(self._slots.queue), MOST_ASKS_AT_ONCE)
        if len(self._asking) < wanted and self._choose_peer() is not None:
            task = asyncio.ensure_future(self._ask())
            self._asking.add(task)
            task.add_done_callback(self._asking.discard)

    def set_position(self, position: int) -> None:
        """Note the position of the service in a new configuration."""
        self._position = position

    async def _ask(self) -> None:
        while self._slots.queue:
            peer = self._choose_peer()
            if peer is None:
                return
            if not await self._ask_peer(peer):
                # The pause is spread, so that waiting gateways do not ask in step.
                await asyncio.sleep(REFUSED_PAUSE_S * self._random.uniform(0.5, 1.5))

    async def _ask_peer(self, peer: str) -> bool:
        waiter = self._slots.queue.peek()
        asked_at = self._clock.monotonic()
        question = BorrowRequest(
            self._slots.service.name,
            waiter.call.rank,
            1,
            tuple(sorted(waiter.exclude)),
        )
        self._metrics.increment("borrow.asked")
        self._take_hint(peer)
        try:
            answer = await self._mesh.request(peer, question, ASK_TIMEOUT_S)
        except MeshError:
            self._metrics.increment("borrow.unanswered")
            self._set_hint(peer, 0)
            return False
        self._set_hint(peer, answer.idle_slots)
        for lease in answer.leases:
            self._accept(peer, lease, asked_at)
        return bool(answer.leases)

    def _accept(self, peer: str, lease: Lease, asked_at: float) -> None:
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
            expires=asked_at + lease.term_ms / 1000,
        )
        self._slots.health(lease.address).suggest(lease.expected_ms / 1000)
        self._slots.table.add_borrowed(slot)
        self._slots.free_slot(slot)

    def _choose_peer(self) -> str | None:
        views = self._membership.views
        idle = {peer: self._idle_of(peer) for peer in views}
        candidates = [peer for peer, count in idle.items() if count >= LEAST_IDLE]
        if not candidates:
            return None
        near = [p for p in candidates if views[p].data_centre == self._data_centre]
        pool = near or candidates
        pair = self._random.sample(pool, min(2, len(pool)))
        return max(pair, key=idle.__getitem__)

    def _idle_of(self, peer: str) -> float:
        until, idle = self._hints.get(peer, (0.0, 0.0))
        if self._clock.monotonic() < until:
            return idle
        loads = self._membership.views[peer].heartbeat.loads
        return loads[self._position].idle_slots if self._position < len(loads) else 0.0

    def _set_hint(self, peer: str, idle: float) -> None:
        # After about half a service time the peer's slots are in another state.
        until = self._clock.monotonic() + HINT_SERVICE_TIMES * self._slots.normal
        self._hints[peer] = (until, idle)

    def _take_hint(self, peer: str) -> None:
        """Count a slot that is asked for as gone."""
        self._set_hint(peer, self._idle_of(peer) - 1)


class _HeldQuestion(NamedTuple):
    borrower: str
    question: BorrowRequest
    answer: "asyncio.Future[BorrowReply]"


class Lender:
    """Lend idle slots to peers and take them back."""

    def __init__(self, mesh: Mesh, clock: Clock, metrics: Metrics) -> None:
        self._mesh = mesh
        self._clock = clock
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._held: dict[str, deque[_HeldQuestion]] = {}

    async def answer(
        self, slots: ServiceSlots, borrower: str, question: BorrowRequest
    ) -> BorrowReply:
        """Lend a slot now or as soon as one is idle, within a bound."""
        answer = self._lend(slots, borrower, question)
        if answer.leases:
            return answer
        held = _HeldQuestion(
            borrower, question, asyncio.get_running_loop().create_future()
        )
        waiting = self._held.setdefault(slots.service.name, deque())
        waiting.append(held)
        await asyncio.wait({held.answer}, timeout=HOLD_S)
        if held.answer.done():
            return held.answer.result()
        waiting.remove(held)
        self._metrics.increment("lend.refused")
        return BorrowReply(())

    def lend_idle(self, slots: ServiceSlots) -> None:
        """Grant idle slots to the questions that wait for one."""
        waiting = self._held.get(slots.service.name)
        while waiting:
            held = waiting[0]
            answer = self._lend(slots, held.borrower, held.question)
            if not answer.leases:
                return
            waiting.popleft()
            held.answer.set_result(answer)

    def _lend(
        self, slots: ServiceSlots, borrower: str, question: BorrowRequest
    ) -> BorrowReply:
        slot = slots.find_lendable(question.rank, question.exclude)
        if slot is None:
            return BorrowReply(())
        self._metrics.increment("lend.lent")
        term = max(LEAST_TERM_S, TERM_SERVICE_TIMES * slots.normal)
        slots.lend(slot, borrower, next(self._numbers))
        slot.expires = self._clock.monotonic() + term + RECLAIM_AFTER_S
        expected = slots.health(slot.upstream.address).mean or 0.0
        lease = Lease(
            slot.lease_id,
            slot.upstream.address,
            int(term * 1000),
            round(expected * 1000, 1),
        )
        return BorrowReply((lease,), slots.idle_now)

    def take_back(
        self, slots: ServiceSlots, borrower: str, lease_ids: tuple[int, ...]
    ) -> None:
        """Use returned slots again."""
        for lease_id in lease_ids:
            slot = slots.table.find_lent(lease_id, borrower)
            if slot is not None:
                self._reclaim(slots, slot)

    def reclaim(self, slots: ServiceSlots, live: frozenset[str]) -> None:
        """Take back slots whose borrower is gone or silent past the term."""
        now = self._clock.monotonic()
        for slot in slots.table.lent():
            if slot.borrower not in live or now >= slot.expires:
                self._metrics.increment("lend.reclaimed")
                self._reclaim(slots, slot)

    def _reclaim(self, slots: ServiceSlots, slot: HeldSlot) -> None:
        slot.expires = float("inf")
        slots.take_back(slot)
