"""Route on slots that are divided among the gateways and lent where needed."""

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

# With a larger share of the gateways silent at once, a partition is more likely than
# that many failures, and the other side still uses its slots.
PARTITION_SHARE = 0.25
# While a fleet starts or is replaced, members change many times a second.
ASSIGN_INTERVAL_S = 0.1

# Mechanisms that a setting can switch off, to show what they are for.
FEATURE_FLOORS = "floors"
FEATURE_PARTITION_SHARE = "partition_share"
FEATURE_BORROWING = "borrowing"


@registry.register(registry.ROUTING, "slices")
class SlicesRouter(Router):
    """Own a slice of the slots, queue calls for it, and borrow from peers."""

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
        self._order: tuple[str, ...] = ()
        self._configuration: Configuration | None = None
        self._members = context.membership.members
        self._draining: set[str] = set()
        self._assigned_at = float("-inf")
        self._assign_timer: asyncio.TimerHandle | None = None
        self._lender = Lender(self._mesh, self._clock, self._metrics)
        self._mesh.subscribe(BorrowRequest, self._answer_borrow)
        self._mesh.subscribe(LeaseReturn, self._note_returned)
        self._mesh.subscribe(BorrowReply, self._return_late)
        self._mesh.on_pause(self._drop_leases)

    @classmethod
    def from_context(cls, context: RouterContext) -> "SlicesRouter":
        """Create the policy on the mesh of a gateway."""
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
        """Learn from the end of a call and use its slot for the next."""
        slots = self._services.get(slot.service.name)
        if slots is not None:
            slots.release(slot, outcome)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the services and upstreams of a new configuration."""
        first = self._configuration is None
        self._configuration = configuration
        self._order = tuple(service.name for service in configuration.services)
        for position, service in enumerate(configuration.services):
            slots = self._services.get(service.name)
            if slots is None:
                self._add_service(service, position, configuration)
            else:
                slots.update_service(service)
                self._borrowers[service.name].set_position(position)
        for name in set(self._services) - set(self._order):
            self._remove_service(name)
        self._assign(immediately=first)
        for address in self._draining:
            self._apply_draining(address, True)

    def apply_members(self, members: Members) -> None:
        """Take over the slots of lost gateways, or give up those of new ones."""
        self._members = members
        live = frozenset(members.live)
        for slots in self._services.values():
            self._lender.reclaim(slots, live)
        self._assign_soon()

    def set_draining(self, address: str, draining: bool) -> None:
        """Stop or resume new work for an upstream."""
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
                slots.health(slot.upstream.address).last_sample,
            )
            for slots in self._services.values()
            if slots.service.probe_budget_per_s > 0
            for slot in slots.table.owned
            if slot.id.index == 0
        )

    def record_probe(self, target: ProbeTarget, outcome: Outcome) -> None:
        """Learn from a probe."""
        slots = self._services.get(target.service)
        if slots is not None:
            now = self._clock.monotonic()
            slots.health(target.address).record_probe(outcome, now)

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load by service for the heartbeat."""
        live = frozenset(self._members.live)
        views = self._membership.views.values()
        for position, name in enumerate(self._order):
            slots = self._services[name]
            self._lender.reclaim(slots, live)
            slots.balance_floors(
                [
                    view.heartbeat.loads[position]
                    for view in views
                    if position < len(view.heartbeat.loads)
                ]
            )
        return tuple(self._services[name].load() for name in self._order)

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
        held = [*slots.table.owned, *slots.table.borrowed]
        statuses = []
        for upstream in slots.service.upstreams:
            health = slots.health(upstream.address)
            busy = sum(1 for s in held if s.busy and s.upstream == upstream)
            expected = health.expected(now, slots.usual) * 1000
            statuses.append(
                UpstreamStatus(
                    slots.service.name,
                    upstream.address,
                    busy,
                    round(expected, 2),
                    health.reason_out(now),
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
            on_need=self._need,
            on_return=self._return,
            on_idle=self._lender.lend_idle,
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
        """Assign the slots now, or a little later if that was just done."""
        if self._assign_timer is not None:
            return
        delay = self._assigned_at + ASSIGN_INTERVAL_S - self._clock.monotonic()
        if delay <= 0:
            self._assign(immediately=False)
        else:
            loop = asyncio.get_running_loop()
            self._assign_timer = loop.call_later(delay, self._assign_late)

    def _assign_late(self) -> None:
        self._assign_timer = None
        self._assign(immediately=False)

    def _assign(self, *, immediately: bool) -> None:
        if self._configuration is None:
            return
        now = self._assigned_at = self._clock.monotonic()
        # Others may still use slots that pass to this gateway until they have heard
        # of the same change.
        settle = 0.0 if immediately else 2 * self._settings.mesh.heartbeat_s
        assignees = self._assignees()
        for slots in self._services.values():
            service = slots.service
            by_id = {
                SlotId(upstream.address, index): upstream
                for upstream in service.upstreams
                for index in range(service.slots_per_upstream)
            }
            assignment = assign_slots(
                [(slot, upstream.data_centre) for slot, upstream in by_id.items()],
                assignees,
            )
            own = slots_of(assignment, self._members.own_id)
            slots.table.set_owned(
                service, {slot: by_id[slot] for slot in own}, now + settle
            )
            slots.use_any_upstream(not own and len(self._members.live) == 1)
            slots.serve()

    def _assignees(self) -> list[Assignee]:
        members = self._members
        silent = len(set(members.listed) - set(members.live))
        tolerated = max(1, int(PARTITION_SHARE * len(members.listed)))
        split = silent > tolerated and self._settings.is_enabled(
            FEATURE_PARTITION_SHARE
        )
        chosen = members.listed if split else members.live
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
                slots.serve()

    def _need(self, slots: ServiceSlots) -> None:
        borrower = self._borrowers.get(slots.service.name)
        if borrower is not None and self._settings.is_enabled(FEATURE_BORROWING):
            borrower.need()

    def _return(self, slot: HeldSlot) -> None:
        self._mesh.send(slot.lender, LeaseReturn((slot.lease_id,)))

    async def _answer_borrow(
        self, peer_id: str, question: BorrowRequest
    ) -> BorrowReply:
        slots = self._services.get(question.service)
        if slots is None:
            return BorrowReply(())
        return await self._lender.answer(slots, peer_id, question)

    def _return_late(self, peer_id: str, answer: BorrowReply) -> None:
        """Give back what was lent in an answer that came after its timeout."""
        if answer.leases:
            self._metrics.increment("borrow.late")
            lease_ids = tuple(lease.lease_id for lease in answer.leases)
            self._mesh.send(peer_id, LeaseReturn(lease_ids))

    def _note_returned(self, peer_id: str, message: LeaseReturn) -> None:
        for slots in self._services.values():
            self._lender.take_back(slots, peer_id, message.lease_ids)

    def _drop_leases(self, gap: float) -> None:
        for slots in self._services.values():
            for slot in list(slots.table.borrowed):
                if not slot.busy:
                    slots.table.drop_borrowed(slot)
                slot.expires = 0.0
