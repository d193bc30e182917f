"""Measure idle gateway processes by the number of their peers."""

import asyncio
import json

from bench.cases import USERS, configuration
from bench.processes import cpu_seconds, resident_bytes
from bench.slopes.base import Point
from dogwoodshed._internal.standins.fleet import Fleet

AXIS = "peers"
GATEWAYS = (4, 8, 16)
SETTLE_S = 3.0
COUNTED_S = 10.0


def measure() -> list[Point]:
    """Run fleets of growing size without calls."""
    return [asyncio.run(_measure(count)) for count in GATEWAYS]


async def _measure(count: int) -> Point:
    user = USERS["parejas"]
    addresses = [f"127.0.0.1:{port}" for port in range(1, user.upstreams + 1)]
    document = configuration(user, addresses)
    # No probes: nothing listens on these addresses.
    document["services"][0]["probe_budget_per_s"] = 0
    fleet = Fleet()
    try:
        await fleet.start_platform()
        await fleet.publish(json.dumps(document))
        await fleet.start_gateways(count, with_links=True)
        await asyncio.sleep(SETTLE_S)
        pids = [gateway.pid for gateway in fleet.gateways]
        before = sum(cpu_seconds(pid) for pid in pids)
        forwarded = await fleet.link_bytes()
        await asyncio.sleep(COUNTED_S)
        used = sum(cpu_seconds(pid) for pid in pids) - before
        forwarded = await fleet.link_bytes() - forwarded
        resident = max(resident_bytes(pid) for pid in pids)
    finally:
        await fleet.stop()
    return Point(
        {"peers": count - 1, "services": 1},
        {
            "core_percent": used / COUNTED_S / count * 100,
            # Every byte is sent by one gateway and received by another.
            "sent_bytes_per_s": forwarded / COUNTED_S / count,
            "resident_bytes": resident,
        },
    )
