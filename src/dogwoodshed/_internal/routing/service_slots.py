"""Assign slots to the queued calls of one service."""

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
from dogwoodshed._internal.mesh.messages import (
    ServiceLoad,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import Outcome, OutcomeStatus, Slot
from dogwoodshed._internal.routing.slots import HeldSlot, SlotTable, TimeWeightedAverage
from dogwoodshed._internal.routing.upstreams import MedianTimes, UpstreamHealth

DEFAULT_SERVICE_TIME_S = 0.02
# A slot whose expected service time exceeds the median by this factor is used only when
# waiting would take longer.
SLOW_FACTOR = 1.5
# A call with less time left is refused, since many such calls would time out at the
# upstream: 14 percent of exponential service times exceed twice the mean. A call that
# arrived with little time is refused only when half of that is used up.
MIN_REMAINING_SERVICE_TIMES = 2.0
MIN_REMAINING_TIME_SHARE = 0.5
IDLE_AVERAGE_TIME_CONSTANT_S = 0.25
# The medians over all upstreams change slowly, and computing them takes longer than a
# dispatch.
MEDIANS_REFRESH_S = 0.05
# Comparing more free slots rarely finds a better one.
MAX_COMPARED_SLOTS = 8
# Interval of checks for usable slots while calls wait, in median service times.
RECHECK_SERVICE_TIMES = 0.25
# A larger factor would let a rank that waits at only one gateway take most of the slots
# there.
MAX_FLOOR_FACTOR = 2.0
# Calls that exclude some upstreams are skipped, so that they do not block the calls
# behind them.
MAX_SKIPPED_CALLS = 8


class ServiceSlots:
    """The queue and the slots of one service at one gateway."""

    def __init__(
        self,
        service: Service,
        ranks: tuple[Rank, ...],
        clock: Clock,
        metrics: Metrics,
        *,
        queue_length: int,
        on_shortage: Callable[["ServiceSlots"], None],
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
        self._on_shortage = on_shortage
        self._on_return = on_return
        self._on_idle = on_idle
        self._idle = TimeWeightedAverage(
            clock.monotonic(), IDLE_AVERAGE_TIME_CONSTANT_S
        )
        self._timer: asyncio.TimerHandle | None = None
        self._medians = MedianTimes(DEFAULT_SERVICE_TIME_S, DEFAULT_SERVICE_TIME_S)
        self._medians_valid_until = float("-inf")
        # Whether calls may be sent without a slot, see `allow_calls_without_slot`.
        self._slotless_allowed = False

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
    def medians(self) -> MedianTimes:
        now = self._clock.monotonic()
        if now >= self._medians_valid_until:
            upstreams = self._health.values()
            self._medians = MedianTimes.from_upstreams(
                upstreams, DEFAULT_SERVICE_TIME_S
            )
            self._medians_valid_until = now + MEDIANS_REFRESH_S
        return self._medians

    @property
    def median_service_time(self) -> float:
        """Return the median service time in seconds."""
        return self.medians.service_time

    @property
    def _max_extra_cost(self) -> float:
        """Return how far above the median cost an upstream counts as slow."""
        return (SLOW_FACTOR - 1) * self.median_service_time

    @property
    def lendable_count(self) -> int:
        """Return how many slots could be lent now."""
        return len(self._lendable_slots(self._clock.monotonic()))

    def health(self, address: str) -> UpstreamHealth:
        """Return the health of an upstream."""
        health = self._health.get(address)
        if health is None:
            health = self._health[address] = UpstreamHealth(
                self._clock.monotonic(), cold=False
            )
        return health

    def update_service(self, service: Service) -> None:
        """Apply a changed service; upstreams added to it start cold."""
        previous = {upstream.address for upstream in self._service.upstreams}
        now = self._clock.monotonic()
        for upstream in service.upstreams:
            if upstream.address not in previous:
                self._health[upstream.address] = UpstreamHealth(
                    now, cold=bool(previous)
                )
        for address in previous - {upstream.address for upstream in service.upstreams}:
            self._health.pop(address, None)
        self._service = service

    def adjust_floors(self, peers: Sequence[ServiceLoad]) -> None:
        """Raise the floors of ranks that wait at this gateway but not at its peers.

        A floor is a share of the dispatches of the fleet. A gateway where a rank does
        not wait may dispatch fewer of its calls than the floor, so the gateways where
        it waits have to dispatch more.
        """
        for rank in range(len(self._throughput)):
            waiting_peers = sum(1 for load in peers if _has_waiting(load, rank))
            factor = (1 + len(peers)) / (1 + waiting_peers)
            self._queue.scale_floor(rank, min(MAX_FLOOR_FACTOR, factor))

    def load(self) -> ServiceLoad:
        """Return the load for the heartbeat."""
        now = self._clock.monotonic()
        idle = self._idle.update(len(self._lendable_slots(now)), now)
        return ServiceLoad(round(idle, 1), self._queue.lengths)

    async def acquire(self, call: Call, exclude: frozenset[str]) -> Slot:
        """Wait for a slot; raises NotRunError."""
        if not self._queue:
            slot = self._choose_slot(exclude, queued_calls=0, wait_time=0.0)
            if slot is not None:
                return self._occupy(slot, call)
        self._refuse_early(call)
        if self._slotless_allowed and not self._table.usable_count:
            return self._choose_of_two(exclude)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, future, exclude)
        evicted = self._queue.push(waiter)
        if evicted is not None:
            self._reject(evicted, QueueFullError(self._service.name))
        self._on_shortage(self)
        self._schedule_recheck()
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
                self._free_unclaimed(waiter.token)

    def _free_unclaimed(self, future: "asyncio.Future[HeldSlot]") -> None:
        """Free a slot that was granted just as the wait ended."""
        if future.done() and not future.cancelled() and future.exception() is None:
            self.free_slot(future.result())

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Update the estimates with the outcome of a call and free its slot."""
        now = self._clock.monotonic()
        self.health(slot.upstream.address).record_outcome(outcome, now)
        if outcome.status is OutcomeStatus.REFUSED:
            self._metrics.increment("upstreams.refused")
        if isinstance(slot, HeldSlot):
            if outcome.status is OutcomeStatus.TIMED_OUT:
                self._queue.refund(slot.rank)
            self.free_slot(slot)

    def free_slot(self, slot: HeldSlot) -> None:
        """Make a slot available again; return a borrowed one that no call needs."""
        self._table.mark_idle(slot)
        self.dispatch_queued()
        if slot.lender is not None and not slot.busy:
            self._table.drop_borrowed(slot)
            self._on_return(slot)

    def dispatch_queued(self) -> None:
        """Assign free slots to queued calls."""
        skipped: list[Waiter] = []
        while self._queue and len(skipped) < MAX_SKIPPED_CALLS:
            now = self._clock.monotonic()
            waiter = self._queue.peek()
            if self._is_too_late(waiter.call, now):
                # Removed, not popped, since a refusal must not be charged to the floor
                # of the rank.
                self._queue.remove(waiter)
                self._reject(waiter, DeadlineUnreachableError(self._service.name))
                continue
            wait_time = now - waiter.call.arrived_at
            slot = self._choose_slot(
                waiter.exclude, queued_calls=len(self._queue), wait_time=wait_time
            )
            if slot is None and not waiter.exclude:
                break
            self._queue.pop()
            if slot is None:
                skipped.append(waiter)
            elif not waiter.token.done():
                waiter.token.set_result(self._occupy(slot, waiter.call))
        for waiter in skipped:
            self._queue.push(waiter)
        if self._queue:
            self._on_shortage(self)
            self._schedule_recheck()
        elif self._table.idle_count:
            self._on_idle(self)
        self._update_idle_average()

    def find_lendable(self, rank: int, exclude: tuple[str, ...]) -> HeldSlot | None:
        """Return the best slot to lend to a peer for calls of a rank."""
        if self._queue.waiting_up_to(rank):
            return None
        now = self._clock.monotonic()
        slots = [
            s for s in self._lendable_slots(now) if s.upstream.address not in exclude
        ]
        return min(slots, key=lambda s: self._expected_cost(s, now), default=None)

    def lend(self, slot: HeldSlot, borrower: str, lease_id: int) -> None:
        """Lend a slot to a peer."""
        self._table.lend(slot, borrower, lease_id)
        self._update_idle_average()

    def end_lease(self, slot: HeldSlot) -> None:
        """Take back a slot that was lent to a peer."""
        self._table.end_lease(slot)
        self.dispatch_queued()

    def allow_calls_without_slot(self, allowed: bool) -> None:
        """Set whether calls may be sent without a slot.

        This is for a gateway that owns no slots and has no live peer to borrow from.
        """
        self._slotless_allowed = allowed

    def _choose_of_two(self, exclude: frozenset[str]) -> Slot:
        now = self._clock.monotonic()
        candidates = [
            upstream
            for upstream in self._service.upstreams
            if upstream.address not in exclude
            and self.health(upstream.address).slot_opens_at(0) <= now
        ]
        if not candidates:
            raise NoUpstreamError(self._service.name)
        self._metrics.increment("routing.two_choices")
        pair = self._random.sample(candidates, min(2, len(candidates)))
        medians = self.medians
        best = min(
            pair, key=lambda u: self.health(u.address).expected_cost(now, medians)
        )
        return Slot(self._service, best)

    def _choose_slot(
        self, exclude: frozenset[str], *, queued_calls: int, wait_time: float
    ) -> HeldSlot | None:
        now = self._clock.monotonic()
        slots = [s for s in self._free_slots(now) if s.upstream.address not in exclude]
        if not slots:
            return None
        best = min(slots, key=lambda slot: self._preference_key(slot, now))
        extra_cost = self._expected_cost(best, now) - self.medians.cost
        if extra_cost <= self._max_extra_cost:
            return best
        queue_delay = (
            queued_calls * self.median_service_time / max(1, self._table.usable_count)
        )
        return best if queue_delay + wait_time >= extra_cost else None

    def _occupy(self, slot: HeldSlot, call: Call) -> HeldSlot:
        self._table.mark_busy(slot)
        slot.rank = call.rank
        self._throughput[call.rank].record_dispatch(self._clock.monotonic())
        self._update_idle_average()
        return slot

    def _refuse_early(self, call: Call) -> None:
        now = self._clock.monotonic()
        rate = self._throughput[call.rank].rate(now)
        calls_ahead = self._queue.count_ahead_of(call)
        if rate is None or not calls_ahead:
            return
        if self._is_too_late(call, now + calls_ahead / rate):
            self._metrics.increment("queue.refused_early")
            raise DeadlineUnreachableError(self._service.name)

    def _is_too_late(self, call: Call, now: float) -> bool:
        time_share = MIN_REMAINING_TIME_SHARE * (call.deadline - call.arrived_at)
        min_remaining = min(
            MIN_REMAINING_SERVICE_TIMES * self.median_service_time, time_share
        )
        return now + min_remaining > call.deadline

    def _reject(self, waiter: Waiter, error: NotRunError) -> None:
        self._metrics.increment("queue.refused")
        if not waiter.token.done():
            waiter.token.set_exception(error)

    def _lendable_slots(self, now: float) -> list[HeldSlot]:
        max_cost = self.medians.cost + self._max_extra_cost
        return [
            slot
            for slot in self._free_slots(now)
            if slot.owned and self._expected_cost(slot, now) <= max_cost
        ]

    def _free_slots(self, now: float) -> list[HeldSlot]:
        """Return up to MAX_COMPARED_SLOTS slots that a call may be sent on now."""
        free = []
        for slot in self._table.idle:
            if slot.is_free(now) and self._slot_opens_at(slot) <= now:
                free.append(slot)
                if len(free) == MAX_COMPARED_SLOTS:
                    break
        return free

    def _expected_cost(self, slot: HeldSlot, now: float) -> float:
        return self.health(slot.upstream.address).expected_cost(now, self.medians)

    def _preference_key(self, slot: HeldSlot, now: float) -> tuple[bool, float]:
        """Return a sort key: upstreams to sample first, unless slow, then by cost."""
        expected_cost = self._expected_cost(slot, now)
        slow = expected_cost - self.medians.cost > self._max_extra_cost
        needs_sample = not slow and self.health(slot.upstream.address).needs_sample(now)
        return not needs_sample, expected_cost

    def _slot_opens_at(self, slot: HeldSlot) -> float:
        return self.health(slot.upstream.address).slot_opens_at(slot.id.index)

    def _update_idle_average(self) -> None:
        self._idle.update(self._table.idle_count, self._clock.monotonic())

    def _schedule_recheck(self) -> None:
        """Schedule a check: slots may open, and a slow slot may become worthwhile."""
        if self._timer is None and self._queue:
            delay = RECHECK_SERVICE_TIMES * self.median_service_time
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self._recheck)

    def _recheck(self) -> None:
        self._timer = None
        self.dispatch_queued()


def _has_waiting(load: ServiceLoad, rank: int) -> bool:
    return rank < len(load.queued) and load.queued[rank] > 0


def find_upstream(service: Service, address: str) -> Upstream | None:
    """Return the upstream of a service with this address."""
    for upstream in service.upstreams:
        if upstream.address == address:
            return upstream
    return None
