"""Follow a directory from as few gateways as are needed to keep the data current."""

import asyncio
import random
from collections.abc import Callable

from absl import logging
from mode import Service

from dogwoodshed._internal.background import log_unexpected_errors
from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.directory.model import (
    NO_REVISION,
    PRIMARY_READERS,
    Directory,
    DirectoryChanges,
    DirectoryRevision,
)
from dogwoodshed._internal.exceptions import HistoryLostError, PlatformError
from dogwoodshed._internal.metrics import Metrics

# A watch without a response times out after this wait and the margin of the directory
# client, within the 2 s after which a draining upstream must get no new calls.
WATCH_WAIT_S = 0.8
# After a failure, a watch that hardly waits shows whether the directory responds.
CHECK_WAIT_S = 0.05
# Changes come in bursts; after this delay one response contains several of them.
COALESCE_DELAY_S = 0.25
# Longer than the age that data reaches while a reader works.
STALE_AFTER_S = 1.9
# Standby gateways start to read one after the other, since one is enough.
STANDBY_STAGGER_S = 0.15
MAX_STANDBY_DELAY_S = 1.0
STANDBY_FIRST_READ_DELAY_S = 0.8
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 0.5
STANDBY_BACKOFF_MAX_S = 2.0
POLL_INTERVAL_S = 0.05
# A watch that waits is answered within this time after a change; one that is answered
# sooner after it was sent may report a change from before that.
PROMPT_RESPONSE_S = 0.1

# Takes changes and the monotonic time after which they happened.
ChangesListener = Callable[[DirectoryChanges, float], None]


class DirectoryFollower(Service):
    """Read the directory while this gateway is among its readers."""

    mundane_level = "debug"

    def __init__(
        self,
        directory: Directory,
        reader_rank: Callable[[], int],
        on_changes: ChangesListener,
        on_failure: Callable[[], None],
        on_reachable_change: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
        *,
        first_read_after: float = 0.0,
        is_source_silent: Callable[[], bool] = lambda: False,
    ) -> None:
        super().__init__()
        self._directory = directory
        self._reader_rank = reader_rank
        self._on_changes = on_changes
        self._on_failure = on_failure
        self._on_reachable_change = on_reachable_change
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        # A starting gateway usually gets all data from its peers before the first read.
        self._started_at = clock.monotonic()
        self._first_read_after = first_read_after
        # Whether the gateways from which this one gets changes have become silent.
        self._is_source_silent = is_source_silent
        self._current_at = self._started_at
        self._revision = NO_REVISION
        # The last revision whose history was lost.
        self._lost_revision = NO_REVISION
        self._reachable = True
        # Consecutive reads that failed.
        self._failures = 0

    @property
    def revision(self) -> DirectoryRevision:
        return self._revision

    @property
    def failing(self) -> bool:
        """Return whether the last request of this gateway failed."""
        return not self._reachable

    @property
    def age(self) -> float:
        """Return the seconds since the data was last known to be up to date."""
        return max(0.0, self._clock.monotonic() - self._current_at)

    def record_peer_progress(self, revision: DirectoryRevision, age: float) -> None:
        """Record the revision and age of the directory data of a peer."""
        if revision.era < self._revision.era or revision <= self._lost_revision:
            # The peer has not seen the restore, or watches cannot start from there.
            return
        self._revision = max(self._revision, revision)
        self._current_at = max(self._current_at, self._clock.monotonic() - age)

    @Service.task
    async def _follow(self) -> None:
        while not self.should_stop:
            if not self._is_read_due():
                await asyncio.sleep(POLL_INTERVAL_S)
                continue
            # Stays above 0 if the read ends with an unexpected error.
            self._failures += 1
            with log_unexpected_errors("directory", self._metrics):
                await self._read_once()
            if self._failures:
                await self.sleep(self._backoff(self._failures))

    async def _read_once(self) -> None:
        """Read and apply changes; reset the count of failures if that succeeds."""
        revision = self._revision
        sent_at = self._clock.monotonic()
        try:
            changes = await self._read()
        except HistoryLostError as error:
            self._metrics.increment("directory.history_lost")
            logging.info(
                "directory history lost after revision %d of era %d; "
                "reading the complete directory: %s",
                revision.number,
                revision.era,
                error,
            )
            self._on_failure()
            # Peers may have provided later data meanwhile.
            self._lost_revision = revision
            if self._revision == revision:
                self._revision = NO_REVISION
            self._failures = 0
            return
        except PlatformError as error:
            self._set_reachable(False, error)
            self._on_failure()
            return
        self._set_reachable(True, None)
        since = self._changed_since(sent_at, changes)
        self._current_at = self._clock.monotonic()
        self._revision = max(self._revision, changes.revision)
        self._on_changes(changes, since)
        self._failures = 0
        if changes.entries or changes.configuration:
            await self.sleep(COALESCE_DELAY_S)

    def _changed_since(self, sent_at: float, changes: DirectoryChanges) -> float:
        """Return the time after which the changes in a response happened."""
        now = self._clock.monotonic()
        waited = not changes.complete and now - sent_at >= PROMPT_RESPONSE_S
        return now - PROMPT_RESPONSE_S if waited else self._current_at

    def _is_read_due(self) -> bool:
        reader_rank = self._reader_rank()
        if self._revision == NO_REVISION:
            # When a whole fleet starts, only the first readers should load all data.
            delay = self._first_read_after
            if reader_rank >= PRIMARY_READERS:
                delay += STANDBY_FIRST_READ_DELAY_S + reader_rank * STANDBY_STAGGER_S
            return self._clock.monotonic() >= self._started_at + delay
        if reader_rank < PRIMARY_READERS or self._is_source_silent():
            return True
        delay = min(
            MAX_STANDBY_DELAY_S, (reader_rank - PRIMARY_READERS) * STANDBY_STAGGER_S
        )
        return self.age > STALE_AFTER_S + delay

    async def _read(self) -> DirectoryChanges:
        if self._revision == NO_REVISION:
            return await self._directory.load()
        # This read counts as a failure until it has succeeded.
        wait = WATCH_WAIT_S if self._failures <= 1 else CHECK_WAIT_S
        return await self._directory.watch(self._revision, wait)

    def _backoff(self, failures: int) -> float:
        max_delay = BACKOFF_MAX_S
        if self._reader_rank() >= PRIMARY_READERS:
            max_delay = STANDBY_BACKOFF_MAX_S
        delay = min(max_delay, BACKOFF_MIN_S * 2 ** min(failures, 16))
        return delay * self._random.uniform(0.5, 1)

    def _set_reachable(self, reachable: bool, error: PlatformError | None) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        self._on_reachable_change()
        self._metrics.gauge("directory.reachable", int(reachable))
        if reachable:
            logging.info(
                "directory reachable again at revision %d of era %d",
                self._revision.number,
                self._revision.era,
            )
        else:
            logging.warning("directory unreachable: %s", error)

    async def on_stop(self) -> None:
        """Close the connections to the directory."""
        await self._directory.close()
