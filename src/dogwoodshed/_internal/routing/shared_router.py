"""Route on a view of the upstreams that all gateways share."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from dogwoodshed._internal.admission.on_time import should_refuse
from dogwoodshed._internal.admission.ranked_queue import Waiter
from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import Configuration, Service
from dogwoodshed._internal.directory.model import UpstreamRun
from dogwoodshed._internal.directory.table import UsableUpstream
from dogwoodshed._internal.exceptions import (
    DeadlineUnreachableError,
    HeldOffError,
    NotRunError,
    NoUpstreamError,
    OverloadedError,
    QueueFullError,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import (
    LoadReport,
    Outcome,
    OutcomeStatus,
    ProbeTarget,
    Router,
    RouterStatus,
    Slot,
)
from dogwoodshed._internal.routing.notice_recorder import NoticeRecorder
from dogwoodshed._internal.routing.placement import (
    INITIAL_SERVICE_TIME_SHARE,
    Placement,
    choose_upstream,
)
from dogwoodshed._internal.routing.shared_load import SharedLoad
from dogwoodshed._internal.routing.shared_pool import (
    PlacedSlot,
    ServicePool,
    UpstreamState,
)
from dogwoodshed._internal.routing.shared_pools import ServicePools
from dogwoodshed._internal.settings import LimitSettings

# Interval of checks for free slots while calls wait, since calls of other gateways free
# slots as well.
QUEUE_RECHECK_S = 0.01
# Other gateways in the data centre count a call after two messages, which are batched
# for 25 to 55 ms.
VIEW_DELAY_S = 0.05
# Several checks are made before other gateways count a call sent to a free slot. Each
# check gets this share of the chance, so that together they send about one call.
RECHECK_SHARE = QUEUE_RECHECK_S / VIEW_DELAY_S


class SharedRouterContext(NamedTuple):
    """Dependencies of SharedRouter."""

    data_centre: str
    queue_length: int
    # Schedules sending this gateway's load.
    publish: Callable[[], None]
    # Returns whether this gateway probes the upstreams of a data centre.
    probes_data_centre: Callable[[str], bool]
    # Returns whether there is an open idle connection to an address.
    has_connection: Callable[[str], bool]
    clock: Clock
    metrics: Metrics
    # Called with the address of an upstream that leaves by its own account.
    on_leaving: Callable[[str], None] = lambda address: None
    # Upper bound in seconds of the time for which an upstream can hold calls off.
    max_hold_off: float = LimitSettings().max_hold_off_s


class SharedRouter(Router):
    """Choose by the calls in flight and the slowness reported by all gateways."""

    name = "shared"

    def __init__(self, context: SharedRouterContext) -> None:
        self._context = context
        self._clock = context.clock
        self._metrics = context.metrics
        self._random = random.Random()
        self._services = ServicePools(context.queue_length)
        self._pools = self._services.pools
        self._states = self._services.states
        self._load = SharedLoad(
            self._pools, self._states, self._services.pool_of, self._clock
        )
        self._notices = NoticeRecorder(
            self._services,
            context.on_leaving,
            context.publish,
            context.max_hold_off,
            self._clock,
            self._metrics,
        )
        self.take_leaving_upstreams = self._notices.take_unannounced
        self.find_service = self._services.find_service
        self.clamp_rank = self._services.clamp_rank

    @property
    def load(self) -> SharedLoad:
        return self._load

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the services of a new configuration."""
        self._services.apply_configuration(configuration)
        self._dispatch_all()

    def apply_upstreams(self, upstreams: list[UsableUpstream]) -> None:
        """Apply the upstreams that may get calls now."""
        self._services.apply_upstreams(upstreams)
        self._dispatch_all()

    def _dispatch_all(self) -> None:
        for pool in self._pools.values():
            self._dispatch_queued(pool)

    def set_draining(self, address: str, draining: bool) -> None:
        """Ignore drains in load reports; the directory lists them early enough."""

    async def acquire(
        self, call: Call, *, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Wait for a slot; raises NotRunError."""
        slot = self.try_acquire(call, exclude)
        return slot or await self.wait_for_slot(call, exclude)

    def try_acquire(self, call: Call, exclude: frozenset[str]) -> PlacedSlot | None:
        """Return a free slot, or None if the call has to wait; raises NotRunError."""
        pool = self._pools.get(call.service.name)
        if pool is None or not pool.states:
            raise NoUpstreamError(call.service.name)
        now = self._clock.monotonic()
        placement = self._choose(pool, call, exclude, now)
        if placement is None:
            raise self._unavailable_error(pool, call, now)
        pool.update_mean_service_time(pool.service_time_of(call))
        if (
            placement.has_free_slot
            and not pool.queue.waiting_up_to(call.rank)
            and self._wins_slot(pool, call, placement, 1.0)
        ):
            return self._occupy(pool, call, placement)
        self._refuse_early(pool, call, now)
        return None

    def _unavailable_error(
        self, pool: ServicePool, call: Call, now: float
    ) -> NotRunError:
        held_off_for = pool.held_off_for(now)
        if held_off_for is None:
            return NoUpstreamError(pool.service.name)
        self._metrics.increment("calls.held_off")
        return HeldOffError(pool.service.name, min(held_off_for, call.deadline - now))

    async def wait_for_slot(self, call: Call, exclude: frozenset[str]) -> PlacedSlot:
        """Queue a call until it gets a slot; raises NotRunError."""
        pool = self._pools.get(call.service.name)
        if pool is None:
            # A configuration without the service came into effect meanwhile.
            raise NoUpstreamError(call.service.name)
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, future, exclude)
        evicted = pool.queue.push(waiter)
        if evicted is not None and not evicted.token.done():
            evicted.token.set_exception(QueueFullError(pool.service.name))
        self._context.publish()
        self._schedule_recheck(pool)
        slot: PlacedSlot | None = None
        try:
            async with asyncio.timeout(call.deadline - self._clock.monotonic()):
                slot = await future
            return slot
        except TimeoutError:
            raise DeadlineUnreachableError(pool.service.name) from None
        finally:
            pool.queue.remove(waiter)
            self._context.publish()
            if slot is None:
                self._free_unclaimed(future)

    def _free_unclaimed(self, future: "asyncio.Future[PlacedSlot]") -> None:
        """Free a slot that was granted just as the wait ended."""
        if future.done() and not future.cancelled() and future.exception() is None:
            self._free(future.result())

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Free the slot and update the estimates with the outcome of the call."""
        now = self._clock.monotonic()
        self._free(slot)
        state, pool = slot.state, self._pools.get(slot.service.name)
        if pool is None:
            return
        self._record_outcome(pool, state, outcome, now)
        if outcome.status is OutcomeStatus.ANSWERED:
            pool.record_service_time(slot, outcome)
        # Other gateways do not see this slot as free yet, so it goes to a call that
        # waits here.
        self._dispatch_queued(pool, guaranteed=1)

    def _record_outcome(
        self, pool: ServicePool, state: UpstreamState, outcome: Outcome, now: float
    ) -> float | None:
        slowness = outcome.report.slowness if outcome.report is not None else None
        failed = state.record_status(outcome.status, now)
        if slowness is not None:
            state.performance.record_slowness(slowness, now)
            pool.mean_slowness.observe(slowness)
        if failed is not None:
            state.performance.record_result(failed, now)
        if slowness is not None or failed:
            self._load.record_report(
                state.usable_upstream.entry.id, slowness, bool(failed)
            )
            self._context.publish()
        return slowness

    def record_notice(self, slot: Slot, report: LoadReport) -> None:
        """Stop calls to an upstream that leaves, or that wants none for a time."""
        self._record_notice(slot.state, report)

    def _record_notice(self, state: UpstreamState, report: LoadReport) -> None:
        if self._notices.record_report(state, report):
            self._dispatch_to(state.run.id)

    def record_leaving_at_peer(self, run: UpstreamRun) -> None:
        """Stop calls to an upstream that has told a peer that it leaves."""
        if self._notices.record_leaving_at_peer(run):
            self._dispatch_to(run.id)

    def _dispatch_to(self, upstream_id: str) -> None:
        """Assign slots to the calls that wait for the service of an upstream."""
        pool = self._services.pool_of.get(upstream_id)
        if pool is not None:
            self._dispatch_queued(pool)

    def _occupy(
        self, pool: ServicePool, call: Call, placement: Placement
    ) -> PlacedSlot:
        state = pool.states[placement.id]
        state.own_calls += 1
        self._context.publish()
        return PlacedSlot(pool.service, state, call, placement)

    def _free(self, slot: PlacedSlot) -> None:
        slot.state.own_calls -= 1
        self._context.publish()

    def _choose(
        self, pool: ServicePool, call: Call, exclude: frozenset[str], now: float
    ) -> Placement | None:
        service_time = pool.service_time_estimate(call.kind).mean
        context = self._context
        has_connection = context.has_connection
        if call.connected_addresses is not None:
            has_connection = call.connected_addresses.__contains__
        candidates = pool.candidates(exclude, context.data_centre, has_connection, now)
        placement = choose_upstream(
            candidates,
            service_time,
            self._random,
            pool.count_competing_calls(call.rank),
        )
        if placement is None or not (left_out := pool.describe_left_out(now)):
            return placement
        return placement._replace(left_out=left_out)

    def _wins_slot(
        self, pool: ServicePool, call: Call, placement: Placement, share: float
    ) -> bool:
        """Return whether this call gets a free slot, at random if too few are free.

        All gateways with waiting calls see the same free slots. If each of them sent a
        call, a slot that becomes free would get a call from every gateway. `share`
        lowers the chance when several checks are made on the same view.
        """
        competing_calls = pool.count_competing_calls(call.rank)
        if competing_calls < placement.free_slots:
            return True
        return self._random.random() < share * placement.free_slots / (
            1 + competing_calls
        )

    def _refuse_early(self, pool: ServicePool, call: Call, now: float) -> None:
        backlog = pool.backlog(call, now)
        if should_refuse(call, pool.service_time_of(call), backlog, now):
            self._metrics.increment("queue.refused_early")
            raise OverloadedError(
                f"{call.service.name}: {backlog.calls_ahead} ahead"
                f" at {backlog.capacity:.0f}/s"
            )

    def _dispatch_queued(self, pool: ServicePool, guaranteed: int = 0) -> None:
        """Assign free slots to queued calls.

        The first `guaranteed` calls get a free slot in any case, the others at random
        if too few are free.
        """
        if not pool.queue:
            return
        now = self._clock.monotonic()
        for waiter in pool.queue.evict_unservable(pool.service_time_of, now):
            self._reject(waiter, DeadlineUnreachableError(pool.service.name))
        for waiter in pool.queue.ordered(pool.service_time_of, now):
            placement = self._choose(pool, waiter.call, waiter.exclude, now)
            if placement is None and pool.states:
                # All upstreams that the call may use leave, or want none for a time.
                pool.queue.remove(waiter)
                self._reject(waiter, self._unavailable_error(pool, waiter.call, now))
                continue
            if placement is None or not placement.has_free_slot:
                if waiter.exclude:
                    continue
                break
            if guaranteed:
                guaranteed -= 1
            elif not self._wins_slot(pool, waiter.call, placement, RECHECK_SHARE):
                break
            pool.queue.remove(waiter)
            if not waiter.token.done():
                waiter.token.set_result(self._occupy(pool, waiter.call, placement))
        self._context.publish()
        if pool.queue:
            self._schedule_recheck(pool)

    def _reject(self, waiter: Waiter, error: Exception) -> None:
        self._metrics.increment("queue.refused")
        if not waiter.token.done():
            waiter.token.set_exception(error)

    def _schedule_recheck(self, pool: ServicePool) -> None:
        if pool.timer is None:
            loop = asyncio.get_running_loop()
            delay = QUEUE_RECHECK_S * self._random.uniform(0.5, 1.5)
            pool.timer = loop.call_later(delay, self._recheck, pool)

    def _recheck(self, pool: ServicePool) -> None:
        pool.timer = None
        self._dispatch_queued(pool)

    def probe_targets(self) -> tuple[ProbeTarget, ...]:
        """Return the upstreams that this gateway probes."""
        probed = {
            data_centre
            for data_centre in self._services.data_centres
            if self._context.probes_data_centre(data_centre)
        }
        if not probed:
            return ()
        return tuple(self._services.probe_targets(probed, self._clock.monotonic()))

    def record_probe(self, target: ProbeTarget, outcome: Outcome) -> None:
        """Record a probe; its response time, unlike that of calls, is not used."""
        pool = self._pools.get(target.service)
        if pool is None:
            return
        for state in pool.states.values():
            if state.upstream.address == target.address and state.is_source_of(
                outcome.report
            ):
                if outcome.report is not None:
                    self._record_notice(state, outcome.report)
                self._record_outcome(pool, state, outcome, self._clock.monotonic())

    def has_waiting_calls(self, call: Call) -> bool:
        """Return whether calls of this rank or a more urgent one wait in the fleet."""
        pool = self._pools.get(call.service.name)
        return pool is not None and pool.count_waiting(call.rank) > 0

    def count_upstreams(self, service: Service) -> int:
        """Return how many upstreams a service has."""
        return self._services.count_upstreams(service)

    def expected_service_time(self, call: Call) -> float:
        """Return the mean service time of the kind of a call, in seconds."""
        pool = self._pools.get(call.service.name)
        if pool is None:
            return INITIAL_SERVICE_TIME_SHARE * call.kind.time_limit
        return pool.service_time_estimate(call.kind).mean

    def snapshot(self) -> RouterStatus:
        """Return the state for the status page."""
        queued = {
            name: {str(i): n for i, n in enumerate(pool.queue.lengths)}
            for name, pool in self._pools.items()
        }
        upstreams = self._services.upstream_statuses(self._clock.monotonic())
        return RouterStatus(self.name, queued, tuple(upstreams))
