"""Stand-in for a target (upstream) that serves like the users' pages say."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

SEAL = "X-Dogwoodshed-Response-Seal: proof"


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict, bytes]:
    """Read the start line, the headers and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head[:-4].split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
            body += await reader.readexactly(size)
            await reader.readuntil(b"\n")
        await reader.readuntil(b"\n")
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Arrival:
    """A request that reached a target."""

    def __init__(self, at: float, target: str, request_id: str, line: str) -> None:
        self.at = at
        self.target = target
        self.request_id = request_id
        self.line = line
        self.ran = False


class Target:
    """Serve requests with a number of slots and a short queue."""

    def __init__(
        self,
        target_id: str,
        service: str,
        arrivals: list[Arrival],
        *,
        zone: str = "lima-a",
        slots: int = 2,
        work_s: float = 0.1,
    ) -> None:
        self.id = target_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        # Returns whether to reject a request although there is room.
        self.rejects: Callable[[], bool] = lambda: False
        # Returns whether the answer to a request that has run is lost by a reset.
        self.loses: Callable[[str], bool] = lambda request_id: False
        self.arrivals = arrivals
        self.address = ""
        self._queue_limit = slots
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._born = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def key(self) -> str:
        return f"servers/{self.id}"

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Return the entry that the target writes to the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self._born,
            **changes,
        }

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def stop(self) -> None:
        """Exit: close the listener and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                line, headers, _ = await read_message(reader)
                await self._serve(line, headers, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()

    async def _serve(self, line: str, headers: dict, reader, writer) -> None:
        if line.startswith("GET /healthz "):
            self._respond(writer, 200, [f"X-Dogwoodshed-Instance-Id: {self.id}"])
            return
        request_id = headers.get("x-dogwoodshed-request-id", "")
        arrival = Arrival(time.monotonic(), self.id, request_id, line)
        self.arrivals.append(arrival)
        echo = f"X-Dogwoodshed-Request-Id: {request_id}"
        if headers.get("x-dogwoodshed-expect-instance", self.id) != self.id:
            self._respond(writer, 421, [f"X-Dogwoodshed-Instance-Id: {self.id}"])
            return
        if self._waiting >= self._queue_limit or self.rejects():
            self._respond(writer, 503, ["X-Dogwoodshed-Not-Executed: 1", echo])
            return
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            self._running += 1
            arrival.ran = True
            ends_at = time.monotonic() + self.work_s
            while (left := ends_at - time.monotonic()) > 0:
                await asyncio.sleep(min(left, 0.01))
                if reader.at_eof():
                    return
        finally:
            self._running -= 1
            self._free.release()
        if self.loses(request_id):
            writer.transport.abort()
            return
        body = f"{self.id} {request_id}".encode()
        self._respond(writer, 200, [echo, SEAL], body)

    def _respond(
        self, writer, status: int, headers: list[str], body: bytes = b""
    ) -> None:
        load = f"{self._running},{self._waiting},{self.slots},100"
        lines = [
            f"HTTP/1.1 {status} X",
            *headers,
            f"X-Dogwoodshed-Server-Load: {load}",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
