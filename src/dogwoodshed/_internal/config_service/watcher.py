"""Follow the platform within a budget of calls."""

from collections.abc import Sequence

from absl import logging
from mode import Service

from dogwoodshed._internal.config_service.base import PlatformClient, Snapshot
from dogwoodshed._internal.config_service.rate_limiter import PlatformRateLimiter
from dogwoodshed._internal.configuration.replicated_document import ReplicatedDocument
from dogwoodshed._internal.exceptions import PlatformError
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.settings import PlatformSettings


class PlatformWatcher(Service):
    """Keep one watch open and offer what it brings to the replicas."""

    mundane_level = "debug"

    def __init__(
        self,
        platform: PlatformClient,
        settings: PlatformSettings,
        replicas: Sequence[ReplicatedDocument],
        rate_limiter: PlatformRateLimiter,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._settings = settings
        self._replicas = tuple(replicas)
        self._rate_limiter = rate_limiter
        self._metrics = metrics
        self._reachable = True

    @property
    def reachable(self) -> bool:
        return self._reachable

    @Service.task
    async def _follow(self) -> None:
        index = 0
        failures = 0
        # A fleet that starts, or that a change woke, calls at the same moment.
        await self.sleep(self._rate_limiter.fleet_jitter())
        while not self.should_stop:
            await self.sleep(self._rate_limiter.reserve())
            try:
                self._metrics.increment("platform.calls")
                snapshot = await self._next(index)
            except PlatformError as error:
                if self.should_stop:
                    return
                failures += 1
                self._note_reachable(False, error)
                await self.sleep(self._rate_limiter.backoff(failures))
                continue
            failures = 0
            self._note_reachable(True, None)
            # An index that falls means that the service was restored from an older
            # state; the protocol asks readers to start again from zero.
            changed = snapshot.revision != index
            index = snapshot.revision if snapshot.revision >= index else 0
            self._offer(snapshot)
            if changed:
                await self.sleep(self._rate_limiter.fleet_jitter())

    async def _next(self, index: int) -> Snapshot:
        if index == 0:
            return await self._platform.read(self._settings.prefix)
        return await self._platform.watch(
            self._settings.prefix, index, self._rate_limiter.watch_wait()
        )

    def _offer(self, snapshot: Snapshot) -> None:
        for replica in self._replicas:
            value = snapshot.values.get(self._settings.prefix + replica.key)
            if value is not None:
                replica.offer(value.text, value.revision, "platform")

    def _note_reachable(self, reachable: bool, error: PlatformError | None) -> None:
        if reachable != self._reachable:
            if reachable:
                logging.info("platform reachable again")
            else:
                logging.warning("platform unreachable: %s", error)
        self._reachable = reachable
        self._metrics.gauge("platform.reachable", int(reachable))

    async def on_stop(self) -> None:
        """Close the connections to the platform."""
        await self._platform.close()
