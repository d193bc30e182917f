"""Steps on planned stops."""

import asyncio
import signal

from behave import given, then, when

from tests.lib.world import World

BOUND_S = 20.0
# With the mechanism switched off, a stop waits no longer than this.
CUT_AFTER_S = 0.1
LARGE_BYTES = 20_000_000


class Caller:
    """One connection to a gateway."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "Caller":
        """Connect."""
        ip, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(ip, int(port)))

    def send(self, method: str = "GET") -> None:
        """Send one request."""
        head = f"{method} /profiles HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        self._writer.write(head.encode())

    async def read_head(self) -> str:
        """Return the head of the answer, lower case."""
        async with asyncio.timeout(BOUND_S):
            return (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()

    async def read_whole(self, head: str | None = None) -> bool:
        """Read an answer; tell whether it is a whole good one."""
        head = head or await self.read_head()
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        async with asyncio.timeout(BOUND_S):
            body = await self._reader.readexactly(length)
        return head.startswith("http/1.1 200") and len(body) == length


@given("1 gateway before {count:d} upstreams that take 4 s and answer with 20 MB")
def start_slow_fleet(context, count):
    world = context.world = World.from_context(context)
    settings = {}
    if world.features.get("graceful_stop") is False:
        settings["stop_timeout_s"] = CUT_AFTER_S
    behaviour = {
        "slots": 50,
        "mean_ms": 100,
        "distribution": "fixed",
        "answer_bytes": LARGE_BYTES,
    }
    world.deadline_ms = 20_000
    world.run(world.start(1, count, behaviour, **settings))


@given(
    "{calls:d} calls, {downloads:d} downloads with slow readers and {idle:d} idle "
    "connections are open"
)
def open_connections(context, calls, downloads, idle):
    world = context.world

    async def open_all():
        address = world.fleet.gateways[0].address
        context.idle = [await Caller.open(address) for _ in range(idle)]
        context.downloads = [await Caller.open(address) for _ in range(downloads)]
        for caller in context.downloads:
            caller.send()
        # With their heads here, the rest of the answers is in the gateway's way.
        context.heads = [await caller.read_head() for caller in context.downloads]
        await world.set_behaviour({"mean_ms": 4000, "answer_bytes": 0})
        context.calls = [await Caller.open(address) for _ in range(calls)]
        for number, caller in enumerate(context.calls):
            caller.send("POST" if number % 2 else "GET")
        async with asyncio.timeout(BOUND_S):
            while (
                sum(
                    state["running"]
                    for state in await world.fleet.upstream_states("profiles")
                )
                < calls
            ):
                await asyncio.sleep(0.01)
        await world.set_behaviour({"mean_ms": 10})

    world.run(open_all())


@when("the gateway is told to stop twice")
def stop_twice(context):
    world = context.world
    gateway = world.fleet.gateways[0]

    async def stop() -> None:
        gateway.send_signal(signal.SIGTERM)
        ip, _, port = gateway.address.rpartition(":")
        async with asyncio.timeout(BOUND_S):
            while True:
                try:
                    _, writer = await asyncio.open_connection(ip, int(port))
                except ConnectionRefusedError:
                    break
                writer.close()
                await asyncio.sleep(0.01)
        gateway.send_signal(signal.SIGTERM)

    world.run(stop())


@then('a new call on an idle connection is answered with "Connection: close"')
def call_on_idle(context):
    async def call() -> str:
        caller = context.idle[0]
        caller.send()
        head = await caller.read_head()
        assert await caller.read_whole(head)
        return head

    assert "connection: close" in context.world.run(call())


@then("the {calls:d} calls and the {downloads:d} downloads arrive whole")
def read_all(context, calls, downloads):
    async def read() -> list[bool]:
        pairs = zip(context.downloads, context.heads, strict=True)
        return await asyncio.gather(
            *(caller.read_whole() for caller in context.calls),
            *(caller.read_whole(head) for caller, head in pairs),
        )

    whole = context.world.run(read())
    assert whole == [True] * (calls + downloads), whole


@then("the gateway ends by itself with exit code {code:d}")
def compare_exit(context, code):
    gateway = context.world.fleet.gateways[0]
    ended = context.world.run(asyncio.wait_for(gateway.wait(), BOUND_S))
    assert ended == code, (ended, gateway.log_text[-1000:])


@when(
    "the gateways are restarted one after another while callers read and write "
    "{rate:d} times a second each with seed {seed:d}"
)
def restart_all(context, rate, seed):
    world = context.world
    world.add_flow("read", "GET", rate)
    world.add_flow("write", "POST", rate)

    async def restart() -> None:
        for gateway in world.fleet.gateways:
            gateway.send_signal(signal.SIGTERM)
            await asyncio.wait_for(gateway.wait(), BOUND_S)
            await gateway.start()
            await world.fleet.wait_ready(gateway)

    async def both() -> None:
        load = asyncio.ensure_future(world.run_load(25, seed, tries=3))
        await restart()
        world.stop_load()
        await load

    world.run(both())


@then("every call was answered")
def compare_all_answered(context):
    world = context.world
    world.run(world.wait_until_idle())
    context.runs = world.run(world.count_runs())
    result = world.count_outcomes(context.runs)
    assert result.answered == result.sent > 0, result
    assert result.lost == 0 and result.mixed_up == 0, result
