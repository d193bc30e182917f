"""Manage a pool of connections to each upstream."""

import asyncio
import errno
import functools
from collections.abc import Callable
from http import HTTPStatus
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict

from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.headers import (
    AUTO_HEADERS,
    DEFAULT_NAMES,
    HeaderNames,
)
from dogwoodshed._internal.settings import LimitSettings

MIN_CONNECTIONS_PER_UPSTREAM = 4
# An upstream closes an idle connection after the time that it states, counted from when
# it sent its response. A request must not be sent while the connection is being closed.
KEEP_ALIVE_MARGIN_S = 1.0
MIN_KEEP_ALIVE_S = 0.5
# An upstream that repeats a response sends few copies. More than this, or a longer
# body, means that it sends responses without end.
MAX_SKIPPED_RESPONSES = 4
MAX_SKIPPED_BODY_BYTES = 1024 * 1024
# Heads are parsed in parts of this size: a read may contain thousands of interim
# responses, and other calls would wait until all of them are parsed.
HEAD_PARSE_BYTES = 8192


class _MatchingResponseHandler(ResponseHandler):
    """Skip responses that belong to another request, up to a limit.

    If an upstream sends a response twice, the second copy arrives where the response to
    the next request is expected.
    """

    # None if responses echo no id; they cannot be matched then.
    id_header: str | None = None
    expected_id: str | None = None
    max_interim_responses = 1
    # Whether the connection is in the pool, where bytes belong to no request.
    idle = False
    _interim_responses = 0
    _skipped_responses = 0

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        # Statuses of the errors that were received on this connection.
        self._error_statuses: set[int] = set()

    @property
    def _expects_head(self) -> bool:
        return self._payload is None or self._payload.is_eof()

    def begin_request(self, expected_id: str | None) -> None:
        """Set which id the response must echo, and reset the limits."""
        self.expected_id = expected_id
        self._interim_responses = 0
        self._skipped_responses = 0

    async def read(self):
        """Return the next response to the current request; raises ClientError."""
        while True:
            message, payload = await super().read()
            status = message.code
            if status < 200 and status != HTTPStatus.SWITCHING_PROTOCOLS:
                self._interim_responses += 1
                if self._interim_responses > self.max_interim_responses:
                    raise aiohttp.ServerDisconnectedError("too many interim responses")
                return message, payload
            if self.id_header is None:
                return message, payload
            echoed = message.headers.get(self.id_header)
            if not echoed:
                self._check_unidentified(status)
                return message, payload
            if status >= 300:
                self._error_statuses.add(status)
            if echoed == self.expected_id:
                return message, payload
            self._skipped_responses += 1
            if self._skipped_responses > MAX_SKIPPED_RESPONSES:
                raise aiohttp.ServerDisconnectedError("too many late responses")
            await _skip_body(payload)

    def _check_unidentified(self, status: int) -> None:
        """Raise ClientError if a response without an id may be a late copy.

        The connection is not used again, since a later copy could not be recognized.
        All earlier responses therefore had an id, and a response without one can only
        be the copy of an earlier error if it has the same status.
        """
        self.force_close()
        if status < 300 and self.expected_id is not None:
            raise aiohttp.ServerDisconnectedError("success without the request id")
        if status in self._error_statuses:
            raise aiohttp.ServerDisconnectedError("error without the request id")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close a connection on which none are expected."""
        if not data and not self.idle:
            # aiohttp continues to parse earlier bytes this way.
            super().data_received(data)
        start = 0
        while start < len(data):
            if self.idle:
                self._cut()
                return
            if not self._expects_head:
                super().data_received(data[start:])
                return
            super().data_received(data[start : start + HEAD_PARSE_BYTES])
            start += HEAD_PARSE_BYTES
            if len(self) > self.max_interim_responses + MAX_SKIPPED_RESPONSES:
                # The reader raises an error for the messages that it has already.
                self._cut()
                return

    def _cut(self) -> None:
        self.force_close()
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Treat a response without a length as truncated if its connection is reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    """Reuse only connections on which nothing arrived after the last response."""

    def __init__(
        self, id_header: str | None, limits: LimitSettings, **options: Any
    ) -> None:
        super().__init__(**options)
        self.id_header = id_header
        self.max_interim_responses = limits.max_interim_responses
        self._settle_time = limits.connection_settle_s
        # aiohttp has no public way to set its protocol class;
        # tests/unit/test_late_responses.py fails if `_factory` is removed.
        self._factory = functools.partial(_MatchingResponseHandler, loop=self._loop)

    async def _get(self, key, traces):
        while (connection := await super()._get(key, traces)) is not None:
            if not connection.protocol.should_close:
                connection.protocol.idle = False
                return connection
            connection.close()
        return None

    def _release(self, key, protocol, *, should_close: bool = False) -> None:
        # Set first, since closing a connection may deliver bytes that were received.
        protocol.idle = True
        super()._release(key, protocol, should_close=should_close)

    async def _create_connection(self, req, traces, timeout):
        """Open a connection; raise ClientConnectorError if it is reset at once.

        An upstream at its connection limit resets further connections right after the
        handshake. A request that was sent before the reset may have run. The pause
        before the first request detects the reset while the call can still be sent to
        another upstream.
        """
        protocol = await super()._create_connection(req, traces, timeout)
        if self._settle_time:
            await asyncio.sleep(self._settle_time)
            if not protocol.is_connected():
                reset = ConnectionResetError(errno.ECONNRESET, "reset when opened")
                raise aiohttp.ClientConnectorError(req.connection_key, reset)
        return protocol

    @property
    def has_idle_connection(self) -> bool:
        # aiohttp has no public count; tests/unit/test_connections.py fails if `_conns`
        # is removed.
        return bool(self._conns)

    def limit_idle_time(self, seconds: float) -> None:
        """Reduce the time after which idle connections are closed."""
        self._keepalive_timeout = min(self._keepalive_timeout, seconds)


class _RequestWithoutAutoHeaders(aiohttp.ClientRequest):
    """Request without the headers that aiohttp adds by itself."""

    _skipped = CIMultiDict((name, None) for name in AUTO_HEADERS)

    def update_auto_headers(self, skip_auto_headers: object) -> None:
        """Add no headers.

        The inherited method copies all headers only to find that none is to be added.
        """
        self._skip_auto_headers = self._skipped

    async def send(self, connection):
        """Set which request id the response must echo, then send the request."""
        connector = self.session.connector
        name = connector.id_header
        protocol = connection.protocol
        protocol.id_header = name
        protocol.max_interim_responses = connector.max_interim_responses
        protocol.begin_request(self.headers.get(name) if name is not None else None)
        return await super().send(connection)


class UpstreamPool:
    """Connections to one upstream address."""

    def __init__(
        self,
        address: str,
        max_connections: int,
        limits: LimitSettings,
        on_unused: Callable[["UpstreamPool"], None],
        names: HeaderNames = DEFAULT_NAMES,
    ) -> None:
        self._address = address
        self._names = names
        self._max_connections = max_connections
        self._limits = limits
        self._on_unused = on_unused
        self._active_calls = 0
        self._retired = False
        # Set once a response has arrived on a connection of this pool.
        self.has_responded = False
        # Attempts abandoned since the last response, for example because a hedge won.
        self.consecutive_abandoned = 0
        self._keep_alive = ""
        self._session = self._open()

    @property
    def address(self) -> str:
        return self._address

    @property
    def session(self) -> aiohttp.ClientSession:
        return self._session

    def record_response(self, keep_alive: str | None = None) -> None:
        """Record that a connection works and how long the upstream keeps it open."""
        self.has_responded = True
        self.consecutive_abandoned = 0
        if keep_alive is not None and keep_alive != self._keep_alive:
            self._keep_alive = keep_alive
            seconds = _keep_alive_seconds(keep_alive)
            if seconds is not None:
                idle_time = max(MIN_KEEP_ALIVE_S, seconds - KEEP_ALIVE_MARGIN_S)
                self._session.connector.limit_idle_time(idle_time)

    def begin_call(self) -> None:
        """Count a call that uses this pool."""
        self._active_calls += 1

    def end_call(self) -> None:
        """Stop counting a call; a retired pool closes after its last call."""
        self._active_calls -= 1
        if self._retired and self._active_calls == 0:
            self._on_unused(self)

    def retire(self) -> None:
        """Close the pool as soon as no call uses it."""
        self._retired = True
        if self._active_calls == 0:
            self._on_unused(self)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=_Connector(
                self._names.request_id,
                self._limits,
                limit=self._max_connections,
                keepalive_timeout=self._limits.idle_timeout_s,
                use_dns_cache=False,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            request_class=_RequestWithoutAutoHeaders,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=self._limits.connect_timeout_s,
            ),
            max_line_size=self._limits.max_header_bytes,
            max_field_size=self._limits.max_header_bytes,
        )
        # aiohttp repeats a GET on a stale pooled connection by itself and has no public
        # switch for it; tests/functional/test_http_pitfalls.py fails if this one is
        # removed.
        session._retry_connection = False
        return session


class UpstreamPools:
    """Connection pools by upstream address."""

    def __init__(
        self,
        limits: LimitSettings,
        fleet_size: int,
        metrics: Metrics,
        names: HeaderNames = DEFAULT_NAMES,
    ) -> None:
        self._limits = limits
        self._names = names
        self._fleet_size = fleet_size
        self._metrics = metrics
        self._pools: dict[str, UpstreamPool] = {}
        self._close_tasks: set[asyncio.Task[None]] = set()

    def pool(self, address: str, connections_per_upstream: int) -> UpstreamPool:
        """Return the pool of an address; create it if needed."""
        pool = self._pools.get(address)
        if pool is None:
            max_connections = max(
                MIN_CONNECTIONS_PER_UPSTREAM,
                connections_per_upstream // self._fleet_size,
            )
            pool = UpstreamPool(
                address,
                max_connections,
                self._limits,
                self._schedule_close,
                self._names,
            )
            self._pools[address] = pool
        return pool

    def has_idle_connection(self, address: str) -> bool:
        """Return whether an open connection to an address is idle."""
        pool = self._pools.get(address)
        return pool is not None and pool.session.connector.has_idle_connection

    def replace(self, pool: UpstreamPool) -> None:
        """Retire a silent pool; the next call opens new connections."""
        if self._pools.get(pool.address) is pool:
            del self._pools[pool.address]
            self._metrics.increment("connections.pool_replaced")
            pool.retire()

    def set_fleet_size(self, size: int) -> None:
        """Divide the connections to each upstream among more gateways.

        A smaller fleet changes nothing, because lost gateways usually come back.
        """
        if size > self._fleet_size:
            self._fleet_size = size
            for pool in list(self._pools.values()):
                del self._pools[pool.address]
                pool.retire()

    def keep_only(self, addresses: set[str]) -> None:
        """Retire the pools of all other addresses."""
        for address in set(self._pools) - addresses:
            self.retire(address)

    def retire(self, address: str) -> None:
        """Retire the pool of an address; its calls go on."""
        pool = self._pools.pop(address, None)
        if pool is not None:
            pool.retire()

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.retire()
        self._pools.clear()
        await asyncio.gather(*self._close_tasks)

    def _schedule_close(self, pool: UpstreamPool) -> None:
        task = asyncio.ensure_future(pool.close())
        self._close_tasks.add(task)
        task.add_done_callback(self._close_tasks.discard)


async def _skip_body(payload: aiohttp.StreamReader) -> None:
    size = 0
    while part := await payload.readany():
        size += len(part)
        if size > MAX_SKIPPED_BODY_BYTES:
            raise aiohttp.ServerDisconnectedError("late response too long")


def _keep_alive_seconds(value: str) -> float | None:
    """Return the timeout of a `Keep-Alive` header, if it states one."""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
