"""Measure the summary of one minute by the number of services."""

import random

from bench.slopes.base import Point, min_cpu_time
from dogwoodshed._internal.proxy.server import CallRecord
from dogwoodshed._internal.reporting.summary import (
    TrafficCounts,
    decode_counts,
    encode_counts,
    run_to_completion,
)

AXIS = "services"
SERVICES = (3, 30, 100, 280)
KINDS = 3
# Calls of a kind in a minute: 800,000 calls/s over 1,200 gateways and 840 kinds.
CALLS_PER_KIND = 48
REPEATS = 5


def measure() -> list[Point]:
    """Encode and decode summaries of growing size."""
    return [_measure(services) for services in SERVICES]


def _measure(services: int) -> Point:
    source = random.Random(services)
    counts = TrafficCounts.empty()
    for service in range(services):
        for rank in range(KINDS):
            key = (f"service-{service}", f"kind-{rank}", rank)
            for _ in range(CALLS_PER_KIND):
                elapsed = source.expovariate(1 / 0.02)
                record = CallRecord(*key, 200, "yes", elapsed, True, 0.001, elapsed)
                counts.stats_for(key).add_call(record)
    body = run_to_completion(encode_counts(counts))

    def encode_many() -> None:
        for _ in range(REPEATS):
            run_to_completion(encode_counts(counts))

    def decode_many() -> None:
        for _ in range(REPEATS):
            run_to_completion(decode_counts(body))

    return Point(
        {"services": services, "kinds": services * KINDS},
        {
            "bytes": len(body),
            "encode_ms": min_cpu_time(encode_many) / REPEATS * 1000,
            "decode_ms": min_cpu_time(decode_many) / REPEATS * 1000,
        },
    )
