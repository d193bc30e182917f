"""Measure the CPU time of one gateway by the rate of calls."""

import asyncio
import json

from bench.cases import METHODS, RANKS, User, configuration
from bench.measure import run_load
from bench.processes import cpu_seconds, resident_bytes
from bench.slopes.base import Point
from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup

AXIS = "calls_per_s"
RATES = (100, 300, 600)
COUNTED_S = 10.0
# New upstreams open their slots one by one; calls sent earlier wait for a slot.
WARM_UP_S = 4.0
# Short and constant service times, so that slots are always available.
USER = User("calls", 20, 10, 20.0)


def measure() -> list[Point]:
    """Send calls through one gateway at growing rates."""
    return [asyncio.run(_measure(rate)) for rate in RATES]


async def _measure(rate: int) -> Point:
    fleet = Fleet()
    try:
        await fleet.start_platform()
        behaviour = {
            "slots": USER.slots,
            "mean_ms": USER.mean_ms,
            "distribution": "constant",
        }
        await fleet.start_upstreams(
            [
                UpstreamGroup("work", USER.upstreams // 2, behaviour, seed=number)
                for number in range(2)
            ]
        )
        text = configuration(USER, fleet.upstreams["work"])
        await fleet.publish(json.dumps(text))
        await fleet.start_gateways(1)
        pid = fleet.gateways[0].pid
        parameters = {
            "gateways": [fleet.gateways[0].address],
            "flows": [
                {
                    "name": rank,
                    "rank": rank,
                    "method": METHODS[rank],
                    "path": "/work",
                    "rate_per_s": rate / len(RANKS),
                }
                for rank in RANKS
            ],
            "duration": COUNTED_S,
            "seed": 1,
            "weights": [1.0],
        }
        before = cpu_seconds(pid)
        result = await run_load(json.dumps(parameters), COUNTED_S + 60)
        used = cpu_seconds(pid) - before
        resident = resident_bytes(pid)
    finally:
        await fleet.stop()
    elapsed = sorted(row[3] for row in result["results"] if row[4] >= WARM_UP_S)
    answered = sum(1 for row in result["results"] if row[2] == "yes")
    added = [value * 1000 - USER.mean_ms for value in elapsed]
    return Point(
        {"calls_per_s": rate},
        {
            "answered": answered,
            "core_percent": used / COUNTED_S * 100,
            "us_per_call": used / max(1, answered) * 1e6,
            # Includes the delays of the load process and of the upstream itself.
            "added_p50_ms": added[len(added) // 2],
            "added_p99_ms": added[int(len(added) * 0.99)],
            "resident_bytes": resident,
        },
    )
