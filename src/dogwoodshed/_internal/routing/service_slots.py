"""Match the queued calls of one service with slots."""

import asyncio
import random
from collections.abc import Callable, Sequence

from dogwoodshed._internal.admission.ranked_queue import RankedQueue, Waiter
from dogwoodshed._internal.admission.throughput import Throughput
from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import Rank, Service, Upstream
from dogwoodshed._internal.exceptions import (
    DeadlineExpiredInQueueError,
    DeadlineUnreachableError,
    NotRunError,
    NoUpstreamError,
    QueueFullError,
)
from dogwoodshed._internal.mesh.messages import ServiceLoad
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import Outcome, OutcomeStatus, Slot
from dogwoodshed._internal.routing.slots import HeldSlot, SlotTable, TimeAverage
from dogwoodshed._internal.routing.upstreams import UpstreamHealth, UsualTimes

DEFAULT_SERVICE_TIME_S = 0.02
# A slot whose expected time exceeds the normal one by this factor is used only when
# waiting would take longer.
SLOW_FACTOR = 1.5
# A call with less time left is given up, since many of those would run out of time on
# the slot: of exponential service times 14 percent exceed twice the mean. A call that
# came with little time is given up only when half of that is gone.
LEAST_SERVICE_TIMES = 2.0
LEAST_ALLOWANCE_SHARE = 0.5
AVERAGE_S = 0.25
# The median over all upstreams changes slowly and costs more than a dispatch.
USUAL_REFRESH_S = 0.05
# Comparing more free slots hardly finds a better one.
MOST_COMPARED = 8
LOOK_AGAIN_SERVICE_TIMES = 0.25
# More would let a rank that waits at one gateway alone take most of its slots.
MOST_FLOOR_FACTOR = 2.0
# A call excluded from some upstreams must not hold up those behind it.
MOST_SKIPPED = 8


class ServiceSlots:
    """Queue and slots of one service at one gateway."""

    def __init__(
        self,
        service: Service,
        ranks: tuple[Rank, ...],
        clock: Clock,
        metrics: Metrics,
        *,
        queue_length: int,
        on_need: Callable[["ServiceSlots"], None],
        on_return: Callable[[HeldSlot], None],
        on_idle: Callable[["ServiceSlots"], None],
    ) -> None:
        self._service = service
        self._clock = clock
        self._metrics = metrics
        self._queue: RankedQueue = RankedQueue(ranks, queue_length)
        self._table = SlotTable()
        self._health: dict[str, UpstreamHealth] = {}
        self._throughput = [Throughput() for _ in ranks]
        self._random = random.Random()
        self._on_need = on_need
        self._on_return = on_return
        self._on_idle = on_idle
        self._idle = TimeAverage(clock.monotonic(), AVERAGE_S)
        self._timer: asyncio.TimerHandle | None = None
        self._usual = UsualTimes(DEFAULT_SERVICE_TIME_S, DEFAULT_SERVICE_TIME_S)
        self._usual_until = float("-inf")
        # Whether calls may go to upstreams without a slot, see `use_any_upstream`.
        self._alone = False

    @property
    def service(self) -> Service:
        return self._service

    @property
    def table(self) -> SlotTable:
        return self._table

    @property
    def queue(self) -> RankedQueue:
        return self._queue

    @property
    def usual(self) -> UsualTimes:
        now = self._clock.monotonic()
        if now >= self._usual_until:
            upstreams = self._health.values()
            self._usual = UsualTimes.from_upstreams(upstreams, DEFAULT_SERVICE_TIME_S)
            self._usual_until = now + USUAL_REFRESH_S
        return self._usual

    @property
    def normal(self) -> float:
        """Return the usual service time in seconds."""
        return self.usual.service

    @property
    def _most_extra(self) -> float:
        """Return by how much an upstream that is not slow may exceed the usual."""
        return (SLOW_FACTOR - 1) * self.normal

    @property
    def idle_now(self) -> int:
        """Count the slots that could be lent now."""
        return len(self._lendable(self._clock.monotonic()))

    def health(self, address: str) -> UpstreamHealth:
        """Return what is known of an upstream."""
        health = self._health.get(address)
        if health is None:
            health = self._health[address] = UpstreamHealth(
                self._clock.monotonic(), cold=False
            )
        return health

    def update_service(self, service: Service) -> None:
        """Use a changed service; upstreams that are new to it start cold."""
        known = {upstream.address for upstream in self._service.upstreams}
        now = self._clock.monotonic()
        for upstream in service.upstreams:
            if upstream.address not in known:
                self._health[upstream.address] = UpstreamHealth(now, cold=bool(known))
        for address in known - {upstream.address for upstream in service.upstreams}:
            self._health.pop(address, None)
        self._service = service

    def balance_floors(self, peers: Sequence[ServiceLoad]) -> None:
        """Raise the floors of ranks that wait here and not at the peers.

        A floor is a share of the fleet's dispatches. Where a rank does not wait, its
        calls may be fewer than the floor, and the rest is owed where it waits.
        """
        for rank in range(len(self._throughput)):
            waiting = sum(1 for load in peers if _waits(load, rank))
            factor = (1 + len(peers)) / (1 + waiting)
            self._queue.scale_floor(rank, min(MOST_FLOOR_FACTOR, factor))

    def load(self) -> ServiceLoad:
        """Return the load for the heartbeat."""
        now = self._clock.monotonic()
        idle = self._idle.update(len(self._lendable(now)), now)
        return ServiceLoad(round(idle, 1), self._queue.lengths)

    async def acquire(self, call: Call, exclude: frozenset[str]) -> Slot:
        """Wait for a slot; raises NotRunError."""
        if not self._queue:
            slot = self._choose(exclude, waiting=0, waited=0.0)
            if slot is not None:
                return self._take(slot, call)
        self._refuse_early(call)
        if self._alone and not self._table.usable:
            return self._two_choices(exclude)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, future, exclude)
        victim = self._queue.push(waiter)
        if victim is not None:
            self._fail(victim, QueueFullError(self._service.name))
        self._on_need(self)
        self._set_timer()
        return await self._wait(waiter)

    async def _wait(self, waiter: Waiter) -> Slot:
        slot: Slot | None = None
        try:
            remaining = waiter.call.deadline - self._clock.monotonic()
            async with asyncio.timeout(remaining):
                slot = await waiter.token
            return slot
        except TimeoutError:
            raise DeadlineExpiredInQueueError(self._service.name) from None
        finally:
            self._queue.remove(waiter)
            if slot is None:
                self._recover(waiter.token)

    def _recover(self, future: "asyncio.Future[HeldSlot]") -> None:
        """Free a slot that was granted in the moment the wait ended."""
        if future.done() and not future.cancelled() and future.exception() is None:
            self.free_slot(future.result())

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Learn from the end of a call and use the slot for the next."""
        now = self._clock.monotonic()
        self.health(slot.upstream.address).note(outcome, now)
        if outcome.status is OutcomeStatus.REFUSED:
            self._metrics.increment("upstreams.refused")
        if isinstance(slot, HeldSlot):
            if outcome.status is OutcomeStatus.TIMED_OUT:
                self._queue.refund(slot.rank)
            self.free_slot(slot)

    def free_slot(self, slot: HeldSlot) -> None:
        """Make a slot available again, or give it back."""
        self._table.vacate(slot)
        self.serve()
        if slot.lender is not None and not slot.busy:
            self._table.drop_borrowed(slot)
            self._on_return(slot)

    def serve(self) -> None:
        """Give free slots to queued calls."""
        skipped: list[Waiter] = []
        while self._queue and len(skipped) < MOST_SKIPPED:
            now = self._clock.monotonic()
            waiter = self._queue.peek()
            if self._is_too_late(waiter.call, now):
                # Not popped: a refusal must not use up the floor of its rank.
                self._queue.remove(waiter)
                self._fail(waiter, DeadlineUnreachableError(self._service.name))
                continue
            waited = now - waiter.call.arrived_at
            slot = self._choose(waiter.exclude, waiting=len(self._queue), waited=waited)
            if slot is None and not waiter.exclude:
                break
            self._queue.pop()
            if slot is None:
                skipped.append(waiter)
            elif not waiter.token.done():
                waiter.token.set_result(self._take(slot, waiter.call))
        for waiter in skipped:
            self._queue.push(waiter)
        if self._queue:
            self._on_need(self)
            self._set_timer()
        elif self._table.idle_count:
            self._on_idle(self)
        self._note_idle()

    def find_lendable(self, rank: int, exclude: tuple[str, ...]) -> HeldSlot | None:
        """Return the best slot that a peer may use for calls of a rank."""
        if self._queue.waiting_up_to(rank):
            return None
        now = self._clock.monotonic()
        slots = [s for s in self._lendable(now) if s.upstream.address not in exclude]
        return min(slots, key=lambda s: self._expected(s, now), default=None)

    def lend(self, slot: HeldSlot, borrower: str, lease_id: int) -> None:
        """Let a peer use a slot."""
        self._table.lend(slot, borrower, lease_id)
        self._note_idle()

    def take_back(self, slot: HeldSlot) -> None:
        """Use a slot again that was lent to a peer."""
        self._table.take_back(slot)
        self.serve()

    def use_any_upstream(self, alone: bool) -> None:
        """Allow calls without a slot, for a gateway with no slot and no peer."""
        self._alone = alone

    def _two_choices(self, exclude: frozenset[str]) -> Slot:
        now = self._clock.monotonic()
        candidates = [
            upstream
            for upstream in self._service.upstreams
            if upstream.address not in exclude
            and self.health(upstream.address).opens_at(0) <= now
        ]
        if not candidates:
            raise NoUpstreamError(self._service.name)
        self._metrics.increment("routing.two_choices")
        pair = self._random.sample(candidates, min(2, len(candidates)))
        usual = self.usual
        best = min(pair, key=lambda u: self.health(u.address).expected(now, usual))
        return Slot(self._service, best)

    def _choose(
        self, exclude: frozenset[str], *, waiting: int, waited: float
    ) -> HeldSlot | None:
        now = self._clock.monotonic()
        slots = [s for s in self._free(now) if s.upstream.address not in exclude]
        if not slots:
            return None
        best = min(slots, key=lambda slot: self._preference(slot, now))
        extra = self._expected(best, now) - self.usual.cost
        if extra <= self._most_extra:
            return best
        ahead = waiting * self.normal / max(1, self._table.usable)
        return best if ahead + waited >= extra else None

    def _take(self, slot: HeldSlot, call: Call) -> HeldSlot:
        self._table.occupy(slot)
        slot.rank = call.rank
        self._throughput[call.rank].note(self._clock.monotonic())
        self._note_idle()
        return slot

    def _refuse_early(self, call: Call) -> None:
        now = self._clock.monotonic()
        rate = self._throughput[call.rank].rate(now)
        ahead = self._queue.ahead_of(call)
        if rate is None or not ahead:
            return
        if self._is_too_late(call, now + ahead / rate):
            self._metrics.increment("queue.refused_early")
            raise DeadlineUnreachableError(self._service.name)

    def _is_too_late(self, call: Call, now: float) -> bool:
        allowance = LEAST_ALLOWANCE_SHARE * (call.deadline - call.arrived_at)
        least = min(LEAST_SERVICE_TIMES * self.normal, allowance)
        return now + least > call.deadline

    def _fail(self, waiter: Waiter, error: NotRunError) -> None:
        self._metrics.increment("queue.refused")
        if not waiter.token.done():
            waiter.token.set_exception(error)

    def _lendable(self, now: float) -> list[HeldSlot]:
        most = self.usual.cost + self._most_extra
        return [
            slot
            for slot in self._free(now)
            if slot.owned and self._expected(slot, now) <= most
        ]

    def _free(self, now: float) -> list[HeldSlot]:
        """Return slots that a call may be sent on now, at most a few."""
        free = []
        for slot in self._table.idle:
            if slot.is_free(now) and self._opens_at(slot) <= now:
                free.append(slot)
                if len(free) == MOST_COMPARED:
                    break
        return free

    def _expected(self, slot: HeldSlot, now: float) -> float:
        return self.health(slot.upstream.address).expected(now, self.usual)

    def _preference(self, slot: HeldSlot, now: float) -> tuple[bool, float]:
        """Return a key that puts upstreams without a recent sample first."""
        expected = self._expected(slot, now)
        slow = expected - self.usual.cost > self._most_extra
        due = not slow and self.health(slot.upstream.address).needs_sample(now)
        return not due, expected

    def _opens_at(self, slot: HeldSlot) -> float:
        return self.health(slot.upstream.address).opens_at(slot.id.index)

    def _note_idle(self) -> None:
        self._idle.update(self._table.idle_count, self._clock.monotonic())

    def _set_timer(self) -> None:
        """Look again soon: closed slots open, and waiting outweighs a slow slot."""
        if self._timer is None and self._queue:
            delay = LOOK_AGAIN_SERVICE_TIMES * self.normal
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self._look_again)

    def _look_again(self) -> None:
        self._timer = None
        self.serve()


def _waits(load: ServiceLoad, rank: int) -> bool:
    return rank < len(load.queued) and load.queued[rank] > 0


def find_upstream(service: Service, address: str) -> Upstream | None:
    """Return the upstream of a service with this address."""
    for upstream in service.upstreams:
        if upstream.address == address:
            return upstream
    return None
