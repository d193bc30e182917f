"""Run one routing policy on one case with real processes."""

import asyncio
import json
import os
import sys
from typing import Any, NamedTuple

import aiohttp

from bench.cases import Case, User, configuration, flows
from bench.processes import cpu_seconds
from dogwoodshed._internal.exceptions import StandInError
from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup

UPSTREAM_PROCESSES = 4
LOAD_PROCESSES = 2
FLOOD_LOAD_PROCESSES = 4
DATA_CENTRES = ("dc-1", "dc-2", "dc-3")
# Callers wait at most this long after the last call for outstanding responses.
LAST_RESPONSE_TIMEOUT_S = 60.0
STATUS_TIMEOUT_S = 10.0


class Plan(NamedTuple):
    """Settings that are the same for all policies."""

    user: User
    gateways: int
    duration: float
    # Calls sent before this time warm the system up and are not counted.
    warm_up: float
    seed: int


class CallRow(NamedTuple):
    """The outcome of one call as its caller saw it."""

    flow: str
    rank: str
    ran: str
    elapsed: float
    sent_at: float
    status: int

    @property
    def answered(self) -> bool:
        return self.ran == "yes" and self.status < 400


class Run(NamedTuple):
    """The measurements of one policy on one case."""

    policy: str
    case: str
    rows: list[CallRow]
    # Cores in use on average by the busiest gateway, by all gateways, by the busiest
    # load process and by the busiest stand-in.
    gateway_cores: float
    gateways_cores: float
    load_cores: float
    stand_in_cores: float
    # Probes of the upstream that received most, and over how many seconds.
    most_probes: int
    counted_s: float
    control_bytes_per_s: float | None
    # Gateways that did not respond to a status request at the end.
    not_answering: tuple[str, ...]
    # Of the machine, over one minute; above its cores, the machine is the bottleneck.
    load_average: float


async def run_case(plan: Plan, policy: str, case: Case) -> Run:
    """Start the processes, send the load and stop the processes."""
    fleet = Fleet()
    try:
        await _start(fleet, plan, policy, case)
        return await _measure(fleet, plan, policy, case)
    finally:
        await fleet.stop()


async def _start(fleet: Fleet, plan: Plan, policy: str, case: Case) -> None:
    user = plan.user
    await fleet.start_platform()
    behaviour = {"slots": user.slots, "mean_ms": user.mean_ms, **case.all_upstreams}
    share = user.upstreams // UPSTREAM_PROCESSES
    counts = [share] * (UPSTREAM_PROCESSES - 1)
    counts.append(user.upstreams - sum(counts))
    await fleet.start_upstreams(
        [
            UpstreamGroup("work", count, behaviour, seed=plan.seed + 1000 * number)
            for number, count in enumerate(counts)
        ]
    )
    addresses = fleet.upstreams["work"]
    if case.first_upstream:
        await fleet.control_upstream(addresses[0], case.first_upstream)
    await fleet.publish(json.dumps(configuration(user, addresses)))
    central = policy == "central"
    await fleet.start_gateways(
        1 if central else plan.gateways,
        data_centres=DATA_CENTRES,
        routing="slices" if central else policy,
    )


async def _measure(fleet: Fleet, plan: Plan, policy: str, case: Case) -> Run:
    loop = asyncio.get_running_loop()
    gateways = [gateway.pid for gateway in fleet.gateways]
    cpu_before = {pid: cpu_seconds(pid) for pid in gateways + fleet.stand_in_pids}
    probes_before = await _read_probe_counts(fleet)
    statuses_before = await _read_statuses(fleet)
    started = loop.time()
    load_results = await _send_load(fleet, plan, case)
    elapsed = loop.time() - started
    probes_after = await _read_probe_counts(fleet)
    statuses = await _read_statuses(fleet)
    cores_used = {
        pid: (cpu_seconds(pid) - cpu_before[pid]) / elapsed for pid in cpu_before
    }
    not_answering = tuple(name for name, status in statuses.items() if status is None)
    control = None
    if not not_answering:
        sent = _sum_sent_bytes(statuses) - _sum_sent_bytes(statuses_before)
        control = sent / elapsed / len(gateways)
    rows = [CallRow(*row) for result in load_results for row in result["results"]]
    return Run(
        policy,
        case.name,
        [row for row in rows if row.sent_at >= plan.warm_up],
        gateway_cores=max(cores_used[pid] for pid in gateways),
        gateways_cores=sum(cores_used[pid] for pid in gateways),
        load_cores=max(result["processor_s"] for result in load_results) / elapsed,
        stand_in_cores=max(cores_used[pid] for pid in fleet.stand_in_pids),
        most_probes=max(
            b - a for a, b in zip(probes_before, probes_after, strict=True)
        ),
        counted_s=elapsed,
        control_bytes_per_s=control,
        not_answering=not_answering,
        load_average=os.getloadavg()[0],
    )


async def _send_load(fleet: Fleet, plan: Plan, case: Case) -> list[dict[str, Any]]:
    processes = FLOOD_LOAD_PROCESSES if case.flood_rank else LOAD_PROCESSES
    addresses = [gateway.address for gateway in fleet.gateways]
    parameters = {
        "gateways": addresses,
        "flows": flows(plan.user, case, processes),
        "duration": plan.duration,
        "weights": weights(len(addresses)),
    }
    # All cases have the same seeds, so that those with a fault have the same arrivals
    # as those without.
    texts = [
        json.dumps({**parameters, "seed": plan.seed + number})
        for number in range(processes)
    ]
    timeout = plan.duration + LAST_RESPONSE_TIMEOUT_S
    return await asyncio.gather(*(run_load(text, timeout) for text in texts))


async def run_load(parameters: str, timeout: float) -> dict[str, Any]:
    """Run one load process with parameters in JSON and return its results."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "bench.load",
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await asyncio.wait_for(
            process.communicate(parameters.encode()), timeout
        )
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    if process.returncode:
        raise StandInError(f"load process exited with status {process.returncode}")
    return json.loads(output)


def weights(count: int) -> list[float]:
    """Return the skewed weights of the gateways in the arrivals, 0.4 to 1.6."""
    if count == 1:
        return [1.0]
    return [0.4 + 1.2 * index / (count - 1) for index in range(count)]


async def _read_probe_counts(fleet: Fleet) -> list[int]:
    states = await fleet.upstream_states("work")
    return [state["counts"].get("probes", 0) for state in states]


async def _read_statuses(fleet: Fleet) -> dict[str, dict[str, Any] | None]:
    """Read the status of each gateway, or None if it does not respond."""
    statuses = await asyncio.gather(
        *(_read_status(fleet.session, g.administration_address) for g in fleet.gateways)
    )
    names = [gateway.id for gateway in fleet.gateways]
    return dict(zip(names, statuses, strict=True))


async def _read_status(
    session: aiohttp.ClientSession, address: str
) -> dict[str, Any] | None:
    try:
        async with session.get(
            f"http://{address}/status", timeout=aiohttp.ClientTimeout(STATUS_TIMEOUT_S)
        ) as response:
            return await response.json() if response.status == 200 else None
    except (TimeoutError, aiohttp.ClientError, OSError):
        return None


def _sum_sent_bytes(statuses: dict[str, dict[str, Any] | None]) -> int:
    """Sum the bytes that gateways sent to each other."""
    return sum(
        peer["sent_bytes"]
        for status in statuses.values()
        for peer in (status or {}).get("peers", [])
    )
