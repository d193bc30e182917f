"""Run the proxy in the test's process between raw callers and raw upstreams."""

import asyncio
from collections.abc import Callable

from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.configuration.model import Configuration, NotRunRule, Service
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.attempts import AttemptSender
from dogwoodshed._internal.proxy.connections import UpstreamPools
from dogwoodshed._internal.proxy.forwarder import RetryingForwarder
from dogwoodshed._internal.proxy.server import CallRecord, ProxyServer
from dogwoodshed._internal.retries.hedges import HedgePolicy
from dogwoodshed._internal.retries.policy import RetryPolicy
from dogwoodshed._internal.routing.baselines import RoundRobinRouter
from dogwoodshed._internal.settings import LimitSettings
from tests.lib import adapter, builders
from tests.lib.raw import RawServer

REQUEST_ID = "X-Dogwoodshed-Request-Id"
SEAL = b"X-Dogwoodshed-Response-Seal: p\r\n"
NOT_RUN = b"X-Dogwoodshed-Not-Executed: 1\r\n"
TIMEOUT_S = 10.0


class _InOrderRouter(RoundRobinRouter):
    """Choose the first upstream that is not excluded."""

    def choose(self, service, candidates):
        """Return the first candidate."""
        return candidates[0]


class _FixedStore:
    """Store with one configuration."""

    def __init__(self, configuration: Configuration) -> None:
        self.current = configuration

    def subscribe(self, listener: Callable[[Configuration], None]) -> None:
        """Ignore a listener, since the configuration does not change."""


class LoopbackProxy:
    """Proxy with the header names of the platform; records the outcomes of calls."""

    def __init__(self, upstreams: int = 2, **limits) -> None:
        self.upstreams = [RawServer() for _ in range(upstreams)]
        self.records: list[CallRecord] = []
        self._limits = LimitSettings(finish_abandoned=False, **limits)

    async def start(self) -> None:
        """Start the upstreams and listen on loopback."""
        for upstream in self.upstreams:
            await upstream.start()
        clock, metrics = SystemClock(), Metrics()
        router = _InOrderRouter()
        self._pools = UpstreamPools(
            self._limits, 1, metrics, adapter.headers.HEADER_NAMES
        )
        sender = AttemptSender(
            router,
            self._pools,
            adapter.headers.read_load,
            clock,
            metrics,
            names=adapter.headers.HEADER_NAMES,
            finish_abandoned=False,
            buffer_unsized=self._limits.hold_unsized,
        )
        self.hedges = HedgePolicy()
        forwarder = RetryingForwarder(
            router,
            sender,
            RetryPolicy(bounded=False),
            self.hedges,
            self._limits.progress_timeout_s,
            clock,
            metrics,
        )
        self._server = ProxyServer(
            _FixedStore(self._configuration()),
            forwarder,
            self,
            self._limits,
            clock,
            metrics,
            adapter.headers.HEADER_NAMES,
        )
        await self._server.listen("127.0.0.1", 0)

    async def stop(self) -> None:
        """Close all connections."""
        await self._server.stop_accepting()
        self._server.begin_stop(0.0)
        await self._server.drain()
        await self._pools.close()
        for upstream in self.upstreams:
            upstream.close()

    def record(self, record: CallRecord) -> None:
        """Keep the record of a call."""
        self.records.append(record)

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to the proxy."""
        return await asyncio.open_connection("127.0.0.1", self._server.port)

    async def call(
        self,
        request_id: str | None,
        method: str = "POST",
        *header_lines: str,
        body: bytes = b"",
        deadline_ms: int = 2000,
    ) -> bytes:
        """Send one request; return all bytes received, or none after a reset."""
        lines = [
            f"{method} /raw HTTP/1.1",
            "Host: example.test",
            "Connection: close",
            f"X-Dogwoodshed-Deadline-Ms: {deadline_ms}",
            f"Content-Length: {len(body)}",
            *header_lines,
        ]
        if request_id is not None:
            lines.append(f"{REQUEST_ID}: {request_id}")
        reader, writer = await self.connect()
        try:
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            async with asyncio.timeout(TIMEOUT_S):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    def arrivals(self, request_id: str) -> list[tuple[int, int]]:
        """Return the upstream and connection of each arrival of a request."""
        return [
            (index, request.connection)
            for index, upstream in enumerate(self.upstreams)
            for request in upstream.requests
            if request.values(REQUEST_ID) == [request_id]
        ]

    def _configuration(self) -> Configuration:
        kinds = [
            builders.kind_entry(
                "write",
                method="POST",
                path="/raw",
                idempotent=False,
                time_limit_ms=5000,
            ),
            builders.kind_entry(method="*", path="/raw", time_limit_ms=5000),
        ]
        addresses = tuple(upstream.address for upstream in self.upstreams)
        built = builders.configuration(
            builders.service_entry("raw", addresses, kinds=kinds)
        )
        return built._replace(services=tuple(map(_with_refusals, built.services)))


def _with_refusals(service: Service) -> Service:
    rule = NotRunRule(0, adapter.headers.NOT_RUN_HEADER, 421)
    return service._replace(not_run=rule)


def status(response: bytes) -> int | None:
    """Return the status of a response, None if its connection was reset."""
    return int(response.split(b" ", 2)[1]) if response else None


def build_response(
    code: int,
    request_id: str | None,
    *header_lines: bytes,
    body: bytes = b"",
    length: bool = True,
) -> bytes:
    """Build a response of an upstream; header lines end with CRLF."""
    head = b"HTTP/1.1 %d X\r\n" % code + b"".join(header_lines)
    if request_id is not None:
        head += f"{REQUEST_ID}: {request_id}\r\n".encode()
    if length:
        head += b"Content-Length: %d\r\n" % len(body)
    return head + b"\r\n" + body
