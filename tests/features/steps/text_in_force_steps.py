"""Steps for the configuration text that each gateway uses."""

from behave import given, step, then, when

from tests.lib.running_fleet import SERVICE, RunningFleet


@given("{count:d} gateways that serve by text 1")
def start_gateways(context, count):
    context.running = RunningFleet.from_context(context)
    context.running.run(context.running.start(count))


@given(
    "{count:d} gateways that serve by text 1, of which gateway {cut:d} reaches the "
    "platform over a link"
)
def start_gateways_with_links(context, count, cut):
    context.running = RunningFleet.from_context(context)
    start = context.running.start(count, with_links=True, platform_link_for=[cut])
    context.running.run(start)


@step("the operators publish text {number:d}")
def publish_text(context, number):
    context.running.run(context.running.publish())
    assert context.running.last_text == number


@when("the platform shows only text {number:d}")
def rewind_platform(context, number):
    changes = context.running.last_text - number
    context.running.run(context.running.fleet.control_platform(rewind=changes))


@when("the platform is down")
def stop_platform(context):
    context.running.run(context.running.fleet.control_platform(down=True))


@when("the link to the platform is cut")
def disconnect_platform(context):
    context.running.run(context.running.fleet.set_platform_cut(True))


@when("gateway {number:d} is cut off from the other gateways")
def disconnect_gateway(context, number):
    context.running.run(context.running.fleet.set_partition([number], True))


@when("gateway {number:d} is connected to the other gateways again")
def reconnect_gateway(context, number):
    context.running.run(context.running.fleet.set_partition([number], False))


@when("gateway {number:d} is killed and started again")
def restart_gateway(context, number):
    gateway = context.running.fleet.gateways[number]

    async def restart():
        await gateway.kill()
        await gateway.start()
        await context.running.fleet.wait_ready(gateway)

    context.running.run(restart())


@step("every gateway serves by text {number:d} within {bound:g} seconds")
def check_every_gateway(context, number, bound):
    _check_text_in_use(context.running, set(context.running.newest_text), number, bound)


@then(
    "the gateways other than {other:d} serve by text {number:d} within {bound:g} "
    "seconds"
)
def check_other_gateways(context, other, number, bound):
    others = set(context.running.newest_text) - {f"g{other:02d}"}
    _check_text_in_use(context.running, others, number, bound)


def _check_text_in_use(running, gateways, number, bound):
    # Sends new calls, because `newest_text` also covers the time before a restart.
    async def all_use_text():
        return all(
            [
                await running.call(gateway, f"text-{number}") == 200
                for gateway in running.fleet.gateways
                if gateway.id in gateways
            ]
        )

    assert running.run(running.wait_for(all_use_text, bound)), running.newest_text


@then("gateway {gateway:d} still serves by text {number:d}")
def check_old_text(context, gateway, number):
    process = context.running.fleet.gateways[gateway]
    status = context.running.run(context.running.call(process, f"text-{number}"))
    assert status == 200, status


@then("gateway {number:d} answers a call within {bound:g} seconds")
def check_call(context, number, bound):
    running = context.running
    gateway = running.fleet.gateways[number]

    async def is_served():
        return await running.call(gateway, SERVICE) == 200

    assert running.run(running.wait_for(is_served, bound)), gateway.log_text[-1000:]


@then("no gateway went back to an older text")
def check_no_reversion(context):
    assert context.running.reversions == [], context.running.reversions
