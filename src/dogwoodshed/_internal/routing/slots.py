"""Track the slots of one service that a gateway may use."""

from collections.abc import Iterable

from dogwoodshed._internal.configuration.model import Service, Upstream
from dogwoodshed._internal.routing.assignment import SlotId
from dogwoodshed._internal.routing.base import Slot


class HeldSlot(Slot):
    """A slot that this gateway owns or has borrowed."""

    __slots__ = (
        "borrower",
        "busy",
        "expires_at",
        "id",
        "lease_id",
        "lender",
        "owned",
        "rank",
        "usable_from",
    )

    def __init__(self, service: Service, upstream: Upstream, slot_id: SlotId) -> None:
        super().__init__(service, upstream)
        self.id = slot_id
        self.owned = False
        self.busy = False
        self.usable_from = 0.0
        # The rank of the call that occupies the slot.
        self.rank = 0
        # Set while the slot is lent to a peer.
        self.borrower: str | None = None
        # Set while the slot is borrowed from a peer.
        self.lender: str | None = None
        self.lease_id = 0
        # End of the lease of a borrowed slot, or when to reclaim a lent one.
        self.expires_at = float("inf")

    @classmethod
    def from_lease(
        cls,
        service: Service,
        upstream: Upstream,
        *,
        lender: str,
        lease_id: int,
        expires_at: float,
    ) -> "HeldSlot":
        """Create a borrowed slot."""
        slot = cls(service, upstream, SlotId(upstream.address, 0))
        slot.lender = lender
        slot.lease_id = lease_id
        slot.expires_at = expires_at
        return slot

    def is_free(self, now: float) -> bool:
        """Return whether a call may be sent on this slot now."""
        return not self.busy and self.usable_from <= now < self.expires_at


class TimeWeightedAverage:
    """Average a value over time, with exponentially decaying weights."""

    def __init__(self, now: float, time_constant: float) -> None:
        self._value = 0.0
        self._average = 0.0
        self._updated_at = now
        self._time_constant = time_constant

    def update(self, value: float, now: float) -> float:
        """Set the value and return the average up to now."""
        elapsed = max(0.0, now - self._updated_at)
        weight = elapsed / (elapsed + self._time_constant)
        self._average += weight * (self._value - self._average)
        self._value = value
        self._updated_at = now
        return self._average


class SlotTable:
    """Track which owned and borrowed slots are idle, busy or lent."""

    def __init__(self) -> None:
        self._owned: dict[SlotId, HeldSlot] = {}
        self._borrowed: dict[tuple[str, int], HeldSlot] = {}
        # Slots reassigned to another gateway while in use; dropped when the call ends.
        self._reassigned_in_use: dict[SlotId, HeldSlot] = {}
        # Slots without a call and not lent, longest idle first; a dict is used because
        # it keeps the order of insertion.
        self._idle: dict[HeldSlot, None] = {}
        self._lent: dict[tuple[str, int], HeldSlot] = {}

    @property
    def owned(self) -> Iterable[HeldSlot]:
        return self._owned.values()

    @property
    def borrowed(self) -> Iterable[HeldSlot]:
        return self._borrowed.values()

    @property
    def idle(self) -> Iterable[HeldSlot]:
        return self._idle

    @property
    def idle_count(self) -> int:
        return len(self._idle)

    @property
    def usable_count(self) -> int:
        """Return how many slots calls may run on, busy or not."""
        return len(self._owned) - len(self._lent) + len(self._borrowed)

    def set_owned(
        self, service: Service, wanted: dict[SlotId, Upstream], usable_from: float
    ) -> None:
        """Drop slots that are no longer owned, and use new ones from `usable_from`."""
        for slot_id in list(self._owned):
            if slot_id not in wanted:
                self._disown(self._owned.pop(slot_id))
        for slot_id, upstream in wanted.items():
            slot = self._owned.get(slot_id)
            if slot is None:
                slot = self._reassigned_in_use.pop(slot_id, None)
                if slot is None:
                    slot = HeldSlot(service, upstream, slot_id)
                    slot.usable_from = usable_from
                    self._idle[slot] = None
                slot.owned = True
                self._owned[slot_id] = slot
            slot.service = service
            slot.upstream = upstream

    def mark_busy(self, slot: HeldSlot) -> None:
        """Mark a slot as occupied by a call."""
        slot.busy = True
        self._idle.pop(slot, None)

    def mark_idle(self, slot: HeldSlot) -> None:
        """Mark a slot as free after its call ended."""
        slot.busy = False
        self._return_to_idle(slot)

    def add_borrowed(self, slot: HeldSlot) -> None:
        """Add a slot borrowed from a peer."""
        self._borrowed[slot.lender, slot.lease_id] = slot
        self._idle[slot] = None

    def drop_borrowed(self, slot: HeldSlot) -> None:
        """Remove a borrowed slot."""
        self._borrowed.pop((slot.lender, slot.lease_id), None)
        self._idle.pop(slot, None)

    def lend(self, slot: HeldSlot, borrower: str, lease_id: int) -> None:
        """Mark a slot as lent to a peer."""
        slot.borrower = borrower
        slot.lease_id = lease_id
        self._lent[borrower, lease_id] = slot
        self._idle.pop(slot, None)

    def end_lease(self, slot: HeldSlot) -> None:
        """Make a lent slot available again."""
        self._lent.pop((slot.borrower, slot.lease_id), None)
        slot.borrower = None
        self._return_to_idle(slot)

    def find_lent(self, lease_id: int, borrower: str) -> HeldSlot | None:
        """Return the slot that was lent under a lease."""
        return self._lent.get((borrower, lease_id))

    def lent(self) -> list[HeldSlot]:
        """Return all slots lent to peers."""
        return list(self._lent.values())

    def _disown(self, slot: HeldSlot) -> None:
        slot.owned = False
        self._idle.pop(slot, None)
        if slot.busy or slot.borrower is not None:
            self._reassigned_in_use[slot.id] = slot

    def _return_to_idle(self, slot: HeldSlot) -> None:
        if slot.owned or (slot.lender, slot.lease_id) in self._borrowed:
            self._idle[slot] = None
        elif self._reassigned_in_use.get(slot.id) is slot:
            del self._reassigned_in_use[slot.id]
