"""Pass events from any gateway to all others."""

from collections.abc import Callable, Iterator
from typing import Any

from dogwoodshed._internal.mesh.messages import GatewayUpdate, Hello, UpdateBatch


class UpdateFlood:
    """Number own news, drop what was seen before, and keep what each peer lacks.

    Relays of different data centres are connected with each other, so that news from
    one of them go to the gateways of the own data centre only.
    """

    def __init__(self, own: Hello, is_remote: Callable[[str], bool]) -> None:
        self._own = own
        self._is_remote = is_remote
        self._sequence = 0
        # By origin and incarnation: after a restart numbers start anew, and the new
        # incarnation is lower if the time of day was set back.
        self._seen: dict[tuple[str, int], int] = {}
        self._pending: dict[str, list[GatewayUpdate]] = {}

    def add_peer(self, peer_id: str) -> None:
        """Keep news for a peer from now on."""
        self._pending[peer_id] = []

    def drop_peer(self, peer_id: str) -> None:
        """Keep nothing more for a peer."""
        self._pending.pop(peer_id, None)

    def add_own(self, fields: dict[str, Any]) -> None:
        """Tell every peer what changed here."""
        self._sequence += 1
        news = GatewayUpdate(
            self._own.peer_id, self._own.incarnation, self._sequence, **fields
        )
        for pending in self._pending.values():
            pending.append(news)

    def take(self, peer_id: str, news: GatewayUpdate) -> bool:
        """Pass news of a peer on; return whether they are new."""
        if news.origin == self._own.peer_id:
            return False
        run = news.origin, news.incarnation
        if news.sequence <= self._seen.get(run, 0):
            return False
        self._seen[run] = news.sequence
        from_remote = self._is_remote(peer_id)
        for other, pending in self._pending.items():
            if other in (peer_id, news.origin):
                continue
            if not (from_remote and self._is_remote(other)):
                pending.append(news)
        return True

    def take_pending(self) -> Iterator[tuple[str, UpdateBatch]]:
        """Yield what is to be sent now, by peer."""
        for peer_id, pending in self._pending.items():
            if pending:
                self._pending[peer_id] = []
                yield peer_id, UpdateBatch(tuple(pending))
