"""Send requests to a gateway that stops, and record how each of them ended."""

import asyncio
from typing import NamedTuple

from tests.lib.deployment import HOST

ANSWER_TIMEOUT_S = 12.0


class Ending(NamedTuple):
    """How a request ended for its caller; times are seconds after the signal."""

    request_id: str
    # None: the connection ended without a complete response.
    status: int | None
    sent_at: float
    ended_at: float
    closes: bool
    detail: str
    unsafe: bool


class Plan(NamedTuple):
    """A request that a caller sends some time after the signal."""

    request_id: str
    at: float
    service_time: float
    unsafe: bool = False
    # "length", "chunked" or "" for no body.
    body: str = ""
    deadline_ms: int = 6000
    # Seconds between the halves of the head.
    pause: float = 0.0
    # A connection that was used and then kept, or a new one.
    keeps: bool = True


def request_parts(plan: Plan) -> tuple[bytes, bytes]:
    """Return the two halves of the bytes of a request."""
    line = "POST /write/a" if plan.unsafe else "GET /read/a"
    head = (
        f"{line} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Dogwoodshed-Request-Id: {plan.request_id}\r\n"
        f"X-Dogwoodshed-Deadline-Ms: {plan.deadline_ms}\r\n"
    )
    if plan.body == "length":
        text = head + "Content-Length: 4\r\n\r\nbody"
    elif plan.body == "chunked":
        text = head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
    else:
        text = head + "\r\n"
    half = len(head) // 2
    return text[:half].encode(), text[half:].encode()


class StopCallers:
    """Callers with one connection for each planned request."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._loop = asyncio.get_running_loop()
        self._signalled_at = 0.0
        self._connections: dict[
            str, tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = {}
        self.refused: list[str] = []

    async def keep_connections(self, plans: list[Plan]) -> None:
        """Open the connections of the plans that keep one, and use each once."""
        await asyncio.gather(*(self._keep(plan) for plan in plans if plan.keeps))

    async def _keep(self, plan: Plan) -> None:
        streams = await asyncio.open_connection("127.0.0.1", self._port)
        self._connections[plan.request_id] = streams
        first = Plan(f"first-{plan.request_id}", 0.0, 0.0)
        streams[1].write(b"".join(request_parts(first)))
        await _read_response(streams[0])

    def start_clock(self, delay: float = 0.0) -> None:
        """Take the moment after a delay as that of the signal."""
        self._signalled_at = self._loop.time() + delay

    def record_signal(self) -> None:
        """Take now as the moment of the signal, which a busy machine sends late."""
        self._signalled_at = self._loop.time()

    def now(self) -> float:
        """Return the seconds since the signal."""
        return self._loop.time() - self._signalled_at

    async def run(self, groups: list[list[Plan]]) -> list[Ending]:
        """Send all requests at their times; omit those that found no connection."""
        endings = await asyncio.gather(*(self._send(group) for group in groups))
        return [ending for group in endings for ending in group]

    async def _send(self, plans: list[Plan]) -> list[Ending]:
        plan = plans[0]
        await asyncio.sleep(plan.at - self.now())
        try:
            streams = self._connections.get(plan.request_id)
            reader, writer = streams or await asyncio.open_connection(
                "127.0.0.1", self._port
            )
        except OSError:
            self.refused.append(plan.request_id)
            return []
        try:
            # A caller does not write to a connection that has been closed.
            if reader.at_eof() or reader.exception() is not None:
                self.refused.append(plan.request_id)
                return []
            if plan.pause:
                first, second = request_parts(plan)
                writer.write(first)
                await asyncio.sleep(plan.pause)
                writer.write(second)
            else:
                writer.write(b"".join(b"".join(request_parts(p)) for p in plans))
            sent_at = self.now()
            return [await self._end(plan, reader, sent_at) for plan in plans]
        finally:
            writer.close()

    async def _end(
        self, plan: Plan, reader: asyncio.StreamReader, sent_at: float
    ) -> Ending:
        status, closes, detail = None, False, ""
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                status, closes, body = await _read_response(reader)
            detail = body.decode(errors="replace")
        except (OSError, asyncio.IncompleteReadError) as error:
            detail = type(error).__name__
        return Ending(
            plan.request_id,
            status,
            sent_at,
            self.now(),
            closes,
            detail,
            plan.unsafe,
        )


async def _read_response(reader: asyncio.StreamReader) -> tuple[int, bool, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = [line.lower() for line in head.split("\r\n")]
    length = next(line for line in lines if line.startswith("content-length:"))
    body = await reader.readexactly(int(length.partition(":")[2]))
    return int(head.split(" ", 2)[1]), "connection: close" in lines, body
