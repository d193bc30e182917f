"""Steps for planned stops."""

import asyncio
import signal

from behave import given, then, when

from tests.lib.world import World

TIMEOUT_S = 20.0
# Time limit of a stop when the feature under test is disabled.
ABRUPT_STOP_TIMEOUT_S = 0.1
LARGE_BODY_BYTES = 20_000_000


class ClientConnection:
    """The caller's end of a connection to a gateway."""

    def __init__(self, reader, writer) -> None:
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> "ClientConnection":
        """Connect to a gateway."""
        ip, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(ip, int(port)))

    def send(self, method: str = "GET") -> None:
        """Send a request."""
        head = f"{method} /profiles HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
        self._writer.write(head.encode())

    async def read_head(self) -> str:
        """Return the head of the response in lower case."""
        async with asyncio.timeout(TIMEOUT_S):
            return (await self._reader.readuntil(b"\r\n\r\n")).decode().lower()

    async def read_response(self, head: str | None = None) -> bool:
        """Read a response; return whether it is complete and has status 200."""
        head = head or await self.read_head()
        length = int(head.split("content-length: ")[1].split("\r\n")[0])
        async with asyncio.timeout(TIMEOUT_S):
            body = await self._reader.readexactly(length)
        return head.startswith("http/1.1 200") and len(body) == length


@given("1 gateway before {count:d} upstreams that take 4 s and answer with 20 MB")
def start_slow_fleet(context, count):
    world = context.world = World.from_context(context)
    settings = {}
    if world.features.get("graceful_stop") is False:
        settings["stop_timeout_s"] = ABRUPT_STOP_TIMEOUT_S
    behaviour = {
        "slots": 50,
        "mean_ms": 100,
        "distribution": "fixed",
        "answer_bytes": LARGE_BODY_BYTES,
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
        context.idle_connections = [
            await ClientConnection.open(address) for _ in range(idle)
        ]
        context.downloads = [
            await ClientConnection.open(address) for _ in range(downloads)
        ]
        for connection in context.downloads:
            connection.send()
        # The heads have arrived, so the gateway is forwarding the bodies.
        context.heads = [
            await connection.read_head() for connection in context.downloads
        ]
        await world.set_behaviour({"mean_ms": 4000, "answer_bytes": 0})
        context.calls = [await ClientConnection.open(address) for _ in range(calls)]
        for number, connection in enumerate(context.calls):
            connection.send("POST" if number % 2 else "GET")
        async with asyncio.timeout(TIMEOUT_S):
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
        async with asyncio.timeout(TIMEOUT_S):
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
        connection = context.idle_connections[0]
        connection.send()
        head = await connection.read_head()
        assert await connection.read_response(head)
        return head

    assert "connection: close" in context.world.run(call())


@then("the {calls:d} calls and the {downloads:d} downloads arrive whole")
def read_all(context, calls, downloads):
    async def read() -> list[bool]:
        pairs = zip(context.downloads, context.heads, strict=True)
        return await asyncio.gather(
            *(connection.read_response() for connection in context.calls),
            *(connection.read_response(head) for connection, head in pairs),
        )

    complete = context.world.run(read())
    assert complete == [True] * (calls + downloads), complete


@then("the gateway ends by itself with exit code {code:d}")
def check_exit_code(context, code):
    gateway = context.world.fleet.gateways[0]
    exit_code = context.world.run(asyncio.wait_for(gateway.wait(), TIMEOUT_S))
    assert exit_code == code, (exit_code, gateway.log_text[-1000:])


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
            await asyncio.wait_for(gateway.wait(), TIMEOUT_S)
            await gateway.start()
            await world.fleet.wait_ready(gateway)

    async def restart_under_load() -> None:
        load = asyncio.ensure_future(world.run_load(25, seed, tries=3))
        await restart()
        world.stop_load()
        await load

    world.run(restart_under_load())


@then("every call was answered")
def check_all_answered(context):
    world = context.world
    world.run(world.wait_until_idle())
    context.runs = world.run(world.count_runs())
    result = world.count_outcomes(context.runs)
    assert result.answered == result.sent > 0, result
    assert result.lost == 0 and result.mixed_up == 0, result
