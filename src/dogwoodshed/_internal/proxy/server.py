"""Accept calls over HTTP and answer them."""

import asyncio
import socket
from typing import NamedTuple, Protocol

from absl import logging
from aiohttp import web

from dogwoodshed._internal.clock import Clock
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
from dogwoodshed._internal.proxy.replies import (
    CALLER_STALL_S,
    send_answer,
    send_problem,
)
from dogwoodshed._internal.proxy.requests import check_request, parse_call, read_body
from dogwoodshed._internal.proxy.routes import Routes
from dogwoodshed._internal.proxy.upstream_messages import Answer, OutboundRequest
from dogwoodshed._internal.routing.base import OutcomeStatus
from dogwoodshed._internal.settings import LimitSettings

# Requests on open connections are still served for this long after a stop began, with
# `Connection: close`, so that callers leave without losing one.
STOP_LINGER_S = 1.0
_LINGER_STEP_S = 0.02
# After an early refusal the rest of the body is read for this long, because a close
# with unread input would reset the connection before the caller reads the refusal.
LINGERING_S = 2.0
_READ_BYTES = 65_536
BACKLOG = 1024
# A gateway that has just started knows its configuration within a few round trips. The
# shortest time budgets are half a second, and a caller told to come back tries once.
FIRST_CONFIGURATION_WAIT_S = 0.2


class CallRecord(NamedTuple):
    """The end of one call as its caller saw it."""

    service: str
    kind: str
    rank: int
    status: int
    ran: str
    elapsed: float
    in_time: bool
    # Seconds before the first dispatch, and from then to the end.
    queue_time: float = 0.0
    upstream_time: float = 0.0
    retries: int = 0
    hedges: int = 0
    duplicate_prevented: bool = False
    request_id: str = ""
    # The upstreams that the call was sent to, each with the time and the end.
    attempt_log: tuple[str, ...] = ()
    # Why the gateway answered by itself.
    reason: str = ""


class Recorder(Protocol):
    """Take the records of finished calls."""

    def record(self, record: CallRecord) -> None:
        """Count one finished call."""


class Forwarder(Protocol):
    """Answer a call by way of an upstream."""

    async def forward(self, call: Call, request: OutboundRequest) -> Answer:
        """Return the answer; raises CallError."""


class ProxyServer:
    """Handle the requests of callers."""

    def __init__(
        self,
        store: ConfigurationStore,
        forwarder: Forwarder,
        recorder: Recorder,
        limits: LimitSettings,
        clock: Clock,
        metrics: Metrics,
        names: HeaderNames = DEFAULT_NAMES,
    ) -> None:
        self._names = names
        self._stopping = False
        self._store = store
        self._routes = Routes(None)
        self._forwarder = forwarder
        self._recorder = recorder
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._in_flight = 0
        self._accepting = False
        self._server: CallerConnections | None = None
        self._listener: asyncio.Server | None = None
        self._socket: socket.socket | None = None
        self._port = 0
        self._loop = asyncio.get_running_loop()
        self._detached: set[asyncio.Task[Answer]] = set()

    @property
    def port(self) -> int:
        return self._port

    @property
    def in_flight(self) -> int:
        return self._in_flight

    @property
    def _closing(self) -> bool:
        return self._stopping or not self._accepting

    async def listen(
        self, ip: str, port: int, listener: socket.socket | None = None
    ) -> None:
        """Start to accept connections, on a socket that listens already if given."""
        self._server = CallerConnections(
            self._handle,
            self._metrics,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
            lingering_time=LINGERING_S,
            max_line_size=self._limits.max_header_bytes,
            max_field_size=self._limits.max_header_bytes,
            read_bufsize=_READ_BYTES,
        )
        self._socket = listener or socket.create_server((ip, port), backlog=BACKLOG)
        self._socket.setblocking(False)
        self._listener = await self._loop.create_server(
            self._server, sock=self._socket, backlog=BACKLOG
        )
        self._port = self._socket.getsockname()[1]
        self._accepting = True

    async def linger(self, seconds: float) -> None:
        """Take new connections for a while, each for one more request.

        A balancer notices only after some checks that this gateway leaves.
        """
        self._stopping = True
        await asyncio.sleep(seconds)

    async def stop_accepting(self) -> None:
        """Close the listening socket; open connections finish their requests."""
        if not self._accepting:
            return
        self._accepting = False
        # Connections that the kernel has accepted would be reset by the close.
        self._loop.remove_reader(self._socket)
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                break
            await self._loop.connect_accepted_socket(self._server, connection)
        self._listener.close()

    async def drain(self, timeout: float | None) -> None:
        """Wait until no request is in flight, then close the connections."""
        if self._server is None:
            return
        try:
            async with asyncio.timeout(timeout):
                await self._finish_connections()
        except TimeoutError:
            self._metrics.increment("stop.timed_out")
        await self._server.shutdown(1.0)

    async def _finish_connections(self) -> None:
        ends = self._loop.time() + STOP_LINGER_S
        while self._server.connections and self._loop.time() < ends:
            await asyncio.sleep(_LINGER_STEP_S)
        while self._in_flight:
            self._server.close_idle()
            await asyncio.sleep(_LINGER_STEP_S)
        # A connection lasts until the caller has taken the last byte of its answer.
        ends = self._loop.time() + CALLER_STALL_S
        while self._server.connections and self._loop.time() < ends:
            self._server.close_idle()
            await asyncio.sleep(_LINGER_STEP_S)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._enter()
        started = self._clock.monotonic()
        call: Call | None = None
        try:
            check_request(request)
            if self._store.current is None:
                await self._store.wait_for_first(FIRST_CONFIGURATION_WAIT_S)
            if self._routes.configuration is not self._store.current:
                self._routes = Routes(self._store.current, self._routes)
            call = parse_call(request, self._routes, started, self._names)
            outbound = await self._read(request, call)
            answer = await self._forward(call, outbound)
            response, end = await send_answer(
                request,
                answer,
                self._limits.progress_timeout_s,
                close=self._closing,
            )
            self._record_end(call, started, response.status, end)
        except CallError as error:
            self._record(
                call, started, error.status, error.ran, f"{error.title}: {error}"
            )
            response = await send_problem(request, error, close=self._closing)
        except asyncio.CancelledError:
            self._metrics.increment("calls.cancelled_by_caller")
            self._record(call, started, 499, "unknown")
            raise
        except Exception as unforeseen:
            logging.exception("call failed")
            error = InternalError(type(unforeseen).__name__)
            self._record(call, started, error.status, error.ran)
            response = await send_problem(request, error, close=True)
        finally:
            self._leave()
        return response

    async def _read(self, request: web.BaseRequest, call: Call) -> OutboundRequest:
        body = await read_body(
            request, self._limits, call.deadline - self._clock.monotonic()
        )
        outbound_headers = headers.for_upstream(request.headers)
        if self._names.depth is not None:
            outbound_headers[self._names.depth] = str(call.depth + 1)
        if self._names.rank is not None:
            outbound_headers[self._names.rank] = str(call.rank)
        return OutboundRequest(request.method, request.raw_path, outbound_headers, body)

    async def _forward(self, call: Call, outbound: OutboundRequest) -> Answer:
        if call.idempotent or not self._limits.finish_abandoned:
            return await self._forwarder.forward(call, outbound)
        return await self._forward_detached(call, outbound)

    async def _forward_detached(self, call: Call, outbound: OutboundRequest) -> Answer:
        """Forward a call that goes on when its caller leaves or its deadline passes."""
        task = self._loop.create_task(self._forwarder.forward(call, outbound))
        ended = self._loop.create_future()
        self._enter()

        def finish(_: object = None) -> None:
            if not ended.done():
                ended.set_result(None)

        def leave(_: object) -> None:
            self._leave()
            finish()

        task.add_done_callback(leave)
        remaining = call.deadline - self._clock.monotonic()
        timer = self._loop.call_later(max(0.0, remaining), finish)
        try:
            # Does what asyncio.wait does, without its sets and checks.
            await ended
            if task.done():
                return task.result()
        except asyncio.CancelledError:
            self._abandon(task, call)
            raise
        finally:
            timer.cancel()
        self._abandon(task, call)
        if call.dispatched:
            raise UpstreamTimeoutError("deadline passed")
        raise DeadlineExpiredInQueueError(call.service.name)

    def _abandon(self, task: asyncio.Task[Answer], call: Call) -> None:
        if not call.dispatched:
            task.cancel()
        self._detached.add(task)
        task.add_done_callback(self._discard)

    def _discard(self, task: asyncio.Task[Answer]) -> None:
        self._detached.discard(task)
        if task.cancelled() or task.exception() is not None:
            return
        task.result().discard()

    def _record_end(
        self, call: Call, started: float, status: int, end: OutcomeStatus
    ) -> None:
        if end is OutcomeStatus.CANCELLED:
            self._metrics.increment("calls.cancelled_by_caller")
            self._record(call, started, 499, "yes")
        elif end is OutcomeStatus.ANSWERED or status >= 500:
            self._record(call, started, status, "yes")
        else:
            self._metrics.increment("calls.answer_cut")
            self._record(
                call, started, ResponseTruncatedError.status, ResponseTruncatedError.ran
            )

    def _record(
        self,
        call: Call | None,
        started: float,
        status: int,
        ran: str,
        reason: str = "",
    ) -> None:
        self._metrics.increment(f"calls.ran.{ran}")
        if call is None:
            return
        elapsed = self._clock.monotonic() - started
        waiting = elapsed
        if call.dispatched_at is not None:
            waiting = call.dispatched_at - started
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
                waiting,
                elapsed - waiting,
                call.retries,
                call.hedges,
                call.duplicate_prevented,
                call.request_id,
                tuple(call.trace),
                reason,
            )
        )

    def _enter(self) -> None:
        self._in_flight += 1

    def _leave(self) -> None:
        self._in_flight -= 1
