"""Define the texts that gateways hold equal copies of."""

from typing import Protocol


class ReplicatedDocument(Protocol):
    """A published text whose revision only rises."""

    # The name below the platform's prefix.
    key: str

    @property
    def revision(self) -> int:
        """Return the revision in force, 0 without one."""

    @property
    def seen_revision(self) -> int:
        """Return the highest revision that was in force or rejected."""

    @property
    def text(self) -> str:
        """Return the text in force."""

    def offer(self, text: str, revision: int, source: str) -> bool:
        """Accept a text if its revision is higher and it is valid."""
