"""Measure the cost of idempotency keys: CPU time, messages, bytes and memory.

Run `python bench/idempotency_cost.py`. Gateways and stand-ins are processes on
loopback; CPU time is that of all gateway processes together.
"""

import argparse
import asyncio
import json
import os
import statistics
import tracemalloc
from collections import Counter

import aiohttp

from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.idempotency.claim_registry import claim_id
from dogwoodshed._internal.idempotency.records import (
    Record,
    RecordTable,
    State,
)
from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CONCURRENCY = 8
SERVICE = "orders"
BASE_CONFIGURATION = {
    "fleet": "bench",
    "ranks": [
        {"name": name, "floor_percent": 10} for name in ("urgent", "normal", "bulk")
    ],
}


class StatsdSink(asyncio.DatagramProtocol):
    """Sum the counters that gateways send."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Parse the lines of counters, `name:value|c`."""
        for line in data.decode().splitlines():
            name, _, rest = line.partition(":")
            value, _, kind = rest.partition("|")
            if kind == "c":
                self.counters[name] += int(value)


class KeyCostBenchmark:
    """Send the same calls with and without keys."""

    def __init__(self, gateways: int, calls: int) -> None:
        self._gateway_count = gateways
        self._call_count = calls
        self._fleet = Fleet()
        self._sink = StatsdSink()

    async def start(self, *, with_links: bool) -> None:
        """Start gateways and stand-ins."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self._sink, ("127.0.0.1", 0)
        )
        statsd = "{}:{}".format(*transport.get_extra_info("sockname")[:2])
        await self._fleet.start_platform()
        behaviour = {"slots": 64, "mean_ms": 1.0, "distribution": "fixed"}
        await self._fleet.start_upstreams([UpstreamGroup(SERVICE, 3, behaviour)])
        service = {
            "name": SERVICE,
            "path_prefix": f"/{SERVICE}",
            "slots_per_upstream": 64,
            "upstreams": [
                {"address": address, "data_centre": "dc-1"}
                for address in self._fleet.upstreams[SERVICE]
            ],
            "kinds": [
                {
                    "name": "order",
                    "method": "POST",
                    "path": f"/{SERVICE}",
                    "rank": "urgent",
                    "idempotent": False,
                    "time_limit_ms": 5000,
                }
            ],
        }
        await self._fleet.publish(
            json.dumps({**BASE_CONFIGURATION, "services": [service]})
        )
        await self._fleet.start_gateways(
            self._gateway_count,
            with_links=with_links,
            routing="least_in_flight",
            statsd=statsd,
        )

    async def stop(self) -> None:
        """Stop all processes."""
        await self._fleet.stop()

    async def send(self, prefix: str, *, keyed: bool) -> list[float]:
        """Send the calls in turn to all gateways and return the latencies."""
        numbers = iter(range(self._call_count))
        latencies: list[float] = []
        loop = asyncio.get_running_loop()

        async def send_in_turn(session: aiohttp.ClientSession) -> None:
            for number in numbers:
                headers = {"X-Request-Id": f"{prefix}-{number}", "X-Caller": "bench"}
                if keyed:
                    headers["Idempotency-Key"] = f"{prefix}-{number}"
                gateway = self._fleet.gateways[number % self._gateway_count]
                started = loop.time()
                url = f"http://{gateway.address}/{SERVICE}"
                async with session.post(url, headers=headers) as response:
                    await response.read()
                    assert response.status == 200, response.status
                latencies.append(loop.time() - started)

        async with aiohttp.ClientSession() as session:
            await asyncio.gather(*(send_in_turn(session) for _ in range(CONCURRENCY)))
        return latencies

    def cpu_seconds(self) -> float:
        """Return the CPU time that all gateways have used, in seconds."""
        total = 0
        for gateway in self._fleet.gateways:
            with open(f"/proc/{gateway.pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
        return total / TICKS_PER_S

    async def link_bytes(self) -> int:
        """Return the bytes that all links between gateways have forwarded."""
        return await self._fleet.link_bytes()

    def messages(self) -> int:
        """Return the number of messages between gateways for idempotency keys."""
        return self._sink.counters["dogwoodshed.idempotency.messages"]


async def measure_time(gateways: int, calls: int, rounds: int) -> None:
    """Print CPU time and latency of calls with and without keys."""
    bench = KeyCostBenchmark(gateways, calls)
    await bench.start(with_links=False)
    try:
        await bench.send("warm", keyed=False)
        for round_number in range(rounds):
            for keyed in (False, True):
                before = bench.cpu_seconds()
                latencies = await bench.send(f"r{round_number}{keyed}", keyed=keyed)
                used = (bench.cpu_seconds() - before) / calls
                median = statistics.median(latencies)
                p99 = statistics.quantiles(latencies, n=100)[98]
                print(
                    f"round {round_number} {'keyed' if keyed else 'unkeyed':8}"
                    f" {used * 1e6:6.0f} us processor"
                    f"  median {median * 1e3:5.2f} ms  p99 {p99 * 1e3:5.2f} ms"
                )
    finally:
        await bench.stop()


async def measure_traffic(gateways: int, calls: int) -> None:
    """Print messages and bytes between gateways per keyed call."""
    bench = KeyCostBenchmark(gateways, calls)
    await bench.start(with_links=True)
    try:
        forwarded = []
        for keyed in (False, True):
            loop = asyncio.get_running_loop()
            before, started = await bench.link_bytes(), loop.time()
            await bench.send(f"traffic{keyed}", keyed=keyed)
            # Wait for the last results to arrive and for the counters to be flushed.
            await asyncio.sleep(2.0)
            elapsed = loop.time() - started
            forwarded.append((await bench.link_bytes() - before, elapsed))
        (unkeyed_bytes, unkeyed_s), (keyed_bytes, keyed_s) = forwarded
        extra = keyed_bytes - unkeyed_bytes / unkeyed_s * keyed_s
        print(
            f"{bench.messages() / calls:.2f} messages, {extra / calls:.0f} bytes"
            f" for a keyed call; heartbeats {unkeyed_bytes / unkeyed_s / gateways:.0f}"
            " bytes/s for each gateway"
        )
    finally:
        await bench.stop()


def measure_memory(records: int) -> None:
    """Print the memory of one record without and with a stored response."""
    for response_bytes in (0, 300):
        tracemalloc.start()
        table = RecordTable(SystemClock(), max_records=records)
        for number in range(records):
            table.put(
                os.urandom(16),
                Record(
                    State.ANSWERED,
                    claim_id(f"g{number % 19}", 1_700_000_000_000_000, 2**50 + number),
                    os.urandom(16),
                    os.urandom(response_bytes),
                ),
            )
        size = tracemalloc.get_traced_memory()[0]
        tracemalloc.stop()
        print(
            f"{records} records with responses of {response_bytes} bytes:"
            f" {size / 1e6:.1f} MB, {size / records:.0f} bytes each;"
            f" {table.response_bytes / 1e6:.1f} MB of responses stored"
        )


def main() -> None:
    """Run all measurements."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateways", type=int, default=5)
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    measure_memory(50_000)
    asyncio.run(measure_traffic(options.gateways, options.calls))
    asyncio.run(measure_time(options.gateways, options.calls, options.rounds))


if __name__ == "__main__":
    main()
