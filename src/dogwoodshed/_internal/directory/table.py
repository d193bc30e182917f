"""Merge upstream entries from several sources."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dogwoodshed._internal.directory.model import (
    NO_REVISION,
    DirectoryRevision,
    UpstreamEntry,
)

# An upstream is used for this long after its entry was removed, since an entry may
# expire during an outage of the directory and return. The users require that a removed
# upstream gets no new calls after 2 s. It counts from the earliest time at which the
# entry may have been removed: the time until a gateway learns of it comes out of it.
ABSENCE_GRACE_S = 1.2
# According to the users, expired entries return within about 2 s of the end of an
# outage of the directory.
RETURN_GRACE_S = 2.2
# A directory that did not respond for a shorter time was not away: a watch that is cut
# and the next read take up to 1 s, one that times out takes longer. Entries expire
# after some seconds without a write.
MIN_OUTAGE_S = 1.2
# Upstreams write their entries again after a restore, and an entry that is not written
# for three intervals is removed. After one more interval, an upstream that is still
# listed is available, whatever was known of it before the restore.
RESTORED_ENTRY_INTERVALS = 4
# So many removed entries are kept, so that an outdated update cannot restore them.
MAX_REMOVED_ENTRIES = 5_000


class UsableUpstream(NamedTuple):
    """An upstream that may get calls."""

    entry: UpstreamEntry
    # Whether its entry was removed; the upstream is then used only for a short time.
    absent: bool
    # Monotonic time until which the upstream is slow after its start.
    cold_until: float


class RemovalTimes(NamedTuple):
    """Monotonic times that bound the use of removed upstreams."""

    # Entries were removed after this; the data was known to be up to date then.
    since: float
    # Ends of the use of upstreams by id, as the gateway decided that read the removal.
    absent_until: Mapping[str, float] = {}

    def end_of_use(self, upstream_id: str) -> float:
        """Return until when a removed upstream is used."""
        return self.absent_until.get(upstream_id, self.since + ABSENCE_GRACE_S)


class _Row:
    __slots__ = (
        "absent_since",
        "absent_until",
        "cold_until",
        "earlier_revision",
        "entry",
        "era_since",
        "last_listed",
    )

    def __init__(self, entry: UpstreamEntry, now: float) -> None:
        self.entry = entry
        self.last_listed = entry if entry.listed else None
        self.absent_since: float | None = None if entry.listed else now
        # Earliest end of the use of an absent upstream.
        self.absent_until = now
        self.cold_until = now + entry.cold_ms / 1000
        # When the first entry of its era was applied, and the last revision before it.
        self.era_since = now
        self.earlier_revision = NO_REVISION


class UpstreamTable:
    """Keep the latest entry of each upstream, in whatever order updates arrive."""

    def __init__(self, entry_interval: float) -> None:
        self._restore_hold = RESTORED_ENTRY_INTERVALS * entry_interval
        self._rows: dict[str, _Row] = {}
        # Ids of the rows with a removed entry, the earliest removal first.
        self._removed_ids: dict[str, None] = {}
        self._outage_since = float("-inf")
        self._outage_grace_until = float("-inf")
        # Since the first of the failures after the last response: when the data was
        # last known to be up to date.
        self._failing_since: float | None = None
        # Up to this revision, an upstream without a row has been removed.
        self._complete_revision = NO_REVISION

    def entries(self, now: float) -> tuple[UpstreamEntry, ...]:
        """Return the latest entry of each upstream."""
        return tuple(self._current_entry(row, now) for row in self._rows.values())

    def entry_of(self, upstream_id: str, now: float) -> UpstreamEntry | None:
        """Return the latest entry of an upstream, None if it is not known."""
        row = self._rows.get(upstream_id)
        return None if row is None else self._current_entry(row, now)

    def record_directory_failure(
        self, now: float, current_at: float = float("-inf")
    ) -> None:
        """Record a failed directory request, after which entries may have expired.

        The directory was not away at `current_at`, the time at which the data was last
        known to be up to date.
        """
        if self._failing_since is None:
            self._failing_since = current_at
        # Peers may have read the directory meanwhile.
        self._failing_since = max(self._failing_since, current_at)
        self._record_outage(now)

    def record_directory_response(self, now: float) -> None:
        """Record that the directory responds, also after failures."""
        if self._failing_since is not None:
            self._record_outage(now)
            self._failing_since = None

    def _record_outage(self, now: float) -> None:
        if now - self._failing_since < MIN_OUTAGE_S:
            return
        if now >= self._outage_grace_until:
            self._outage_since = now
        self._outage_grace_until = now + RETURN_GRACE_S

    def apply(
        self,
        entries: Iterable[UpstreamEntry],
        now: float,
        removals: RemovalTimes | None = None,
    ) -> tuple[UpstreamEntry, ...]:
        """Apply entries and return those that changed, as they are known now.

        Without `removals`, removed entries were removed just now.
        """
        removals = removals or RemovalTimes(now)
        merged = [self._merge(entry, now, removals) for entry in entries]
        return tuple(entry for entry in merged if entry is not None)

    def apply_listing(
        self,
        entries: tuple[UpstreamEntry, ...],
        revision: DirectoryRevision,
        now: float,
        removals: RemovalTimes | None = None,
    ) -> tuple[UpstreamEntry, ...]:
        """Apply a complete listing and return the entries that changed."""
        present = {entry.id for entry in entries}
        # Moves removals of earlier eras to this one as well.
        removed = [
            UpstreamEntry(entry.id, revision, listed=False)
            for entry in self.entries(now)
            if entry.id not in present
            and entry.revision <= revision
            and (entry.listed or entry.revision.era < revision.era)
        ]
        changed = self.apply([*entries, *removed], now, removals)
        self._complete_revision = max(self._complete_revision, revision)
        return changed

    def usable(self, now: float) -> list[UsableUpstream]:
        """Return the upstreams that may get calls now."""
        upstreams = []
        for row in self._rows.values():
            entry = row.last_listed
            if entry is None or entry.draining or now < self._held_until(row):
                continue
            absent = row.absent_since is not None
            if absent and now >= self._absent_until(row):
                continue
            upstreams.append(UsableUpstream(entry, absent, row.cold_until))
        return upstreams

    def usable_for(self, upstream_id: str, now: float) -> float | None:
        """Return the seconds for which a removed upstream is used, None if listed."""
        row = self._rows.get(upstream_id)
        if row is None or row.absent_since is None:
            return None
        return max(0.0, self._absent_until(row) - now)

    def next_expiry(self, now: float) -> float | None:
        """Return when time alone next changes which upstreams are usable."""
        expiries = []
        for row in self._rows.values():
            if row.last_listed is None:
                continue
            if row.absent_since is not None:
                expiries.append(self._absent_until(row))
            expiries.append(self._held_until(row))
        return min((expiry for expiry in expiries if expiry > now), default=None)

    def _absent_until(self, row: _Row) -> float:
        if self._outage_since <= row.absent_since < self._outage_grace_until:
            return max(
                row.absent_until,
                min(
                    self._outage_grace_until,
                    row.absent_since + ABSENCE_GRACE_S + RETURN_GRACE_S,
                ),
            )
        return row.absent_until

    def _held_until(self, row: _Row) -> float:
        """Return until when an upstream may be listed only because of a restore."""
        if row.entry.left_before_restore:
            return row.era_since + self._restore_hold
        return float("-inf")

    def _merge(
        self, entry: UpstreamEntry, now: float, removals: RemovalTimes
    ) -> UpstreamEntry | None:
        """Merge an entry and return the result, or None if nothing changed."""
        row = self._rows.get(entry.id)
        if row is None and entry.revision <= self._complete_revision:
            # A peer that is behind does not know yet that the upstream has left.
            self._record_unlisted_leaving(entry, now)
            return None
        if row is None:
            self._rows[entry.id] = _Row(entry, now)
            self._record_removal(entry)
            return entry
        known = row.entry
        if entry.revision > known.revision:
            merged = self._with_leaving(entry, row, now)
            row.entry = merged
            self._update_row(row, merged, known, now, removals)
            # Another writer may renew an entry that names no upstream again and again.
            return None if _is_same_removal(known, merged) else merged
        if entry.revision <= row.earlier_revision:
            return None
        merged = _add_leaving(known, entry, has_left=_is_leaving(entry))
        if merged == known:
            return None
        row.entry = merged
        if merged.listed:
            row.last_listed = merged
        return merged

    def _record_unlisted_leaving(self, entry: UpstreamEntry, now: float) -> None:
        """Record that an upstream left that the copy of the directory lacks.

        Its entry may return as it was before it left.
        """
        is_earlier = entry.revision.era < self._complete_revision.era
        if entry.left_before_restore or (is_earlier and _is_leaving(entry)):
            removal = UpstreamEntry(
                entry.id,
                self._complete_revision,
                listed=False,
                started_ms=entry.started_ms,
                left_before_restore=True,
            )
            self._rows[entry.id] = _Row(removal, now)
            self._record_removal(removal)

    def _with_leaving(
        self, entry: UpstreamEntry, row: _Row, now: float
    ) -> UpstreamEntry:
        """Return a later entry with what is known of an earlier one in its row."""
        known = self._current_entry(row, now)
        if (
            entry.revision.era > known.revision.era
            and entry.started_ms < known.started_ms
        ):
            # The copy lists an older run, which has ended, and lacks this one.
            entry = UpstreamEntry(entry.id, entry.revision, listed=False)
        return _add_leaving(entry, known, has_left=self._has_left(row, now))

    def _has_left(self, row: _Row, now: float) -> bool:
        """Return whether an upstream is known to have drained or left."""
        if row.last_listed is not None and row.last_listed.draining:
            return True
        if row.absent_since is None:
            return False
        # With a longer grace, its entry may have expired in an outage, or the copy of
        # an earlier restore lacked it.
        until = self._absent_until(row)
        return now >= until or until <= row.absent_since + ABSENCE_GRACE_S

    def _current_entry(self, row: _Row, now: float) -> UpstreamEntry:
        """Return the entry of a row, without a mark that has no effect any more."""
        entry = row.entry
        if entry.left_before_restore and now >= self._held_until(row):
            return entry._replace(left_before_restore=False)
        return entry

    def _update_row(
        self,
        row: _Row,
        entry: UpstreamEntry,
        previous: UpstreamEntry,
        now: float,
        removals: RemovalTimes,
    ) -> None:
        """Update a row for an entry with a later revision than the previous one."""
        is_restored = entry.revision.era > previous.revision.era
        if is_restored:
            row.era_since = now
            row.earlier_revision = previous.revision
        if entry.listed:
            row.last_listed = entry
            row.absent_since = None
            self._removed_ids.pop(entry.id, None)
            if not (is_restored and entry.started_ms == previous.started_ms):
                row.cold_until = now + entry.cold_ms / 1000
        elif row.absent_since is None:
            row.absent_since = now
            row.absent_until = removals.end_of_use(entry.id)
            if is_restored:
                # The copy may be older than the entry of a live upstream.
                row.absent_until = now + RETURN_GRACE_S
            self._record_removal(entry)

    def _record_removal(self, entry: UpstreamEntry) -> None:
        """Record that an entry was removed, and forget the earliest removal."""
        if entry.listed:
            return
        self._removed_ids[entry.id] = None
        if len(self._removed_ids) > MAX_REMOVED_ENTRIES:
            earliest = next(iter(self._removed_ids))
            del self._removed_ids[earliest], self._rows[earliest]


def _is_same_removal(known: UpstreamEntry, later: UpstreamEntry) -> bool:
    """Return whether a later entry only says once more that an upstream is gone."""
    return (
        not (known.listed or later.listed)
        and later.revision.era == known.revision.era
        and later.started_ms == known.started_ms
        and later.left_before_restore == known.left_before_restore
    )


def _is_leaving(entry: UpstreamEntry) -> bool:
    return entry.draining or not entry.listed


def _add_leaving(
    later: UpstreamEntry, earlier: UpstreamEntry, *, has_left: bool
) -> UpstreamEntry:
    """Return the later of two entries with what the earlier one adds to it.

    Within an era the later entry replaces the earlier one. The copy of a restored
    directory is older than what was known before, although its era is later.
    """
    if not later.listed and not later.started_ms:
        later = later._replace(started_ms=earlier.started_ms)
    # Of some removed entries the start is not known.
    same_run = earlier.started_ms in (0, later.started_ms)
    left = same_run and earlier.left_before_restore
    if earlier.revision.era < later.revision.era:
        left = left or (same_run and has_left) or earlier.started_ms > later.started_ms
    return later._replace(left_before_restore=later.left_before_restore or left)
