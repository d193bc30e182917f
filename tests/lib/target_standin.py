"""Stand in for an upstream of a discovered fleet and record the calls that it ran."""

import asyncio
import time
from typing import Any, NamedTuple

from tests.lib.raw import read_body

RESPONSE_SEAL = "X-Dogwoodshed-Response-Seal: p"


class Exchange(NamedTuple):
    """A request that a target received and how it responded."""

    request_id: str
    arrived_at: float
    answered_at: float
    status: int
    # Whether the response said that the target leaves.
    leaving: bool
    # Seconds for which it wants no more requests; 0 if it did not say so.
    hold_off_s: float = 0.0


class TargetStandIn:
    """Upstream that responds after a service time, with faults that a test enables."""

    def __init__(
        self, target_id: str, service: str, zone: str = "lima-a", slots: int = 4
    ) -> None:
        self.id = target_id
        self.service = service
        self.zone = zone
        self.slots = slots
        self.service_time_s = 0.02
        # Service times of single requests, by request id.
        self.service_times: dict[str, float] = {}
        # Start times of the runs by request id.
        self.runs: dict[str, list[float]] = {}
        self.cancelled: list[str] = []
        self.headers: list[dict[str, str]] = []
        self.running = 0
        self.refuse = False
        # What all responses, and the refusals, say of further requests.
        self.leaving = False
        self.probes_say_leaving = True
        self.retry_after = ""
        self.exchanges: list[Exchange] = []
        # How many of the next responses are lost, sent twice, or sent without the seal.
        self.lose = 0
        self.double = 0
        self.unproven = 0
        self.started_ms = int(time.time() * 1000)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def entry(self, **changes: Any) -> dict[str, Any]:
        """Build the entry that the target publishes in the directory."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": 1,
            "born": self.started_ms,
            **changes,
        }

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Close the listener and reset all connections."""
        self._server.close()
        self.reset_connections()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while not writer.is_closing():
                head = await reader.readuntil(b"\r\n\r\n")
                body = await read_body(head, reader)
                await self._serve(head.decode("latin-1"), body, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve(self, head: str, body: bytes, reader, writer) -> None:
        lines = head.split("\r\n")
        headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines[1:] if line)
        }
        if lines[0].startswith("GET /healthz "):
            instance = f"X-Dogwoodshed-Instance-Id: {self.id}"
            leaving = self.leaving and self.probes_say_leaving
            self._respond(writer, 200, [instance], leaving=leaving)
            return
        self.headers.append(headers)
        request_id = headers.get("x-dogwoodshed-request-id", "")
        arrived_at = time.monotonic()
        try:
            status = await self._answer(headers, request_id, body, reader, writer)
        except ConnectionError:
            status = 0
        held_off_s = float(self.retry_after or 0) if status == 503 else 0.0
        self.exchanges.append(
            Exchange(
                request_id,
                arrived_at,
                time.monotonic(),
                status,
                self.leaving,
                held_off_s,
            )
        )

    async def _answer(self, headers, request_id: str, body: bytes, reader, writer):
        """Answer a request; return the status, 0 without an answer."""
        if headers.get("x-dogwoodshed-expect-instance", self.id) != self.id:
            self._respond(writer, 421, [f"X-Dogwoodshed-Instance-Id: {self.id}"])
            return 421
        if self.refuse or self.running >= self.slots + 4:
            refusal = ["X-Dogwoodshed-Not-Executed: 1"]
            if self.retry_after:
                refusal.append(f"Retry-After: {self.retry_after}")
            self._respond(writer, 503, refusal)
            return 503
        self.runs.setdefault(request_id, []).append(time.monotonic())
        if not await self._run(request_id, reader):
            return 0
        echoed_id = [f"X-Dogwoodshed-Request-Id: {request_id}"]
        if self.lose > 0:
            self.lose -= 1
            writer.transport.abort()
            return 0
        if self.unproven > 0:
            self.unproven -= 1
            self._respond(writer, 200, echoed_id, b"forged")
            return 200
        response = f"{self.id} {request_id} ".encode() + body
        self._respond(writer, 200, [*echoed_id, RESPONSE_SEAL], response)
        if self.double > 0:
            self.double -= 1
            await asyncio.sleep(0.01)
            self._respond(writer, 200, [*echoed_id, RESPONSE_SEAL], response)
        return 200

    async def _run(self, request_id: str, reader: asyncio.StreamReader) -> bool:
        """Run a request; return False if its connection is closed meanwhile."""
        self.running += 1
        try:
            service_time = self.service_times.get(request_id, self.service_time_s)
            ends_at = time.monotonic() + service_time
            while time.monotonic() < ends_at:
                await asyncio.sleep(min(0.005, service_time))
                if reader.at_eof() or reader.exception() is not None:
                    self.cancelled.append(request_id)
                    return False
            return True
        finally:
            self.running -= 1

    def _respond(
        self,
        writer,
        status: int,
        headers: list[str],
        body: bytes = b"",
        leaving: bool | None = None,
    ) -> None:
        load = f"{self.running},0,{self.slots},100"
        if self.leaving if leaving is None else leaving:
            headers = [*headers, "Server-Leaving: 1"]
        lines = [
            f"HTTP/1.1 {status} X",
            *headers,
            f"X-Dogwoodshed-Server-Load: {load}",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
