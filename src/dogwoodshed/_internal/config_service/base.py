"""Define the interface of platform adapters."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from typing import NamedTuple


class Value(NamedTuple):
    """One published value and the revision of its last change."""

    text: str
    revision: int


class Snapshot(NamedTuple):
    """All values below a prefix at one revision."""

    revision: int
    values: Mapping[str, Value]


class PlatformClient(ABC):
    """Read and watch values; nothing can be written."""

    @abstractmethod
    async def read(self, prefix: str) -> Snapshot:
        """Read all values below a prefix; raises PlatformError."""

    @abstractmethod
    async def watch(self, prefix: str, revision: int, wait: float) -> Snapshot:
        """Wait until the revision passes; raises PlatformError."""

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""
