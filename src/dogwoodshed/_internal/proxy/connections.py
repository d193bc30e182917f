"""Keep a pool of connections to each upstream."""

import asyncio
import errno
import functools
from collections.abc import Callable

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

MIN_CONNECTIONS = 4
# An upstream closes an idle connection after the time that it states, counted from
# when it sent its answer, and a request must not cross that close.
KEEP_ALIVE_MARGIN_S = 1.0
LEAST_KEEP_ALIVE_S = 0.5


class _MatchingHandler(ResponseHandler):
    """Pass over answers that belong to another request.

    An upstream that repeats an answer late sends it where the next one is expected.
    """

    id_header: str | None = None
    expected_id: str | None = None

    async def read(self):
        """Return the next answer to the current request."""
        while True:
            message, payload = await super().read()
            if self.expected_id is None or not message.code >= 200:
                return message, payload
            echoed = message.headers.get(self.id_header)
            if echoed is None or echoed == self.expected_id:
                return message, payload
            await payload.read()

    def connection_lost(self, exc: BaseException | None) -> None:
        """End an answer without a length as broken when its connection is reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"))
        super().connection_lost(exc)


class _Connector(aiohttp.TCPConnector):
    """Reuse only connections on which nothing came after the last answer."""

    def __init__(self, id_header: str | None, settle: float, **options) -> None:
        super().__init__(**options)
        self.id_header = id_header
        self._settle = settle
        # The library has no public way to set its protocol class;
        # tests/functional/test_late_answers.py fails if this one goes.
        self._factory = functools.partial(_MatchingHandler, loop=self._loop)

    async def _get(self, key, traces):
        while (connection := await super()._get(key, traces)) is not None:
            if not connection.protocol.should_close:
                return connection
            connection.close()
        return None

    async def _create_connection(self, req, traces, timeout):
        """Open a connection; raise ClientConnectorError if it is reset at once.

        An upstream with too many connections resets further ones right after the
        handshake. A request that was sent meanwhile may have run, for all that anybody
        can tell; before it is sent, the call can still go elsewhere.
        """
        protocol = await super()._create_connection(req, traces, timeout)
        if self._settle:
            await asyncio.sleep(self._settle)
            if not protocol.is_connected():
                reset = ConnectionResetError(errno.ECONNRESET, "reset when opened")
                raise aiohttp.ClientConnectorError(req.connection_key, reset)
        return protocol

    @property
    def has_idle_connection(self) -> bool:
        # There is no public count; tests/unit/test_connections.py fails without this.
        return bool(self._conns)

    def limit_idle(self, seconds: float) -> None:
        """Close idle connections after a shorter time."""
        self._keepalive_timeout = min(self._keepalive_timeout, seconds)


class _PlainRequest(aiohttp.ClientRequest):
    """A request without headers of the library's own."""

    _skipped = CIMultiDict((name, None) for name in AUTO_HEADERS)

    def update_auto_headers(self, skip_auto_headers: object) -> None:
        """Add nothing; the library's way copies all headers to find that out."""
        self._skip_auto_headers = self._skipped

    async def send(self, connection):
        """Tell the connection which answer to wait for."""
        name = self.session.connector.id_header
        protocol = connection.protocol
        protocol.id_header = name
        protocol.expected_id = self.headers.get(name) if name is not None else None
        return await super().send(connection)


class UpstreamPool:
    """Hold the connections to one upstream address."""

    def __init__(
        self,
        address: str,
        limit: int,
        limits: LimitSettings,
        on_unused: Callable[["UpstreamPool"], None],
        names: HeaderNames = DEFAULT_NAMES,
    ) -> None:
        self._address = address
        self._names = names
        self._limit = limit
        self._limits = limits
        self._on_unused = on_unused
        self._active = 0
        self._retired = False
        # Set once a connection of this pool has brought an answer.
        self.proven = False
        # Attempts given up since the last answer, such as those that lost to a hedge.
        self.unanswered = 0
        self._keep_alive = ""
        self._session = self._open()

    @property
    def address(self) -> str:
        return self._address

    @property
    def session(self) -> aiohttp.ClientSession:
        return self._session

    def note_answer(self, keep_alive: str | None = None) -> None:
        """Note that a connection of this pool works, and how long it is kept."""
        self.proven = True
        self.unanswered = 0
        if keep_alive is not None and keep_alive != self._keep_alive:
            self._keep_alive = keep_alive
            seconds = _keep_alive_seconds(keep_alive)
            if seconds is not None:
                limit = max(LEAST_KEEP_ALIVE_S, seconds - KEEP_ALIVE_MARGIN_S)
                self._session.connector.limit_idle(limit)

    def enter(self) -> None:
        """Count a call that uses this pool."""
        self._active += 1

    def leave(self) -> None:
        """Count a call out; a retired pool closes after its last call."""
        self._active -= 1
        if self._retired and self._active == 0:
            self._on_unused(self)

    def retire(self) -> None:
        """Take no further calls; close once no call uses the pool."""
        self._retired = True
        if self._active == 0:
            self._on_unused(self)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    def _open(self) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=_Connector(
                self._names.request_id,
                self._limits.connection_settle_s,
                limit=self._limit,
                keepalive_timeout=self._limits.idle_timeout_s,
                use_dns_cache=False,
            ),
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            request_class=_PlainRequest,
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=self._limits.connect_timeout_s,
            ),
            max_line_size=self._limits.max_header_bytes,
            max_field_size=self._limits.max_header_bytes,
        )
        # The client repeats a GET on a stale pooled connection by itself. There is no
        # public switch; tests/functional/test_traps.py fails if this one disappears.
        session._retry_connection = False
        return session


class UpstreamPools:
    """Hold one pool for each upstream address."""

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
        self._closing: set[asyncio.Task[None]] = set()

    def pool(self, address: str, connections_per_upstream: int) -> UpstreamPool:
        """Return the pool of an address, opening it when needed."""
        pool = self._pools.get(address)
        if pool is None:
            share = max(MIN_CONNECTIONS, connections_per_upstream // self._fleet_size)
            pool = UpstreamPool(
                address, share, self._limits, self._close_later, self._names
            )
            self._pools[address] = pool
        return pool

    def has_idle_connection(self, address: str) -> bool:
        """Tell whether a call to an address finds an open connection."""
        pool = self._pools.get(address)
        return pool is not None and pool.session.connector.has_idle_connection

    def replace(self, pool: UpstreamPool) -> None:
        """Retire a suspect pool; the next call opens new connections."""
        if self._pools.get(pool.address) is pool:
            del self._pools[pool.address]
            self._metrics.increment("connections.pool_replaced")
            pool.retire()

    def set_fleet_size(self, size: int) -> None:
        """Share the connections of each upstream among more gateways.

        A smaller fleet changes nothing, since lost gateways usually come back.
        """
        if size > self._fleet_size:
            self._fleet_size = size
            for pool in list(self._pools.values()):
                del self._pools[pool.address]
                pool.retire()

    def keep_only(self, addresses: set[str]) -> None:
        """Retire the pools of upstreams that are gone."""
        for address in set(self._pools) - addresses:
            self._pools.pop(address).retire()

    async def close(self) -> None:
        """Close all connections."""
        for pool in self._pools.values():
            pool.retire()
        self._pools.clear()
        await asyncio.gather(*self._closing)

    def _close_later(self, pool: UpstreamPool) -> None:
        task = asyncio.ensure_future(pool.close())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)


def _keep_alive_seconds(value: str) -> float | None:
    """Return the timeout of a `Keep-Alive` header, if it states one."""
    for part in value.split(","):
        name, _, number = part.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return float(number)
    return None
