"""Assign the slots of a service to gateways."""

import hashlib
from collections.abc import Mapping, Sequence
from typing import NamedTuple

# The golden ratio in 64 bits, odd, as in Fibonacci hashing.
_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


class SlotId(NamedTuple):
    """A slot: one of the calls that an upstream runs at a time."""

    address: str
    index: int


class Assignee(NamedTuple):
    """A gateway that slots may be assigned to."""

    id: str
    data_centre: str


def assign_slots(
    slots: Sequence[tuple[SlotId, str]], gateways: Sequence[Assignee]
) -> dict[SlotId, str]:
    """Map each slot, given with its data centre, to the id of a gateway.

    Uses rendezvous hashing with quotas: every gateway that sees the same arguments
    gets the same result, and the counts differ by at most one. A gateway in the data
    centre of the upstream goes first as long as it has quota left.
    """
    if not gateways:
        return {}
    hashes = {gateway.id: _digest(gateway.id) for gateway in gateways}
    quota = _quotas(len(slots), gateways, hashes)
    near = _by_data_centre(gateways)
    assignment: dict[SlotId, str] = {}
    remaining = []
    hashed = sorted((_digest(*slot), slot, place) for slot, place in slots)
    for slot_hash, slot, data_centre in hashed:
        winner = _winner(slot_hash, near.get(data_centre, ()), quota, hashes)
        if winner is None:
            remaining.append((slot_hash, slot))
        else:
            assignment[slot] = winner
    for slot_hash, slot in remaining:
        assignment[slot] = _winner(slot_hash, list(hashes), quota, hashes)
    return assignment


def _quotas(
    count: int, gateways: Sequence[Assignee], hashes: Mapping[str, int]
) -> dict[str, int]:
    base, extra = divmod(count, len(gateways))
    order = sorted((gateway.id for gateway in gateways), key=hashes.__getitem__)
    return {name: base + (position < extra) for position, name in enumerate(order)}


def _by_data_centre(gateways: Sequence[Assignee]) -> dict[str, list[str]]:
    names: dict[str, list[str]] = {}
    for gateway in gateways:
        names.setdefault(gateway.data_centre, []).append(gateway.id)
    return names


def _winner(
    slot_hash: int,
    candidates: Sequence[str],
    quota: dict[str, int],
    hashes: Mapping[str, int],
) -> str | None:
    best, best_score = None, -1
    for name in candidates:
        if quota[name]:
            # Multiplicative mixing of two good hashes costs a tenth of a third hash.
            score = (slot_hash ^ hashes[name]) * _MULTIPLIER & _MASK
            if score > best_score:
                best, best_score = name, score
    if best is not None:
        quota[best] -= 1
    return best


def _digest(*parts: object) -> int:
    text = "/".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def slots_of(assignment: Mapping[SlotId, str], gateway_id: str) -> set[SlotId]:
    """Return the slots assigned to one gateway."""
    return {slot for slot, owner in assignment.items() if owner == gateway_id}
