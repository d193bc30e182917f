"""Data that a directory publishes, and the interface of directory clients."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from dogwoodshed._internal.configuration.model import Configuration


class UpstreamEntry(NamedTuple):
    """The directory entry of an upstream, or its removal."""

    id: str
    # Directory revision of the last change; orders the changes of this upstream.
    revision: int
    # False if the entry was removed; the other fields are then empty.
    listed: bool = True
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 1
    draining: bool = False
    # Start time in Unix milliseconds; distinguishes two runs with the same id.
    started_ms: int = 0
    # Remaining time during which the upstream is slow after its start.
    cold_ms: int = 0


class ConfigurationText(NamedTuple):
    """The text of a configuration and its revision."""

    revision: int
    text: str


class DirectoryChanges(NamedTuple):
    """Changes up to a revision, or all data if `complete`."""

    revision: int
    entries: tuple[UpstreamEntry, ...]
    configuration: ConfigurationText | None = None
    complete: bool = False


class Directory(ABC):
    """Read-only client of a directory."""

    @abstractmethod
    async def load(self) -> DirectoryChanges:
        """Read all data; raises PlatformError."""

    @abstractmethod
    async def watch(self, revision: int, wait: float) -> DirectoryChanges:
        """Wait for changes after a revision; raises PlatformError.

        Raises HistoryLostError if the changes since then are no longer available.
        """

    @abstractmethod
    def parse(self, text: str, revision: int) -> Configuration:
        """Decode a configuration text; raises ConfigurationError."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
