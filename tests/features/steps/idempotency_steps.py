"""Steps on calls that carry an idempotency key."""

import asyncio
import json
import re
import signal
from collections import Counter

import aiohttp
from behave import given, step, then

from dogwoodshed._internal.standins.caller import Callers, Flow, tally
from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup
from tests.lib import builders

SERVICE = "orders"
REPEAT_BOUND_S = 20.0


class _Orders:
    """A fleet and what its callers were told of each order."""

    def __init__(self, off):
        self.fleet = Fleet()
        self._features = {name: False for name in off.split(",") if name}
        # The answers by order, first tries and repeats apart.
        self.firsts = {}
        self.repeats = {}

    async def start(self, gateways, service_ms, *, with_links=False, time_limit_ms):
        await self.fleet.start_platform()
        behaviour = {"slots": 4, "mean_ms": service_ms, "distribution": "fixed"}
        group = UpstreamGroup(SERVICE, 3, behaviour)
        await self.fleet.start_upstreams([group])
        order = builders.kind_text(
            "order",
            method="POST",
            path=f"/{SERVICE}",
            idempotent=False,
            time_limit_ms=time_limit_ms,
            deadline_ms=time_limit_ms,
        )
        service = builders.service_text(
            SERVICE, tuple(self.fleet.upstreams[SERVICE]), kinds=[order]
        )
        await self.fleet.publish(json.dumps(builders.configuration_text(service)))
        await self.fleet.start_gateways(
            gateways,
            with_links=with_links,
            routing="least_in_flight",
            features=self._features,
        )

    async def call(self, gateway, order, into):
        """Send one try of an order and note what its caller is told."""
        headers = {"X-Request-Id": order, "Idempotency-Key": order, "X-Caller": "van"}
        url = f"http://{self.fleet.gateways[gateway].address}/{SERVICE}"
        try:
            async with self.fleet.session.post(url, headers=headers) as response:
                ran = response.headers.get("X-Request-Ran", "yes")
                replayed = response.headers.get("Idempotent-Replayed") == "true"
                told = (ran, response.status, await response.read(), replayed)
        except (aiohttp.ClientError, OSError):
            told = ("unknown", 0, b"", False)
        into.setdefault(order, []).append(told)
        return told

    async def runs(self):
        states = await self.fleet.upstream_states(SERVICE)
        return sum((Counter(state["runs"]) for state in states), Counter())

    async def wait_until_running(self, count):
        async with asyncio.timeout(REPEAT_BOUND_S):
            while len(await self.runs()) < count:
                await asyncio.sleep(0.01)


def _run(context, coroutine):
    return context.loop.run_until_complete(coroutine)


def _numbers(text):
    return [int(number) for number in re.findall(r"\d+", text)]


def _start(context, count, service_ms, **options):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    # Pass `-D off=idempotency` to see a scenario fail without its mechanism.
    context.orders = _Orders(context.config.userdata.get("off", ""))
    context.add_cleanup(lambda: _run(context, context.orders.fleet.stop()))
    _run(context, context.orders.start(count, service_ms, **options))


@given("{count:d} gateways in front of a service that takes {ms:d} ms for an order")
def start_fleet(context, count, ms):
    _start(context, count, ms, time_limit_ms=10_000)


@given(
    "{count:d} gateways with a time limit of {limit:d} ms in front of a service that "
    "takes {ms:d} ms for an order"
)
def start_impatient_fleet(context, count, limit, ms):
    _start(context, count, ms, time_limit_ms=limit)


@given(
    "{count:d} linked gateways in front of a service that takes {ms:d} ms for an order"
)
def start_linked_fleet(context, count, ms):
    _start(context, count, ms, with_links=True, time_limit_ms=2_000)


@step("the van places an order through gateway {gateway:d}")
def place_order(context, gateway):
    orders = context.orders

    async def place():
        context.first = asyncio.ensure_future(
            orders.call(gateway, "order-1", orders.firsts)
        )
        await orders.wait_until_running(1)

    _run(context, place())


@step("the van repeats the order through gateways {gateways} before it is answered")
def repeat_order(context, gateways):
    orders = context.orders

    async def repeat():
        assert not context.first.done()
        await asyncio.gather(
            context.first,
            *(
                orders.call(gateway, "order-1", orders.repeats)
                for gateway in _numbers(gateways)
            ),
        )

    _run(context, repeat())


@then("the van gets the same answer each time, marked as a replay for the repeats")
def compare_answers(context):
    (first,) = context.orders.firsts["order-1"]
    assert first[:2] == ("yes", 200), first
    for repeat in context.orders.repeats["order-1"]:
        assert repeat == (*first[:3], True), repeat


@step("{count:d} pairings are sent through gateway {gateway:d} and all are running")
def send_pairings(context, count, gateway):
    orders = context.orders

    async def send():
        context.sending = [
            asyncio.ensure_future(
                orders.call(gateway, f"order-{number}", orders.firsts)
            )
            for number in range(count)
        ]
        await orders.wait_until_running(count)

    _run(context, send())


@step("gateway {gateway:d} is killed")
def kill_gateway(context, gateway):
    process = context.orders.fleet.gateways[gateway]

    async def kill():
        process.send_signal(signal.SIGKILL)
        await process.wait()
        await asyncio.gather(*context.sending)

    _run(context, kill())


@step("gateway {gateway:d} is started again")
def restart_gateway(context, gateway):
    process = context.orders.fleet.gateways[gateway]
    _run(context, process.start())
    _run(context, context.orders.fleet.wait_ready(process))


@step("each pairing is repeated through every other gateway")
def repeat_everywhere(context):
    _repeat(context, len(context.sending), range(1, len(context.orders.fleet.gateways)))


@step("each pairing is repeated through gateway {gateway:d}")
def repeat_at_one(context, gateway):
    _repeat(context, len(context.sending), [gateway])


def _repeat(context, count, gateways):
    orders = context.orders
    orders.repeats.clear()

    async def repeat():
        await asyncio.gather(
            *(
                orders.call(gateway, f"order-{number}", orders.repeats)
                for number in range(count)
                for gateway in gateways
            )
        )

    _run(context, repeat())


@then("each repeat gets the first answer or is told that the outcome is unknown")
def compare_repeats(context):
    for order, tries in context.orders.repeats.items():
        for ran, status, body, replayed in tries:
            answered = (ran, status, replayed) == ("yes", 200, True)
            assert ran == "unknown" or answered, (order, ran, status)
            assert not answered or json.loads(body)["id"] == order


@step("the links between gateways {gateways} and the others are cut")
def cut_links(context, gateways):
    context.side = _numbers(gateways)
    _run(context, context.orders.fleet.set_partition(context.side, cut=True))


@step("the links are mended")
def mend_links(context):
    _run(context, context.orders.fleet.set_partition(context.side, cut=False))


@step("{count:d} orders are sent through gateways {gateways} at the same moment")
def send_orders(context, count, gateways):
    context.count = count
    _repeat(context, count, _numbers(gateways))


@step("the {count:d} orders are repeated through gateways {gateways}")
def repeat_orders(context, count, gateways):
    before = {order: list(tries) for order, tries in context.orders.repeats.items()}
    _repeat(context, count, _numbers(gateways))
    for order, tries in before.items():
        context.orders.repeats[order] += tries


@step("at least {count:d} orders were answered")
def count_answered(context, count):
    answered = sum(
        any(told[0] == "yes" for told in tries)
        for tries in context.orders.repeats.values()
    )
    assert answered >= count, answered


@step(
    "the {count:d} orders are repeated through gateway {gateway:d} "
    "until each is answered"
)
def repeat_until_answered(context, count, gateway):
    orders = context.orders

    async def repeat(order):
        while (await orders.call(gateway, order, orders.repeats))[0] != "yes":
            await asyncio.sleep(0.1)

    async def repeat_all():
        async with asyncio.timeout(REPEAT_BOUND_S):
            await asyncio.gather(*(repeat(f"order-{n}") for n in range(count)))

    _run(context, repeat_all())


@step("{count:d} orders are answered through gateway {gateway:d}")
def answer_orders(context, count, gateway):
    _repeat(context, count, [gateway])
    context.orders.firsts = dict(context.orders.repeats)
    for tries in context.orders.firsts.values():
        assert tries[0][:2] == ("yes", 200), tries


@step("{count:d} new orders are answered through gateway {gateway:d}")
def answer_new_orders(context, count, gateway):
    orders = context.orders

    async def send():
        return await asyncio.gather(
            *(orders.call(gateway, f"new-{number}", {}) for number in range(count))
        )

    for told in _run(context, send()):
        assert told[:2] == ("yes", 200), told


@step("each answer has {size:d} bytes")
def set_answer_size(context, size):
    fleet = context.orders.fleet
    for address in fleet.upstreams[SERVICE]:
        _run(context, fleet.control_upstream(address, {"answer_bytes": size}))


@then("each answer had {size:d} bytes")
def compare_size(context, size):
    for (told,) in context.orders.firsts.values():
        assert len(told[2]) == size, len(told[2])


@step("gateways {gateways} stop as planned, one after the other")
def stop_gateways(context, gateways):
    async def stop():
        for number in _numbers(gateways):
            process = context.orders.fleet.gateways[number]
            process.send_signal(signal.SIGTERM)
            await asyncio.wait_for(process.wait(), REPEAT_BOUND_S)

    _run(context, stop())


@step("the {count:d} orders are repeated through gateway {gateway:d}")
def repeat_orders_at_one(context, count, gateway):
    _repeat(context, count, [gateway])


@then("each repeat gets the stored first answer")
def compare_stored(context):
    for order, (repeat,) in context.orders.repeats.items():
        assert repeat == (*context.orders.firsts[order][0][:3], True), repeat


@step(
    "callers send {rate:d} charges per second for {seconds:d} seconds "
    "and repeat what they cannot settle"
)
def send_surge(context, rate, seconds):
    callers = Callers([g.address for g in context.orders.fleet.gateways], tries=4)
    flow = Flow("charge", "normal", "POST", f"/{SERVICE}", rate, keyed=True)
    seed = int(re.search(r"seed (\d+)", context.scenario.name)[1])
    context.surge = context.loop.create_task(callers.run([flow], seconds, seed=seed))


@step(
    "meanwhile gateway {killed:d} is killed, gateway {paused:d} pauses for "
    "{seconds:d} seconds and gateway {returned:d} returns"
)
def make_trouble(context, killed, paused, seconds, returned):
    orders = context.orders
    gateways = orders.fleet.gateways

    async def make():
        await orders.wait_until_running(100)
        gateways[killed].send_signal(signal.SIGKILL)
        await gateways[killed].wait()
        await orders.wait_until_running(200)
        gateways[paused].send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(seconds)
        finally:
            gateways[paused].send_signal(signal.SIGCONT)
        await gateways[returned].start()
        await orders.fleet.wait_ready(gateways[returned])

    _run(context, make())


@then("no charge ran twice")
def count_doubled_charges(context):
    context.results = _run(context, context.surge)
    runs = _run(context, context.orders.runs())
    context.tally = tally(context.results, runs, frozenset({"charge"}))
    assert context.tally.doubled == 0, context.tally


@then("no caller got the answer to another charge")
def count_mixed_up(context):
    assert context.tally.mixed_up == 0, context.tally


@then("at least {count:d} charges were answered")
def count_charges(context, count):
    assert context.tally.answered >= count, context.tally


@then("no order ran twice")
def count_doubled(context):
    runs = _run(context, context.orders.runs())
    assert max(runs.values()) == 1, runs


@then("every order ran once")
def count_runs(context):
    runs = _run(context, context.orders.runs())
    assert sorted(runs) == sorted(context.orders.repeats), runs
    assert set(runs.values()) == {1}, runs
