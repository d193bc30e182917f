"""Convert directory entries to and from the messages between gateways."""

from collections.abc import Iterable

from dogwoodshed._internal.directory.model import (
    UNKNOWN_ERA,
    DirectoryRevision,
    UpstreamEntry,
)
from dogwoodshed._internal.directory.table import ABSENCE_GRACE_S, RemovalTimes
from dogwoodshed._internal.mesh.fleet_messages import DirectoryEntry

# Fields of an entry that are the same in messages.
_SHARED_FIELDS = tuple(name for name in UpstreamEntry._fields if name != "revision")


def with_known_era(
    revision: DirectoryRevision, current: DirectoryRevision
) -> DirectoryRevision:
    """Return a received revision, in the current era if the sender knows none."""
    if revision.era == UNKNOWN_ERA:
        return revision._replace(era=current.era)
    return revision


def decode_entries(
    entries: Iterable[DirectoryEntry], current: DirectoryRevision
) -> tuple[UpstreamEntry, ...]:
    """Return the entries of a message."""
    return tuple(
        UpstreamEntry(
            revision=with_known_era(
                DirectoryRevision(entry.era, entry.revision), current
            ),
            **{name: getattr(entry, name) for name in _SHARED_FIELDS},
        )
        for entry in entries
    )


def encode_entry(entry: UpstreamEntry, usable_for: float | None) -> DirectoryEntry:
    """Return an entry as sent; a removed upstream is used for so many seconds."""
    return DirectoryEntry(
        revision=entry.revision.number,
        era=entry.revision.era,
        usable_ms=-1 if usable_for is None else round(usable_for * 1000),
        **{name: getattr(entry, name) for name in _SHARED_FIELDS},
    )


def decode_removals(
    entries: Iterable[DirectoryEntry], now: float, since: float
) -> RemovalTimes:
    """Return until when removed upstreams in a message are used.

    The data of this gateway was last known to be up to date at `since`, and did not
    contain the removals then. No gateway uses an upstream for longer than the grace.
    """
    return RemovalTimes(
        since,
        {
            entry.id: now + min(entry.usable_ms / 1000, ABSENCE_GRACE_S)
            for entry in entries
            if entry.usable_ms >= 0
        },
    )
