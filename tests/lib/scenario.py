"""Help the steps of scenarios that start a fleet."""

import asyncio
import json

from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup
from tests.lib import builders

WAIT_S = 30.0
POLL_S = 0.05


def run(context, awaitable):
    """Run a coroutine on the loop of the scenario."""
    return context.runner.run(awaitable)


def start_loop(context):
    """Give the scenario an event loop and a fleet that end with it."""
    context.runner = asyncio.Runner()
    context.runner.__enter__()
    context.add_cleanup(context.runner.close)
    context.fleet = Fleet()
    context.add_cleanup(lambda: context.runner.run(context.fleet.stop()))


async def publish_services(fleet, *names, count=2, behaviour=None):
    """Start upstreams for services and publish their configuration text."""
    await fleet.start_platform()
    await fleet.start_upstreams(
        [UpstreamGroup(name, count, behaviour or {}) for name in names]
    )
    services = [
        builders.service_entry(name, tuple(fleet.upstreams[name])) for name in names
    ]
    await fleet.publish(json.dumps(builders.configuration_document(*services)))


async def get_json(context, gateway, path):
    """Return a document of an administration API."""
    url = f"http://{gateway.administration_address}{path}"
    async with context.fleet.session.get(url) as response:
        assert response.status == 200, await response.text()
        return await response.json(content_type=None)


async def wait_for(condition, what):
    """Wait until an awaited condition returns something true, within a bound."""
    try:
        async with asyncio.timeout(WAIT_S):
            while not (found := await condition()):
                await asyncio.sleep(POLL_S)
            return found
    except TimeoutError:
        raise AssertionError(f"not within {WAIT_S} s: {what}") from None


def disabled_features(context):
    """Return the mechanisms that `behave -D off=NAME,NAME` switches off."""
    names = context.config.userdata.get("off", "")
    return {name: False for name in names.split(",") if name}


def find_gateway(context, name):
    """Return the process of a gateway."""
    return next(g for g in context.fleet.gateways if g.id == name)
