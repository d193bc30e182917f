"""Steps for calls with an idempotency key."""

import asyncio
import json
import re
import signal
from collections import Counter, defaultdict
from typing import NamedTuple

import aiohttp
from behave import given, step, then

from dogwoodshed._internal.standins.caller import Callers, Flow, count_outcomes
from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup
from tests.lib import builders

SERVICE = "orders"
TIMEOUT_S = 20.0


class _OrderResponse(NamedTuple):
    ran: str
    status: int
    body: bytes
    replayed: bool


class _Orders:
    """A fleet and the responses to all attempts at each order."""

    def __init__(self, features):
        self.fleet = Fleet()
        self._features = features
        self.results = defaultdict(list)

    async def start(self, gateways, limit_ms, service_ms):
        await self.fleet.start_platform()
        behaviour = {"slots": 4, "mean_ms": service_ms, "distribution": "fixed"}
        await self.fleet.start_upstreams([UpstreamGroup(SERVICE, 3, behaviour)])
        kind = builders.kind_entry(
            "order",
            method="POST",
            path=f"/{SERVICE}",
            idempotent=False,
            time_limit_ms=limit_ms,
            deadline_ms=limit_ms,
        )
        addresses = tuple(self.fleet.upstreams[SERVICE])
        service = builders.service_entry(SERVICE, addresses, kinds=[kind])
        await self.fleet.publish(json.dumps(builders.configuration_document(service)))
        await self.fleet.start_gateways(
            gateways,
            with_links=True,
            features=self._features,
        )

    async def call(self, gateway, order):
        headers = {"X-Request-Id": order, "Idempotency-Key": order, "X-Caller": "van"}
        url = f"http://{self.fleet.gateways[gateway].address}/{SERVICE}"
        try:
            async with self.fleet.session.post(url, headers=headers) as response:
                ran = response.headers.get("X-Request-Ran", "yes")
                replayed = "Idempotent-Replayed" in response.headers
                result = _OrderResponse(
                    ran, response.status, await response.read(), replayed
                )
        except (aiohttp.ClientError, OSError):
            result = _OrderResponse("unknown", 0, b"", False)
        self.results[order].append(result)
        return result

    async def call_each(self, gateways, orders):
        await asyncio.gather(
            *(self.call(g, order) for order in orders for g in gateways)
        )

    async def runs(self):
        states = await self.fleet.upstream_states(SERVICE)
        return sum((Counter(state["runs"]) for state in states), Counter())

    async def wait_until_running(self, count):
        async with asyncio.timeout(TIMEOUT_S):
            while len(await self.runs()) < count:
                await asyncio.sleep(0.01)

    async def stop_with_signal(self, gateway, number):
        process = self.fleet.gateways[gateway]
        process.send_signal(number)
        await asyncio.wait_for(process.wait(), TIMEOUT_S)

    async def restart(self, gateway):
        await self.fleet.gateways[gateway].start()
        await self.fleet.wait_ready(self.fleet.gateways[gateway])


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _numbers(text):
    return [int(number) for number in re.findall(r"\d+", text)]


@given(
    "{count:d} gateways with a time limit of {limit:d} ms "
    "and orders that take {ms:d} ms"
)
def start_fleet(context, count, limit, ms):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    # `-D off=idempotency` disables the feature, to show that a scenario fails without
    # it.
    off = context.config.userdata.get("off", "").split(",")
    context.orders = _Orders({name: False for name in off if name})
    context.add_cleanup(lambda: _run(context, context.orders.fleet.stop()))
    _run(context, context.orders.start(count, limit, ms))


@step("each answer has {size:d} bytes")
def set_answer_size(context, size):
    fleet = context.orders.fleet
    for address in fleet.upstreams[SERVICE]:
        _run(context, fleet.control_upstream(address, {"answer_bytes": size}))


@step("{count:d} order is running through gateway {gateway:d}")
@step("{count:d} orders are running through gateway {gateway:d}")
def start_orders(context, count, gateway):
    names = [f"order-{number}" for number in range(count)]

    async def start():
        calls = context.orders.call_each([gateway], names)
        context.running = asyncio.ensure_future(calls)
        await context.orders.wait_until_running(count)
        assert not context.running.done()

    context.names = names
    _run(context, start())


@step("{count:d} new orders are sent through gateway {gateways}")
@step("{count:d} new orders are sent through gateways {gateways}")
def send_orders(context, count, gateways):
    context.names = [f"new-{number}" for number in range(count)]
    context.orders.results.clear()
    _run(context, context.orders.call_each(_numbers(gateways), context.names))


@step("the orders are repeated through gateways {gateways}")
@step("the orders are repeated through gateway {gateways:d}")
def repeat_orders(context, gateways):
    repeats = context.orders.call_each(_numbers(str(gateways)), context.names)
    _run(context, repeats)
    if "running" in context:
        _run(context, context.running)


@step("the orders are repeated through gateway {gateway:d} until each is answered")
def repeat_until_answered(context, gateway):
    async def repeat(order):
        while (await context.orders.call(gateway, order)).ran != "yes":
            await asyncio.sleep(0.1)

    async def repeat_all():
        async with asyncio.timeout(TIMEOUT_S):
            await asyncio.gather(*map(repeat, context.names))

    _run(context, repeat_all())


@step("gateway {gateway:d} is killed")
def kill_gateway(context, gateway):
    _run(context, context.orders.stop_with_signal(gateway, signal.SIGKILL))


@step("gateway {gateway:d} is started again")
def restart_gateway(context, gateway):
    _run(context, context.orders.restart(gateway))


@step("gateways {gateways} stop as planned, one after the other")
def stop_gateways(context, gateways):
    for gateway in _numbers(gateways):
        _run(context, context.orders.stop_with_signal(gateway, signal.SIGTERM))


@step("the links between gateways {gateways} and the others are cut")
def cut_links(context, gateways):
    context.cut_off = _numbers(gateways)
    _run(context, context.orders.fleet.set_partition(context.cut_off, cut=True))


@step("the links are mended")
def mend_links(context):
    _run(context, context.orders.fleet.set_partition(context.cut_off, cut=False))


@then("every try was answered")
def check_answered(context):
    for order, attempts in context.orders.results.items():
        assert all(result[:2] == ("yes", 200) for result in attempts), (order, attempts)


@then("no try was told that it did not run")
def check_not_run(context):
    for order, attempts in context.orders.results.items():
        assert all(result.ran != "no" for result in attempts), (order, attempts)


@then("each order ran at most once and all its answers are the first")
def check_orders(context):
    runs = _run(context, context.orders.runs())
    assert max(runs.values()) == 1, runs
    for order, attempts in context.orders.results.items():
        answers = [result for result in attempts if result.ran == "yes"]
        assert len({result.body for result in answers}) <= 1, (order, answers)
        assert all(json.loads(result.body)["id"] == order for result in answers)
        # All responses but the first are marked as replays.
        assert sum(not result.replayed for result in answers) <= 1, (order, answers)


@then("at least {count:d} orders were answered")
def check_answered_count(context, count):
    results = context.orders.results.values()
    answered = sum(
        any(result.ran == "yes" for result in attempts) for attempts in results
    )
    assert answered >= count, answered


@step(
    "callers send {rate:d} charges per second for {seconds:d} seconds "
    "and repeat what is unsettled"
)
def send_charges(context, rate, seconds):
    callers = Callers([g.address for g in context.orders.fleet.gateways], tries=4)
    flow = Flow("charge", "normal", "POST", f"/{SERVICE}", rate, keyed=True)
    seed = int(re.search(r"seed (\d+)", context.scenario.name)[1])
    context.charges = context.loop.create_task(callers.run([flow], seconds, seed=seed))


@step(
    "meanwhile gateway {killed:d} is killed, gateway {paused:d} pauses for "
    "{seconds:d} seconds and gateway {returned:d} returns"
)
def inject_faults(context, killed, paused, seconds, returned):
    orders = context.orders

    async def inject():
        await orders.wait_until_running(100)
        await orders.stop_with_signal(killed, signal.SIGKILL)
        await orders.wait_until_running(200)
        orders.fleet.gateways[paused].send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        orders.fleet.gateways[paused].send_signal(signal.SIGCONT)
        await orders.restart(returned)

    _run(context, inject())


@then("no charge ran twice or was answered with another's answer")
def check_charges(context):
    results = _run(context, context.charges)
    runs = _run(context, context.orders.runs())
    context.outcomes = count_outcomes(results, runs, frozenset({"charge"}))
    violations = (
        context.outcomes.doubled,
        context.outcomes.mixed_up,
        context.outcomes.lost,
    )
    assert violations == (0, 0, 0), context.outcomes


@then("at least {count:d} charges were answered")
def check_charge_count(context, count):
    assert context.outcomes.answered >= count, context.outcomes
