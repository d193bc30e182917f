"""Helpers for steps of scenarios that start a fleet."""

import asyncio
import json

from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup
from tests.lib import builders

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05


def run(context, awaitable):
    """Run a coroutine on the event loop of the scenario."""
    return context.runner.run(awaitable)


def start_loop(context):
    """Create an event loop and a fleet that are closed with the scenario."""
    context.runner = asyncio.Runner()
    context.runner.__enter__()
    context.add_cleanup(context.runner.close)
    context.fleet = Fleet()
    context.add_cleanup(lambda: context.runner.run(context.fleet.stop()))


async def publish_services(fleet, *names, count=2, behaviour=None):
    """Start upstreams of services and publish a configuration with them."""
    await fleet.start_platform()
    await fleet.start_upstreams(
        [UpstreamGroup(name, count, behaviour or {}) for name in names]
    )
    services = [
        builders.service_entry(name, tuple(fleet.upstreams[name])) for name in names
    ]
    await fleet.publish(json.dumps(builders.configuration_document(*services)))


async def get_json(context, gateway, path):
    """Return a JSON document of an administration API."""
    url = f"http://{gateway.administration_address}{path}"
    async with context.fleet.session.get(url) as response:
        assert response.status == 200, await response.text()
        return await response.json(content_type=None)


async def wait_for(condition, description):
    """Poll an async condition until it returns a true value, at most WAIT_TIMEOUT_S."""
    try:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not (value := await condition()):
                await asyncio.sleep(POLL_INTERVAL_S)
            return value
    except TimeoutError:
        raise AssertionError(f"not within {WAIT_TIMEOUT_S} s: {description}") from None


def disabled_features(context):
    """Return feature settings that disable the features of `behave -D off=A,B`."""
    names = context.config.userdata.get("off", "")
    return {name: False for name in names.split(",") if name}


def find_gateway(context, name):
    """Return the process of a gateway."""
    return next(g for g in context.fleet.gateways if g.id == name)
