"""Track which gateways are listed, live, silent or leaving."""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.mesh.messages import Heartbeat, Hello
from dogwoodshed._internal.settings import Settings


class Members(NamedTuple):
    """The gateways as one gateway sees them; both tuples are sorted."""

    own_id: str
    # Live gateways, this one included.
    live: tuple[str, ...]
    # Gateways that should exist, live or not, this one included.
    listed: tuple[str, ...]

    @property
    def live_share(self) -> float:
        listed = set(self.listed)
        return len(listed.intersection(self.live)) / len(listed)


class GatewayEntry(NamedTuple):
    """A gateway as the host list or the settings name it."""

    id: str
    address: str
    data_centre: str = ""
    leaving: bool = False


class PeerView(NamedTuple):
    """The last heartbeat of a peer."""

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
        self._views: dict[str, PeerView] = {}
        # Incarnations that announced a planned stop.
        self._left: dict[str, int] = {}
        self._live: set[str] = set()
        # Peers at whose address nothing listens.
        self._refused: set[str] = set()
        self._listeners: list[Listener] = []
        self._members = self._derive()

    @property
    def members(self) -> Members:
        return self._members

    @property
    def views(self) -> Mapping[str, PeerView]:
        return {peer: self._views[peer] for peer in self._live}

    @property
    def refused(self) -> frozenset[str]:
        return frozenset(self._refused)

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
        """Return the data centre of a gateway, as far as it is known."""
        hello = self._hellos.get(peer_id)
        if hello is not None:
            return hello.data_centre
        entry = self._entries().get(peer_id)
        return entry.data_centre if entry else ""

    def apply_host_list(self, entries: tuple[GatewayEntry, ...]) -> None:
        """Use the gateways that the platform lists; ignore a list without any."""
        if not entries:
            return
        self._host_list = {entry.id: entry for entry in entries}
        self._update()

    def record_hello(self, hello: Hello) -> None:
        """Note that a peer said Hello."""
        self._hellos[hello.peer_id] = hello
        self._connected_at[hello.peer_id] = self._clock.monotonic()
        self._refused.discard(hello.peer_id)
        # Not an order: the clock of a replaced host may be behind its predecessor's.
        if self._left.get(hello.peer_id) != hello.incarnation:
            self._left.pop(hello.peer_id, None)

    def record_refusal(self, peer_id: str) -> None:
        """Note that nothing listens at the address of a peer, so that it is dead."""
        self._refused.add(peer_id)
        self._views.pop(peer_id, None)
        self._live.discard(peer_id)
        self._update()

    def record_heartbeat(
        self, peer_id: str, incarnation: int, heartbeat: Heartbeat
    ) -> None:
        """Note a sign of life, unless it comes from a predecessor of the peer."""
        hello = self._hellos[peer_id]
        if hello.incarnation != incarnation:
            return
        if heartbeat.state == STATE_LEAVING:
            self.record_leaving(peer_id, incarnation)
        self._views[peer_id] = PeerView(
            self._clock.monotonic(), heartbeat, hello.incarnation, hello.data_centre
        )
        if peer_id not in self._live and peer_id not in self._left:
            self._live.add(peer_id)
            self._update()

    def record_leaving(self, peer_id: str, incarnation: int) -> None:
        """Note a planned stop, unless the peer was started again since."""
        if self._hellos[peer_id].incarnation != incarnation:
            return
        self._left[peer_id] = incarnation
        self._live.discard(peer_id)
        self._update()

    def seen_recently(self, peer_id: str) -> bool:
        """Tell whether a peer gave a sign of life, or only just connected."""
        last_seen_at = self._connected_at[peer_id]
        view = self._views.get(peer_id)
        if view is not None:
            last_seen_at = max(last_seen_at, view.last_seen_at)
        return self._clock.monotonic() - last_seen_at < self._dead_after

    def expire(self) -> None:
        """Drop peers that have been silent for too long."""
        silent = {peer for peer in self._live if not self.seen_recently(peer)}
        if silent:
            self._live -= silent
            for peer in silent:
                del self._views[peer]
            self._update()

    def forget_views(self) -> None:
        """Trust no view until the next heartbeat, after a pause of this process."""
        self._views.clear()
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
            if not (gone or entry.leaving or entry.id in self._left):
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
