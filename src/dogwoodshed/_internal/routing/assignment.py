"""Assign the slots of a service to gateways."""

import hashlib
from collections.abc import Mapping, Sequence
from typing import NamedTuple


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
    quota = _quotas(len(slots), gateways)
    assignment: dict[SlotId, str] = {}
    remaining = []
    for slot, data_centre in sorted(slots, key=lambda entry: _score("slot", entry[0])):
        near = [g for g in gateways if g.data_centre == data_centre and quota[g.id]]
        if near:
            assignment[slot] = _take(slot, near, quota)
        else:
            remaining.append(slot)
    for slot in remaining:
        assignment[slot] = _take(slot, [g for g in gateways if quota[g.id]], quota)
    return assignment


def _quotas(count: int, gateways: Sequence[Assignee]) -> dict[str, int]:
    base, extra = divmod(count, len(gateways))
    order = sorted(gateways, key=lambda gateway: _score("quota", gateway.id))
    return {
        gateway.id: base + (position < extra) for position, gateway in enumerate(order)
    }


def _take(slot: SlotId, candidates: Sequence[Assignee], quota: dict[str, int]) -> str:
    winner = max(candidates, key=lambda gateway: _score(gateway.id, slot)).id
    quota[winner] -= 1
    return winner


def _score(*parts: object) -> bytes:
    return hashlib.blake2b(repr(parts).encode(), digest_size=8).digest()


def slots_of(assignment: Mapping[SlotId, str], gateway_id: str) -> set[SlotId]:
    """Return the slots assigned to one gateway."""
    return {slot for slot, owner in assignment.items() if owner == gateway_id}
