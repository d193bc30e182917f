"""Track the members of a fleet that discovers its gateways."""

from collections.abc import Callable

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.membership import Members
from dogwoodshed._internal.mesh.messages import Member

# Three missed updates of its last-seen time; a gateway not seen for longer counts as
# dead.
DEAD_AFTER_S = 1.6
# A gateway that could not be reached is not chosen as hub for this long.
SUSPECT_PERIOD_S = 1.0
# Gateways not seen for longer are no longer dialled; they reconnect by themselves.
FORGET_AFTER_S = 30.0


class FleetRoster:
    """Track the live members and choose the hub of each data centre.

    The hub is the oldest live gateway among those with the highest hub weight. It keeps
    connections to the hubs of the other data centres; every other gateway keeps one
    connection to the hub of its data centre.
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
        """The live gateways, this one included, in order of preference as hub."""
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
        """The position of this gateway among the directory readers; 0 reads first."""
        hubs = self._hubs()
        readers = [*hubs, *(member for member in self._live if member not in hubs)]
        # Gateways whose last directory request failed come last, in the same order.
        readers.sort(key=lambda member: member.id in self._failing_readers)
        return readers.index(self._own) if self._own in readers else len(readers)

    @property
    def failing_readers(self) -> frozenset[str]:
        return frozenset(self._failing_readers)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener when the live gateways change."""
        self._listeners.append(listener)

    def hub(self, data_centre: str) -> Member | None:
        """Return the hub of a data centre, or None without live gateways."""
        now = self._clock.monotonic()
        candidates = [
            member for member in self._live if member.data_centre == data_centre
        ]
        for member in candidates:
            if self._suspect_until.get(member.id, 0.0) <= now:
                return member
        return candidates[0] if candidates else None

    def peers_to_connect(self) -> tuple[Member, ...]:
        """Return the gateways to which this one keeps a connection."""
        if not self.is_hub:
            hub = self.hub(self._own.data_centre)
            return (hub,) if hub is not None else ()
        return tuple(hub for hub in self._hubs() if hub != self._own)

    def data_centres_served(self) -> frozenset[str]:
        """Return the data centres whose upstreams this gateway probes."""
        if not self.is_hub:
            return frozenset()
        return frozenset({self._own.data_centre})

    def has_live_gateway(self, data_centre: str) -> bool:
        """Return whether a data centre has a live gateway."""
        return any(member.data_centre == data_centre for member in self._live)

    def record_member(self, member: Member) -> None:
        """Add or replace a gateway that a peer reported."""
        known = self._members.get(member.id)
        if member.id == self._own.id:
            return
        # If the clock was set back, a restarted gateway has a lower incarnation than
        # its previous run. It replaces that run once the run is no longer seen.
        if (
            known is None
            or known.incarnation < member.incarnation
            or (
                known.incarnation > member.incarnation
                and not self._seen_recently(known.id)
            )
        ):
            self._members[member.id] = member
            self._failing_readers.discard(member.id)

    def _seen_recently(self, member_id: str) -> bool:
        last_seen_at = self._last_seen_at.get(member_id, float("-inf"))
        return self._clock.monotonic() - last_seen_at < DEAD_AFTER_S

    def record_seen(self, member_id: str, incarnation: int, *, leaving: bool) -> None:
        """Record a message of a gateway, or a report that it is live."""
        member = self._members.get(member_id)
        if member is None or member.incarnation != incarnation:
            return
        now = self._clock.monotonic()
        if leaving:
            self._leaving[member_id] = incarnation
        was_live = self._seen_recently(member_id)
        self._last_seen_at[member_id] = now
        if not was_live or leaving or member not in self._live:
            self.refresh()

    def record_reader(self, member_id: str, *, failing: bool) -> None:
        """Record whether the last directory request of a gateway failed."""
        if failing:
            self._failing_readers.add(member_id)
        else:
            self._failing_readers.discard(member_id)

    def record_leaving(self) -> None:
        """Record that this gateway leaves, so that it is not the hub any more."""
        self._leaving[self._own.id] = self._own.incarnation
        self.refresh()

    def record_unreachable(self, member_id: str) -> None:
        """Avoid a gateway as hub for SUSPECT_PERIOD_S."""
        self._suspect_until[member_id] = self._clock.monotonic() + SUSPECT_PERIOD_S

    def refresh(self) -> None:
        """Update the live gateways; notify listeners of a change."""
        live = [
            member
            for member in self._members.values()
            if self._leaving.get(member.id) != member.incarnation
            and (member.id == self._own.id or self._seen_recently(member.id))
        ]
        live.sort(key=_hub_order)
        live_members = tuple(live)
        if live_members == self._live:
            return
        previous, self._live = self._live, live_members
        for member in set(previous) ^ set(live_members):
            state = "live" if member in live_members else "silent or leaving"
            logging.info(
                "gateway %s is %s; %d live", member.id, state, len(live_members)
            )
        for listener in self._listeners:
            listener()

    def forget_old(self) -> None:
        """Remove gateways that have not been seen for FORGET_AFTER_S."""
        limit = self._clock.monotonic() - FORGET_AFTER_S
        for member_id in list(self._members):
            last_seen_at = self._last_seen_at.get(member_id)
            if (
                member_id != self._own.id
                and last_seen_at is not None
                and last_seen_at < limit
            ):
                del self._members[member_id]
                del self._last_seen_at[member_id]

    def _hubs(self) -> list[Member]:
        data_centres = sorted({member.data_centre for member in self._live})
        hubs = [
            hub
            for data_centre in data_centres
            if (hub := self.hub(data_centre)) is not None
        ]
        return sorted(hubs, key=_hub_order)


def _hub_order(member: Member) -> tuple[float, int, str]:
    return -member.hub_weight, member.incarnation, member.id
