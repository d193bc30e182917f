"""Hold the slots of one service that a gateway may use."""

from collections.abc import Callable, Iterable

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
        "usable_from",
    )

    def __init__(self, service: Service, upstream: Upstream, slot_id: SlotId) -> None:
        super().__init__(service, upstream)
        self.id = slot_id
        self.owned = False
        self.busy = False
        self.usable_from = 0.0
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
        return (
            not self.busy
            and self.borrower is None
            and self.usable_from <= now < self.expires
        )


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

    def __init__(self, opens_at: Callable[[HeldSlot], float]) -> None:
        self._opens_at = opens_at
        self._owned: dict[SlotId, HeldSlot] = {}
        self._borrowed: dict[tuple[str, int], HeldSlot] = {}
        # Slots that were reassigned while in use; dropped when the call ends.
        self._departing: dict[SlotId, HeldSlot] = {}

    @property
    def owned(self) -> Iterable[HeldSlot]:
        return self._owned.values()

    @property
    def borrowed(self) -> Iterable[HeldSlot]:
        return self._borrowed.values()

    @property
    def usable(self) -> int:
        """Count the slots that calls may run on, busy or not."""
        own = sum(1 for slot in self._owned.values() if slot.borrower is None)
        return own + len(self._borrowed)

    def set_owned(
        self, service: Service, wanted: dict[SlotId, Upstream], usable_from: float
    ) -> None:
        """Give up slots at once and take new ones from a later moment on."""
        for slot_id in list(self._owned):
            if slot_id not in wanted:
                slot = self._owned.pop(slot_id)
                slot.owned = False
                if slot.busy or slot.borrower is not None:
                    self._departing[slot_id] = slot
        for slot_id, upstream in wanted.items():
            if slot_id not in self._owned:
                slot = self._departing.pop(slot_id, None)
                if slot is None:
                    slot = HeldSlot(service, upstream, slot_id)
                    slot.usable_from = usable_from
                slot.owned = True
                self._owned[slot_id] = slot
            self._owned[slot_id].service = service
            self._owned[slot_id].upstream = upstream

    def add_borrowed(self, slot: HeldSlot) -> None:
        """Add a slot that a peer lent."""
        self._borrowed[slot.lender, slot.lease_id] = slot

    def drop_borrowed(self, slot: HeldSlot) -> None:
        """Forget a borrowed slot."""
        self._borrowed.pop((slot.lender, slot.lease_id), None)

    def drop_departed(self, slot: HeldSlot) -> None:
        """Forget a slot that was reassigned while it was in use."""
        if self._departing.get(slot.id) is slot:
            del self._departing[slot.id]

    def lent_to(self, borrower: str) -> list[HeldSlot]:
        """Return the slots lent to a peer."""
        slots = [*self._owned.values(), *self._departing.values()]
        return [slot for slot in slots if slot.borrower == borrower]

    def find_lent(self, lease_id: int, borrower: str) -> HeldSlot | None:
        """Return the slot of a lease."""
        for slot in self.lent_to(borrower):
            if slot.lease_id == lease_id:
                return slot
        return None

    def lent(self) -> list[HeldSlot]:
        """Return all slots lent to peers."""
        slots = [*self._owned.values(), *self._departing.values()]
        return [slot for slot in slots if slot.borrower is not None]

    def free(self, now: float) -> list[HeldSlot]:
        """Return the slots that a call may be sent on now."""
        return [
            slot
            for slot in (*self._owned.values(), *self._borrowed.values())
            if slot.is_free(now) and self._opens_at(slot) <= now
        ]

    def next_opening(self, now: float) -> float | None:
        """Return when the next closed slot opens, if one does."""
        moments = [
            moment
            for slot in self._owned.values()
            if not slot.busy and slot.borrower is None
            if now < (moment := max(slot.usable_from, self._opens_at(slot)))
        ]
        soonest = min(moments, default=float("inf"))
        return None if soonest == float("inf") else soonest
