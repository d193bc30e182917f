"""Track the members of a fleet that discovers its gateways."""

from collections.abc import Callable, Iterable

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.membership import Members
from dogwoodshed._internal.mesh.fleet_messages import (
    Member,
)

# Three missed updates of its last-seen time; a gateway not seen for longer counts as
# dead.
DEAD_AFTER_S = 1.6
# A gateway that could not be reached is not chosen as hub for this long.
SUSPECT_PERIOD_S = 1.0
# Gateways not seen for longer are no longer dialled; they reconnect by themselves.
FORGET_AFTER_S = 30.0
# When a fleet starts, hundreds of gateways become live at once; more changes than this
# share one log line.
MAX_LOGGED_CHANGES = 8


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
        # Derived from the live gateways, and kept until these change: several are read
        # many times a second, and a scan of all members costs more as the fleet grows.
        self._live: tuple[Member, ...] = ()
        self._live_set: frozenset[Member] = frozenset()
        self._live_by_data_centre: dict[str, list[Member]] = {}
        self._members_view = Members(own.id, (), ())
        self._set_live((own,))
        # Monotonic time at which the next gateway would count as silent.
        self._refresh_at = float("-inf")
        self._reader_order: list[Member] | None = None
        self._reader_order_hubs: tuple[Member, ...] = ()
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
    def fleet_size(self) -> int:
        """The number of live gateways and of those that may go on unseen.

        A gateway that is cut off sees no other one, but these share its budgets still.
        """
        seen_since = self._clock.monotonic() - FORGET_AFTER_S
        return sum(
            member.id == self._own.id
            or (
                self._last_seen_at.get(member.id, float("-inf")) > seen_since
                and self._leaving.get(member.id) != member.incarnation
            )
            for member in self._members.values()
        )

    @property
    def hubs(self) -> tuple[Member, ...]:
        """The hub of each data centre, in order of preference."""
        hubs = [
            hub
            for data_centre in self._live_by_data_centre
            if (hub := self.hub(data_centre)) is not None
        ]
        return tuple(sorted(hubs, key=_hub_order))

    @property
    def members(self) -> Members:
        return self._members_view

    @property
    def is_hub(self) -> bool:
        return self.hub(self._own.data_centre) == self._own

    @property
    def reader_rank(self) -> int:
        """The position of this gateway among the directory readers; 0 reads first."""
        readers = self.readers
        if self._own not in self._live_set:
            return len(readers)
        return readers.index(self._own)

    @property
    def readers(self) -> list[Member]:
        """The live gateways in the order in which they read the directory."""
        hubs = self.hubs
        if self._reader_order is None or self._reader_order_hubs != hubs:
            readers = [*hubs, *(member for member in self._live if member not in hubs)]
            # Gateways whose last directory request failed come last, in the same order.
            readers.sort(key=lambda member: member.id in self._failing_readers)
            self._reader_order, self._reader_order_hubs = readers, hubs
        return self._reader_order

    @property
    def failing_readers(self) -> frozenset[str]:
        return frozenset(self._failing_readers)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener when the live gateways change."""
        self._listeners.append(listener)

    def hub(self, data_centre: str) -> Member | None:
        """Return the hub of a data centre, or None without live gateways."""
        candidates = self._live_by_data_centre.get(data_centre)
        if not candidates:
            return None
        if self._suspect_until:
            now = self._clock.monotonic()
            for member in candidates:
                if self._suspect_until.get(member.id, 0.0) <= now:
                    return member
        return candidates[0]

    def peers_to_connect(self) -> tuple[Member, ...]:
        """Return the gateways to which this one keeps a connection."""
        if not self.is_hub:
            hub = self.hub(self._own.data_centre)
            return (hub,) if hub is not None else ()
        return tuple(hub for hub in self.hubs if hub != self._own)

    def has_live_gateway(self, data_centre: str) -> bool:
        """Return whether a data centre has a live gateway."""
        return data_centre in self._live_by_data_centre

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
            self.record_reader(member.id, failing=False)

    def _seen_recently(self, member_id: str) -> bool:
        last_seen_at = self._last_seen_at.get(member_id, float("-inf"))
        return self._clock.monotonic() - last_seen_at < DEAD_AFTER_S

    def record_seen(self, member_id: str, incarnation: int, *, leaving: bool) -> None:
        """Record a message of a gateway, or a report that it is live."""
        member = self._members.get(member_id)
        if member is None or member.incarnation != incarnation:
            return
        if leaving:
            self._leaving[member_id] = incarnation
        if self._record_seen(member) or leaving:
            self._refresh_all()

    def record_live(self, members: Iterable[Member]) -> None:
        """Record the gateways that a peer reports as live, and refresh once."""
        has_new = False
        for member in members:
            self.record_member(member)
            known = self._members.get(member.id)
            if known is not None and known.incarnation == member.incarnation:
                has_new = self._record_seen(known) or has_new
        if has_new:
            self._refresh_all()

    def _record_seen(self, member: Member) -> bool:
        """Update the last-seen time; return whether the gateway was not live."""
        was_live = self._seen_recently(member.id)
        self._last_seen_at[member.id] = self._clock.monotonic()
        return not was_live or member not in self._live_set

    def record_reader(self, member_id: str, *, failing: bool) -> None:
        """Record whether the last directory request of a gateway failed."""
        if failing == (member_id in self._failing_readers):
            return
        if failing:
            self._failing_readers.add(member_id)
        else:
            self._failing_readers.discard(member_id)
        self._reader_order = None

    def record_leaving(self) -> None:
        """Record that this gateway leaves, so that it is not the hub any more."""
        self._leaving[self._own.id] = self._own.incarnation
        self._refresh_all()

    def record_unreachable(self, member_id: str) -> None:
        """Avoid a gateway as hub for SUSPECT_PERIOD_S."""
        self._suspect_until[member_id] = self._clock.monotonic() + SUSPECT_PERIOD_S

    def refresh(self) -> None:
        """Update the live gateways if one may have become silent."""
        if self._clock.monotonic() >= self._refresh_at:
            self._refresh_all()

    def _refresh_all(self) -> None:
        live = [
            member
            for member in self._members.values()
            if self._leaving.get(member.id) != member.incarnation
            and (member.id == self._own.id or self._seen_recently(member.id))
        ]
        live.sort(key=_hub_order)
        live_members = tuple(live)
        self._refresh_at = DEAD_AFTER_S + min(
            (self._last_seen_at[m.id] for m in live if m.id != self._own.id),
            default=self._clock.monotonic(),
        )
        if live_members == self._live:
            return
        previous = self._live
        self._set_live(live_members)
        self._reader_order = None
        self._log_changes(set(previous) ^ self._live_set)
        for listener in self._listeners:
            listener()

    def _log_changes(self, changed: set[Member]) -> None:
        live_count = len(self._live)
        if len(changed) > MAX_LOGGED_CHANGES:
            logging.info(
                "%d gateways changed their state; %d live", len(changed), live_count
            )
            return
        for member in changed:
            state = "live" if member in self._live_set else "silent or leaving"
            logging.info("gateway %s is %s; %d live", member.id, state, live_count)

    def _set_live(self, live: tuple[Member, ...]) -> None:
        self._live = live
        self._live_set = frozenset(live)
        self._live_by_data_centre = {}
        for member in live:
            self._live_by_data_centre.setdefault(member.data_centre, []).append(member)
        ids = tuple(sorted(member.id for member in live))
        self._members_view = Members(self._own.id, ids, ids)

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


def _hub_order(member: Member) -> tuple[float, int, str]:
    return -member.hub_weight, member.incarnation, member.id
