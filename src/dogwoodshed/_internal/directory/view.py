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
from dogwoodshed._internal.mesh.messages import Entry, News, Table
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
        self._expiry: asyncio.TimerHandle | None = None
        # How far this gateway has applied changes, and since when a peer is ahead.
        self._revision = 0
        self._behind_since: float | None = None
        self._failing = False
        self._loaded = asyncio.Event()

    @property
    def ready(self) -> bool:
        return self._store.current is not None and self._loaded.is_set()

    @property
    def failing(self) -> bool:
        """Tell whether the directory did not answer this gateway's last call."""
        return self._follower.failing

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

    def take_changes(self, changes: DirectoryChanges) -> None:
        """Use what this gateway read itself."""
        now = self._clock.monotonic()
        if changes.complete:
            new = self._table.apply_listing(changes.entries, changes.revision, now)
        else:
            new = self._table.apply(changes.entries, now)
        self._note_revision(changes.revision)
        self._use(new, changes.configuration, "directory")

    def note_failure(self) -> None:
        """Note that the directory did not answer this gateway."""
        self._table.note_unstable(self._clock.monotonic())

    def take_news(self, news: News) -> None:
        """Use what a peer tells of the directory."""
        configuration = None
        if news.configuration_revision:
            configuration = ConfigurationText(
                news.configuration_revision, news.configuration
            )
        if news.entries or configuration:
            now = self._clock.monotonic()
            new = self._table.apply(map(_from_wire, news.entries), now)
            # The sender has told everything up to here in this or earlier news.
            self._note_revision(news.directory_revision)
            self._use(new, configuration, news.origin)
        if news.directory_age_ms >= 0:
            self._note_peer(news)

    def table(self) -> Table:
        """Return everything for a new peer."""
        revision, age_ms = self._progress()
        return Table(
            tuple(_to_wire(entry) for entry in self._table.entries),
            self._text.revision,
            self._text.text,
            revision,
            age_ms,
        )

    def take_table(self, table: Table) -> None:
        """Use everything that a peer knows."""
        if table.directory_revision == 0:
            return
        now = self._clock.monotonic()
        new = self._table.apply(map(_from_wire, table.entries), now)
        self._note_revision(table.directory_revision)
        self._follower.note_news(table.directory_revision, table.directory_age_ms / 1e3)
        self._use(
            new,
            ConfigurationText(table.configuration_revision, table.configuration),
            "a peer's table",
        )

    def compose(self, *, full: bool) -> dict[str, Any]:
        """Return the fields of the next news that the directory fills."""
        fields: dict[str, Any] = {}
        if self._changed:
            fields["entries"] = tuple(_to_wire(entry) for entry in self._changed)
            self._changed = []
        if self._text_changed:
            fields["configuration_revision"] = self._text.revision
            fields["configuration"] = self._text.text
            self._text_changed = False
        if fields or full or self._failing != self._follower.failing:
            self._failing = self._follower.failing
            revision, age_ms = self._progress()
            fields["directory_revision"] = revision
            fields["directory_age_ms"] = age_ms
        return fields

    def _progress(self) -> tuple[int, int]:
        return self._revision, round(self._follower.age * 1000)

    def _note_revision(self, revision: int) -> None:
        self._revision = max(self._revision, revision)

    def _note_peer(self, news: News) -> None:
        if news.directory_revision > self._revision:
            if self._behind_since is None:
                self._behind_since = self._clock.monotonic()
            return
        self._behind_since = None
        self._follower.note_news(news.directory_revision, news.directory_age_ms / 1e3)

    def _use(
        self,
        new: tuple[UpstreamEntry, ...],
        configuration: ConfigurationText | None,
        source: str,
    ) -> None:
        if self._revision:
            self._loaded.set()
        if configuration is not None and configuration.revision > self._text.revision:
            self._text = configuration
            self._text_changed = True
            self._store.offer(configuration.text, configuration.revision, source)
        if new:
            self._changed.extend(new)
            self._metrics.increment("directory.entries", len(new))
            for entry in new:
                logging.info("upstream entry %s from %s", entry, source)
            self._apply_table()
        if new or self._text_changed:
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


def _to_wire(entry: UpstreamEntry) -> Entry:
    return Entry(*entry)


def _from_wire(entry: Entry) -> UpstreamEntry:
    return UpstreamEntry(*entry)
