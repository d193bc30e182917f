"""Steps on ranks, slots and probes."""

import asyncio
import json
import signal

from behave import given, then, when

from dogwoodshed._internal.standins.caller import Flow
from dogwoodshed._internal.standins.fleet import UpstreamGroup
from tests.lib import builders
from tests.lib.world import World

SERVICE = "profiles"
RANKS = ("urgent", "normal", "bulk")
# The partition has to be detected before its effect is counted.
PARTITION_DETECTION_S = 2.0


def start_world(
    context, gateways, upstreams, slots, mean_ms, *, linked=False, **changes
):
    world = context.world = World.from_context(context)
    context.capacity = upstreams * slots * 1000 / mean_ms
    behaviour = {"slots": slots, "mean_ms": float(mean_ms)}
    kinds = [
        builders.kind_entry(
            rank, path=f"/{SERVICE}/{rank}", rank=rank, time_limit_ms=1000
        )
        for rank in RANKS
    ]
    routing = context.config.userdata.get("routing", "slices")

    async def start_processes():
        fleet = world.fleet
        await fleet.start_platform()
        await fleet.start_upstreams([UpstreamGroup(SERVICE, upstreams, behaviour)])
        service = builders.service_entry(
            SERVICE, tuple(fleet.upstreams[SERVICE]), kinds=kinds, **changes
        )
        document = builders.configuration_document(service)
        await fleet.publish(json.dumps(document))
        await fleet.start_gateways(
            gateways, with_links=linked, routing=routing, features=world.features
        )

    world.run(start_processes())


def add_flow(context, name, rank, share, caller="caller"):
    flow = Flow(
        name, rank, "GET", f"/{SERVICE}/{rank}", share * context.capacity, caller
    )
    context.world.flows.append(flow)


def answered_calls(context, name):
    return [r for r in context.world.results if r.flow == name and r.succeeded]


def sent_calls(context, name):
    return [r for r in context.world.results if r.flow == name]


@given(
    "{gateways:d} gateways before {upstreams:d} upstreams of {slots:d} slots "
    "with a mean of {mean:d} ms"
)
def start_fleet(context, gateways, upstreams, slots, mean):
    start_world(context, gateways, upstreams, slots, mean)


@given(
    "{gateways:d} linked gateways before {upstreams:d} upstreams of {slots:d} slots "
    "with a mean of {mean:d} ms"
)
def start_linked_fleet(context, gateways, upstreams, slots, mean):
    start_world(context, gateways, upstreams, slots, mean, linked=True)


@given(
    "{gateways:d} linked gateways before {upstreams:d} upstreams with a budget of "
    "{budget:d} probes a second"
)
def start_probed_fleet(context, gateways, upstreams, budget):
    context.budget = budget
    start_world(
        context, gateways, upstreams, 2, 20, linked=True, probe_budget_per_s=budget
    )


@given("one upstream is {factor:d} times slower")
def slow_down_first_upstream(context, factor):
    change_first_upstream(context, {"slow_factor": float(factor)})


@given("one upstream fails every call at once")
def fail_first_upstream(context):
    change_first_upstream(context, {"fail_fast": True})


def change_first_upstream(context, behaviour):
    fleet = context.world.fleet
    context.address = fleet.upstreams[SERVICE][0]
    context.world.run(fleet.control_upstream(context.address, behaviour))


@when(
    "callers send urgent calls at {urgent:g} and {rank:w} calls at {other:g} "
    "{times} capacity for {seconds:d} seconds with seed {seed:d}"
)
def send_two_ranks(context, urgent, rank, other, times, seconds, seed):
    add_flow(context, "urgent", "urgent", urgent)
    add_flow(context, rank, rank, other)
    context.seconds = seconds
    context.world.run(context.world.run_load(seconds, seed))


@when(
    "callers send normal calls at {normal:g}, bulk calls at {bulk:g} and urgent calls "
    "at {urgent:g} times the capacity for {seconds:d} seconds with seed {seed:d}"
)
def send_three_ranks(context, normal, bulk, urgent, seconds, seed):
    for rank, share in zip(RANKS, (urgent, normal, bulk), strict=True):
        add_flow(context, rank, rank, share)
    context.seconds = seconds
    context.world.run(context.world.run_load(seconds, seed))


@when(
    "a caller sends urgent calls at {first:g} while another floods with urgent calls "
    "at {flood:g} times the capacity for {seconds:d} seconds with seed {seed:d}"
)
def send_two_callers(context, first, flood, seconds, seed):
    add_flow(context, "first", "urgent", first, caller="first")
    add_flow(context, "flood", "urgent", flood, caller="flood")
    context.world.run(context.world.run_load(seconds, seed))


@when(
    "callers send normal calls at {share:g} times the capacity for {seconds:d} seconds "
    "with seed {seed:d}"
)
def send_normal_calls(context, share, seconds, seed):
    add_flow(context, "normal", "normal", share)
    context.world.run(context.world.run_load(seconds, seed))


@when("a gateway is killed")
def kill_gateway(context):
    gateway = context.world.fleet.gateways.pop()
    gateway.send_signal(signal.SIGKILL)
    context.world.run(gateway.wait())


@when("the fleet is split into two halves")
def split_fleet(context):
    fleet = context.world.fleet
    half = range(len(fleet.gateways) // 2)

    async def set_partition():
        await fleet.set_partition(half, True)
        await asyncio.sleep(PARTITION_DETECTION_S)

    context.world.run(set_partition())


@when(
    "every gateway is cut off, one restarts and another pauses for {seconds:d} seconds"
)
def disturb_gateways(context, seconds):
    fleet = context.world.fleet

    async def run():
        context.disturbed_at = asyncio.get_running_loop().time()
        context.probes_before = await count_probes(fleet)
        for number in range(len(fleet.gateways)):
            await fleet.set_partition([number], True)
        fleet.gateways[0].send_signal(signal.SIGKILL)
        await fleet.gateways[0].wait()
        await fleet.gateways[0].start()
        fleet.gateways[1].send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        fleet.gateways[1].send_signal(signal.SIGCONT)

    context.world.run(run())


async def count_probes(fleet):
    states = await fleet.upstream_states(SERVICE)
    return [state["counts"].get("probes", 0) for state in states]


@then("at least {percent:g} percent of the {name} calls are answered within {ms:d} ms")
def check_in_time(context, percent, name, ms):
    name = name.removesuffix(" caller's")
    in_time = [r for r in answered_calls(context, name) if r.elapsed * 1000 <= ms]
    total = len(sent_calls(context, name))
    assert len(in_time) >= total * percent / 100, (len(in_time), total)


@then(
    "at least {percent:g} percent of the first caller's calls are answered within "
    "{ms:d} ms"
)
def check_first_caller(context, percent, ms):
    check_in_time(context, percent, "first", ms)


@then("{rank:w} calls keep at least {percent:g} percent of the capacity")
def check_floor(context, rank, percent):
    kept = len(answered_calls(context, rank))
    floor = context.capacity * context.seconds * percent / 100
    assert kept >= floor, (kept, floor)


@then("no call that was refused as not run has run")
def check_not_run(context):
    outcomes = context.world.count_outcomes(
        context.world.run(context.world.count_runs())
    )
    assert outcomes.false_not_run == 0, outcomes
    assert outcomes.not_run > 0, outcomes


@then("the slow upstream runs at most {percent:g} percent of the urgent calls")
def check_slow_share(context, percent):
    state = context.world.run(context.world.fleet.control_upstream(context.address))
    urgent = {r.request_id for r in sent_calls(context, "urgent")}
    ran = sum(1 for identity in state["runs"] if identity in urgent)
    assert ran <= len(urgent) * percent / 100, (ran, len(urgent))


@then("the failing upstream is sent at most {percent:g} percent of the calls")
def check_failing_share(context, percent):
    state = context.world.run(context.world.fleet.control_upstream(context.address))
    failed = state["counts"].get("failed", 0)
    total = len(context.world.results)
    assert failed <= total * percent / 100, (failed, total)


@then("within {bound:d} seconds every upstream gets calls from the other gateways")
def check_all_upstreams_get_calls(context, bound):
    world = context.world

    async def wait_for_requests():
        before = await count_requests(world.fleet)
        async with asyncio.timeout(bound):
            while True:
                world.flows.clear()
                add_flow(context, "normal", "normal", 0.8)
                await world.run_load(0.5, 1)
                now = await count_requests(world.fleet)
                if all(n > b for n, b in zip(now, before, strict=True)):
                    return

    world.run(wait_for_requests())


async def count_requests(fleet):
    states = await fleet.upstream_states(SERVICE)
    return [state["counts"].get("requests", 0) for state in states]


@then("no upstream ever holds more than {most:d} call in its own queue")
def check_queue_length(context, most):
    longest = context.world.run(context.world.max_counter("longest_queue"))
    assert longest <= most, longest


@then("within {seconds:d} seconds no upstream is probed above its budget")
def check_probe_budget(context, seconds):
    fleet = context.world.fleet

    async def count_probes_later():
        loop = asyncio.get_running_loop()
        await asyncio.sleep(max(0.0, context.disturbed_at + seconds - loop.time()))
        after = await count_probes(fleet)
        elapsed = loop.time() - context.disturbed_at
        return [
            a - b for a, b in zip(after, context.probes_before, strict=True)
        ], elapsed

    context.probe_counts, elapsed = context.world.run(count_probes_later())
    # A probe that was due just before the first count may be counted after it.
    assert max(context.probe_counts) <= context.budget * elapsed + 1, (
        context.probe_counts
    )


@then("every upstream is probed")
def check_all_upstreams_probed(context):
    assert min(context.probe_counts) > 0, context.probe_counts
