"""Manage the connections of callers."""

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dogwoodshed._internal.exceptions import MalformedRequestError
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.problems import problem_response
from dogwoodshed._internal.settings import LimitSettings

# Connections are closed up to twice this time after they have become idle for too long.
_IDLE_CHECK_INTERVAL_S = 1.0
_MAX_CHECK_GAP_S = 1.5 * _IDLE_CHECK_INTERVAL_S


class CallerConnection(RequestHandler):
    """Connection of a caller; closed if the head of a request takes too long."""

    __slots__ = ("_head_timer", "_idle_since", "head_timeout", "metrics")

    @property
    def idle(self) -> bool:
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    @property
    def has_next_request(self) -> bool:
        """Return whether a request behind the current one has been read."""
        return bool(self._messages)

    @property
    def _has_partial_head(self) -> bool:
        # aiohttp has no public state for this; test_endless_requests fails if one of
        # these attributes is removed.
        waiter = self._waiter
        is_waiting = waiter is None or not waiter.done()
        return is_waiting and not self._messages and self._current_request is None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and start or stop the timer of a head."""
        self._idle_since = None
        super().data_received(data)
        if not self._has_partial_head:
            self._stop_timer()
        elif self._head_timer is None:
            self._head_timer = self._loop.call_later(
                self.head_timeout, self._close_slow
            )

    def close_if_idle_since(self, now: float, timeout: float) -> None:
        """Close the connection if earlier calls have found it idle for a time."""
        if not self.idle:
            self._idle_since = None
        elif self._idle_since is None:
            self._idle_since = now
        elif now - self._idle_since >= timeout:
            self.metrics.increment("requests.idle_timeouts")
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Stop the timer of a connection that ended."""
        self._stop_timer()
        super().connection_lost(exc)

    def _stop_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_slow(self) -> None:
        # No request was read, so that the caller may send it again.
        self.metrics.increment("requests.head_timeouts")
        self.force_close()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Respond to input that is not valid HTTP.

        Such input is counted and not logged, because anyone can send it.
        """
        self.metrics.increment("requests.malformed")
        if request.writer.output_size > 0:
            raise ConnectionResetError("response already started")
        response = problem_response(MalformedRequestError("not an HTTP request"))
        response.force_close()
        return response


class CallerConnections(web.Server):
    """Server that creates and tracks the connections of callers."""

    def __init__(
        self, handler, metrics: Metrics, limits: LimitSettings, **options
    ) -> None:
        # The timeout of aiohttp cannot change while a connection is open.
        super().__init__(handler, keepalive_timeout=float("inf"), **options)
        self._metrics = metrics
        self._apply_to_new(limits)
        self._schedule_idle_check()

    def apply_limits(self, limits: LimitSettings) -> None:
        """Apply new limits; the size of a head is bounded on new connections only."""
        self._apply_to_new(limits)
        for connection in self.connections:
            connection.head_timeout = limits.head_timeout_s

    def _apply_to_new(self, limits: LimitSettings) -> None:
        self._limits = limits
        self._kwargs["max_line_size"] = limits.max_header_bytes
        self._kwargs["max_field_size"] = limits.max_header_bytes

    def _schedule_idle_check(self) -> None:
        self._checked_at = self._loop.time()
        self._idle_timer = self._loop.call_later(
            _IDLE_CHECK_INTERVAL_S, self._close_long_idle
        )

    def _close_long_idle(self) -> None:
        now = self._loop.time()
        gap = now - self._checked_at
        self._schedule_idle_check()
        if gap > _MAX_CHECK_GAP_S:
            # Requests that came while the process stood still may not be read yet.
            return
        for connection in list(self.connections):
            connection.close_if_idle_since(now, self._limits.caller_idle_timeout_s)

    async def shutdown(self, timeout: float | None = None) -> None:
        """Close all connections, and stop to check them."""
        self._idle_timer.cancel()
        await super().shutdown(timeout)

    def __call__(self) -> CallerConnection:
        """Create the protocol instance of a new connection."""
        connection = CallerConnection(self, loop=self._loop, **self._kwargs)
        connection.metrics = self._metrics
        connection.head_timeout = self._limits.head_timeout_s
        connection._head_timer = None
        connection._idle_since = None
        return connection

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in self.connections:
            if connection.idle:
                connection.force_close()
