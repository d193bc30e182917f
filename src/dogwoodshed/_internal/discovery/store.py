"""Store the host list in effect; only higher revisions replace it."""

from collections.abc import Callable

from absl import logging

from dogwoodshed._internal.discovery.host_list import HostList, HostListReader
from dogwoodshed._internal.exceptions import ConfigurationError
from dogwoodshed._internal.metrics import Metrics

Listener = Callable[[HostList, int], None]


class HostListStore:
    """Accept lists with increasing revisions; reject invalid ones."""

    key = "hosts"

    def __init__(self, read: HostListReader, metrics: Metrics) -> None:
        self._read = read
        self._metrics = metrics
        self._revision = 0
        self._seen_revision = 0
        self._text = ""
        self._listeners: list[Listener] = []

    @property
    def revision(self) -> int:
        return self._revision

    @property
    def seen_revision(self) -> int:
        return self._seen_revision

    @property
    def text(self) -> str:
        return self._text

    def subscribe(self, listener: Listener) -> None:
        """Call a listener with every accepted list and its revision."""
        self._listeners.append(listener)

    def offer(self, text: str, revision: int, source: str) -> bool:
        """Accept a list if its revision is higher and it is valid."""
        if revision <= self._seen_revision:
            if revision < self._revision:
                self._metrics.increment("hosts.stale")
            return False
        self._seen_revision = revision
        try:
            hosts = self._read(text, source)
        except ConfigurationError as error:
            self._metrics.increment("hosts.rejected")
            logging.warning("host list revision %d rejected: %s", revision, error)
            return False
        self._revision = revision
        self._text = text
        self._metrics.increment("hosts.accepted")
        for listener in self._listeners:
            listener(hosts, revision)
        return True
