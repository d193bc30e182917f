"""Measure the assignment of slots by the numbers of slots and gateways."""

import time

from bench.slopes.base import Point
from dogwoodshed._internal.routing.assignment import Assignee, SlotId, assign_slots

AXIS = "slots_x_gateways"
# Numbers of slots and gateways: services of the users, also at their size in two
# years, with growing fleets.
SIZES = ((80, 16), (180, 19), (110, 100), (110, 480), (440, 480))


def measure() -> list[Point]:
    """Assign the slots of one service."""
    return [_measure(slots, gateways) for slots, gateways in SIZES]


def _measure(slots: int, gateways: int) -> Point:
    entries = [
        (SlotId(f"10.0.{number // 4}.1:80", number % 4), f"dc-{number // 4 % 3}")
        for number in range(slots)
    ]
    assignees = [Assignee(f"g{i:03d}", f"dc-{i % 3}") for i in range(gateways)]
    started = time.process_time()
    assign_slots(entries, assignees)
    elapsed = time.process_time() - started
    return Point(
        {"slots": slots, "gateways": gateways, AXIS: slots * gateways},
        {"ms": elapsed * 1000},
    )
