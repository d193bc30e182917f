"""Hold the slots of one service that a gateway may use."""

from collections.abc import Iterable

from dogwoodshed._internal.configuration.model import Service, Upstream
from dogwoodshed._internal.routing.assignment import SlotId
from dogwoodshed._internal.routing.base import Slot


class HeldSlot(Slot):
    """A slot that this gateway owns or has borrowed."""

    __slots__ = (
        "borrower",
        "busy",
        "expires",
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
        # The rank of the call that runs on the slot.
        self.rank = 0
        # Set while the slot is lent to a peer.
        self.borrower: str | None = None
        # Set while the slot is borrowed from a peer.
        self.lender: str | None = None
        self.lease_id = 0
        self.expires = float("inf")

    @classmethod
    def from_lease(
        cls,
        service: Service,
        upstream: Upstream,
        *,
        lender: str,
        lease_id: int,
        expires: float,
    ) -> "HeldSlot":
        """Create a borrowed slot."""
        slot = cls(service, upstream, SlotId(upstream.address, 0))
        slot.lender = lender
        slot.lease_id = lease_id
        slot.expires = expires
        return slot

    def is_free(self, now: float) -> bool:
        """Tell whether a call may be sent on this slot now."""
        return not self.busy and self.usable_from <= now < self.expires


class TimeAverage:
    """Average a level over time with exponential forgetting."""

    def __init__(self, now: float, time_constant: float) -> None:
        self._level = 0.0
        self._average = 0.0
        self._since = now
        self._time_constant = time_constant

    def update(self, level: float, now: float) -> float:
        """Set the level and return the average up to now."""
        elapsed = max(0.0, now - self._since)
        weight = elapsed / (elapsed + self._time_constant)
        self._average += weight * (self._level - self._average)
        self._level = level
        self._since = now
        return self._average


class SlotTable:
    """Find free slots among the owned and the borrowed ones."""

    def __init__(self) -> None:
        self._owned: dict[SlotId, HeldSlot] = {}
        self._borrowed: dict[tuple[str, int], HeldSlot] = {}
        # Slots that were reassigned while in use; dropped when the call ends.
        self._departing: dict[SlotId, HeldSlot] = {}
        # Slots without a call and not lent, longest idle first; a dict keeps order.
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
    def usable(self) -> int:
        """Count the slots that calls may run on, busy or not."""
        return len(self._owned) - len(self._lent) + len(self._borrowed)

    def set_owned(
        self, service: Service, wanted: dict[SlotId, Upstream], usable_from: float
    ) -> None:
        """Give up slots at once and take new ones from a later moment on."""
        for slot_id in list(self._owned):
            if slot_id not in wanted:
                self._give_up(self._owned.pop(slot_id))
        for slot_id, upstream in wanted.items():
            slot = self._owned.get(slot_id)
            if slot is None:
                slot = self._departing.pop(slot_id, None)
                if slot is None:
                    slot = HeldSlot(service, upstream, slot_id)
                    slot.usable_from = usable_from
                    self._idle[slot] = None
                slot.owned = True
                self._owned[slot_id] = slot
            slot.service = service
            slot.upstream = upstream

    def occupy(self, slot: HeldSlot) -> None:
        """Note that a call runs on a slot."""
        slot.busy = True
        self._idle.pop(slot, None)

    def vacate(self, slot: HeldSlot) -> None:
        """Note that the call on a slot ended."""
        slot.busy = False
        self._settle(slot)

    def add_borrowed(self, slot: HeldSlot) -> None:
        """Add a slot that a peer lent."""
        self._borrowed[slot.lender, slot.lease_id] = slot
        self._idle[slot] = None

    def drop_borrowed(self, slot: HeldSlot) -> None:
        """Forget a borrowed slot."""
        self._borrowed.pop((slot.lender, slot.lease_id), None)
        self._idle.pop(slot, None)

    def lend(self, slot: HeldSlot, borrower: str, lease_id: int) -> None:
        """Note that a peer uses a slot."""
        slot.borrower = borrower
        slot.lease_id = lease_id
        self._lent[borrower, lease_id] = slot
        self._idle.pop(slot, None)

    def take_back(self, slot: HeldSlot) -> None:
        """Note that a peer no longer uses a slot."""
        self._lent.pop((slot.borrower, slot.lease_id), None)
        slot.borrower = None
        self._settle(slot)

    def find_lent(self, lease_id: int, borrower: str) -> HeldSlot | None:
        """Return the slot of a lease."""
        return self._lent.get((borrower, lease_id))

    def lent(self) -> list[HeldSlot]:
        """Return all slots lent to peers."""
        return list(self._lent.values())

    def _give_up(self, slot: HeldSlot) -> None:
        slot.owned = False
        self._idle.pop(slot, None)
        if slot.busy or slot.borrower is not None:
            self._departing[slot.id] = slot

    def _settle(self, slot: HeldSlot) -> None:
        if slot.owned or (slot.lender, slot.lease_id) in self._borrowed:
            self._idle[slot] = None
        elif self._departing.get(slot.id) is slot:
            del self._departing[slot.id]
