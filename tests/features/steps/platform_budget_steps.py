"""Steps for the calls that the fleet makes to the platform."""

import asyncio

from behave import step, then, when


def _control(context, **command):
    return context.running.run(context.running.fleet.control_platform(**command))


@when("the counts of the platform start again")
def reset_counts(context):
    _control(context, reset_counts=True)


@when("every gateway is killed and started again")
def restart_all(context):
    fleet = context.running.fleet

    async def restart():
        await asyncio.gather(*(gateway.kill() for gateway in fleet.gateways))
        await asyncio.gather(*(gateway.start() for gateway in fleet.gateways))

    context.running.run(restart())


@when("the platform refuses {count:d} calls within {bound:g} seconds")
def wait_for_refusals(context, count, bound):
    running = context.running

    async def wait():
        initial_calls = (await running.fleet.control_platform())["calls"]

        async def enough_refusals():
            counts = await running.fleet.control_platform()
            return counts["calls"] >= initial_calls + count

        return await running.wait_for(enough_refusals, bound)

    assert running.run(wait())


@when("the platform is up again")
def start_platform(context):
    _control(context, down=False)


@when("the connections to the platform go silent")
def silence_platform(context):
    _control(context, silence_connections=True)


@then("the platform had at most {most:d} calls in any second")
def check_calls(context, most):
    counts = _control(context)
    assert counts["busiest_second"] <= most, counts


@step("one watch per gateway waits at the platform within {bound:g} seconds")
def check_watches(context, bound):
    running = context.running
    gateways = len(running.fleet.gateways)

    async def each_has_one_watch():
        return (await running.fleet.control_platform())["watching"] == gateways

    reached = running.run(running.wait_for(each_has_one_watch, bound))
    assert reached, _control(context)
