"""Route on a view of all upstreams that the gateways share."""

import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from dogwoodshed._internal.admission.on_time_queue import (
    should_refuse,
)
from dogwoodshed._internal.admission.ranked_queue import Waiter
from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import (
    Configuration,
    Service,
)
from dogwoodshed._internal.directory.table import ListedUpstream
from dogwoodshed._internal.exceptions import (
    DeadlineUnreachableError,
    NoUpstreamError,
    OverloadedError,
    QueueFullError,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import (
    Outcome,
    OutcomeStatus,
    ProbeTarget,
    Router,
    RouterStatus,
    Slot,
    UpstreamStatus,
)
from dogwoodshed._internal.routing.placement import (
    FIRST_WORK_SHARE,
    Placement,
    place,
)
from dogwoodshed._internal.routing.shared_load import SharedLoad
from dogwoodshed._internal.routing.shared_pool import (
    PlacedSlot,
    ServicePool,
    UpstreamState,
)

# Queued calls look again this often, since upstreams free slots for other gateways too.
LOOK_AGAIN_S = 0.01
# A call is known in the own data centre after two messages, gathered for 25 to 55 ms.
VIEW_LAG_S = 0.05
# Of the looks before others hear of a call, one may find a slot that is still free.
LOOK_SHARE = LOOK_AGAIN_S / VIEW_LAG_S


class SharedRouterContext(NamedTuple):
    """What the shared view may use."""

    data_centre: str
    queue_length: int
    # Asks for this gateway's load to be told soon.
    publish: Callable[[], None]
    # Tells whether this gateway probes the upstreams of a data centre.
    probes: Callable[[str], bool]
    # Tells whether a call to an address finds an open connection.
    has_connection: Callable[[str], bool]
    clock: Clock
    metrics: Metrics


class SharedRouter(Router):
    """Choose by the calls in flight and the slowness that all gateways report."""

    name = "shared"

    def __init__(self, context: SharedRouterContext) -> None:
        self._context = context
        self._clock = context.clock
        self._metrics = context.metrics
        self._random = random.Random()
        self._pools: dict[str, ServicePool] = {}
        self._listed: dict[str, list[ListedUpstream]] = {}
        self._states: dict[str, UpstreamState] = {}
        self._pool_of: dict[str, ServicePool] = {}
        self._load = SharedLoad(self._pools, self._states, self._pool_of, self._clock)

    @property
    def load(self) -> SharedLoad:
        return self._load

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the services of a new configuration."""
        ranks = len(configuration.ranks)
        for service in configuration.services:
            pool = self._pools.get(service.name)
            if pool is None:
                self._pools[service.name] = ServicePool(
                    service, ranks, self._context.queue_length
                )
            else:
                pool.service = service
        for name in set(self._pools) - {s.name for s in configuration.services}:
            pool = self._pools[name]
            if not pool.queue:
                del self._pools[name]
        self._distribute()

    def apply_upstreams(self, listed: list[ListedUpstream]) -> None:
        """Use the upstreams that the directory lists now."""
        self._listed = {}
        for upstream in listed:
            self._listed.setdefault(upstream.entry.service, []).append(upstream)
        self._distribute()

    def _distribute(self) -> None:
        states: dict[str, UpstreamState] = {}
        for name, pool in self._pools.items():
            pool_states = {}
            for listed in self._listed.get(name, ()):
                entry = listed.entry
                state = self._states.get(entry.id)
                if state is None or state.restarted_as(listed):
                    state = UpstreamState(listed)
                state.list_as(listed)
                pool_states[entry.id] = states[entry.id] = state
                self._pool_of[entry.id] = pool
            pool.states = pool_states
            self._serve(pool)
        for gone in set(self._pool_of) - set(states):
            del self._pool_of[gone]
        self._states.clear()
        self._states.update(states)

    def set_draining(self, address: str, draining: bool) -> None:
        """Ignore reports of drains; the directory lists them in time."""

    async def acquire(
        self, call: Call, *, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Wait for a slot; raises NotRunError."""
        pool = self._pools.get(call.service.name)
        if pool is None or not pool.states:
            raise NoUpstreamError(call.service.name)
        now = self._clock.monotonic()
        placement = self._place(pool, call, exclude, now)
        if placement is None:
            raise NoUpstreamError(call.service.name)
        pool.note_work(pool.call_work(call))
        if (
            placement.free
            and not pool.queue.waiting_up_to(call.rank)
            and self._draw(pool, call, placement, 1.0)
        ):
            return self._take(pool, call, placement)
        self._refuse_early(pool, call, now)
        return await self._wait(pool, call, exclude)

    async def _wait(
        self, pool: ServicePool, call: Call, exclude: frozenset[str]
    ) -> Slot:
        future = asyncio.get_running_loop().create_future()
        waiter = Waiter(call, future, exclude)
        victim = pool.queue.push(waiter)
        if victim is not None and not victim.token.done():
            victim.token.set_exception(QueueFullError(pool.service.name))
        self._context.publish()
        self._set_timer(pool)
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
                self._recover(future)

    def _recover(self, future: "asyncio.Future[PlacedSlot]") -> None:
        """Free a slot that was granted in the moment in which the wait ended."""
        if future.done() and not future.cancelled() and future.exception() is None:
            self._leave(future.result())

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Learn from the end of a call."""
        now = self._clock.monotonic()
        self._leave(slot)
        state, pool = slot.state, self._pools.get(slot.service.name)
        if pool is None:
            return
        self._learn(pool, state, outcome, now)
        if outcome.status is OutcomeStatus.ANSWERED:
            pool.learn_time(slot, outcome)
        # Others do not know of this slot yet: it goes to a call that waits here.
        self._serve(pool, certain=1)

    def _learn(
        self, pool: ServicePool, state: UpstreamState, outcome: Outcome, now: float
    ) -> float | None:
        slowness = outcome.report.slowness if outcome.report is not None else None
        failed = state.note_status(outcome.status, now)
        if slowness is not None:
            state.pace.note_slowness(slowness, now)
            pool.usual.observe(slowness)
        if failed is not None:
            state.pace.note_result(failed, now)
        if slowness is not None or failed:
            self._load.note_report(state.listed.entry.id, slowness, bool(failed))
            self._context.publish()
        return slowness

    def _take(self, pool: ServicePool, call: Call, placement: Placement) -> PlacedSlot:
        state = pool.states[placement.id]
        state.own += 1
        self._context.publish()
        return PlacedSlot(pool.service, state, call, placement)

    def _leave(self, slot: PlacedSlot) -> None:
        slot.state.own -= 1
        self._context.publish()

    def _place(
        self, pool: ServicePool, call: Call, exclude: frozenset[str], now: float
    ) -> Placement | None:
        work = pool.work_of(call.kind).mean
        context = self._context
        candidates = pool.candidates(
            exclude, context.data_centre, context.has_connection, now
        )
        return place(candidates, work, self._random, pool.count_rivals(call.rank))

    def _draw(
        self, pool: ServicePool, call: Call, placement: Placement, share: float
    ) -> bool:
        """Tell whether this call takes a free slot; draw when too few are free.

        All gateways with waiting calls see the same free slots. If each took one, a
        slot that frees would get a call from every gateway. `share` spreads the chance
        of one view over the looks that are taken on it.
        """
        rivals = pool.count_rivals(call.rank)
        if rivals < placement.spare:
            return True
        return self._random.random() < share * placement.spare / (1 + rivals)

    def _refuse_early(self, pool: ServicePool, call: Call, now: float) -> None:
        pressure = pool.pressure(call, now)
        if should_refuse(call, pool.call_work(call), pressure, now):
            self._metrics.increment("queue.refused_early")
            raise OverloadedError(
                f"{call.service.name}: {pressure.ahead} ahead"
                f" at {pressure.capacity:.0f}/s"
            )

    def _serve(self, pool: ServicePool, certain: int = 0) -> None:
        """Give free slots to queued calls, some of them for certain."""
        if not pool.queue:
            return
        now = self._clock.monotonic()
        for waiter in pool.queue.take_hopeless(pool.call_work, now):
            self._fail(waiter, DeadlineUnreachableError(pool.service.name))
        for waiter in pool.queue.ordered(pool.call_work, now):
            placement = self._place(pool, waiter.call, waiter.exclude, now)
            if placement is None or not placement.free:
                if waiter.exclude:
                    continue
                break
            if certain:
                certain -= 1
            elif not self._draw(pool, waiter.call, placement, LOOK_SHARE):
                break
            pool.queue.remove(waiter)
            if not waiter.token.done():
                waiter.token.set_result(self._take(pool, waiter.call, placement))
        self._context.publish()
        if pool.queue:
            self._set_timer(pool)

    def _fail(self, waiter: Waiter, error: Exception) -> None:
        self._metrics.increment("queue.refused")
        if not waiter.token.done():
            waiter.token.set_exception(error)

    def _set_timer(self, pool: ServicePool) -> None:
        if pool.timer is None:
            loop = asyncio.get_running_loop()
            delay = LOOK_AGAIN_S * self._random.uniform(0.5, 1.5)
            pool.timer = loop.call_later(delay, self._look_again, pool)

    def _look_again(self, pool: ServicePool) -> None:
        pool.timer = None
        self._serve(pool)

    def probe_targets(self) -> tuple[ProbeTarget, ...]:
        """Return the upstreams that this gateway probes."""
        return tuple(
            ProbeTarget(
                pool.service.name,
                state.upstream.address,
                pool.service.probe_path,
                pool.service.probe_budget_per_s,
                state.pace.reported_at,
            )
            for pool in self._pools.values()
            for state in pool.states.values()
            if self._context.probes(state.upstream.data_centre)
        )

    def record_probe(self, target: ProbeTarget, outcome: Outcome) -> None:
        """Learn from a probe, whose speed says nothing of real calls."""
        pool = self._pools.get(target.service)
        if pool is None:
            return
        for state in pool.states.values():
            if state.upstream.address == target.address and state.gave(outcome.report):
                self._learn(pool, state, outcome, self._clock.monotonic())

    def has_waiting_calls(self, call: Call) -> bool:
        """Tell whether calls as urgent as this one wait, here or elsewhere."""
        pool = self._pools.get(call.service.name)
        return pool is not None and pool.count_waiting(call.rank) > 0

    def count_upstreams(self, service: Service) -> int:
        """Return how many upstreams a service has."""
        pool = self._pools.get(service.name)
        return len(pool.states) if pool is not None else 0

    def expected_service_time(self, call: Call) -> float:
        """Return how long the work of a call usually takes, in seconds."""
        pool = self._pools.get(call.service.name)
        if pool is None:
            return FIRST_WORK_SHARE * call.kind.time_limit
        return pool.work_of(call.kind).mean

    def snapshot(self) -> RouterStatus:
        """Return the state for the status page."""
        now = self._clock.monotonic()
        queued = {
            name: {str(i): n for i, n in enumerate(pool.queue.lengths)}
            for name, pool in self._pools.items()
        }
        upstreams = tuple(
            UpstreamStatus(
                name,
                state.upstream.address,
                state.in_flight,
                round(state.pace.slowness(pool.usual.mean, now) * 100, 1),
                "absent" if state.listed.absent else None,
            )
            for name, pool in self._pools.items()
            for state in pool.states.values()
        )
        return RouterStatus(self.name, queued, upstreams)
