"""Decide which gateways hold a key and when this one may vote on it."""

from collections.abc import Iterable
from hashlib import blake2b

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.rendezvous import rendezvous_order

HOLDERS = 3

Listing = tuple[str, ...]


class HolderView:
    """Track the listed gateways and the lists that are not settled yet.

    A list is settled once every gateway on it has sent its records while it used the
    same list. Until then only keys are voted on that have the same holders in the last
    synchronized list and in every list since.
    """

    def __init__(
        self, own_id: str, listed: Iterable[str], clock: Clock, forgotten_for: float
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._forgotten_until = clock.monotonic() + forgotten_for
        self._leaving = False
        self._members: Listing = ()
        self._listed: Listing = ()
        # The last settled list and all since.
        self._since_settled: dict[Listing, None] = {}
        # What was granted before the start is forgotten.
        self._forgotten = True
        self._digest = b""
        self._generation = 0
        self.apply(listed)

    @property
    def listed(self) -> Listing:
        return self._listed

    @property
    def digest(self) -> bytes:
        return self._digest

    @property
    def generation(self) -> int:
        return self._generation

    @property
    def synchronized(self) -> bool:
        return not self._forgotten and len(self._since_settled) == 1

    def apply(self, members: Iterable[str]) -> None:
        """Use a new list of gateways."""
        self._members = tuple(sorted(members))
        listed = self._members
        if self._leaving and len(listed) > 1:
            listed = tuple(member for member in listed if member != self._own_id)
        if listed == self._listed:
            return
        self._listed = listed
        self._digest = _digest(listed)
        self._generation += 1
        self._since_settled[listed] = None

    def stop_voting(self) -> None:
        """Hold no key from now on, before a planned stop."""
        self._leaving = True
        self.apply(self._members)

    def confirm(self, generation: int) -> None:
        """Note that all gateways have sent their records for the current list."""
        if generation == self._generation:
            self._forgotten = False
            self._since_settled = {self._listed: None}

    def holders(self, key: bytes) -> Listing:
        """Return the holders of a key in the current list."""
        return _holders(key, self._listed)

    def may_vote(self, key: bytes, set_digest: bytes) -> bool:
        """Tell whether this gateway may grant a key to a claim at these holders."""
        if self._forgotten:
            # What was forgotten has expired everywhere.
            if self._clock.monotonic() < self._forgotten_until:
                return False
            self._forgotten = False
        holders = self.holders(key)
        return (
            self._own_id in holders
            and holder_set_digest(holders) == set_digest
            and all(
                set(_holders(key, listed)) == set(holders)
                for listed in self._since_settled
                if listed != self._listed
            )
        )


def holder_set_digest(holders: Iterable[str]) -> bytes:
    """Return a digest by which dispatcher and holder compare the set of holders."""
    return _digest(sorted(holders))


def _holders(key: bytes, listed: Listing) -> Listing:
    return tuple(rendezvous_order(key, listed)[:HOLDERS])


def _digest(names: Iterable[str]) -> bytes:
    return blake2b("\0".join(names).encode(), digest_size=8).digest()
