"""Exchange the load of gateways as sums by data centre."""

from collections.abc import Mapping
from typing import Any, Protocol

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.mesh.codec import encode
from dogwoodshed._internal.mesh.connection import Connection
from dogwoodshed._internal.mesh.load_sum import LoadSum
from dogwoodshed._internal.mesh.messages import (
    DataCentreLoad,
    FleetLoad,
    GatewayLoad,
    Hello,
    LoadAcknowledgement,
    Member,
)
from dogwoodshed._internal.mesh.roster import FleetRoster

# Bytes between data centres have a price, and each message has headers of its own.
REMOTE_GATHER_S = 0.06
KEEPALIVE_S = 0.3
# A message that a slow peer's connection dropped leaves a gap for no longer than this.
FULL_LOAD_S = 1.0
# The members are told when they change, and this often to close a gap.
MEMBERS_S = 5.0
# A third of the time after which a member counts as dead.
HEARD_EVERY_S = 0.5
# Audiences of a relay: the gateways that it serves, and the other relays.
HOSTS = "hosts"
RELAYS = "relays"


class LoadDelegate(Protocol):
    """Give this gateway's load, and use that of the others."""

    def compose_load(self, sequence: int) -> dict[str, Any]:
        """Return the fields of the next message to the relay."""

    def switch_hub(self, hub: str) -> None:
        """Start anew with a relay that knows nothing of this gateway."""

    def record_acknowledgement(self, hub: str, sequence: int) -> None:
        """Note which messages the next load of the relay counts."""

    def apply_load(self, load: DataCentreLoad) -> None:
        """Use the load of the gateways that a relay serves."""

    @property
    def directory_failing(self) -> bool:
        """Tell whether the directory turns this gateway away."""

    def directory_progress(self) -> dict[str, int]:
        """Return how far and how freshly the directory is known."""


class _Audience:
    """What a group of peers was told, and when."""

    def __init__(self, name: str, gather: float) -> None:
        self.name = name
        self.gather = gather
        self.forwards: list[DataCentreLoad] = []
        self.members: tuple[Member, ...] = ()
        self.sent_at = float("-inf")
        self.start_anew()

    def start_anew(self) -> None:
        """Tell everything next time, since a new peer knows nothing."""
        self.full_at = float("-inf")
        self.members_at = float("-inf")


class LoadExchange:
    """Send own load to the relay, and as relay the sums to hosts and other relays."""

    def __init__(self, own: Hello, roster: FleetRoster, clock: Clock) -> None:
        self._own = own
        self._roster = roster
        self._clock = clock
        self._source: LoadDelegate | None = None
        self._sum = LoadSum((HOSTS, RELAYS))
        self._hosts = _Audience(HOSTS, 0.0)
        self._relays = _Audience(RELAYS, REMOTE_GATHER_S)
        self._hub = ""
        # Numbers of own messages to the relay, and of sums told to others.
        self._host_sequence = 0
        self._relay_sequence = 0
        self._told_at = float("-inf")
        # The last message of each gateway that this one serves.
        self._received: dict[str, int] = {}
        # By relay and incarnation, since numbers start anew after a restart.
        self._seen: dict[tuple[str, int], int] = {}
        self._members: dict[str, tuple[Member, ...]] = {}
        self._last_seen_at: dict[str, float] = {}

    def attach(self, source: LoadDelegate) -> None:
        """Set what composes and uses loads."""
        self._source = source

    def add_peer(self, *, remote: bool) -> None:
        """Tell a new peer everything."""
        audience = self._relays if remote else self._hosts
        audience.start_anew()

    def drop_peer(self, peer_id: str) -> None:
        """Forget the load of a peer whose connection ended."""
        self._sum.drop(peer_id)
        self._received.pop(peer_id, None)

    def take_host(self, peer_id: str, load: GatewayLoad) -> None:
        """Take the load of a gateway that uses this one as its relay."""
        if peer_id not in self._received:
            self._hosts.start_anew()
        self._received[peer_id] = load.sequence
        self._roster.record_reader(peer_id, failing=load.directory_failing)
        self._sum.note(peer_id, load)

    def take_fleet(self, peer_id: str, message: FleetLoad) -> None:
        """Take sums from another relay, or from the own one."""
        now = self._clock.monotonic()
        for load in message.loads:
            run = load.hub, load.incarnation
            own = load.hub == self._own.peer_id
            if own or load.sequence <= self._seen.get(run, 0):
                continue
            self._seen[run] = load.sequence
            self._note_members(load, now)
            self._note_readers(load)
            self._source.apply_load(load)
            if self._received:
                self._hosts.forwards.append(load)

    def take_received(self, peer_id: str, message: LoadAcknowledgement) -> None:
        """Note which own messages the next sum counts."""
        self._source.record_acknowledgement(peer_id, message.sequence)

    def _note_members(self, load: DataCentreLoad, now: float) -> None:
        if load.members:
            self._members[load.hub] = load.members
        elif now - self._last_seen_at.get(load.hub, float("-inf")) < HEARD_EVERY_S:
            return
        self._last_seen_at[load.hub] = now
        for member in self._members.get(load.hub, ()):
            self._roster.record_member(member)
            self._roster.record_seen(member.id, member.incarnation, leaving=False)

    def _note_readers(self, load: DataCentreLoad) -> None:
        # A gateway that has just started knows nothing of earlier failures, and two
        # that rank the readers differently may each wait for the other.
        for member in self._members.get(load.hub, ()):
            failing = member.id in load.failing_readers
            self._roster.record_reader(member.id, failing=failing)

    def flush(self, connections: Mapping[str, Connection]) -> bool:
        """Send what is due; return whether something is held back for a moment."""
        now = self._clock.monotonic()
        failing = self._source.directory_failing
        self._roster.record_reader(self._own.peer_id, failing=failing)
        hub = self._roster.hub(self._own.data_centre)
        self._use_relay(hub.id if hub is not None else "", connections)
        serves = bool(self._received)
        if self._hub == self._own.peer_id:
            serves = True
            self._host_sequence += 1
            self._sum.note(self._own.peer_id, self._own_load())
        elif self._hub in connections:
            self._host_sequence += 1
            connections[self._hub].send(self._own_load())
        if not serves:
            return False
        held = [
            self._tell(audience, connections, now)
            for audience in (self._hosts, self._relays)
        ]
        return any(held)

    def _use_relay(self, hub: str, connections: Mapping[str, Connection]) -> None:
        if hub == self._hub:
            return
        if self._hub in connections:
            # Nothing in flight: another relay counts this gateway from now on.
            connections[self._hub].send(GatewayLoad(self._host_sequence + 1))
        if self._hub == self._own.peer_id:
            self._sum.drop(self._own.peer_id)
        self._hub = hub
        self._host_sequence = 0
        self._source.switch_hub(hub)

    def _own_load(self) -> GatewayLoad:
        return GatewayLoad(
            self._host_sequence,
            **self._source.compose_load(self._host_sequence),
            **self._source.directory_progress(),
            directory_failing=self._source.directory_failing,
        )

    def _tell(
        self, audience: _Audience, connections: Mapping[str, Connection], now: float
    ) -> bool:
        """Send the sums to an audience; return whether they are held back."""
        since = now - audience.sent_at
        members = self._served_members()
        full = now - audience.full_at >= FULL_LOAD_S
        if not (
            full
            or audience.forwards
            or members != audience.members
            or self._sum.has_changes(audience.name)
            or since >= KEEPALIVE_S
        ):
            return False
        if since < audience.gather:
            return True
        load = self._next_load(audience, members, full, now)
        data = encode(FleetLoad((load, *audience.forwards)))
        audience.forwards = []
        audience.sent_at = now
        if audience is self._hosts:
            self._send_to_hosts(load, data, connections)
        else:
            self._send_to_relays(data, connections)
        return False

    def _send_to_hosts(
        self, load: DataCentreLoad, data: bytes, connections: Mapping[str, Connection]
    ) -> None:
        """Tell the hosts, this gateway included, which of their messages count."""
        for host, sequence in self._received.items():
            connections[host].send(LoadAcknowledgement(sequence))
            connections[host].send_encoded_load(data)
        self._source.record_acknowledgement(self._own.peer_id, self._host_sequence)
        self._source.apply_load(load)

    def _send_to_relays(
        self, data: bytes, connections: Mapping[str, Connection]
    ) -> None:
        for connection in connections.values():
            if connection.hello.data_centre != self._own.data_centre:
                connection.send_encoded_load(data)

    def _next_load(
        self,
        audience: _Audience,
        members: tuple[Member, ...],
        full: bool,
        now: float,
    ) -> DataCentreLoad:
        if full:
            audience.full_at = now
        if members == audience.members and now - audience.members_at < MEMBERS_S:
            members = ()
        else:
            audience.members, audience.members_at = members, now
        failing = self._roster.failing_readers
        self._relay_sequence += 1
        return DataCentreLoad(
            self._own.peer_id,
            self._own.incarnation,
            self._relay_sequence,
            members=members,
            **self._sum.compose(audience.name, full=full),
            **self._source.directory_progress(),
            failing_readers=tuple(m.id for m in audience.members if m.id in failing),
        )

    def _served_members(self) -> tuple[Member, ...]:
        own = self._own.peer_id
        return tuple(
            member
            for member in self._roster.live
            if member.id == own or member.id in self._received
        )
