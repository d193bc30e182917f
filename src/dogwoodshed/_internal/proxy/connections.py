"""Keep a pool of connections to each upstream."""

import asyncio
from collections.abc import Callable

import aiohttp
from multidict import CIMultiDict

from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.headers import AUTO_HEADERS
from dogwoodshed._internal.settings import LimitSettings

# Shorter than the idle timeouts that servers commonly have, because a connection that
# the server is closing turns a non-idempotent call into one of unknown outcome.
IDLE_TIMEOUT_S = 4.0
MIN_CONNECTIONS = 4


class _PlainRequest(aiohttp.ClientRequest):
    """A request without headers of the library's own."""

    _skipped = CIMultiDict((name, None) for name in AUTO_HEADERS)

    def update_auto_headers(self, skip_auto_headers: object) -> None:
        """Add nothing; the library's way copies all headers to find that out."""
        self._skip_auto_headers = self._skipped


class UpstreamPool:
    """Hold the connections to one upstream address."""

    def __init__(
        self,
        address: str,
        limit: int,
        limits: LimitSettings,
        on_unused: Callable[["UpstreamPool"], None],
    ) -> None:
        self._address = address
        self._limit = limit
        self._limits = limits
        self._on_unused = on_unused
        self._active = 0
        self._retired = False
        # Set once a connection of this pool has brought an answer.
        self.proven = False
        # Attempts given up since the last answer, such as those that lost to a hedge.
        self.unanswered = 0
        self._session = self._open()

    @property
    def address(self) -> str:
        return self._address

    @property
    def session(self) -> aiohttp.ClientSession:
        return self._session

    def note_answer(self) -> None:
        """Note that a connection of this pool works."""
        self.proven = True
        self.unanswered = 0

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
            connector=aiohttp.TCPConnector(
                limit=self._limit, keepalive_timeout=IDLE_TIMEOUT_S, use_dns_cache=False
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
        self, limits: LimitSettings, fleet_size: int, metrics: Metrics
    ) -> None:
        self._limits = limits
        self._fleet_size = fleet_size
        self._metrics = metrics
        self._pools: dict[str, UpstreamPool] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def pool(self, address: str, connections_per_upstream: int) -> UpstreamPool:
        """Return the pool of an address, opening it when needed."""
        pool = self._pools.get(address)
        if pool is None:
            share = max(MIN_CONNECTIONS, connections_per_upstream // self._fleet_size)
            pool = UpstreamPool(address, share, self._limits, self._close_later)
            self._pools[address] = pool
        return pool

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
