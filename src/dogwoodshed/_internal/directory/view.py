"""Hold what this gateway knows of the directory and share it with the others."""

import asyncio
from collections.abc import Callable
from typing import Any

from absl import logging

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.directory.follower import DirectoryFollower
from dogwoodshed._internal.directory.model import (
    ConfigurationText,
    DirectoryChanges,
    UpstreamEntry,
)
from dogwoodshed._internal.directory.table import ListedUpstream, UpstreamTable
from dogwoodshed._internal.mesh.messages import (
    DirectoryEntry,
    DirectorySnapshot,
    GatewayUpdate,
)
from dogwoodshed._internal.metrics import Metrics

# A peer's news is ahead of this gateway's table for as long as changes are on the way;
# beyond this, some were lost.
GAP_AFTER_S = 0.6


class DirectoryView:
    """Merge own reads and peers' news, and tell what changed."""

    def __init__(
        self,
        store: ConfigurationStore,
        on_upstreams: Callable[[list[ListedUpstream]], None],
        publish: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._store = store
        self._on_upstreams = on_upstreams
        self._publish = publish
        self._clock = clock
        self._metrics = metrics
        self._table = UpstreamTable()
        self._text = ConfigurationText(0, "")
        self._follower: DirectoryFollower | None = None
        # What the next news tells.
        self._changed: list[UpstreamEntry] = []
        self._text_changed = False
        self._told_revision = 0
        self._untold = False
        self._expiry: asyncio.TimerHandle | None = None
        # How far this gateway has applied changes, and since when a peer is ahead.
        self._revision = 0
        self._ahead_revision = 0
        self._behind_since: float | None = None
        self._loaded = asyncio.Event()

    @property
    def ready(self) -> bool:
        return self._store.current is not None and self._loaded.is_set()

    @property
    def failing(self) -> bool:
        """Tell whether the directory did not answer this gateway's last call."""
        return self._follower.failing

    @property
    def revision(self) -> int:
        return self._revision

    @property
    def has_gap(self) -> bool:
        """Tell whether peers know changes that did not reach this gateway."""
        since = self._behind_since
        return since is not None and self._clock.monotonic() - since > GAP_AFTER_S

    def attach(self, follower: DirectoryFollower) -> None:
        """Set the reader whose freshness the news tell."""
        self._follower = follower

    async def wait_ready(self) -> None:
        """Wait until configuration and upstreams are known."""
        await self._loaded.wait()
        ready = asyncio.Event()
        self._store.subscribe(lambda _: ready.set())
        if self._store.current is None:
            await ready.wait()

    def apply_changes(self, changes: DirectoryChanges) -> None:
        """Use what this gateway read itself."""
        now = self._clock.monotonic()
        if changes.complete:
            new = self._table.apply_listing(changes.entries, changes.revision, now)
        else:
            new = self._table.apply(changes.entries, now)
        self._note_own_change(changes.revision)
        self._use(new, changes.configuration, "directory", announce=True)

    def record_failure(self) -> None:
        """Note that the directory did not answer this gateway."""
        self._table.note_unstable(self._clock.monotonic())

    def apply_update(self, news: GatewayUpdate) -> None:
        """Use what a peer tells of the directory."""
        configuration = None
        if news.configuration_revision:
            configuration = ConfigurationText(
                news.configuration_revision, news.configuration
            )
        if news.directory_revision:
            now = self._clock.monotonic()
            new = self._table.apply(map(_from_wire, news.entries), now)
            # With a gap before them, the news do not show that this gateway is as far.
            if news.since_revision <= self._revision:
                self._note_revision(news.directory_revision)
            self._use(new, configuration, news.origin, announce=False)
        self.record_peer_progress(news.directory_revision, news.directory_age_ms)

    def snapshot(self) -> DirectorySnapshot:
        """Return everything for a new peer."""
        return DirectorySnapshot(
            tuple(_to_wire(entry) for entry in self._table.entries),
            self._text.revision,
            self._text.text,
            **self.directory_progress(),
        )

    def apply_snapshot(self, snapshot: DirectorySnapshot, *, announce: bool) -> None:
        """Use everything that a peer knows, and tell what was new if asked to."""
        if snapshot.directory_revision == 0:
            return
        now = self._clock.monotonic()
        new = self._table.apply(map(_from_wire, snapshot.entries), now)
        if announce:
            self._note_own_change(snapshot.directory_revision)
        else:
            self._note_revision(snapshot.directory_revision)
        self._follower.record_peer_progress(
            snapshot.directory_revision, snapshot.directory_age_ms / 1e3
        )
        self._use(
            new,
            ConfigurationText(snapshot.configuration_revision, snapshot.configuration),
            "a peer's table",
            announce=announce,
        )

    def compose_update(self) -> dict[str, Any] | None:
        """Return the fields of the next news, or None without any."""
        fields: dict[str, Any] = {}
        if self._changed:
            fields["entries"] = tuple(_to_wire(entry) for entry in self._changed)
            self._changed = []
        if self._text_changed:
            fields["configuration_revision"] = self._text.revision
            fields["configuration"] = self._text.text
            self._text_changed = False
        if not fields and not self._untold:
            return None
        self._untold = False
        fields["since_revision"] = self._told_revision
        return {**fields, **self.directory_progress()}

    def directory_progress(self) -> dict[str, int]:
        """Return how far and how freshly the directory is known."""
        return {
            "directory_revision": self._revision,
            "directory_age_ms": round(self._follower.age * 1000),
        }

    def record_peer_progress(self, revision: int, age_ms: int) -> None:
        """Note how far and how freshly a peer knows the directory."""
        if age_ms < 0 or revision == 0:
            return
        if revision <= self._revision:
            self._follower.record_peer_progress(revision, age_ms / 1000)
            return
        self._ahead_revision = max(self._ahead_revision, revision)
        if self._behind_since is None:
            self._behind_since = self._clock.monotonic()

    def _note_own_change(self, revision: int) -> None:
        """Tell of a revision in the next news, which start at what is known so far."""
        if not (self._untold or self._changed or self._text_changed):
            self._told_revision = self._revision
        self._untold = self._untold or revision > self._revision
        self._note_revision(revision)

    def _note_revision(self, revision: int) -> None:
        self._revision = max(self._revision, revision)
        # News of a peer that is behind as well do not close the gap.
        if self._revision >= self._ahead_revision:
            self._behind_since = None

    def _use(
        self,
        new: tuple[UpstreamEntry, ...],
        configuration: ConfigurationText | None,
        source: str,
        *,
        announce: bool,
    ) -> None:
        if self._revision:
            self._loaded.set()
        if configuration is not None and configuration.revision > self._text.revision:
            self._text = configuration
            self._text_changed = self._text_changed or announce
            self._store.offer(configuration.text, configuration.revision, source)
        if new:
            if announce:
                self._changed.extend(new)
            self._metrics.increment("directory.entries", len(new))
            for entry in new:
                logging.info("upstream entry %s from %s", entry, source)
            self._apply_table()
        if announce:
            self._publish()

    def _apply_table(self) -> None:
        now = self._clock.monotonic()
        self._on_upstreams(self._table.usable(now))
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        expiry = self._table.next_expiry(now)
        if expiry is not None:
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(expiry - now + 0.001, self._apply_table)


def _to_wire(entry: UpstreamEntry) -> DirectoryEntry:
    return DirectoryEntry(*entry)


def _from_wire(entry: DirectoryEntry) -> UpstreamEntry:
    return UpstreamEntry(*entry)
