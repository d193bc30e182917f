"""Watch the configuration service within the rate limit."""

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
    """Keep one watch open and offer received values to the replicated documents."""

    mundane_level = "debug"

    def __init__(
        self,
        platform: PlatformClient,
        settings: PlatformSettings,
        documents: Sequence[ReplicatedDocument],
        rate_limiter: PlatformRateLimiter,
        metrics: Metrics,
    ) -> None:
        super().__init__()
        self._platform = platform
        self._settings = settings
        self._documents = tuple(documents)
        self._rate_limiter = rate_limiter
        self._metrics = metrics
        self._reachable = True

    @property
    def reachable(self) -> bool:
        return self._reachable

    @Service.task
    async def _run_watch(self) -> None:
        revision = 0
        failures = 0
        # All gateways call at the same moment when the fleet starts and after a change.
        await self.sleep(self._rate_limiter.fleet_jitter())
        while not self.should_stop:
            await self.sleep(self._rate_limiter.reserve())
            try:
                self._metrics.increment("platform.calls")
                snapshot = await self._fetch(revision)
            except PlatformError as error:
                if self.should_stop:
                    return
                failures += 1
                self._set_reachable(False, error)
                await self.sleep(self._rate_limiter.backoff(failures))
                continue
            failures = 0
            self._set_reachable(True, None)
            # A lower revision means that the service was restored from an older state.
            # The protocol requires readers to start again from zero.
            changed = snapshot.revision != revision
            revision = snapshot.revision if snapshot.revision >= revision else 0
            self._offer(snapshot)
            if changed:
                await self.sleep(self._rate_limiter.fleet_jitter())

    async def _fetch(self, revision: int) -> Snapshot:
        if revision == 0:
            return await self._platform.read(self._settings.prefix)
        return await self._platform.watch(
            self._settings.prefix, revision, self._rate_limiter.watch_wait()
        )

    def _offer(self, snapshot: Snapshot) -> None:
        for document in self._documents:
            value = snapshot.values.get(self._settings.prefix + document.key)
            if value is not None:
                document.offer(value.text, value.revision, "platform")

    def _set_reachable(self, reachable: bool, error: PlatformError | None) -> None:
        if reachable != self._reachable:
            if reachable:
                logging.info("configuration service is reachable again")
            else:
                logging.warning("configuration service is unreachable: %s", error)
        self._reachable = reachable
        self._metrics.gauge("platform.reachable", int(reachable))

    async def on_stop(self) -> None:
        """Close the connections to the platform."""
        await self._platform.close()
