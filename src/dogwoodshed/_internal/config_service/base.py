"""Define the interface of clients of the configuration service."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple


class Value(NamedTuple):
    """A published value and the revision of its last change."""

    text: str
    revision: int


class Snapshot(NamedTuple):
    """All values below a prefix at one revision."""

    revision: int
    values: Mapping[str, Value]


class PlatformClient(ABC):
    """Read-only client that reads and watches values."""

    @abstractmethod
    async def read(self, prefix: str) -> Snapshot:
        """Read all values below a prefix; raises PlatformError."""

    @abstractmethod
    async def watch(self, prefix: str, revision: int, wait: float) -> Snapshot:
        """Read all values below a prefix after they changed or after a wait.

        Returns as soon as the service has a higher revision than the given one, or
        after `wait` seconds. Raises PlatformError.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
