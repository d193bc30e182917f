"""Steps on retries."""

from behave import given, then, when

from tests.lib.world import World


@given("{gateways:d} gateways before {count:d} services that call one another")
@given("{gateways:d} gateways before {count:d} service that calls nobody")
def start_tree(context, gateways, count):
    world = context.world = World.from_context(context)
    context.services = [f"level-{number}" for number in range(1, count + 1)]
    behaviour = {"slots": 50, "mean_ms": 1.0, "distribution": "fixed"}
    world.run(world.start(gateways, 3, behaviour, context.services))
    gateway = world.fleet.gateways[0].address
    for name, below in zip(context.services, context.services[1:], strict=False):
        world.run(world.set_behaviour({"calls": f"http://{gateway}/{below}"}, name))


@given("the last service fails every call")
def fail_last(context):
    context.world.run(
        context.world.set_behaviour({"fail_fast": True}, context.services[-1])
    )


@when(
    "callers read the first service {rate:d} times a second for {seconds:d} seconds "
    "with seed {seed:d}"
)
def read_first(context, rate, seconds, seed):
    world = context.world
    world.add_flow("read", "GET", rate, f"/{context.services[0]}")
    world.run(world.run_load(seconds, seed))


@then(
    "no service is sent more than {factor:g} times the calls of the callers and "
    "{more:d} more"
)
def compare_runs(context, factor, more):
    world = context.world
    sent = len(world.results)
    counts = [
        world.run(world.sum_counter("requests", name)) for name in context.services
    ]
    assert all(count <= sent * factor + more for count in counts), (sent, counts)
    assert counts[-1] >= sent, (sent, counts)


@then("every caller was told of the failure")
def compare_answers(context):
    statuses = {result.status for result in context.world.results}
    assert statuses and min(statuses) >= 500, statuses
