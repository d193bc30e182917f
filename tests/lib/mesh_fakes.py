"""Fakes of the clock and the mesh for unit tests."""

from typing import Any

from dogwoodshed._internal.exceptions import PeerUnavailableError
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import (
    Heartbeat,
    Hello,
)
from dogwoodshed._internal.settings import Settings


class ManualClock:
    """Clock that a test advances; CPU time is set separately."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now
        self.cpu_seconds = 0.0

    def cpu_time(self) -> float:
        return self.cpu_seconds

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now


class FakeMesh:
    """Mesh that records sent messages and passes received ones to handlers."""

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.handlers: dict[type, Any] = {}
        self.connect_listeners: list[Any] = []
        self.broadcasts: list[Any] = []
        self.sent: list[tuple[str, Any]] = []
        self.requests: list[tuple[str, Any]] = []
        self.replies: dict[str, Any] = {}

    def subscribe(self, message_type: type, handler: Any) -> None:
        self.handlers[message_type] = handler

    def on_connect(self, listener: Any) -> None:
        self.connect_listeners.append(listener)

    def broadcast(self, message: Any) -> None:
        self.broadcasts.append(message)

    def send(self, peer_id: str, message: Any) -> bool:
        self.sent.append((peer_id, message))
        return True

    async def request(self, peer_id: str, message: Any, timeout: float) -> Any:
        """Return the reply set for the peer; raises PeerUnavailableError."""
        self.requests.append((peer_id, message))
        if peer_id not in self.replies:
            raise PeerUnavailableError(peer_id)
        return self.replies[peer_id]

    def receive(self, peer_id: str, message: Any) -> Any:
        """Pass a message of a peer to its handler."""
        if isinstance(message, Heartbeat):
            self.membership.record_heartbeat(peer_id, 1, message)
        return self.handlers[type(message)](peer_id, message)


def gateway_settings(peers: tuple[str, ...] = ("g1", "g2"), **changes: Any) -> Settings:
    """Build the settings of gateway g0."""
    listed = [{"id": peer, "address": f"127.0.0.1:{n}"} for n, peer in enumerate(peers)]
    return Settings.from_value(
        {
            "id": "g0",
            "host": "host-0",
            "data_centre": "lima-1",
            "listen": "127.0.0.1:0",
            "mesh": {"peers": listed},
            **changes,
        }
    )


def hello(peer_id: str, incarnation: int = 1) -> Hello:
    """Build the Hello message of a peer."""
    return Hello(1, peer_id, incarnation, "lima-1")


def heartbeat(revision: int = 0, digest: str = "", state: str = "ready") -> Heartbeat:
    """Build a heartbeat."""
    return Heartbeat(1, state, revision, digest)
