"""Assign the slots of a service to gateways."""

import hashlib
from collections.abc import Mapping, Sequence
from typing import NamedTuple

# 2**64 divided by the golden ratio, rounded to an odd number (Fibonacci hashing).
_MULTIPLIER = 0x9E3779B97F4A7C15
_MASK = (1 << 64) - 1


class SlotId(NamedTuple):
    """A slot: one of the calls that an upstream can run concurrently."""

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
    gets the same result, and the counts differ by at most one. Gateways in the data
    centre of the upstream are preferred as long as they have quota left.
    """
    if not gateways:
        return {}
    hashes = {gateway.id: _digest(gateway.id) for gateway in gateways}
    quota = _quotas(len(slots), gateways, hashes)
    ids_by_data_centre = _ids_by_data_centre(gateways)
    assignment: dict[SlotId, str] = {}
    remaining = []
    hashed = sorted((_digest(*slot), slot, data_centre) for slot, data_centre in slots)
    for slot_hash, slot, data_centre in hashed:
        chosen = _highest_scoring(
            slot_hash, ids_by_data_centre.get(data_centre, ()), quota, hashes
        )
        if chosen is None:
            remaining.append((slot_hash, slot))
        else:
            assignment[slot] = chosen
    for slot_hash, slot in remaining:
        assignment[slot] = _highest_scoring(slot_hash, list(hashes), quota, hashes)
    return assignment


def _quotas(
    count: int, gateways: Sequence[Assignee], hashes: Mapping[str, int]
) -> dict[str, int]:
    base, extra = divmod(count, len(gateways))
    order = sorted((gateway.id for gateway in gateways), key=hashes.__getitem__)
    return {
        gateway_id: base + (position < extra)
        for position, gateway_id in enumerate(order)
    }


def _ids_by_data_centre(gateways: Sequence[Assignee]) -> dict[str, list[str]]:
    ids: dict[str, list[str]] = {}
    for gateway in gateways:
        ids.setdefault(gateway.data_centre, []).append(gateway.id)
    return ids


def _highest_scoring(
    slot_hash: int,
    candidates: Sequence[str],
    quota: dict[str, int],
    hashes: Mapping[str, int],
) -> str | None:
    highest, highest_score = None, -1
    for gateway_id in candidates:
        if quota[gateway_id]:
            # Combining two hashes by multiplication takes a tenth of the time of
            # computing a third hash.
            score = (slot_hash ^ hashes[gateway_id]) * _MULTIPLIER & _MASK
            if score > highest_score:
                highest, highest_score = gateway_id, score
    if highest is not None:
        quota[highest] -= 1
    return highest


def _digest(*parts: object) -> int:
    text = "/".join(map(str, parts)).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest())


def slots_of(assignment: Mapping[SlotId, str], gateway_id: str) -> set[SlotId]:
    """Return the slots assigned to one gateway."""
    return {slot for slot, owner in assignment.items() if owner == gateway_id}
