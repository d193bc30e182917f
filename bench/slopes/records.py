"""Measure the table of idempotency records by its length."""

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
RESPONSE_BYTES = 300
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
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Point(
        {"records": count},
        {
            "held_bytes": traced_bytes,
            "answer_bytes": table.response_bytes,
            # Memory tracing is included, so this is an upper bound.
            "put_us": elapsed / OPERATIONS * 1e6,
        },
    )


def _put(table: RecordTable, number: int) -> None:
    claim = ClaimId("g01", 1, number)
    # Separate bytes objects for each key and response, as decoded from a message.
    record = Record(State.PENDING, claim, b"%032d" % number, bytes(RESPONSE_BYTES))
    table.put(b"service/%036d" % number, record)
