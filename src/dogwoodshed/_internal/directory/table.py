"""Merge upstream entries from several sources."""

from collections.abc import Iterable
from typing import NamedTuple

from dogwoodshed._internal.directory.model import UpstreamEntry

# An upstream is used for this long after its entry was removed, since an entry may
# expire during an outage of the directory and return. The users require that a removed
# upstream gets no new calls after 2 s.
ABSENCE_GRACE_S = 1.2
# According to the users, expired entries return within about 2 s of the end of an
# outage of the directory.
RETURN_GRACE_S = 2.2
# Removed entries are kept up to this table size, so that an outdated update cannot
# restore them.
MAX_ROWS_WITH_REMOVALS = 5_000


class UsableUpstream(NamedTuple):
    """An upstream that may get calls."""

    entry: UpstreamEntry
    # Whether its entry was removed; the upstream is then used only for a short time.
    absent: bool
    # Monotonic time until which the upstream is slow after its start.
    cold_until: float


class _Row:
    __slots__ = ("absent_since", "cold_until", "entry", "last_listed")

    def __init__(self, entry: UpstreamEntry, now: float) -> None:
        self.entry = entry
        self.last_listed = entry if entry.listed else None
        self.absent_since: float | None = None if entry.listed else now
        self.cold_until = now + entry.cold_ms / 1000


class UpstreamTable:
    """Keep the latest entry of each upstream, in whatever order updates arrive."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        self._outage_grace_until = float("-inf")
        # Up to this revision, an upstream without a row has been removed.
        self._complete_revision = 0

    @property
    def entries(self) -> tuple[UpstreamEntry, ...]:
        return tuple(row.entry for row in self._rows.values())

    def record_directory_failure(self, now: float) -> None:
        """Record a failed directory request, after which entries may expire."""
        self._outage_grace_until = now + RETURN_GRACE_S

    def apply(
        self, entries: Iterable[UpstreamEntry], now: float
    ) -> tuple[UpstreamEntry, ...]:
        """Apply newer entries and return them."""
        return tuple(entry for entry in entries if self._merge(entry, now))

    def apply_listing(
        self, entries: tuple[UpstreamEntry, ...], revision: int, now: float
    ) -> tuple[UpstreamEntry, ...]:
        """Apply a complete listing and return the entries that changed."""
        listed = {entry.id for entry in entries}
        removed = [
            UpstreamEntry(entry.id, revision, listed=False)
            for entry in self.entries
            if entry.listed and entry.id not in listed and entry.revision <= revision
        ]
        changed = self.apply([*entries, *removed], now)
        self._complete_revision = max(self._complete_revision, revision)
        return changed

    def usable(self, now: float) -> list[UsableUpstream]:
        """Return the upstreams that may get calls now."""
        upstreams = []
        for row in self._rows.values():
            entry = row.last_listed
            if entry is None or entry.draining:
                continue
            absent = row.absent_since is not None
            if absent and now >= self._absent_until(row):
                continue
            upstreams.append(UsableUpstream(entry, absent, row.cold_until))
        return upstreams

    def next_expiry(self, now: float) -> float | None:
        """Return when the next upstream with a removed entry becomes unusable."""
        expiries = [
            until
            for row in self._rows.values()
            if row.absent_since is not None
            and row.last_listed is not None
            and (until := self._absent_until(row)) > now
        ]
        return min(expiries, default=None)

    def _absent_until(self, row: _Row) -> float:
        normal_end = row.absent_since + ABSENCE_GRACE_S
        if row.absent_since < self._outage_grace_until:
            return max(
                normal_end, min(self._outage_grace_until, normal_end + RETURN_GRACE_S)
            )
        return normal_end

    def _merge(self, entry: UpstreamEntry, now: float) -> bool:
        row = self._rows.get(entry.id)
        if row is None and entry.revision <= self._complete_revision:
            # A peer that is behind does not know yet that the upstream has left.
            return False
        if row is None:
            self._rows[entry.id] = _Row(entry, now)
            self._drop_old_removal()
            return True
        if entry.revision <= row.entry.revision:
            return False
        row.entry = entry
        if entry.listed:
            row.last_listed = entry
            row.absent_since = None
            row.cold_until = now + entry.cold_ms / 1000
        elif row.absent_since is None:
            row.absent_since = now
        return True

    def _drop_old_removal(self) -> None:
        if len(self._rows) <= MAX_ROWS_WITH_REMOVALS:
            return
        for upstream_id, row in list(self._rows.items()):
            if not row.entry.listed:
                del self._rows[upstream_id]
                return
