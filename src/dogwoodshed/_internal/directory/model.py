"""Data that a directory publishes, and the interface of directory clients."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from dogwoodshed._internal.configuration.model import Configuration


class DirectoryRevision(NamedTuple):
    """Position in the changes of a directory; later positions compare as greater.

    A directory that is restored from a copy assigns the same numbers again to other
    changes, so that a number alone does not order changes across a restore.
    """

    # Increases each time that the directory is restored from a copy.
    era: int = 0
    number: int = 0


# Era of revisions in messages of gateways whose release does not know eras.
UNKNOWN_ERA = -1
# Older than every revision of a directory.
NO_REVISION = DirectoryRevision()
# Gateways of this reader rank and above are standbys, which read only when the others
# provide no current data. With two readers in two data centres, either can fail without
# delaying updates.
PRIMARY_READERS = 2


class UpstreamEntry(NamedTuple):
    """The directory entry of an upstream, or its removal."""

    id: str
    # Of the last change; orders the changes of this upstream.
    revision: DirectoryRevision
    # False if the entry was removed; of the other fields only `started_ms` and
    # `left_before_restore` may then be set.
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
    # Whether this run drained or was removed before a restore, so that the copy may
    # list it as available although it has left.
    left_before_restore: bool = False


class UpstreamRun(NamedTuple):
    """One run of an upstream; its id and its address may be used again."""

    id: str
    # Start time in Unix milliseconds.
    started_ms: int
    address: str

    @classmethod
    def from_entry(cls, entry: UpstreamEntry) -> "UpstreamRun":
        """Return the run that a directory entry describes."""
        return cls(entry.id, entry.started_ms, entry.address)


class ConfigurationText(NamedTuple):
    """The text of a configuration and its version."""

    # The number that the operator assigns. Unlike revisions of the directory it does
    # not go back when the directory is restored.
    version: int
    text: str
    # Revision of the directory at which the text was written, for gateways of earlier
    # releases, which order configurations by it.
    number: int = 0


class DirectoryChanges(NamedTuple):
    """Changes up to a revision, or all data if `complete`."""

    revision: DirectoryRevision
    entries: tuple[UpstreamEntry, ...]
    configuration: ConfigurationText | None = None
    complete: bool = False


class Directory(ABC):
    """Read-only client of a directory."""

    @abstractmethod
    async def load(self) -> DirectoryChanges:
        """Read all data; raises PlatformError."""

    @abstractmethod
    async def watch(self, revision: DirectoryRevision, wait: float) -> DirectoryChanges:
        """Wait for changes after a revision; raises PlatformError.

        Raises HistoryLostError if the changes since then are no longer available, also
        because the directory was restored from a copy.
        """

    @abstractmethod
    def read_version(self, text: str) -> int:
        """Return the version of a configuration text; raises ConfigurationError."""

    @abstractmethod
    def parse(self, text: str, revision: int) -> Configuration:
        """Decode a configuration text; raises ConfigurationError."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
