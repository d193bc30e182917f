"""Accept calls over HTTP and respond to them."""

import asyncio
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

from absl import logging
from aiohttp import web

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import Configuration
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.exceptions import (
    CallError,
    DeadlineExpiredInQueueError,
    InternalError,
    ResponseTruncatedError,
    UpstreamTimeoutError,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy import headers
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.callers import CallerConnections
from dogwoodshed._internal.proxy.headers import DEFAULT_NAMES, HeaderNames
from dogwoodshed._internal.proxy.planned_stop import PlannedStop
from dogwoodshed._internal.proxy.requests import check_request, parse_call, read_body
from dogwoodshed._internal.proxy.response_writer import (
    CALLER_STALL_TIMEOUT_S,
    StreamLimits,
    send_problem,
    send_response,
)
from dogwoodshed._internal.proxy.routes import Routes
from dogwoodshed._internal.proxy.upstream_messages import (
    OutboundRequest,
    UpstreamResponse,
)
from dogwoodshed._internal.routing.base import OutcomeStatus
from dogwoodshed._internal.settings import LimitSettings

# Requests on open connections are still served for this long after a stop has begun,
# with `Connection: close`, so that callers can disconnect without losing a request.
IDLE_CONNECTION_GRACE_S = 1.0
_DRAIN_POLL_INTERVAL_S = 0.02
# For the responses to the requests that the end of a stop ends, and then for aiohttp to
# end its tasks.
_LAST_WRITES_S = 0.2
_SHUTDOWN_S = 0.05
# After an early refusal the rest of the request body is read for this long. Closing a
# connection with unread input would reset it before the caller reads the refusal.
READ_AFTER_REFUSAL_S = 2.0
_READ_BUFFER_BYTES = 65_536
LISTEN_BACKLOG = 1024
# A gateway that has just started receives its configuration within a few round trips.
# The shortest deadlines are half a second, and a caller that is refused retries once.
FIRST_CONFIGURATION_WAIT_S = 0.2


class CallRecord(NamedTuple):
    """Outcome of one call as its caller saw it."""

    service: str
    kind: str
    rank: int
    status: int
    ran: str
    # Seconds from the arrival of the request to the end of the call.
    elapsed: float
    in_time: bool
    # Seconds before the first dispatch, and from then until the end of the call.
    queue_time: float = 0.0
    upstream_time: float = 0.0
    retries: int = 0
    hedges: int = 0
    duplicate_prevented: bool = False
    request_id: str = ""
    # Each attempt with its upstream, outcome and duration.
    attempt_log: tuple[str, ...] = ()
    # Why the gateway itself responded with an error.
    reason: str = ""


class Recorder(Protocol):
    """Receive the records of finished calls."""

    def record(self, record: CallRecord) -> None:
        """Record one finished call."""


class Forwarder(Protocol):
    """Forward calls to upstreams."""

    async def forward(self, call: Call, request: OutboundRequest) -> UpstreamResponse:
        """Return the response to a call; raises CallError."""


class ProxyServer:
    """HTTP server for callers."""

    def __init__(
        self,
        store: ConfigurationStore,
        forwarder: Forwarder,
        recorder: Recorder,
        limits: LimitSettings,
        clock: Clock,
        metrics: Metrics,
        names: HeaderNames = DEFAULT_NAMES,
        expected_service_time: Callable[[Call], float] = lambda _: 0.0,
    ) -> None:
        self._names = names
        self._stopping = False
        self._stop = PlannedStop(clock, expected_service_time)
        self._store = store
        self._routes = Routes(None)
        self._forwarder = forwarder
        self._recorder = recorder
        # As set for this gateway, and with those of the configuration.
        self._own_limits = self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._in_flight = 0
        self._accepting = False
        self._server: CallerConnections | None = None
        self._listener: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._port = 0
        self._loop = asyncio.get_running_loop()
        self._detached_tasks: set[asyncio.Task[UpstreamResponse]] = set()

    @property
    def port(self) -> int:
        return self._port

    @property
    def in_flight(self) -> int:
        return self._in_flight

    @property
    def _closing(self) -> bool:
        return self._stopping or not self._accepting

    @property
    def _has_requests(self) -> bool:
        """Return whether requests are in flight or have been read behind these."""
        return bool(self._in_flight) or any(
            connection.has_next_request for connection in self._server.connections
        )

    async def listen(
        self, ip: str, port: int, listener: socket.socket | None = None
    ) -> None:
        """Start to accept connections, on `listener` if it is given."""
        self._server = CallerConnections(
            self._handle,
            self._metrics,
            self._limits,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
            lingering_time=READ_AFTER_REFUSAL_S,
            read_bufsize=_READ_BUFFER_BYTES,
        )
        self._socket = listener or socket.create_server(
            (ip, port), backlog=LISTEN_BACKLOG
        )
        self._socket.setblocking(False)
        self._listener = await self._loop.create_server(
            self._server, sock=self._socket, backlog=LISTEN_BACKLOG
        )
        self._store.subscribe(self._apply_limits)
        if self._store.current is not None:
            self._apply_limits(self._store.current)
        self._port = self._socket.getsockname()[1]
        self._accepting = True

    def _apply_limits(self, configuration: Configuration) -> None:
        self._limits = self._own_limits.with_caller_limits(configuration.caller_limits)
        self._server.apply_limits(self._limits)

    def begin_stop(self, timeout: float | None) -> None:
        """Serve one more request on each connection, and bound the stop."""
        self._stopping = True
        self._stop.begin(timeout)

    async def linger(self, seconds: float) -> None:
        """Keep accepting connections for a while.

        A load balancer in front needs a few checks to notice that this gateway stops.
        """
        await asyncio.sleep(seconds)
        if seconds:
            # Callers have had the time to open connections to other gateways.
            self._stop.end_acceptance()

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections get a last response each."""
        if not self._accepting:
            return
        self._accepting = False
        # Closing the socket would reset connections that the kernel has accepted.
        self._loop.remove_reader(self._socket)
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                break
            await self._loop.connect_accepted_socket(self._server, connection)
        self._listener.close()

    async def drain(self) -> None:
        """Wait until no request is in flight, then close the connections."""
        if self._server is None:
            return
        try:
            async with asyncio.timeout(self._stop.time_left):
                await self._wait_for_connections()
        except TimeoutError:
            self._metrics.increment("stop.timed_out")
            await self._end_requests()
        await self._server.shutdown(_SHUTDOWN_S)

    async def _end_requests(self) -> None:
        """Respond to the requests that are left instead of closing on them."""
        self._server.close_idle()
        self._stop.end_all()
        ends_at = self._loop.time() + _LAST_WRITES_S
        while self._has_requests and self._loop.time() < ends_at:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def _wait_for_connections(self) -> None:
        ends_at = self._loop.time() + IDLE_CONNECTION_GRACE_S
        while self._server.connections and self._loop.time() < ends_at:
            self._stop.reject_waiting()
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        while self._has_requests:
            self._server.close_idle()
            self._stop.reject_waiting()
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        # A connection stays open until the caller has received its whole response.
        ends_at = self._loop.time() + CALLER_STALL_TIMEOUT_S
        while self._server.connections and self._loop.time() < ends_at:
            self._server.close_idle()
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._begin_request()
        arrived_at = self._clock.monotonic()
        call: Call | None = None
        is_responding = False
        task = asyncio.current_task()
        self._stop.add(task)
        try:
            check_request(request)
            if self._store.current is None:
                await self._store.wait_for_first(FIRST_CONFIGURATION_WAIT_S)
            if self._routes.configuration is not self._store.current:
                self._routes = Routes(self._store.current, self._routes)
            call = parse_call(request, self._routes, arrived_at, self._names)
            outbound = await self._read_request(request, call)
            self._stop.admit(task, call)
            upstream_response = await self._forward(call, outbound)
            is_responding = True
            response, outcome = await send_response(
                request,
                upstream_response,
                StreamLimits(
                    self._limits.progress_timeout_s,
                    self._limits.max_response_bytes,
                    call.deadline - self._clock.monotonic(),
                ),
                close=self._closes_after(request),
            )
            self._record_response(call, arrived_at, response.status, outcome)
        except CallError as error:
            response = await self._send_error(request, call, arrived_at, error)
        except asyncio.CancelledError:
            stop_error = None if is_responding else self._stop.take_error(task)
            if stop_error is not None:
                return await self._send_error(request, call, arrived_at, stop_error)
            self._metrics.increment("calls.cancelled_by_caller")
            self._record(call, arrived_at, 499, "unknown")
            raise
        except Exception as unexpected:
            logging.exception("unexpected error while handling a call")
            error = InternalError(type(unexpected).__name__)
            self._record(call, arrived_at, error.status, error.ran)
            response = await send_problem(request, error, close=True)
        finally:
            self._stop.remove(task)
            self._end_request()
        return response

    async def _send_error(
        self,
        request: web.BaseRequest,
        call: Call | None,
        arrived_at: float,
        error: CallError,
    ) -> web.StreamResponse:
        reason = f"{error.title}: {error}"
        self._record(call, arrived_at, error.status, error.ran, reason)
        return await send_problem(request, error, close=self._closes_after(request))

    def _closes_after(self, request: web.BaseRequest) -> bool:
        # A request that has been read behind this one gets its response, too.
        return self._closing and not request.protocol.has_next_request

    async def _read_request(
        self, request: web.BaseRequest, call: Call
    ) -> OutboundRequest:
        body = await read_body(
            request, self._limits, call.deadline - self._clock.monotonic()
        )
        outbound_headers = headers.for_upstream(request.headers)
        if self._names.depth is not None:
            outbound_headers[self._names.depth] = str(call.depth + 1)
        if self._names.rank is not None:
            outbound_headers[self._names.rank] = str(call.rank)
        return OutboundRequest(request.method, request.raw_path, outbound_headers, body)

    async def _forward(self, call: Call, outbound: OutboundRequest) -> UpstreamResponse:
        if call.idempotent or not self._limits.finish_abandoned:
            return await self._forwarder.forward(call, outbound)
        return await self._forward_detached(call, outbound)

    async def _forward_detached(
        self, call: Call, outbound: OutboundRequest
    ) -> UpstreamResponse:
        """Forward a call that continues after its deadline or a caller's disconnect."""
        task = self._loop.create_task(self._forwarder.forward(call, outbound))
        ended = self._loop.create_future()
        self._begin_request()

        def set_ended(_: object = None) -> None:
            if not ended.done():
                ended.set_result(None)

        def on_task_done(_: object) -> None:
            self._end_request()
            set_ended()

        task.add_done_callback(on_task_done)
        remaining = call.deadline - self._clock.monotonic()
        timer = self._loop.call_later(max(0.0, remaining), set_ended)
        try:
            # Same effect as asyncio.wait, without the cost of its sets and checks.
            await ended
            if task.done():
                return task.result()
        except asyncio.CancelledError:
            self._detach(task, call)
            raise
        finally:
            timer.cancel()
        self._detach(task, call)
        if call.dispatched:
            raise UpstreamTimeoutError("deadline passed")
        raise DeadlineExpiredInQueueError(call.service.name)

    def _detach(self, task: asyncio.Task[UpstreamResponse], call: Call) -> None:
        if not call.dispatched:
            task.cancel()
        self._detached_tasks.add(task)
        task.add_done_callback(self._discard_result)

    def _discard_result(self, task: asyncio.Task[UpstreamResponse]) -> None:
        self._detached_tasks.discard(task)
        if task.cancelled() or task.exception() is not None:
            return
        task.result().discard()

    def _record_response(
        self, call: Call, arrived_at: float, status: int, outcome: OutcomeStatus
    ) -> None:
        if outcome is OutcomeStatus.CANCELLED:
            self._metrics.increment("calls.cancelled_by_caller")
            self._record(call, arrived_at, 499, "yes")
        elif outcome is OutcomeStatus.ANSWERED or status >= 500:
            self._record(call, arrived_at, status, "yes")
        else:
            self._metrics.increment("calls.answer_cut")
            self._record(
                call,
                arrived_at,
                ResponseTruncatedError.status,
                ResponseTruncatedError.ran,
            )

    def _record(
        self,
        call: Call | None,
        arrived_at: float,
        status: int,
        ran: str,
        reason: str = "",
    ) -> None:
        self._metrics.increment(f"calls.ran.{ran}")
        if call is None:
            return
        elapsed = self._clock.monotonic() - arrived_at
        queue_time = elapsed
        if call.dispatched_at is not None:
            queue_time = call.dispatched_at - arrived_at
        in_time = ran == "yes" and status < 500 and elapsed <= call.kind.time_limit
        self._recorder.record(
            CallRecord(
                call.service.name,
                call.kind.name,
                call.rank,
                status,
                ran,
                elapsed,
                in_time,
                queue_time,
                elapsed - queue_time,
                call.retries,
                call.hedges,
                call.duplicate_prevented,
                call.request_id,
                tuple(call.attempt_log),
                reason,
            )
        )

    def _begin_request(self) -> None:
        self._in_flight += 1

    def _end_request(self) -> None:
        self._in_flight -= 1
