"""Rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b


def rendezvous_order(key: bytes | str, members: Iterable[str]) -> list[str]:
    """Return the members in the order of their scores for a key.

    Removing a member does not change the order of the others.
    """
    data = key.encode() if isinstance(key, str) else key
    return sorted(members, key=lambda member: (_score(data, member), member))


def _score(data: bytes, member: str) -> bytes:
    return blake2b(data, digest_size=8, key=member.encode()[:64]).digest()
