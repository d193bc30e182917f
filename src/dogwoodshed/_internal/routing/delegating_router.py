"""Let the hub of the data centre place calls, and place them here without one."""

import asyncio
import itertools
from collections.abc import Callable
from typing import NamedTuple, Protocol

from dogwoodshed._internal.exceptions import (
    DeadlineUnreachableError,
    PlacementUnavailableError,
)
from dogwoodshed._internal.mesh.placement_messages import (
    PlacementEnd,
    PlacementReply,
    PlacementRequest,
)
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import Outcome, OutcomeStatus, Slot
from dogwoodshed._internal.routing.placement import Placement
from dogwoodshed._internal.routing.refusals import GRANTED, QUEUED, error_of_refusal
from dogwoodshed._internal.routing.shared_pool import (
    PlacedSlot,
    ServicePool,
    UpstreamState,
)
from dogwoodshed._internal.routing.shared_router import (
    SharedRouter,
    SharedRouterContext,
)

# A hub replies within a few milliseconds. Calls are placed here if it does not, and the
# hub is not asked again for a while.
REPLY_TIMEOUT_S = 0.08
HUB_PAUSE_S = 0.5


class HubLink(Protocol):
    """Send messages to the hub of the data centre."""

    @property
    def hub(self) -> str:
        """The hub to which this gateway sends its load."""

    @property
    def connected_hub(self) -> str | None:
        """The hub, or None if it is this gateway or not connected."""

    def send_to(self, peer_id: str, message: PlacementRequest | PlacementEnd) -> bool:
        """Send a message to a peer; return False without an open connection."""


class DelegatedSlot(PlacedSlot):
    """Permission to send one call, granted by the hub."""

    __slots__ = ("delegation_epoch", "hub", "request_id")

    def __init__(
        self,
        pool: ServicePool,
        state: UpstreamState,
        call: Call,
        placement: Placement,
        pending: "_Pending",
        delegation_epoch: int,
    ) -> None:
        super().__init__(pool.service, state, call, placement)
        self.delegation_epoch = delegation_epoch
        self.hub = pending.hub
        self.request_id = pending.request_id

    def describe_choice(self) -> str:
        """Return what the hub chose by, and which hub it was."""
        return f"{super().describe_choice()} by {self.hub}"


class _Pending(NamedTuple):
    """A request that the hub has not granted or refused yet."""

    hub: str
    request_id: int
    reply: "asyncio.Future[PlacementReply]"
    # Moves the end of the wait for the reply, to the deadline once the call is queued.
    set_queued: Callable[[], None]


class DelegatingRouter(SharedRouter):
    """Ask the hub for a place; choose one on the shared view if it does not reply."""

    name = "delegating"

    def __init__(self, context: SharedRouterContext, link: HubLink) -> None:
        super().__init__(context)
        self._link = link
        self._request_ids = itertools.count(1)
        self._pending: dict[int, _Pending] = {}
        self._hub_paused_until = float("-inf")

    async def acquire(
        self, call: Call, *, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Wait for a slot; raises NotRunError."""
        hub = self._link.connected_hub
        if hub is None or self._clock.monotonic() < self._hub_paused_until:
            return await super().acquire(call, exclude=exclude)
        try:
            return await self._acquire_from(hub, call, exclude)
        except PlacementUnavailableError:
            self._metrics.increment("placement.local")
            return await super().acquire(call, exclude=exclude)

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Free the slot and report the outcome of the call to who granted it."""
        if not isinstance(slot, DelegatedSlot):
            super().release(slot, outcome)
            return
        state, pool = slot.state, self._pools.get(slot.service.name)
        state.own_calls -= 1
        if slot.delegation_epoch == self.load.delegation_epoch:
            state.delegated_calls -= 1
        # The hub counts the result of the call and announces it to all gateways.
        state.record_status(outcome.status, self._clock.monotonic())
        if pool is not None and outcome.status is OutcomeStatus.ANSWERED:
            pool.record_service_time(slot, outcome)
        self._send_end(slot.hub, slot.request_id, outcome)

    def handle_reply(self, peer_id: str, reply: PlacementReply) -> None:
        """Pass on a reply of the hub; a late one was withdrawn already."""
        pending = self._pending.get(reply.request_id)
        if pending is None or pending.hub != peer_id or pending.reply.done():
            return
        if reply.result == QUEUED:
            pending.set_queued()
        else:
            pending.reply.set_result(reply)

    def drop_hub(self, peer_id: str) -> None:
        """Place the calls here that wait at a hub whose connection ended."""
        self.load.drop_hub(peer_id)
        for pending in self._pending.values():
            if pending.hub == peer_id and not pending.reply.done():
                pending.reply.set_exception(PlacementUnavailableError(peer_id))

    async def _acquire_from(
        self, hub: str, call: Call, exclude: frozenset[str]
    ) -> DelegatedSlot:
        pool = self._pools.get(call.service.name)
        if pool is None:
            raise PlacementUnavailableError(call.service.name)
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + call.deadline - self._clock.monotonic()
        queued = False

        def set_queued() -> None:
            nonlocal queued
            queued = True
            timeout.reschedule(ends_at)

        request_id = next(self._request_ids)
        pending = _Pending(hub, request_id, loop.create_future(), set_queued)
        if not self._link.send_to(
            hub, self._build_request(pool, pending, call, exclude)
        ):
            raise PlacementUnavailableError(hub)
        self._pending[request_id] = pending
        slot: DelegatedSlot | None = None
        try:
            async with asyncio.timeout_at(
                min(ends_at, loop.time() + REPLY_TIMEOUT_S)
            ) as timeout:
                reply = await pending.reply
            slot = self._use_reply(pool, pending, call, exclude, reply)
            return slot
        except TimeoutError:
            if queued or loop.time() >= ends_at:
                raise DeadlineUnreachableError(call.service.name) from None
            self._metrics.increment("placement.timeouts")
            self._hub_paused_until = self._clock.monotonic() + HUB_PAUSE_S
            raise PlacementUnavailableError(hub) from None
        finally:
            del self._pending[request_id]
            if slot is None:
                self._send_end(hub, request_id, Outcome(OutcomeStatus.CANCELLED, 0.0))

    def _build_request(
        self,
        pool: ServicePool,
        pending: _Pending,
        call: Call,
        exclude: frozenset[str],
    ) -> PlacementRequest:
        now = self._clock.monotonic()
        has_connection = self._context.has_connection
        connected = tuple(
            state.upstream.address
            for state in pool.states.values()
            if has_connection(state.upstream.address)
        )
        return PlacementRequest(
            pending.request_id,
            pool.service.name,
            call.kind.name,
            call.rank,
            round((call.deadline - now) * 1000),
            round((now - call.arrived_at) * 1000),
            round(call.prior_wait * 1000),
            tuple(exclude | pool.unwanted_addresses(now)),
            connected,
        )

    def _use_reply(
        self,
        pool: ServicePool,
        pending: _Pending,
        call: Call,
        exclude: frozenset[str],
        reply: PlacementReply,
    ) -> DelegatedSlot:
        if reply.result != GRANTED:
            detail = f"{reply.detail}, by {pending.hub}"
            error = error_of_refusal(reply.result, detail)
            raise error or PlacementUnavailableError(reply.result)
        state = pool.states.get(reply.upstream_id)
        # This gateway may know already that the upstream leaves.
        # A reply of a hub that this gateway has left meanwhile would not be counted.
        if (
            state is None
            or state.upstream.address in exclude
            or not state.is_wanted(self._clock.monotonic())
            or pending.hub != self._link.hub
        ):
            self._metrics.increment("placement.unusable")
            raise PlacementUnavailableError(reply.upstream_id)
        state.own_calls += 1
        state.delegated_calls += 1
        age = reply.report_age_ms / 1000 if reply.report_age_ms >= 0 else float("inf")
        placement = Placement(
            reply.upstream_id,
            True,
            0.0,
            reply.slowness / 100,
            reply.in_flight,
            age,
            left_out=pool.describe_left_out(self._clock.monotonic()),
        )
        epoch = self.load.delegation_epoch
        return DelegatedSlot(pool, state, call, placement, pending, epoch)

    def _send_end(self, hub: str, request_id: int, outcome: Outcome) -> None:
        report = outcome.report
        slowness = in_flight = -1
        if report is not None:
            slowness = round((report.slowness or 0) * 100)
            in_flight = report.in_flight if report.in_flight is not None else -1
        self._link.send_to(
            hub,
            PlacementEnd(
                request_id,
                outcome.status.value,
                round(outcome.elapsed * 1000),
                slowness,
                in_flight,
            ),
        )
