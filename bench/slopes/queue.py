"""Measure the ranked queue against its length."""

import random
import time

from bench.slopes.base import Point
from dogwoodshed._internal.admission.ranked_queue import RankedQueue, Waiter
from dogwoodshed._internal.configuration.model import (
    Kind,
    NotRunRule,
    Rank,
    Service,
)
from dogwoodshed._internal.proxy.call import Call

AXIS = "length"
LENGTHS = (100, 1000, 10_000, 100_000)
OPERATIONS = 200
CALLERS = 50

_RANKS = (Rank("urgent", 0, 0.2), Rank("normal", 1, 0.2), Rank("bulk", 2, 0.1))


def measure() -> list[Point]:
    """Add and take calls at growing lengths."""
    return [_measure(length) for length in LENGTHS]


def _measure(length: int) -> Point:
    source = random.Random(length)
    queue = RankedQueue(_RANKS, length)
    for _ in range(length):
        queue.push(_waiter(source))
    waiters = [_waiter(source) for _ in range(OPERATIONS)]
    started = time.process_time()
    for waiter in waiters:
        queue.pop()
        queue.push(waiter)
    pair = time.process_time() - started
    waiters = [_waiter(source) for _ in range(OPERATIONS)]
    started = time.process_time()
    for waiter in waiters:
        queue.push(waiter)
    full = time.process_time() - started
    return Point(
        {"length": length},
        {
            "pop_and_push_us": pair / OPERATIONS * 1e6,
            "push_when_full_us": full / OPERATIONS * 1e6,
        },
    )


def _waiter(source: random.Random) -> Waiter[None]:
    rank = source.choice(_RANKS)
    kind = Kind("kind", "GET", "/", rank, True, 0.3, 0.9, 0.99)
    service = Service(
        "service",
        "/",
        (),
        2,
        250,
        0.2,
        "/load",
        (),
        None,
        NotRunRule(503, "x"),
        (kind,),
    )
    call = Call(
        service,
        kind,
        caller=f"caller-{source.randrange(CALLERS)}",
        arrived_at=0.0,
        deadline=source.random(),
    )
    return Waiter(call, None, frozenset())
