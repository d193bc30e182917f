"""Route on slots that are divided among the gateways and lent on demand."""

import asyncio

from dogwoodshed._internal import registry
from dogwoodshed._internal.configuration.model import Configuration, Rank, Service
from dogwoodshed._internal.exceptions import NoUpstreamError
from dogwoodshed._internal.membership import Members
from dogwoodshed._internal.mesh.messages import (
    BorrowReply,
    BorrowRequest,
    LeaseReturn,
    ServiceLoad,
)
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.assignment import (
    Assignee,
    SlotId,
    assign_slots,
    slots_of,
)
from dogwoodshed._internal.routing.base import (
    Outcome,
    ProbeTarget,
    Router,
    RouterContext,
    RouterStatus,
    Slot,
    UpstreamStatus,
)
from dogwoodshed._internal.routing.borrowing import Borrower, Lender
from dogwoodshed._internal.routing.service_slots import ServiceSlots
from dogwoodshed._internal.routing.slots import HeldSlot

# When a larger share of the gateways is silent at once, a partition is more likely than
# that many failures. The gateways on the other side then still use their slots.
PARTITION_SILENT_SHARE = 0.25
# Minimum interval between assignments; while a fleet starts or is replaced, its members
# change many times a second.
ASSIGN_INTERVAL_S = 0.1

# Features that can be disabled in the settings, to show their effect.
FEATURE_FLOORS = "floors"
FEATURE_PARTITION_SHARE = "partition_share"
FEATURE_BORROWING = "borrowing"


@registry.register(registry.ROUTING, "slices")
class SlicesRouter(Router):
    """Send calls on this gateway's share of the slots and on slots lent by peers."""

    name = "slices"

    def __init__(self, context: RouterContext) -> None:
        self._context = context
        self._settings = context.settings
        self._clock = context.clock
        self._metrics = context.metrics
        self._mesh = context.mesh
        self._membership = context.membership
        self._services: dict[str, ServiceSlots] = {}
        self._borrowers: dict[str, Borrower] = {}
        self._service_names: tuple[str, ...] = ()
        self._configuration: Configuration | None = None
        self._members = context.membership.members
        self._draining: set[str] = set()
        self._assigned_at = float("-inf")
        self._assign_timer: asyncio.TimerHandle | None = None
        self._lender = Lender(self._mesh, self._clock, self._metrics)
        self._mesh.subscribe(BorrowRequest, self._handle_borrow_request)
        self._mesh.subscribe(LeaseReturn, self._handle_lease_return)
        self._mesh.subscribe(BorrowReply, self._return_late_leases)
        self._mesh.on_pause(self._drop_leases)

    @classmethod
    def from_context(cls, context: RouterContext) -> "SlicesRouter":
        """Create the policy."""
        return cls(context)

    async def acquire(
        self, call: Call, *, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Wait for a slot; raises NotRunError."""
        slots = self._services.get(call.service.name)
        if slots is None or not slots.service.upstreams:
            raise NoUpstreamError(call.service.name)
        return await slots.acquire(call, exclude)

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Update the estimates with the outcome of a call and free its slot."""
        slots = self._services.get(slot.service.name)
        if slots is not None:
            slots.release(slot, outcome)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the services and upstreams of a new configuration."""
        first = self._configuration is None
        self._configuration = configuration
        self._service_names = tuple(service.name for service in configuration.services)
        for position, service in enumerate(configuration.services):
            slots = self._services.get(service.name)
            if slots is None:
                self._add_service(service, position, configuration)
            else:
                slots.update_service(service)
                self._borrowers[service.name].set_position(position)
        for name in set(self._services) - set(self._service_names):
            self._remove_service(name)
        self._assign(immediately=first)
        for address in self._draining:
            self._apply_draining(address, True)

    def apply_members(self, members: Members) -> None:
        """Reclaim slots lent to lost gateways and reassign all slots."""
        self._members = members
        live = frozenset(members.live)
        for slots in self._services.values():
            self._lender.reclaim_expired(slots, live)
        self._assign_soon()

    def set_draining(self, address: str, draining: bool) -> None:
        """Stop or resume sending calls to an upstream."""
        if draining:
            self._draining.add(address)
        else:
            self._draining.discard(address)
        self._apply_draining(address, draining)

    def probe_targets(self) -> tuple[ProbeTarget, ...]:
        """Return the upstreams whose first slot this gateway owns."""
        return tuple(
            ProbeTarget(
                slots.service.name,
                slot.upstream.address,
                slots.service.probe_path,
                slots.service.probe_budget_per_s,
                slots.health(slot.upstream.address).last_sample_at,
            )
            for slots in self._services.values()
            if slots.service.probe_budget_per_s > 0
            for slot in slots.table.owned
            if slot.id.index == 0
        )

    def record_probe(self, target: ProbeTarget, outcome: Outcome) -> None:
        """Record the outcome of a probe."""
        slots = self._services.get(target.service)
        if slots is not None:
            now = self._clock.monotonic()
            slots.health(target.address).record_probe(outcome, now)

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load by service for the heartbeat."""
        live = frozenset(self._members.live)
        views = self._membership.views.values()
        for position, name in enumerate(self._service_names):
            slots = self._services[name]
            self._lender.reclaim_expired(slots, live)
            slots.adjust_floors(
                [
                    view.heartbeat.loads[position]
                    for view in views
                    if position < len(view.heartbeat.loads)
                ]
            )
        return tuple(self._services[name].load() for name in self._service_names)

    def snapshot(self) -> RouterStatus:
        """Return the state for the status page."""
        names = [rank.name for rank in self._ranks]
        queued = {
            name: dict(zip(names, slots.queue.lengths, strict=True))
            for name, slots in self._services.items()
        }
        upstreams = [
            status
            for slots in self._services.values()
            for status in self._upstream_statuses(slots)
        ]
        return RouterStatus(self.name, queued, tuple(upstreams))

    @property
    def _ranks(self):
        return self._configuration.ranks if self._configuration else ()

    def _upstream_statuses(self, slots: ServiceSlots) -> list[UpstreamStatus]:
        now = self._clock.monotonic()
        held_slots = [*slots.table.owned, *slots.table.borrowed]
        statuses = []
        for upstream in slots.service.upstreams:
            health = slots.health(upstream.address)
            busy = sum(1 for s in held_slots if s.busy and s.upstream == upstream)
            expected_cost = health.expected_cost(now, slots.medians) * 1000
            statuses.append(
                UpstreamStatus(
                    slots.service.name,
                    upstream.address,
                    busy,
                    round(expected_cost, 2),
                    health.unavailable_reason(now),
                )
            )
        return statuses

    def _add_service(
        self, service: Service, position: int, configuration: Configuration
    ) -> None:
        slots = ServiceSlots(
            service,
            self._ranks_of(configuration),
            self._clock,
            self._metrics,
            queue_length=self._settings.limits.queue_length,
            on_shortage=self._request_slots,
            on_return=self._return_slot,
            on_idle=self._lender.serve_pending,
        )
        self._services[service.name] = slots
        self._borrowers[service.name] = Borrower(
            slots,
            position,
            self._mesh,
            self._membership,
            self._clock,
            self._metrics,
            self._settings.data_centre,
        )

    def _ranks_of(self, configuration: Configuration) -> tuple[Rank, ...]:
        if self._settings.is_enabled(FEATURE_FLOORS):
            return configuration.ranks
        return tuple(rank._replace(floor_share=0.0) for rank in configuration.ranks)

    def _remove_service(self, name: str) -> None:
        # Calls in flight keep their slots; queued calls end at their deadline.
        slots = self._services.pop(name)
        slots.table.set_owned(slots.service, {}, 0.0)
        del self._borrowers[name]

    def _assign_soon(self) -> None:
        """Assign the slots now, or after a delay if they were just assigned."""
        if self._assign_timer is not None:
            return
        delay = self._assigned_at + ASSIGN_INTERVAL_S - self._clock.monotonic()
        if delay <= 0:
            self._assign(immediately=False)
        else:
            loop = asyncio.get_running_loop()
            self._assign_timer = loop.call_later(delay, self._run_delayed_assignment)

    def _run_delayed_assignment(self) -> None:
        self._assign_timer = None
        self._assign(immediately=False)

    def _assign(self, *, immediately: bool) -> None:
        if self._configuration is None:
            return
        now = self._assigned_at = self._clock.monotonic()
        # Previous owners use their slots until they detect the same change, so slots
        # gained by this gateway are not used before that.
        usable_delay = 0.0 if immediately else 2 * self._settings.mesh.heartbeat_s
        assignees = self._assignees()
        for slots in self._services.values():
            service = slots.service
            upstream_by_slot = {
                SlotId(upstream.address, index): upstream
                for upstream in service.upstreams
                for index in range(service.slots_per_upstream)
            }
            assignment = assign_slots(
                [
                    (slot, upstream.data_centre)
                    for slot, upstream in upstream_by_slot.items()
                ],
                assignees,
            )
            own = slots_of(assignment, self._members.own_id)
            slots.table.set_owned(
                service,
                {slot: upstream_by_slot[slot] for slot in own},
                now + usable_delay,
            )
            slots.allow_calls_without_slot(not own and len(self._members.live) == 1)
            slots.dispatch_queued()

    def _assignees(self) -> list[Assignee]:
        members = self._members
        silent = len(set(members.listed) - set(members.live))
        max_failures = max(1, int(PARTITION_SILENT_SHARE * len(members.listed)))
        partitioned = silent > max_failures and self._settings.is_enabled(
            FEATURE_PARTITION_SHARE
        )
        chosen = members.listed if partitioned else members.live
        return [Assignee(member, self._data_centre_of(member)) for member in chosen]

    def _data_centre_of(self, member: str) -> str:
        if member == self._members.own_id:
            return self._settings.data_centre
        return self._membership.data_centre(member)

    def _apply_draining(self, address: str, draining: bool) -> None:
        now = self._clock.monotonic()
        for slots in self._services.values():
            if any(u.address == address for u in slots.service.upstreams):
                slots.health(address).set_draining(draining, now)
                slots.dispatch_queued()

    def _request_slots(self, slots: ServiceSlots) -> None:
        borrower = self._borrowers.get(slots.service.name)
        if borrower is not None and self._settings.is_enabled(FEATURE_BORROWING):
            borrower.request_slots()

    def _return_slot(self, slot: HeldSlot) -> None:
        self._mesh.send(slot.lender, LeaseReturn((slot.lease_id,)))

    async def _handle_borrow_request(
        self, peer_id: str, request: BorrowRequest
    ) -> BorrowReply:
        slots = self._services.get(request.service)
        if slots is None:
            return BorrowReply(())
        return await self._lender.handle_request(slots, peer_id, request)

    def _return_late_leases(self, peer_id: str, reply: BorrowReply) -> None:
        """Return the leases in a reply that arrived after its timeout."""
        if reply.leases:
            self._metrics.increment("borrow.late")
            lease_ids = tuple(lease.lease_id for lease in reply.leases)
            self._mesh.send(peer_id, LeaseReturn(lease_ids))

    def _handle_lease_return(self, peer_id: str, message: LeaseReturn) -> None:
        for slots in self._services.values():
            self._lender.end_leases(slots, peer_id, message.lease_ids)

    def _drop_leases(self, gap: float) -> None:
        """Drop borrowed slots after a pause, since their leases may have expired."""
        for slots in self._services.values():
            for slot in list(slots.table.borrowed):
                if not slot.busy:
                    slots.table.drop_borrowed(slot)
                slot.expires_at = 0.0
