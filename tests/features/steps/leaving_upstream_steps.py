"""Steps for draining upstreams and the host list."""

from behave import given, then, when

from dogwoodshed._internal.standins.fleet import HOSTS_KEY
from tests.lib.running_fleet import SERVICE, RunningFleet


@given("{count:d} gateways and {upstreams:d} upstreams that serve by text 1")
def start_gateways(context, count, upstreams):
    context.running = RunningFleet.from_context(context)
    context.running.run(context.running.start(count, upstreams=upstreams))


@given(
    "{count:d} gateways and {upstreams:d} upstreams, and only gateway {only:d} can "
    "reach the platform"
)
def start_gateways_with_platform_cut(context, count, upstreams, only):
    running = context.running = RunningFleet.from_context(context)
    linked = [number for number in range(count) if number != only]

    async def start():
        await running.start(count, upstreams=upstreams, platform_link_for=linked)
        await running.fleet.set_platform_cut(True)

    running.run(start())


@given(
    "{count:d} gateways and {upstreams:d} upstreams, of which the host list names all "
    "but upstream {missing:d}"
)
def start_with_host_list(context, count, upstreams, missing):
    running = context.running = RunningFleet.from_context(context)

    async def start():
        await running.start_stand_ins(upstreams=upstreams, discover=True)
        await running.publish_hosts(**{f"upstream_{missing}": "missing"})
        await running.start_gateways(count)

    running.run(start())


@when("upstream {number:d} reports that it drains")
def drain(context, number):
    address = context.running.fleet.upstreams[SERVICE][number]
    request = context.running.fleet.control_upstream(address, {"draining": True})
    context.running.run(request)


@when("the gateways are called until upstream {number:d} has answered once")
def call_until_answered(context, number):
    running = context.running
    running.run(running.call_until_served(running.fleet.gateways, number))


@when("the live gateways are called until upstream {number:d} has answered once")
def call_live_until_answered(context, number):
    running = context.running
    live = [gateway for gateway in running.fleet.gateways if not gateway.paused]
    running.run(running.call_until_served(live, number))


@when("a new host list shows every upstream as live")
def publish_live(context):
    context.running.run(context.running.publish_hosts())


@when("a new host list shows upstream {number:d} as leaving")
def publish_leaving(context, number):
    states = {f"upstream_{number}": "leaving"}
    context.running.run(context.running.publish_hosts(**states))


@when("the host list is empty")
def publish_empty(context):
    text = '{"gateways": [], "upstreams": []}'
    context.running.run(context.running.fleet.publish(text, HOSTS_KEY))


@when("the host list is malformed")
def publish_malformed(context):
    text = '{"upstreams": [{"address": "127.0.0.1"}'
    context.running.run(context.running.fleet.publish(text, HOSTS_KEY))


@then("every gateway knows within {bound:g} seconds that upstream {number:d} {state}")
def check_upstream_state(context, bound, number, state):
    gateways = context.running.fleet.gateways
    _check_upstream_state(context.running, gateways, bound, number, state)


@then(
    "gateway {gateway:d} knows within {bound:g} seconds that upstream {number:d} "
    "{state}"
)
def check_upstream_state_at_one(context, gateway, bound, number, state):
    gateways = [context.running.fleet.gateways[gateway]]
    _check_upstream_state(context.running, gateways, bound, number, state)


def _check_upstream_state(running, gateways, bound, number, state):
    address = running.fleet.upstreams[SERVICE][number]

    def last_state(gateway):
        lines = gateway.log_text.split("Starting...")[-1].splitlines()
        return [line for line in lines if f"upstream {address} " in line][-1:]

    def all_agree():
        return all(f" {state}" in "".join(last_state(gateway)) for gateway in gateways)

    agreed = running.run(running.wait_for(all_agree, bound))
    assert agreed, {gateway.id: last_state(gateway) for gateway in gateways}


@then(
    "{calls:d} calls to each gateway are answered and {count} reaches upstream "
    "{number:d}"
)
@then(
    "{calls:d} calls to each gateway are answered and {count} reach upstream {number:d}"
)
def check_calls(context, calls, count, number):
    running = context.running

    async def call_and_count():
        before = await running.count_requests(number)
        statuses = await running.call_each(running.fleet.gateways, calls)
        return statuses, await running.count_requests(number) - before

    statuses, added = running.run(call_and_count())
    assert set(statuses) == {200}, statuses
    assert (added > 0) == (count == "some"), added


@then("upstream {number:d} gets calls within {bound:g} seconds")
def check_new_upstream(context, number, bound):
    running = context.running

    async def gets_calls():
        before = await running.count_requests(number)
        await running.call_each(running.fleet.gateways, 3)
        return await running.count_requests(number) > before

    assert running.run(running.wait_for(gets_calls, bound))
