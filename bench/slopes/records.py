"""Measure the table of idempotency records against its length."""

import gc
import time
import tracemalloc

from bench.slopes.base import Point
from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.idempotency.records import (
    ClaimId,
    Record,
    RecordTable,
    State,
)

AXIS = "records"
RECORDS = (1000, 10_000, 50_000)
ANSWER_BYTES = 300
OPERATIONS = 1000


def measure() -> list[Point]:
    """Fill tables of growing length."""
    return [_measure(count) for count in RECORDS]


def _measure(count: int) -> Point:
    gc.collect()
    tracemalloc.start()
    table = RecordTable(SystemClock())
    for number in range(count - OPERATIONS):
        _put(table, number)
    started = time.process_time()
    for number in range(count - OPERATIONS, count):
        _put(table, number)
    elapsed = time.process_time() - started
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Point(
        {"records": count},
        {
            "held_bytes": held,
            "answer_bytes": table.response_bytes,
            # Tracing of memory is included and makes this an upper figure.
            "put_us": elapsed / OPERATIONS * 1e6,
        },
    )


def _put(table: RecordTable, number: int) -> None:
    claim = ClaimId("g01", 1, number)
    # Bytes of its own for each key and answer, as decoded from a message.
    record = Record(State.PENDING, claim, b"%032d" % number, bytes(ANSWER_BYTES))
    table.put(b"service/%036d" % number, record)
