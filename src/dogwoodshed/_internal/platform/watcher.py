"""Follow the platform within a budget of calls."""

import asyncio
import random

from absl import logging
from mode import Service

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.exceptions import PlatformError
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.platform.base import Platform, Snapshot
from dogwoodshed._internal.settings import PlatformSettings

CONFIGURATION_KEY = "configuration"
BACKOFF_FIRST_S = 0.1
BACKOFF_MOST_S = 10.0


class PlatformWatcher(Service):
    """Keep one watch open and offer what it brings to the store."""

    mundane_level = "debug"

    def __init__(
        self,
        platform: Platform,
        settings: PlatformSettings,
        store: ConfigurationStore,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._settings = settings
        self._store = store
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random()
        self._reachable = True
        self.first_configuration = asyncio.Event()
        store.subscribe(lambda _: self.first_configuration.set())

    @property
    def reachable(self) -> bool:
        return self._reachable

    @Service.task
    async def _follow(self) -> None:
        index = 0
        failures = 0
        while not self.should_stop:
            try:
                self._metrics.increment("platform.calls")
                snapshot = await self._next(index)
            except PlatformError as error:
                failures += 1
                self._note_reachable(False, error)
                await self.sleep(self._backoff(failures))
                continue
            failures = 0
            self._note_reachable(True, None)
            # An index that falls means that the service was restored from an older
            # state; the protocol asks readers to start again from zero.
            index = snapshot.revision if snapshot.revision >= index else 0
            self._offer(snapshot)

    async def _next(self, index: int) -> Snapshot:
        if index == 0:
            return await self._platform.read(self._settings.prefix)
        return await self._platform.watch(
            self._settings.prefix, index, self._settings.watch_wait_s
        )

    def _offer(self, snapshot: Snapshot) -> None:
        value = snapshot.values.get(self._settings.prefix + CONFIGURATION_KEY)
        if value is not None:
            self._store.offer(value.text, value.revision, "platform")

    def _note_reachable(self, reachable: bool, error: PlatformError | None) -> None:
        if reachable != self._reachable:
            if reachable:
                logging.info("platform reachable again")
            else:
                logging.warning("platform unreachable: %s", error)
        self._reachable = reachable
        self._metrics.gauge("platform.reachable", int(reachable))

    def _backoff(self, failures: int) -> float:
        most = min(BACKOFF_MOST_S, BACKOFF_FIRST_S * 2**failures)
        return self._random.uniform(BACKOFF_FIRST_S, most)

    async def on_stop(self) -> None:
        """Close the connections to the platform."""
        await self._platform.close()
