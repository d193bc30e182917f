"""Follow a directory from as few gateways as the news stays fresh with."""

import random
from collections.abc import Callable

from absl import logging
from mode import Service

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.directory.model import Directory, DirectoryChanges
from dogwoodshed._internal.exceptions import HistoryLostError, PlatformError
from dogwoodshed._internal.metrics import Metrics

# Gateways of this rank and above read only when the others bring no fresh news. Two
# readers in two data centres outlast the loss of either without a gap.
PRIMARY_READERS = 2
# A watch that goes silent is noticed after this wait and its margin, within the 2 s
# in which a draining upstream must be left alone.
WATCH_WAIT_S = 0.8
# Changes come in series; one answer then brings several of them for one call.
COALESCE_S = 0.25
# Later than the longest age at which a working reader proves that it is up to date.
STALE_AFTER_S = 1.9
# Further gateways start to read one after the other, since one of them is enough.
STANDBY_STEP_S = 0.15
MOST_STANDBY_S = 1.0
STANDBY_FIRST_READ_S = 0.8
BACKOFF_FIRST_S = 0.1
BACKOFF_MOST_S = 0.5
STANDBY_BACKOFF_S = 2.0
TICK_S = 0.05

ChangesListener = Callable[[DirectoryChanges], None]


class DirectoryFollower(Service):
    """Read the directory while it is this gateway's turn."""

    mundane_level = "debug"

    def __init__(
        self,
        directory: Directory,
        rank: Callable[[], int],
        on_changes: ChangesListener,
        on_failure: Callable[[], None],
        on_reachable: Callable[[], None],
        clock: Clock,
        metrics: Metrics,
        *,
        first_read_after: float = 0.0,
    ) -> None:
        super().__init__()
        self._directory = directory
        self._rank = rank
        self._on_changes = on_changes
        self._on_failure = on_failure
        self._on_reachable = on_reachable
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        # Peers usually tell a starting gateway everything before this.
        self._started_at = clock.monotonic()
        self._first_read_after = first_read_after
        self._fresh_at = self._started_at
        self._revision = 0
        self._reachable = True

    @property
    def revision(self) -> int:
        return self._revision

    @property
    def failing(self) -> bool:
        """Tell whether the last call of this gateway failed."""
        return not self._reachable

    @property
    def age(self) -> float:
        """Return how old the newest proof is that the view is up to date."""
        return max(0.0, self._clock.monotonic() - self._fresh_at)

    def record_peer_progress(self, revision: int, age: float) -> None:
        """Take over how far and how freshly a peer has read."""
        self._revision = max(self._revision, revision)
        self._fresh_at = max(self._fresh_at, self._clock.monotonic() - age)

    @Service.task
    async def _follow(self) -> None:
        failures = 0
        while not self.should_stop:
            if not self._is_due():
                await self.sleep(TICK_S)
                continue
            try:
                changes = await self._next()
            except HistoryLostError:
                self._metrics.increment("directory.history_lost")
                logging.info("directory history lost; reading everything again")
                self._on_failure()
                self._revision = 0
                continue
            except PlatformError as error:
                failures += 1
                self._note_reachable(False, error)
                self._on_failure()
                await self.sleep(self._backoff(failures))
                continue
            failures = 0
            self._note_reachable(True, None)
            self._fresh_at = self._clock.monotonic()
            self._revision = changes.revision
            self._on_changes(changes)
            if changes.entries or changes.configuration:
                await self.sleep(COALESCE_S)

    def _is_due(self) -> bool:
        rank = self._rank()
        if self._revision == 0:
            # A whole fleet that starts must not read everything from every gateway.
            delay = self._first_read_after
            if rank >= PRIMARY_READERS:
                delay += STANDBY_FIRST_READ_S + rank * STANDBY_STEP_S
            return self._clock.monotonic() >= self._started_at + delay
        if rank < PRIMARY_READERS:
            return True
        delay = min(MOST_STANDBY_S, (rank - PRIMARY_READERS) * STANDBY_STEP_S)
        return self.age > STALE_AFTER_S + delay

    async def _next(self) -> DirectoryChanges:
        if self._revision == 0:
            return await self._directory.load()
        return await self._directory.watch(self._revision, WATCH_WAIT_S)

    def _backoff(self, failures: int) -> float:
        most = BACKOFF_MOST_S
        if self._rank() >= PRIMARY_READERS:
            most = STANDBY_BACKOFF_S
        delay = min(most, BACKOFF_FIRST_S * 2 ** min(failures, 16))
        return delay * self._random.uniform(0.5, 1)

    def _note_reachable(self, reachable: bool, error: PlatformError | None) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        self._on_reachable()
        self._metrics.gauge("directory.reachable", int(reachable))
        if reachable:
            logging.info("directory reachable again at revision %d", self._revision)
        else:
            logging.warning("directory unreachable: %s", error)

    async def on_stop(self) -> None:
        """Close the connections to the directory."""
        await self._directory.close()
