"""Exchange the load of gateways, summed by data centre."""

from collections.abc import Mapping
from typing import Any, Protocol

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.mesh.codec import encode
from dogwoodshed._internal.mesh.connection import PeerConnection
from dogwoodshed._internal.mesh.fleet_messages import (
    DataCentreLoad,
    FleetLoad,
    GatewayLoad,
    LoadAcknowledgement,
    Member,
)
from dogwoodshed._internal.mesh.load_sum import LoadSum, merge_loads
from dogwoodshed._internal.mesh.messages import (
    Hello,
)
from dogwoodshed._internal.mesh.roster import FleetRoster

# Minimum time between two messages to other data centres: the traffic between data
# centres is billed, and each message adds headers.
REMOTE_BATCH_DELAY_S = 0.06
KEEPALIVE_S = 0.3
# Minimum time between two messages to the gateways of a hub. They need the loads only
# while the hub does not place their calls.
GATEWAY_BATCH_DELAY_S = 0.2
# Limits how long a slow peer lacks the changes of a message that was dropped.
FULL_LOAD_INTERVAL_S = 1.0
# The members are sent when they change, and repeated in case a message was dropped.
MEMBERS_INTERVAL_S = 5.0
# Minimum time between two updates of the last-seen times of a hub's members: a third of
# the time after which a member counts as dead.
LAST_SEEN_UPDATE_INTERVAL_S = 0.5
# Peer groups of a hub: the gateways that it serves, and the other hubs.
GATEWAYS = "gateways"
HUBS = "hubs"


class LoadDelegate(Protocol):
    """Provide the load of this gateway and apply that of the others."""

    def compose_load(self, sequence: int) -> dict[str, Any]:
        """Return the fields of the next GatewayLoad."""

    def switch_hub(self, hub: str) -> None:
        """Reset the exchange for a new hub, which has no load of this gateway yet."""

    def record_acknowledgement(self, hub: str, sequence: int) -> None:
        """Record the last own message that the next load of the hub includes."""

    def apply_load(self, load: DataCentreLoad) -> None:
        """Apply the load of the gateways that a hub serves."""

    @property
    def directory_failing(self) -> bool:
        """Return whether this gateway's last directory request failed."""

    def directory_progress(self) -> dict[str, int]:
        """Return revision and age of the directory data as message fields."""


class _PeerGroup:
    """What was last sent to a group of peers, and when."""

    def __init__(self, name: str, batch_delay: float) -> None:
        self.name = name
        self.batch_delay = batch_delay
        # By hub; loads of one hub are merged until they are sent.
        self.pending_forwards: dict[str, DataCentreLoad] = {}
        self.members: tuple[Member, ...] = ()
        self.sent_at = float("-inf")
        self.reset()

    def add_forward(self, load: DataCentreLoad) -> None:
        """Add a load of another hub to the next message."""
        earlier = self.pending_forwards.get(load.hub)
        if earlier is not None:
            load = merge_loads(earlier, load)
        self.pending_forwards[load.hub] = load

    def reset(self) -> None:
        """Send everything with the next message, since a new peer has no data."""
        self.full_sent_at = float("-inf")
        self.members_sent_at = float("-inf")


class LoadExchange:
    """Send own load to the hub; as hub, send sums to its gateways and other hubs."""

    def __init__(self, own: Hello, roster: FleetRoster, clock: Clock) -> None:
        self._own = own
        self._roster = roster
        self._clock = clock
        self._delegate: LoadDelegate | None = None
        self._load_sum = LoadSum((GATEWAYS, HUBS))
        self._gateway_group = _PeerGroup(GATEWAYS, GATEWAY_BATCH_DELAY_S)
        self._hub_group = _PeerGroup(HUBS, REMOTE_BATCH_DELAY_S)
        self._hub = ""
        # Sequence numbers of own messages to the hub, and of sums sent as hub.
        self._own_sequence = 0
        self._sum_sequence = 0
        # Last sequence number received from each gateway that this one serves as hub.
        self._received_sequences: dict[str, int] = {}
        # By hub and incarnation, since sequence numbers start again after a restart.
        self._seen_sequences: dict[tuple[str, int], int] = {}
        self._members_by_hub: dict[str, tuple[Member, ...]] = {}
        self._failing_by_hub: dict[str, tuple[str, ...]] = {}
        self._last_seen_at: dict[str, float] = {}

    @property
    def hub(self) -> str:
        """The hub to which this gateway sends its load; empty before the first."""
        return self._hub

    def attach(self, delegate: LoadDelegate) -> None:
        """Set the delegate that provides and applies loads."""
        self._delegate = delegate

    def add_peer(self, *, remote: bool) -> None:
        """Send everything to the group of a new peer with the next message."""
        group = self._hub_group if remote else self._gateway_group
        group.reset()

    def drop_peer(self, peer_id: str) -> None:
        """Remove the load of a peer whose connection ended."""
        self._load_sum.drop(peer_id)
        self._received_sequences.pop(peer_id, None)

    def handle_gateway_load(self, peer_id: str, load: GatewayLoad) -> None:
        """Add the load of a gateway that uses this one as its hub."""
        if peer_id not in self._received_sequences:
            self._gateway_group.reset()
        self._received_sequences[peer_id] = load.sequence
        self._roster.record_reader(peer_id, failing=load.directory_failing)
        self._load_sum.record(peer_id, load)

    def handle_fleet_load(self, peer_id: str, message: FleetLoad) -> None:
        """Apply the sums of another hub, or of this gateway's own hub."""
        now = self._clock.monotonic()
        for load in message.loads:
            source_run = load.hub, load.incarnation
            own = load.hub == self._own.peer_id
            if own or load.sequence <= self._seen_sequences.get(source_run, 0):
                continue
            self._seen_sequences[source_run] = load.sequence
            self._record_members(load, now)
            self._record_readers(load)
            self._delegate.apply_load(load)
            if self._received_sequences:
                self._gateway_group.add_forward(load)

    def handle_acknowledgement(
        self, peer_id: str, message: LoadAcknowledgement
    ) -> None:
        """Record which own messages the next sum of the hub includes."""
        self._delegate.record_acknowledgement(peer_id, message.sequence)

    def _record_members(self, load: DataCentreLoad, now: float) -> None:
        if load.members:
            self._members_by_hub[load.hub] = load.members
        elif (
            now - self._last_seen_at.get(load.hub, float("-inf"))
            < LAST_SEEN_UPDATE_INTERVAL_S
        ):
            return
        self._last_seen_at[load.hub] = now
        self._roster.record_live(self._members_by_hub.get(load.hub, ()))

    def _record_readers(self, load: DataCentreLoad) -> None:
        # A gateway that has just started has not seen earlier failures. Two gateways
        # that rank the readers differently may each wait for the other to read.
        known = self._failing_by_hub.get(load.hub, ())
        if not load.members and load.failing_readers == known:
            return
        self._failing_by_hub[load.hub] = load.failing_readers
        for member in self._members_by_hub.get(load.hub, ()):
            failing = member.id in load.failing_readers
            self._roster.record_reader(member.id, failing=failing)

    def flush(self, connections: Mapping[str, PeerConnection]) -> bool:
        """Send messages that are due; return whether one is delayed for batching."""
        now = self._clock.monotonic()
        failing = self._delegate.directory_failing
        self._roster.record_reader(self._own.peer_id, failing=failing)
        hub = self._roster.hub(self._own.data_centre)
        self._switch_hub(hub.id if hub is not None else "", connections)
        serves_gateways = bool(self._received_sequences)
        if self._hub == self._own.peer_id:
            serves_gateways = True
            self._own_sequence += 1
            self._load_sum.record(self._own.peer_id, self._own_load())
        elif self._hub in connections:
            self._own_sequence += 1
            connections[self._hub].send(self._own_load())
        if not serves_gateways:
            return False
        delayed = [
            self._send_sums(group, connections, now)
            for group in (self._gateway_group, self._hub_group)
        ]
        return any(delayed)

    def _switch_hub(self, hub: str, connections: Mapping[str, PeerConnection]) -> None:
        if hub == self._hub:
            return
        if self._hub in connections:
            # An empty load, since another hub includes this gateway from now on.
            connections[self._hub].send(GatewayLoad(self._own_sequence + 1))
        if self._hub == self._own.peer_id:
            self._load_sum.drop(self._own.peer_id)
        logging.info("hub is now %s, after %s", hub or "unknown", self._hub or "none")
        self._hub = hub
        self._own_sequence = 0
        self._delegate.switch_hub(hub)

    def _own_load(self) -> GatewayLoad:
        return GatewayLoad(
            self._own_sequence,
            **self._delegate.compose_load(self._own_sequence),
            **self._delegate.directory_progress(),
            directory_failing=self._delegate.directory_failing,
        )

    def _send_sums(
        self, group: _PeerGroup, connections: Mapping[str, PeerConnection], now: float
    ) -> bool:
        """Send the sums to a group; return whether they are delayed."""
        elapsed = now - group.sent_at
        members = self._served_members()
        full = now - group.full_sent_at >= FULL_LOAD_INTERVAL_S
        if not (
            full
            or group.pending_forwards
            or members != group.members
            or self._load_sum.has_changes(group.name)
            or elapsed >= KEEPALIVE_S
        ):
            return False
        if elapsed < group.batch_delay:
            return True
        load = self._compose_sums(group, members, full, now)
        data = encode(FleetLoad((load, *group.pending_forwards.values())))
        group.pending_forwards = {}
        group.sent_at = now
        if group is self._gateway_group:
            self._send_to_gateways(load, data, connections)
        else:
            self._send_to_hubs(data, connections)
        return False

    def _send_to_gateways(
        self,
        load: DataCentreLoad,
        data: bytes,
        connections: Mapping[str, PeerConnection],
    ) -> None:
        """Send sums to the served gateways and acknowledge the loads they include.

        This gateway is itself one of those that it serves.
        """
        for gateway_id, sequence in self._received_sequences.items():
            # In one write, since a hub sends to all gateways several times a second.
            acknowledgement = encode(LoadAcknowledgement(sequence))
            connections[gateway_id].send_encoded_load(acknowledgement + data)
        self._delegate.record_acknowledgement(self._own.peer_id, self._own_sequence)
        self._delegate.apply_load(load)

    def _send_to_hubs(
        self, data: bytes, connections: Mapping[str, PeerConnection]
    ) -> None:
        for connection in connections.values():
            if connection.hello.data_centre != self._own.data_centre:
                connection.send_encoded_load(data)

    def _compose_sums(
        self,
        group: _PeerGroup,
        members: tuple[Member, ...],
        full: bool,
        now: float,
    ) -> DataCentreLoad:
        if full:
            group.full_sent_at = now
        if (
            members == group.members
            and now - group.members_sent_at < MEMBERS_INTERVAL_S
        ):
            members = ()
        else:
            group.members, group.members_sent_at = members, now
        failing = self._roster.failing_readers
        self._sum_sequence += 1
        return DataCentreLoad(
            self._own.peer_id,
            self._own.incarnation,
            self._sum_sequence,
            members=members,
            **self._load_sum.compose(group.name, full=full),
            **self._delegate.directory_progress(),
            failing_readers=tuple(
                member.id for member in group.members if member.id in failing
            ),
        )

    def _served_members(self) -> tuple[Member, ...]:
        own = self._own.peer_id
        return tuple(
            member
            for member in self._roster.live
            if member.id == own or member.id in self._received_sequences
        )
