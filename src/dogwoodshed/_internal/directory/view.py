"""Hold the directory data of this gateway and share it with the others."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.directory.follower import DirectoryFollower
from dogwoodshed._internal.directory.model import (
    NO_REVISION,
    ConfigurationText,
    DirectoryChanges,
    DirectoryRevision,
    UpstreamEntry,
)
from dogwoodshed._internal.directory.table import (
    RemovalTimes,
    UpstreamTable,
    UsableUpstream,
)
from dogwoodshed._internal.directory.validation import without_invalid_entries
from dogwoodshed._internal.directory.wire import (
    decode_entries,
    decode_removals,
    encode_entry,
    with_known_era,
)
from dogwoodshed._internal.exceptions import ConfigurationError
from dogwoodshed._internal.mesh.fleet_messages import (
    DirectoryEntry,
    DirectorySnapshot,
    GatewayUpdate,
)
from dogwoodshed._internal.metrics import Metrics

# A peer may have a later revision while updates are in transit. If this takes longer,
# some updates were lost.
GAP_TIMEOUT_S = 0.6
# The first data of a large fleet has hundreds of entries; more changes than this at
# once share one log line.
MAX_LOGGED_ENTRIES = 8


class DirectoryView:
    """Merge the directory data that this gateway reads with updates of its peers."""

    def __init__(
        self,
        store: ConfigurationStore,
        on_upstreams: Callable[[list[UsableUpstream]], None],
        publish: Callable[[], None],
        read_version: Callable[[str], int],
        clock: Clock,
        metrics: Metrics,
        *,
        entry_interval: float,
        peers_read: Callable[[], bool] = lambda: False,
    ) -> None:
        self._store = store
        self._on_upstreams = on_upstreams
        self._publish = publish
        self._read_version = read_version
        # Whether the peers that this gateway could tell of a change read it themselves.
        self._peers_read = peers_read
        self._clock = clock
        self._metrics = metrics
        self._table = UpstreamTable(entry_interval)
        self._configuration_text = ConfigurationText(0, "")
        self._follower: DirectoryFollower | None = None
        # Changes to announce in the next update.
        self._unannounced_entries: list[UpstreamEntry] = []
        self._text_unannounced = False
        self._announced_revision = NO_REVISION
        self._has_unannounced_revision = False
        # Whether to announce all entries, since a restore may have changed any of them.
        self._listing_unannounced = False
        self._expiry_timer: asyncio.TimerHandle | None = None
        # Revision up to which all changes are applied, latest revision of a peer, and
        # since when the peer is ahead.
        self._revision = NO_REVISION
        self._peer_revision = NO_REVISION
        self._behind_since: float | None = None
        self._loaded = asyncio.Event()

    @property
    def ready(self) -> bool:
        return self._store.current is not None and self._loaded.is_set()

    @property
    def failing(self) -> bool:
        """Return whether the last directory request of this gateway failed."""
        return self._follower.failing

    @property
    def revision(self) -> DirectoryRevision:
        return self._revision

    @property
    def _has_unannounced_changes(self) -> bool:
        return bool(
            self._has_unannounced_revision
            or self._unannounced_entries
            or self._text_unannounced
        )

    @property
    def has_gap(self) -> bool:
        """Return whether updates that peers have did not reach this gateway."""
        since = self._behind_since
        return since is not None and self._clock.monotonic() - since > GAP_TIMEOUT_S

    def attach(self, follower: DirectoryFollower) -> None:
        """Set the follower that reads the directory for this view."""
        self._follower = follower

    async def wait_ready(self) -> None:
        """Wait until configuration and upstreams are available."""
        await self._loaded.wait()
        ready = asyncio.Event()
        self._store.subscribe(lambda _: ready.set())
        if self._store.current is None:
            await ready.wait()

    def apply_changes(
        self, changes: DirectoryChanges, since: float | None = None
    ) -> None:
        """Apply changes that this gateway read itself, and that happened after `since`.

        Without a monotonic time `since`, they have just happened.
        """
        changes = without_invalid_entries(changes)
        now = self._clock.monotonic()
        self._table.record_directory_response(now)
        removals = RemovalTimes(now if since is None else since)
        announce = not self._peers_read()
        known = self._known_changes(changes, now)
        if changes.complete:
            self._listing_unannounced |= announce and self._is_restored(
                changes.revision
            )
            changed = self._table.apply_listing(
                changes.entries, changes.revision, now, removals
            )
        else:
            changed = self._table.apply(changes.entries, now, removals)
        if announce:
            self._announce_revision(changes.revision)
            self._unannounced_entries.extend(known.entries)
            self._text_unannounced |= known.configuration is not None
        else:
            self._advance_revision(changes.revision)
        self._apply(changed, changes.configuration, "directory", announce=announce)

    def _known_changes(self, changes: DirectoryChanges, now: float) -> DirectoryChanges:
        """Return the changes that this gateway has already, from updates after a gap.

        They are not new here, but its next update says that it contains them.
        """
        known = [
            entry
            for change in changes.entries
            if change.revision > self._revision
            and (entry := self._table.entry_of(change.id, now)) is not None
            and entry.revision >= change.revision
        ]
        text = changes.configuration
        is_known = (
            text is not None
            and text.version <= self._configuration_text.version
            and DirectoryRevision(changes.revision.era, text.number) > self._revision
        )
        return DirectoryChanges(
            changes.revision,
            tuple(known),
            self._configuration_text if is_known else None,
        )

    def record_failure(self) -> None:
        """Record that a directory request of this gateway failed."""
        now = self._clock.monotonic()
        self._table.record_directory_failure(now, now - self._follower.age)

    def apply_update(self, update: GatewayUpdate) -> None:
        """Apply the directory changes in the update of a peer."""
        revision = self._with_known_era(update.reached_revision)
        if revision.number:
            now = self._clock.monotonic()
            entries = decode_entries(update.entries, self._revision)
            removals = decode_removals(update.entries, now, now - self._follower.age)
            if update.complete:
                changed = self._table.apply_listing(entries, revision, now, removals)
            else:
                changed = self._table.apply(entries, now, removals)
            # If earlier updates are missing, this revision is not reached yet.
            since = self._with_known_era(update.starting_revision)
            if update.complete or since <= self._revision:
                self._advance_revision(revision)
            configuration = self._received_configuration(update)
            self._apply(changed, configuration, update.origin, announce=False)
        self.record_peer_progress(revision, update.directory_age_ms)

    def snapshot(self) -> DirectorySnapshot:
        """Return all directory data for a peer."""
        entries = self._table.entries(self._clock.monotonic())
        return DirectorySnapshot(
            self._encode(entries),
            self._configuration_text.number,
            self._configuration_text.text,
            configuration_version=self._configuration_text.version,
            **self.directory_progress(),
        )

    def apply_snapshot(self, snapshot: DirectorySnapshot, *, announce: bool) -> None:
        """Apply all directory data of a peer; announce new data if `announce`."""
        revision = self._with_known_era(snapshot.reached_revision)
        if not revision.number:
            return
        now = self._clock.monotonic()
        # An upstream that is not in the snapshot left before the peer was started.
        changed = self._table.apply_listing(
            decode_entries(snapshot.entries, self._revision),
            revision,
            now,
            decode_removals(snapshot.entries, now, now - self._follower.age),
        )
        if announce:
            self._listing_unannounced |= self._is_restored(revision)
            self._announce_revision(revision)
        else:
            self._advance_revision(revision)
        self._follower.record_peer_progress(revision, snapshot.directory_age_ms / 1e3)
        self._apply(
            changed,
            self._received_configuration(snapshot),
            "snapshot of a peer",
            announce=announce,
        )

    def compose_update(self) -> dict[str, Any] | None:
        """Return the fields of the next update, or None if nothing changed."""
        if not self._has_unannounced_changes:
            return None
        fields: dict[str, Any] = {}
        entries = self._unannounced_entries
        if self._listing_unannounced or (
            self._announced_revision.era < self._revision.era
        ):
            # Also changes from before a restore of which a peer has told meanwhile.
            entries = self._table.entries(self._clock.monotonic())
            fields["complete"] = True
            # A gateway that missed the update with it would see no gap any more.
            self._text_unannounced = bool(self._configuration_text.text)
        if entries:
            fields["entries"] = self._encode(entries)
        self._unannounced_entries = []
        self._listing_unannounced = False
        if self._text_unannounced:
            fields["configuration_revision"] = self._configuration_text.number
            fields["configuration"] = self._configuration_text.text
            fields["configuration_version"] = self._configuration_text.version
            self._text_unannounced = False
        self._has_unannounced_revision = False
        fields["since_revision"] = self._announced_revision.number
        fields["since_era"] = self._announced_revision.era
        return {**fields, **self.directory_progress()}

    def directory_progress(self) -> dict[str, int]:
        """Return revision and age of the directory data as message fields."""
        return {
            "directory_revision": self._revision.number,
            "directory_age_ms": round(self._follower.age * 1000),
            "directory_era": self._revision.era,
        }

    def record_peer_progress(self, revision: DirectoryRevision, age_ms: int) -> None:
        """Record the revision and age of the directory data of a peer."""
        revision = self._with_known_era(revision)
        if age_ms < 0 or not revision.number:
            return
        if revision <= self._revision:
            self._follower.record_peer_progress(revision, age_ms / 1000)
            return
        self._peer_revision = max(self._peer_revision, revision)
        if self._behind_since is None:
            self._behind_since = self._clock.monotonic()

    def _with_known_era(self, revision: DirectoryRevision) -> DirectoryRevision:
        return with_known_era(revision, self._revision)

    def _encode(self, entries: Iterable[UpstreamEntry]) -> tuple[DirectoryEntry, ...]:
        now = self._clock.monotonic()
        return tuple(
            encode_entry(entry, self._table.usable_for(entry.id, now))
            for entry in entries
        )

    def _received_configuration(
        self, message: GatewayUpdate | DirectorySnapshot
    ) -> ConfigurationText | None:
        """Return the configuration in a message, or None without a valid one."""
        if not message.configuration:
            return None
        version = message.configuration_version
        if not version:
            # From a gateway of an earlier release.
            try:
                version = self._read_version(message.configuration)
            except ConfigurationError as error:
                logging.warning("configuration of a peer ignored: %s", error)
                return None
        return ConfigurationText(
            version, message.configuration, message.configuration_revision
        )

    def _is_restored(self, revision: DirectoryRevision) -> bool:
        """Return whether a revision is the first one known after a restore."""
        return self._revision != NO_REVISION and revision.era > self._revision.era

    def _announce_revision(self, revision: DirectoryRevision) -> None:
        """Announce a revision in the next update, which starts at the current one."""
        if not self._has_unannounced_changes:
            self._announced_revision = self._revision
        self._has_unannounced_revision = (
            self._has_unannounced_revision or revision > self._revision
        )
        self._advance_revision(revision)

    def _advance_revision(self, revision: DirectoryRevision) -> None:
        if self._is_restored(revision):
            self._metrics.increment("directory.restored")
            logging.warning(
                "directory restored: revision %d of era %d follows %d of era %d",
                *reversed(revision),
                *reversed(self._revision),
            )
        self._revision = max(self._revision, revision)
        # An update of a peer that is behind as well does not close the gap.
        if self._revision >= self._peer_revision:
            self._behind_since = None

    def _apply(
        self,
        changed: tuple[UpstreamEntry, ...],
        configuration: ConfigurationText | None,
        source: str,
        *,
        announce: bool,
    ) -> None:
        if self._revision != NO_REVISION:
            self._loaded.set()
        if (
            configuration is not None
            and configuration.version > self._configuration_text.version
        ):
            self._configuration_text = configuration
            self._text_unannounced = self._text_unannounced or announce
            self._store.offer(configuration.text, configuration.version, source)
        if changed:
            if announce:
                self._unannounced_entries.extend(changed)
            self._metrics.increment("directory.entries", len(changed))
            if len(changed) > MAX_LOGGED_ENTRIES:
                logging.info("%d upstream entries from %s", len(changed), source)
            else:
                for entry in changed:
                    logging.info("upstream entry %s from %s", entry, source)
            self._apply_table()
        if announce:
            self._publish()

    def _apply_table(self) -> None:
        now = self._clock.monotonic()
        self._on_upstreams(self._table.usable(now))
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        expiry = self._table.next_expiry(now)
        if expiry is not None:
            loop = asyncio.get_running_loop()
            self._expiry_timer = loop.call_later(
                expiry - now + 0.001, self._apply_table
            )
