"""Define the interface of documents that gateways replicate among each other."""

from typing import Protocol


class ReplicatedDocument(Protocol):
    """A published document; only higher revisions replace it."""

    # Key on the platform, relative to the prefix.
    key: str

    @property
    def revision(self) -> int:
        """Return the revision in effect, or 0 if there is none."""

    @property
    def seen_revision(self) -> int:
        """Return the highest revision that was accepted or rejected."""

    @property
    def text(self) -> str:
        """Return the text in effect."""

    def offer(self, text: str, revision: int, source: str) -> bool:
        """Accept a text if its revision is higher and it is valid."""
