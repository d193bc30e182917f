"""Decide which gateways to dial, and which connections are no longer needed."""

import random
from collections.abc import Collection, Iterator
from typing import NamedTuple

from dogwoodshed._internal.mesh.roster import FleetRoster

# Interval at which a hub dials seeds and known gateways that are not live.
DISCOVERY_INTERVAL_S = 1.0
# Interval at which a gateway without a connection dials them.
ISOLATED_DISCOVERY_INTERVAL_S = 0.2
# A connection that is no longer needed stays open until its peer has another one.
UNUSED_CONNECTION_TIMEOUT_S = 2.0


class PeerAddress(NamedTuple):
    """A gateway to dial."""

    address: str
    # None for a seed, whose id is not known before it is connected.
    id: str | None = None


class PeerFinder:
    """Choose the peers of this gateway from its roster and its seeds."""

    def __init__(
        self, roster: FleetRoster, own_address: str, seeds: tuple[str, ...]
    ) -> None:
        self._roster = roster
        self._own_address = own_address
        self._seeds = seeds
        self._random = random.Random()
        self._last_wanted_at: dict[str, float] = {}
        self._last_discovery_at = float("-inf")

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses of the seeds."""
        self._seeds = seeds

    def record_connected(self, peer_id: str, now: float) -> None:
        """Count a new connection as needed from now on."""
        self._last_wanted_at[peer_id] = now

    def wanted(self, connected: Collection[str], now: float) -> Iterator[PeerAddress]:
        """Yield the gateways to which a connection is missing."""
        for member in self._roster.peers_to_connect():
            self._last_wanted_at[member.id] = now
            if member.id not in connected:
                yield PeerAddress(member.address, member.id)

    def is_unused(self, peer_id: str, now: float) -> bool:
        """Return whether a connection has not been needed for a while."""
        unused_for = now - self._last_wanted_at.setdefault(peer_id, now)
        return unused_for > UNUSED_CONNECTION_TIMEOUT_S

    def discover(self, *, isolated: bool, now: float) -> Iterator[PeerAddress]:
        """Yield seeds and a known gateway that are not live, if isolated or a hub."""
        if not (isolated or self._roster.is_hub):
            return
        interval = ISOLATED_DISCOVERY_INTERVAL_S if isolated else DISCOVERY_INTERVAL_S
        if now - self._last_discovery_at < interval:
            return
        self._last_discovery_at = now
        self._roster.forget_old()
        live = {member.id for member in self._roster.live}
        live_addresses = {member.address for member in self._roster.live}
        for seed in self._seeds:
            if seed not in live_addresses and seed != self._own_address:
                yield PeerAddress(seed)
        missing = [member for member in self._roster.known if member.id not in live]
        if missing:
            member = self._random.choice(missing)
            yield PeerAddress(member.address, member.id)
