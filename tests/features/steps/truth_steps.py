"""Steps that compare the outcomes reported to callers with the runs of upstreams."""

import asyncio
import signal

from behave import given, then, when

from dogwoodshed._internal.standins.ports import free_ports
from tests.lib.world import World

STOP_AFTER_S = 1.5


@given("{gateways:d} gateways before {count:d} upstreams that answer in {mean:g} ms")
def start_fleet(context, gateways, count, mean):
    world = context.world = World.from_context(context)
    world.run(world.start(gateways, count, {"slots": 50, "mean_ms": mean}))


@given("the upstreams are in trouble: {trouble}")
def set_upstream_faults(context, trouble):
    world = context.world
    addresses = world.fleet.upstreams["profiles"]
    changes = {
        "refusals everywhere": [{"shed": True}] * 3,
        "refusals at two of three": [{"shed": True}] * 2 + [{}],
        "resets before the run": [{"reset_before_run": 0.3}] * 3,
        "resets after the run": [{"reset_after_run": 0.3}] * 3,
        "resets after the run, then refusals": [
            {"reset_after_run": 1.0},
            {"shed": True},
            {"shed": True},
        ],
        "answers after the deadline": [{"mean_ms": 4000, "distribution": "fixed"}] * 3,
        "no listener at two of five": [{}] * 3,
    }[trouble]
    if trouble.startswith("no listener"):
        unused = [f"127.0.0.1:{port}" for port in free_ports(2)]
        world.run(world.publish(unused))
    for address, change in zip(addresses, changes, strict=True):
        world.run(world.fleet.control_upstream(address, change))


@when(
    "callers read and write {rate:d} times a second each for {seconds:d} seconds "
    "with seed {seed:d}"
)
def send_load(context, rate, seconds, seed):
    world = context.world
    world.add_flow("read", "GET", rate)
    world.add_flow("write", "POST", rate)
    world.run(world.run_load(seconds, seed))


@when(
    "callers read and write {rate:d} times a second each for {seconds:d} seconds "
    "with seed {seed:d} while a gateway stops"
)
def send_load_while_stopping(context, rate, seconds, seed):
    world = context.world
    world.add_flow("read", "GET", rate)
    world.add_flow("write", "POST", rate)

    async def stop() -> None:
        # The gateway stops during the load; the load does not wait for it.
        await asyncio.sleep(STOP_AFTER_S)
        world.fleet.gateways[0].send_signal(signal.SIGTERM)

    async def run_load_and_stop() -> None:
        await asyncio.gather(world.run_load(seconds, seed), stop())

    world.run(run_load_and_stop())


@then("no call that was told to be not run was run")
def check_not_run_calls(context):
    world = context.world
    world.run(world.wait_until_idle())
    context.runs = world.run(world.count_runs())
    result = world.count_outcomes(context.runs)
    assert result.false_not_run == 0 and result.lost == 0, result
    assert result.mixed_up == 0, result


@then("no write was run twice")
def check_writes(context):
    result = context.world.count_outcomes(context.runs)
    assert result.doubled == 0, result


@then('every caller was told one outcome, at least {count:d} of them "no"')
def check_reported_outcomes(context, count):
    result = context.world.count_outcomes(context.runs)
    reported = result.answered + result.not_run + result.unknown
    assert reported == result.sent and result.sent > 0, result
    assert result.not_run >= count, result


@then('at least {count:d} callers were told "unknown"')
def check_unknown_outcomes(context, count):
    result = context.world.count_outcomes(context.runs)
    assert result.unknown >= count, result
