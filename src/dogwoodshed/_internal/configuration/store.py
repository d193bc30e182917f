"""Store the configuration in effect; only higher revisions replace it."""

import asyncio
from collections.abc import Callable, Mapping

from absl import logging

from dogwoodshed._internal.configuration.model import Configuration, Upstream
from dogwoodshed._internal.exceptions import ConfigurationError
from dogwoodshed._internal.metrics import Metrics

Listener = Callable[[Configuration], None]
# Takes a text, its revision and its source; raises ConfigurationError.
Loader = Callable[[str, int, str], Configuration]


def _load_text(text: str, revision: int, source: str) -> Configuration:
    # Imported late: the import takes a fifth of the start-up time, and gateways with a
    # loader of their own do not need it.
    from dogwoodshed._internal.configuration.schema import load_configuration

    return load_configuration(text, revision, source)


class ConfigurationStore:
    """Accept valid configurations with increasing revisions."""

    key = "configuration"

    def __init__(self, metrics: Metrics, load: Loader | None = None) -> None:
        self._load = load or _load_text
        self._metrics = metrics
        # The configuration as accepted, without discovered upstreams.
        self._accepted: Configuration | None = None
        self._current: Configuration | None = None
        self._discovered: dict[str, tuple[Upstream, ...]] = {}
        self._text = ""
        self._rejected_revision = 0
        self._rejection: ConfigurationError | None = None
        self._listeners: list[Listener] = []
        self._first_available = asyncio.Event()

    @property
    def current(self) -> Configuration | None:
        return self._current

    @property
    def text(self) -> str:
        return self._text

    @property
    def revision(self) -> int:
        return self._current.revision if self._current else 0

    @property
    def seen_revision(self) -> int:
        return max(self.revision, self._rejected_revision)

    @property
    def rejected_revision(self) -> int:
        return self._rejected_revision

    @property
    def rejection(self) -> ConfigurationError | None:
        return self._rejection

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with every configuration that comes into effect."""
        self._listeners.append(listener)

    async def wait_for_first(self, timeout: float) -> None:
        """Wait for the first configuration, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                await self._first_available.wait()
        except TimeoutError:
            self._metrics.increment("configuration.waited_in_vain")

    def offer(self, text: str, revision: int, source: str) -> bool:
        """Accept a text if its revision is higher and it is valid."""
        if revision <= self.seen_revision:
            self._count_ignored(text, revision)
            return False
        try:
            configuration = self._load(text, revision, source)
        except ConfigurationError as error:
            self._reject(revision, error)
            return False
        self._accepted = configuration
        self._text = text
        self._rejection = None
        self._metrics.increment("configuration.accepted")
        self._metrics.gauge("configuration.revision", revision)
        logging.info("configuration revision %d in effect, from %s", revision, source)
        self._update_current()
        return True

    def apply_discovered_upstreams(
        self, upstreams: Mapping[str, tuple[Upstream, ...]]
    ) -> None:
        """Replace the upstreams of the given names; other names keep theirs."""
        self._discovered.update(upstreams)
        self._update_current()

    def _update_current(self) -> None:
        if self._accepted is None:
            return
        configuration = self._accepted.with_discovered_upstreams(self._discovered)
        if configuration == self._current:
            return
        self._current = configuration
        self._first_available.set()
        for listener in self._listeners:
            listener(configuration)

    def _count_ignored(self, text: str, revision: int) -> None:
        if revision < self.revision:
            self._metrics.increment("configuration.stale")
        elif revision == self.revision and text != self._text:
            self._metrics.increment("configuration.conflict")

    def _reject(self, revision: int, error: ConfigurationError) -> None:
        self._rejected_revision = revision
        self._rejection = error
        self._metrics.increment("configuration.rejected")
        logging.warning("configuration revision %d rejected: %s", revision, error)
