"""Model what a directory publishes, and the interface of its readers."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from dogwoodshed._internal.configuration.model import Configuration


class UpstreamEntry(NamedTuple):
    """One upstream as the directory lists it, or its removal."""

    id: str
    # The directory's revision of the last change; orders all news of this upstream.
    revision: int
    # False once the entry was removed; the other fields are then empty.
    listed: bool = True
    service: str = ""
    address: str = ""
    data_centre: str = ""
    slots: int = 1
    draining: bool = False
    # Unix milliseconds of the start; tells two runs under one id apart.
    started_ms: int = 0
    # How much longer the upstream is slow after its start.
    cold_ms: int = 0


class ConfigurationText(NamedTuple):
    """The text of a configuration with the revision that orders it."""

    revision: int
    text: str


class DirectoryChanges(NamedTuple):
    """What changed up to a revision, or everything if `complete`."""

    revision: int
    entries: tuple[UpstreamEntry, ...]
    configuration: ConfigurationText | None = None
    complete: bool = False


class Directory(ABC):
    """Read and follow a directory; nothing can be written."""

    @abstractmethod
    async def load(self) -> DirectoryChanges:
        """Read everything; raises PlatformError."""

    @abstractmethod
    async def watch(self, revision: int, wait: float) -> DirectoryChanges:
        """Wait for changes after a revision; raises PlatformError.

        Raises HistoryLostError when the changes since then are not kept any more.
        """

    @abstractmethod
    def parse(self, text: str, revision: int) -> Configuration:
        """Decode a configuration text; raises ConfigurationError."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
