"""Steps for connections that go silent."""

import asyncio

from behave import given, then, when

from tests.lib.world import World

WARM_UP_S = 3


@given(
    "a gateway before {count:d} upstreams, with {connections:d} open connections "
    "to each"
)
def start_with_connections(context, count, connections):
    world = context.world = World.from_context(context)
    behaviour = {"slots": 500, "mean_ms": 5.0}
    world.run(world.start(1, count, behaviour, routing="round_robin"))
    world.add_flow("read", "GET", 60)
    world.add_flow("write", "POST", 60)
    # Gives the gateway latencies of calls, on which its stall timeout depends.
    world.run(world.run_load(WARM_UP_S, 40))
    world.flows.clear()
    world.results.clear()

    async def open_connections() -> None:
        await world.set_behaviour({"mean_ms": 300.0, "distribution": "fixed"})
        url = f"http://{world.fleet.gateways[0].address}/profiles"

        async def write() -> None:
            async with world.fleet.session.post(url) as response:
                assert response.status == 200, response.status

        await asyncio.gather(*(write() for _ in range(count * connections)))
        await world.set_behaviour({"mean_ms": 5.0, "distribution": "exponential"})

    world.run(open_connections())


@when("the open connections to one upstream go silent")
def silence_open_connections(context):
    world = context.world
    context.silent = world.fleet.upstreams["profiles"][0]
    state = world.run(world.fleet.control_upstream(context.silent, {"silent": True}))
    context.requests_before = state["counts"]["requests"]


@when(
    "callers read {reads:d} times and write {writes:d} times a second for "
    "{seconds:d} second with seed {seed:d}"
)
@when(
    "callers read {reads:d} times and write {writes:d} times a second for "
    "{seconds:d} seconds with seed {seed:d}"
)
def send_load(context, reads, writes, seconds, seed):
    world = context.world
    world.flows = []
    world.add_flow(f"read-{seed}", "GET", reads)
    world.add_flow(f"write-{seed}", "POST", writes)
    world.run(world.run_load(seconds, seed))


def count_calls_on_silent_connections(context) -> int:
    """Return the number of calls that the upstream received on silent connections."""
    state = context.world.run(context.world.fleet.control_upstream(context.silent))
    return state["counts"].get("held", 0)


@when("the silence is noticed")
def record_held_calls(context):
    context.held_before = count_calls_on_silent_connections(context)
    assert context.held_before > 0


@then("no later call was sent on a silent connection")
def check_held_calls(context):
    later = count_calls_on_silent_connections(context) - context.held_before
    assert later == 0, (context.held_before, later)


@then("every read was answered")
def check_reads(context):
    reads = [r for r in context.world.results if r.flow.startswith("read")]
    lost = [r for r in reads if not r.succeeded]
    assert reads and not lost, lost


@then('every write was answered or its caller told "unknown"')
def check_writes_reported(context):
    world = context.world
    world.run(world.wait_until_idle())
    context.runs = world.run(world.count_runs())
    writes = [r for r in world.results if r.flow.startswith("write")]
    assert writes and all(r.succeeded or r.ran == "unknown" for r in writes), writes


@then("the upstream is still in use")
def check_upstream_in_use(context):
    state = context.world.run(context.world.fleet.control_upstream(context.silent))
    assert state["counts"]["requests"] > context.requests_before, state["counts"]
