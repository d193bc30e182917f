"""Determine the holders of a key and whether this gateway may vote on it."""

from collections.abc import Iterable
from hashlib import blake2b

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.rendezvous import rendezvous_order

HOLDER_COUNT = 3

GatewayIds = tuple[str, ...]


class HolderView:
    """Track the list of gateways and whether this gateway has all records for it.

    A list is synchronized once every gateway on it has sent its records while using the
    same list. Until then, this gateway votes only on keys that have the same holders in
    the last synchronized list and in every list since.
    """

    def __init__(
        self,
        own_id: str,
        listed: Iterable[str],
        clock: Clock,
        max_record_lifetime: float,
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._records_lost_until = clock.monotonic() + max_record_lifetime
        self._stopped_voting = False
        self._members: GatewayIds = ()
        self._listed: GatewayIds = ()
        # The last synchronized list and all lists since; a dict used as an ordered set.
        self._lists_since_sync: dict[GatewayIds, None] = {}
        # The records of grants from before the start are lost.
        self._records_lost = True
        self._digest = b""
        self._generation = 0
        self.apply_members(listed)

    @property
    def listed(self) -> GatewayIds:
        return self._listed

    @property
    def digest(self) -> bytes:
        return self._digest

    @property
    def generation(self) -> int:
        return self._generation

    @property
    def synchronized(self) -> bool:
        return not self._records_lost and len(self._lists_since_sync) == 1

    def apply_members(self, members: Iterable[str]) -> None:
        """Apply a new list of gateways."""
        self._members = tuple(sorted(members))
        listed = self._members
        if self._stopped_voting and len(listed) > 1:
            listed = tuple(member for member in listed if member != self._own_id)
        if listed == self._listed:
            return
        self._listed = listed
        self._digest = _digest(listed)
        self._generation += 1
        self._lists_since_sync[listed] = None

    def stop_voting(self) -> None:
        """Stop holding and voting on keys before a planned stop."""
        self._stopped_voting = True
        self.apply_members(self._members)

    def mark_synchronized(self, generation: int) -> None:
        """Mark a generation of the list, if still current, as synchronized."""
        if generation == self._generation:
            self._records_lost = False
            self._lists_since_sync = {self._listed: None}

    def holders(self, key: bytes) -> GatewayIds:
        """Return the holders of a key in the current list."""
        return _holders(key, self._listed)

    def may_vote(self, key: bytes, set_digest: bytes) -> bool:
        """Return whether this gateway may grant a key to a claim.

        `set_digest` is the digest of the holders that the dispatcher uses.
        """
        if self._records_lost:
            # After this time the lost records have expired at every gateway.
            if self._clock.monotonic() < self._records_lost_until:
                return False
            self._records_lost = False
        holders = self.holders(key)
        return (
            self._own_id in holders
            and holder_set_digest(holders) == set_digest
            and all(
                set(_holders(key, listed)) == set(holders)
                for listed in self._lists_since_sync
                if listed != self._listed
            )
        )


def holder_set_digest(holders: Iterable[str]) -> bytes:
    """Return a digest by which dispatcher and holder compare their sets of holders."""
    return _digest(sorted(holders))


def _holders(key: bytes, listed: GatewayIds) -> GatewayIds:
    return tuple(rendezvous_order(key, listed)[:HOLDER_COUNT])


def _digest(names: Iterable[str]) -> bytes:
    return blake2b("\0".join(names).encode(), digest_size=8).digest()
