"""Track the gateways of a fleet whose members find each other."""

from collections.abc import Callable

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.membership import Members
from dogwoodshed._internal.mesh.messages import Member

# Three missed full news; a gateway that is not heard for longer counts as dead.
DEAD_AFTER_S = 1.6
# A gateway that could not be reached is passed over as relay for this long.
SUSPECT_S = 1.0
# Gateways not heard for longer are not dialled any more; they come back by themselves.
FORGET_AFTER_S = 30.0


class FleetRoster:
    """Know the members and which of them relay news between data centres.

    The relay of a data centre is its oldest live gateway on a host that can bear it.
    It holds a connection to the relays of the other data centres, and every other
    gateway one to its relay.
    """

    def __init__(self, own: Member, clock: Clock) -> None:
        self._own = own
        self._clock = clock
        self._members: dict[str, Member] = {own.id: own}
        self._last_seen_at: dict[str, float] = {}
        self._leaving: dict[str, int] = {}
        self._suspect_until: dict[str, float] = {}
        self._failing_readers: set[str] = set()
        self._live: tuple[Member, ...] = (own,)
        self._listeners: list[Callable[[], None]] = []

    @property
    def own(self) -> Member:
        return self._own

    @property
    def live(self) -> tuple[Member, ...]:
        """The live gateways in the order in which they relay, this one included."""
        return self._live

    @property
    def known(self) -> tuple[Member, ...]:
        return tuple(self._members.values())

    @property
    def members(self) -> Members:
        live = tuple(sorted(member.id for member in self._live))
        return Members(self._own.id, live, live)

    @property
    def is_hub(self) -> bool:
        return self.hub(self._own.data_centre) == self._own

    @property
    def reader_rank(self) -> int:
        """The position of this gateway among those that may read the directory."""
        relays = self._relays()
        readers = [*relays, *(m for m in self._live if m not in relays)]
        # Those that the directory turns away come last, in the same order.
        readers.sort(key=lambda member: member.id in self._failing_readers)
        return readers.index(self._own) if self._own in readers else len(readers)

    @property
    def failing_readers(self) -> frozenset[str]:
        return frozenset(self._failing_readers)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener when the live gateways change."""
        self._listeners.append(listener)

    def hub(self, data_centre: str) -> Member | None:
        """Return the gateway that relays the news of a data centre."""
        now = self._clock.monotonic()
        candidates = [m for m in self._live if m.data_centre == data_centre]
        for member in candidates:
            if self._suspect_until.get(member.id, 0.0) <= now:
                return member
        return candidates[0] if candidates else None

    def wanted_peers(self) -> tuple[Member, ...]:
        """Return the gateways that this one keeps a connection to."""
        if not self.is_hub:
            hub = self.hub(self._own.data_centre)
            return (hub,) if hub is not None else ()
        return tuple(hub for hub in self._relays() if hub != self._own)

    def data_centres_served(self) -> frozenset[str]:
        """Return the data centres whose upstreams this gateway probes."""
        if not self.is_hub:
            return frozenset()
        return frozenset({self._own.data_centre})

    def has_live_gateway(self, data_centre: str) -> bool:
        """Tell whether any live gateway stands in a data centre."""
        return any(member.data_centre == data_centre for member in self._live)

    def record_member(self, member: Member) -> None:
        """Learn of a gateway without having heard from it."""
        known = self._members.get(member.id)
        if member.id == self._own.id:
            return
        # The time of day may have gone back, and a restarted gateway then has a lower
        # number than the run before it, which is not heard any more.
        if (
            known is None
            or known.incarnation < member.incarnation
            or (known.incarnation > member.incarnation and not self._is_heard(known.id))
        ):
            self._members[member.id] = member
            self._failing_readers.discard(member.id)

    def _is_heard(self, member_id: str) -> bool:
        last_seen_at = self._last_seen_at.get(member_id, float("-inf"))
        return self._clock.monotonic() - last_seen_at < DEAD_AFTER_S

    def record_seen(self, member_id: str, incarnation: int, *, leaving: bool) -> None:
        """Note news of a gateway."""
        member = self._members.get(member_id)
        if member is None or member.incarnation != incarnation:
            return
        now = self._clock.monotonic()
        if leaving:
            self._leaving[member_id] = incarnation
        was_live = self._is_heard(member_id)
        self._last_seen_at[member_id] = now
        if not was_live or leaving or member not in self._live:
            self.refresh()

    def record_reader(self, member_id: str, *, failing: bool) -> None:
        """Note whether the directory answers a gateway."""
        if failing:
            self._failing_readers.add(member_id)
        else:
            self._failing_readers.discard(member_id)

    def record_leaving(self) -> None:
        """Leave the work of a relay to others."""
        self._leaving[self._own.id] = self._own.incarnation
        self.refresh()

    def record_unreachable(self, member_id: str) -> None:
        """Pass over a gateway as relay for a while."""
        self._suspect_until[member_id] = self._clock.monotonic() + SUSPECT_S

    def refresh(self) -> None:
        """Derive the live gateways; tell listeners of a change."""
        live = [
            member
            for member in self._members.values()
            if self._leaving.get(member.id) != member.incarnation
            and (member.id == self._own.id or self._is_heard(member.id))
        ]
        live.sort(key=_relay_order)
        found = tuple(live)
        if found == self._live:
            return
        before, self._live = self._live, found
        for member in set(before) ^ set(found):
            state = "live" if member in found else "silent or leaving"
            logging.info("gateway %s is %s; %d live", member.id, state, len(found))
        for listener in self._listeners:
            listener()

    def forget_old(self) -> None:
        """Forget gateways that have been silent for long."""
        limit = self._clock.monotonic() - FORGET_AFTER_S
        for member_id in list(self._members):
            heard = self._last_seen_at.get(member_id)
            if member_id != self._own.id and heard is not None and heard < limit:
                del self._members[member_id]
                del self._last_seen_at[member_id]

    def _relays(self) -> list[Member]:
        centres = sorted({member.data_centre for member in self._live})
        relays = [hub for c in centres if (hub := self.hub(c)) is not None]
        return sorted(relays, key=_relay_order)


def _relay_order(member: Member) -> tuple[float, int, str]:
    return -member.hub_weight, member.incarnation, member.id
