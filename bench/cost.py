"""Compare the cost of the gateway with a bare proxy, interleaved in one run."""

import argparse
import asyncio
import json
import os
import random
import statistics
import sys
from pathlib import Path
from typing import NamedTuple

from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup
from dogwoodshed._internal.standins.ports import free_ports
from tests.lib import builders

REQUESTS = {
    "read": b"GET /profiles HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n\r\n",
    "write": b"POST /profiles HTTP/1.1\r\nHost: h\r\nAccept: */*\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nhello",
}
LOW_RATE_PER_S = 100
MEDIUM_RATE_PER_S = 500
PAUSE_AFTER_SAMPLE_S = 0.05


class LoadTarget(NamedTuple):
    """An address under load and its process; the direct path has no process."""

    name: str
    address: str
    pid: int | None


class Sample(NamedTuple):
    """One round of load on one target."""

    cpu_us: float
    latencies_ms: list[float]


class LoadGenerator:
    """Send requests over persistent connections at random times."""

    def __init__(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        self._ip, self._port = ip, int(port)
        self._idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []

    async def run(self, request: bytes, rate: float, seconds: float, seed: int) -> list:
        """Send requests at a mean rate and return the latencies in milliseconds."""
        random_source = random.Random(seed)
        loop = asyncio.get_running_loop()
        started = loop.time()
        at = 0.0
        tasks = []
        while at < seconds:
            await asyncio.sleep(max(0.0, started + at - loop.time()))
            tasks.append(asyncio.ensure_future(self._call(request)))
            at += random_source.expovariate(rate)
        return await asyncio.gather(*tasks)

    async def _call(self, request: bytes) -> float:
        loop = asyncio.get_running_loop()
        started = loop.time()
        reader, writer = (
            self._idle.pop()
            if self._idle
            else await asyncio.open_connection(self._ip, self._port)
        )
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200"), head
        length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
        await reader.readexactly(length)
        elapsed = loop.time() - started
        self._idle.append((reader, writer))
        return 1000 * elapsed


def main_thread_cpu_seconds(pid: int) -> float:
    """Return the CPU time of a process's main thread."""
    # The ticks of /proc/PID/stat are too coarse for rounds of half a second.
    fields = Path(f"/proc/{pid}/schedstat").read_text(encoding="utf-8").split()
    return int(fields[0]) / 1e9


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = Path(f"/proc/{pid}/statm").read_text(encoding="utf-8").split()[1]
    return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


async def measure(
    target: LoadTarget,
    generator: LoadGenerator,
    kind: str,
    rate: float,
    seconds: float,
    seed: int,
) -> Sample:
    """Run one round of load on one target."""
    before = main_thread_cpu_seconds(target.pid) if target.pid else 0.0
    latencies = await generator.run(REQUESTS[kind], rate, seconds, seed)
    used = main_thread_cpu_seconds(target.pid) - before if target.pid else 0.0
    await asyncio.sleep(PAUSE_AFTER_SAMPLE_S)
    return Sample(1e6 * used / len(latencies), latencies)


def percentile(values: list[float], share: float) -> float:
    """Return a percentile of values."""
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def print_results(
    targets: list[LoadTarget], samples: dict[tuple[str, str, int], list[Sample]]
) -> None:
    """Print one line for each kind, rate and target."""
    print("kind  rate target   us/call  calls/s/core  ratio  p50 added  p99 added (ms)")
    kinds_and_rates = sorted({(kind, rate) for _, kind, rate in samples})
    for kind, rate in kinds_and_rates:
        rounds = {t.name: samples[t.name, kind, rate] for t in targets}
        all_latencies = {
            name: [ms for sample in entries for ms in sample.latencies_ms]
            for name, entries in rounds.items()
        }
        cpu = {n: statistics.median(s.cpu_us for s in e) for n, e in rounds.items()}
        # Rounds are compared in pairs, because the machine's speed varies over time.
        pairs = zip(rounds["gateway"], rounds["bare"], strict=True)
        ratio = statistics.median(g.cpu_us / b.cpu_us for g, b in pairs)
        for name in ("bare", "gateway"):
            added = [
                percentile(all_latencies[name], share)
                - percentile(all_latencies["direct"], share)
                for share in (0.5, 0.99)
            ]
            print(
                f"{kind:5} {rate:4} {name:8} {cpu[name]:7.0f} {1e6 / cpu[name]:13.0f}"
                f" {ratio if name == 'gateway' else 1:6.2f} {added[0]:10.2f}"
                f" {added[1]:10.2f}"
            )
    for target in targets:
        if target.pid:
            print(f"resident memory of {target.name}: {resident_mb(target.pid):.1f} MB")


async def run(options: argparse.Namespace) -> None:
    """Start the processes, measure in rounds and print the results."""
    fleet = Fleet()
    bare = None
    try:
        await fleet.start_platform()
        behaviour = {"slots": 1000, "mean_ms": 0.001, "distribution": "fixed"}
        await fleet.start_upstreams([UpstreamGroup("profiles", 1, behaviour)])
        addresses = tuple(fleet.upstreams["profiles"])
        service = builders.service_entry(addresses=addresses, slots_per_upstream=1000)
        await fleet.publish(json.dumps(builders.configuration_document(service)))
        await fleet.start_gateways(1, routing=options.routing)
        port = free_ports(1)[0]
        bare = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "bench.bare_proxy", str(port), addresses[0]
        )
        gateway = fleet.gateways[0]
        targets = [
            LoadTarget("direct", addresses[0], None),
            LoadTarget("bare", f"127.0.0.1:{port}", bare.pid),
            LoadTarget("gateway", gateway.address, gateway.pid),
        ]
        # The bare proxy is ready once it accepts a connection.
        while True:
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.close()
                break
            except OSError:
                await asyncio.sleep(0.02)
        await measure_all(targets, options)
    finally:
        if bare is not None:
            bare.kill()
            await bare.wait()
        await fleet.stop()


async def measure_all(targets: list[LoadTarget], options: argparse.Namespace) -> None:
    """Measure all targets in turn in every round and print the results."""
    samples: dict[tuple[str, str, int], list[Sample]] = {}
    generators = {target.name: LoadGenerator(target.address) for target in targets}
    for number in range(options.rounds + 1):
        for kind in REQUESTS:
            for rate in options.rates:
                for target in targets:
                    sample = await measure(
                        target,
                        generators[target.name],
                        kind,
                        rate,
                        options.seconds,
                        number,
                    )
                    # The first round opens connections and warms up the processes.
                    if number:
                        key = target.name, kind, rate
                        samples.setdefault(key, []).append(sample)
    print_results(targets, samples)


def main() -> None:
    """Parse the options and run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=16)
    parser.add_argument("--seconds", type=float, default=0.5)
    parser.add_argument(
        "--rates", type=int, nargs="+", default=[LOW_RATE_PER_S, MEDIUM_RATE_PER_S]
    )
    parser.add_argument("--routing", default="least_in_flight")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
