"""Track which gateways are listed, live, silent or leaving."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.mesh.messages import (
    Heartbeat,
    Hello,
)
from dogwoodshed._internal.settings import Settings


class Members(NamedTuple):
    """The members of the fleet in the view of one gateway; both tuples are sorted."""

    own_id: str
    # Live gateways, this one included.
    live: tuple[str, ...]
    # Configured or discovered gateways, live or not, this one included.
    listed: tuple[str, ...]

    @property
    def live_share(self) -> float:
        listed = set(self.listed)
        return len(listed.intersection(self.live)) / len(listed)


class GatewayEntry(NamedTuple):
    """A gateway in the host list or the settings."""

    id: str
    address: str
    data_centre: str = ""
    leaving: bool = False


class PeerView(NamedTuple):
    """The last heartbeat of a peer and when it was received."""

    last_seen_at: float
    heartbeat: Heartbeat
    incarnation: int
    data_centre: str


Listener = Callable[[Members], None]

STATE_JOINING = "joining"
STATE_READY = "ready"
STATE_LEAVING = "leaving"


class Membership:
    """Derive the members from settings, host list and heartbeats."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._own_id = settings.id
        self._dead_after = settings.mesh.dead_after_s
        self._clock = clock
        self._configured = {
            peer.id: GatewayEntry(peer.id, peer.address) for peer in settings.mesh.peers
        }
        self._host_list: dict[str, GatewayEntry] | None = None
        self._hellos: dict[str, Hello] = {}
        self._connected_at: dict[str, float] = {}
        self._peer_views: dict[str, PeerView] = {}
        # By peer, the incarnation that announced a planned stop.
        self._leaving_incarnations: dict[str, int] = {}
        self._live: set[str] = set()
        # Peers whose address refuses connections.
        self._refusing_peers: set[str] = set()
        self._listeners: list[Listener] = []
        self._members = self._derive()

    @property
    def members(self) -> Members:
        return self._members

    @property
    def views(self) -> Mapping[str, PeerView]:
        return {peer: self._peer_views[peer] for peer in self._live}

    @property
    def refused(self) -> frozenset[str]:
        return frozenset(self._refusing_peers)

    @property
    def addresses(self) -> Mapping[str, str]:
        return {
            entry.id: entry.address
            for entry in self._entries().values()
            if entry.id != self._own_id
        }

    def subscribe(self, listener: Listener) -> None:
        """Call a listener at every change of the members."""
        self._listeners.append(listener)

    def address(self, peer_id: str) -> str | None:
        """Return the mesh address of a gateway."""
        entry = self._entries().get(peer_id)
        return entry.address if entry else None

    def data_centre(self, peer_id: str) -> str:
        """Return the data centre of a gateway, or an empty string if unknown."""
        hello = self._hellos.get(peer_id)
        if hello is not None:
            return hello.data_centre
        entry = self._entries().get(peer_id)
        return entry.data_centre if entry else ""

    def apply_host_list(self, entries: tuple[GatewayEntry, ...]) -> None:
        """Replace the discovered gateways; an empty list is ignored."""
        if not entries:
            return
        self._host_list = {entry.id: entry for entry in entries}
        self._update()

    def record_hello(self, hello: Hello) -> None:
        """Record a new connection of a peer."""
        self._hellos[hello.peer_id] = hello
        self._connected_at[hello.peer_id] = self._clock.monotonic()
        self._refusing_peers.discard(hello.peer_id)
        # Any other incarnation is a restart, even a lower one: the clock of a replaced
        # host may be behind that of its predecessor.
        if self._leaving_incarnations.get(hello.peer_id) != hello.incarnation:
            self._leaving_incarnations.pop(hello.peer_id, None)

    def record_refusal(self, peer_id: str) -> None:
        """Record that the address of a peer refuses connections; the peer is dead."""
        self._refusing_peers.add(peer_id)
        self._peer_views.pop(peer_id, None)
        self._live.discard(peer_id)
        self._update()

    def record_heartbeat(
        self, peer_id: str, incarnation: int, heartbeat: Heartbeat
    ) -> None:
        """Record a heartbeat, unless it is from an earlier run of the peer."""
        hello = self._hellos[peer_id]
        if hello.incarnation != incarnation:
            return
        if heartbeat.state == STATE_LEAVING:
            self.record_leaving(peer_id, incarnation)
        self._peer_views[peer_id] = PeerView(
            self._clock.monotonic(), heartbeat, hello.incarnation, hello.data_centre
        )
        if peer_id not in self._live and peer_id not in self._leaving_incarnations:
            self._live.add(peer_id)
            self._update()

    def record_leaving(self, peer_id: str, incarnation: int) -> None:
        """Record a planned stop, unless the peer has been restarted since."""
        if self._hellos[peer_id].incarnation != incarnation:
            return
        self._leaving_incarnations[peer_id] = incarnation
        self._live.discard(peer_id)
        self._update()

    def seen_recently(self, peer_id: str) -> bool:
        """Return whether a peer has recently sent a heartbeat or connected."""
        last_seen_at = self._connected_at[peer_id]
        view = self._peer_views.get(peer_id)
        if view is not None:
            last_seen_at = max(last_seen_at, view.last_seen_at)
        return self._clock.monotonic() - last_seen_at < self._dead_after

    def expire(self) -> None:
        """Remove peers without a recent heartbeat from the live members."""
        silent = {peer for peer in self._live if not self.seen_recently(peer)}
        if silent:
            self._live -= silent
            for peer in silent:
                del self._peer_views[peer]
            self._update()

    def forget_views(self) -> None:
        """Drop all heartbeats, since they are stale after a pause of this process."""
        self._peer_views.clear()
        self._live.clear()
        self._update()

    def _entries(self) -> dict[str, GatewayEntry]:
        entries = dict(self._configured)
        entries.update(self._host_list or {})
        return entries

    def _derive(self) -> Members:
        listed = {self._own_id, *self._live}
        for entry in self._entries().values():
            gone = self._host_list is not None and entry.id not in self._host_list
            if not (gone or entry.leaving or entry.id in self._leaving_incarnations):
                listed.add(entry.id)
        return Members(
            self._own_id,
            tuple(sorted({self._own_id, *self._live})),
            tuple(sorted(listed)),
        )

    def _update(self) -> None:
        members = self._derive()
        if members == self._members:
            return
        previous, self._members = self._members, members
        for peer in sorted(set(previous.live) ^ set(members.live)):
            state = "live" if peer in members.live else "silent or leaving"
            logging.info("gateway %s is %s", peer, state)
        for listener in self._listeners:
            listener(members)
