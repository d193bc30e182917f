"""Merge what several sources tell of the upstreams."""

from collections.abc import Iterable
from typing import NamedTuple

from dogwoodshed._internal.directory.model import UpstreamEntry

# An upstream whose entry vanished is used for this long, because an entry may lapse
# while the directory is away and return. The users' bound on new work is 2 s.
ABSENCE_GRACE_S = 1.2
# The users say that lapsed entries are back within about 2 s of the directory's return.
RETURN_GRACE_S = 2.2
# Removals are kept so that older news cannot bring an entry back.
REMEMBER_REMOVALS = 5_000


class ListedUpstream(NamedTuple):
    """An upstream that may get work."""

    entry: UpstreamEntry
    # Whether its entry vanished; it is then used only for a short time.
    absent: bool
    # Monotonic seconds up to which the upstream is slow after its start.
    cold_until: float


class _Row:
    __slots__ = ("absent_since", "cold_until", "entry", "last_listed")

    def __init__(self, entry: UpstreamEntry, now: float) -> None:
        self.entry = entry
        self.last_listed = entry if entry.listed else None
        self.absent_since: float | None = None if entry.listed else now
        self.cold_until = now + entry.cold_ms / 1000


class UpstreamTable:
    """Keep the newest entry of each upstream, whatever the order of the news."""

    def __init__(self) -> None:
        self._rows: dict[str, _Row] = {}
        self._unstable_until = float("-inf")

    @property
    def entries(self) -> tuple[UpstreamEntry, ...]:
        return tuple(row.entry for row in self._rows.values())

    def note_unstable(self, now: float) -> None:
        """Note that the directory failed to answer, so that entries may lapse."""
        self._unstable_until = now + RETURN_GRACE_S

    def apply(
        self, entries: Iterable[UpstreamEntry], now: float
    ) -> tuple[UpstreamEntry, ...]:
        """Take over newer entries and return them."""
        return tuple(entry for entry in entries if self._take(entry, now))

    def apply_listing(
        self, entries: tuple[UpstreamEntry, ...], revision: int, now: float
    ) -> tuple[UpstreamEntry, ...]:
        """Take over a whole listing and return what is new."""
        listed = {entry.id for entry in entries}
        removed = [
            UpstreamEntry(entry.id, revision, listed=False)
            for entry in self.entries
            if entry.listed and entry.id not in listed and entry.revision <= revision
        ]
        return self.apply([*entries, *removed], now)

    def usable(self, now: float) -> list[ListedUpstream]:
        """Return the upstreams that may get work now."""
        found = []
        for row in self._rows.values():
            entry = row.last_listed
            if entry is None or entry.draining:
                continue
            absent = row.absent_since is not None
            if absent and now >= self._absent_until(row):
                continue
            found.append(ListedUpstream(entry, absent, row.cold_until))
        return found

    def next_expiry(self, now: float) -> float | None:
        """Return when the next vanished upstream stops being usable."""
        ends = [
            until
            for row in self._rows.values()
            if row.absent_since is not None
            and row.last_listed is not None
            and (until := self._absent_until(row)) > now
        ]
        return min(ends, default=None)

    def _absent_until(self, row: _Row) -> float:
        plain = row.absent_since + ABSENCE_GRACE_S
        if row.absent_since < self._unstable_until:
            return max(plain, min(self._unstable_until, plain + RETURN_GRACE_S))
        return plain

    def _take(self, entry: UpstreamEntry, now: float) -> bool:
        row = self._rows.get(entry.id)
        if row is None:
            self._rows[entry.id] = _Row(entry, now)
            self._forget_old()
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

    def _forget_old(self) -> None:
        if len(self._rows) <= REMEMBER_REMOVALS:
            return
        for upstream_id, row in list(self._rows.items()):
            if not row.entry.listed:
                del self._rows[upstream_id]
                return
