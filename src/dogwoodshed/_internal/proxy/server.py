"""Accept calls over HTTP and answer them."""

import asyncio
from typing import NamedTuple, Protocol

import aiohttp
from aiohttp import web

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.exceptions import (
    CallError,
    MalformedRequestError,
    NoRouteError,
    ShuttingDownError,
    UpstreamTimeoutError,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy import headers
from dogwoodshed._internal.proxy.body import RequestBody
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.problems import problem_response
from dogwoodshed._internal.proxy.relay import Answer, OutboundRequest
from dogwoodshed._internal.routing.base import OutcomeStatus
from dogwoodshed._internal.settings import LimitSettings

MAX_KEY_LENGTH = 255


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
    waiting: float = 0.0
    upstream: float = 0.0
    retries: int = 0
    hedges: int = 0
    double_prevented: bool = False


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
    ) -> None:
        self._store = store
        self._forwarder = forwarder
        self._recorder = recorder
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._in_flight = 0
        self._idle = asyncio.Event()
        self._idle.set()
        self._accepting = False
        self._server: web.Server | None = None
        self._listener: asyncio.Server | None = None
        self._port = 0
        self._loop = asyncio.get_running_loop()
        self._detached: set[asyncio.Task[Answer]] = set()

    @property
    def port(self) -> int:
        return self._port

    @property
    def in_flight(self) -> int:
        return self._in_flight

    async def listen(self, ip: str, port: int) -> None:
        """Start to accept connections."""
        self._server = web.Server(
            self._handle,
            handler_cancellation=True,
            auto_decompress=False,
            access_log=None,
            max_line_size=self._limits.max_header_bytes,
            max_field_size=self._limits.max_header_bytes,
            read_bufsize=65_536,
        )
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._server, ip, port, backlog=1024, reuse_address=True
        )
        self._port = self._listener.sockets[0].getsockname()[1]
        self._accepting = True

    def stop_accepting(self) -> None:
        """Close the listening socket; open connections finish their requests."""
        self._accepting = False
        if self._listener is not None:
            self._listener.close()

    async def drain(self, timeout: float | None) -> None:
        """Wait until no request is in flight, then close the connections."""
        try:
            async with asyncio.timeout(timeout):
                await self._idle.wait()
        except TimeoutError:
            self._metrics.increment("stop.timed_out")
        if self._server is not None:
            await self._server.shutdown(1.0)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self._enter()
        started = self._clock.monotonic()
        call: Call | None = None
        try:
            call = self._parse_call(request, started)
            outbound = await self._read(request, call)
            response = await self._answer(request, call, outbound)
            self._record(call, started, response.status, "yes")
        except CallError as error:
            self._record(call, started, error.status, error.ran)
            response = problem_response(error)
        except asyncio.CancelledError:
            self._metrics.increment("calls.cancelled_by_caller")
            self._record(call, started, 499, "unknown")
            raise
        finally:
            self._leave()
        if not self._accepting:
            response.force_close()
        return response

    async def _read(self, request: web.BaseRequest, call: Call) -> OutboundRequest:
        if not self._accepting:
            raise ShuttingDownError("retry on another host")
        body = await RequestBody.from_stream(
            request.content,
            replay_bytes=self._limits.replay_body_bytes,
            max_bytes=self._limits.max_body_bytes,
        )
        outbound_headers = headers.end_to_end(request.headers)
        outbound_headers[headers.DEPTH] = str(call.depth + 1)
        outbound_headers[headers.RANK] = str(call.rank)
        return OutboundRequest(request.method, request.raw_path, outbound_headers, body)

    def _parse_call(self, request: web.BaseRequest, started: float) -> Call:
        configuration = self._store.current
        path = request.path
        service = configuration.find_service(path) if configuration else None
        kind = service.find_kind(request.method, path) if service else None
        if service is None or kind is None:
            raise NoRouteError(path)
        time_limit = _number(request, headers.TIMEOUT_MS, kind.deadline * 1000) / 1000
        rank = int(_number(request, headers.RANK, kind.rank.position))
        key = request.headers.get(headers.IDEMPOTENCY_KEY)
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            raise MalformedRequestError(f"{headers.IDEMPOTENCY_KEY}: length")
        return Call(
            service,
            kind,
            caller=request.headers.get(headers.CALLER) or request.remote or "",
            arrived=started,
            deadline=started + min(time_limit, kind.deadline),
            # A nested call is never more urgent than the call that it serves.
            rank=min(max(rank, kind.rank.position), len(configuration.ranks) - 1),
            depth=int(_number(request, headers.DEPTH, 0)),
            key=key,
        )

    async def _answer(
        self, request: web.BaseRequest, call: Call, outbound: OutboundRequest
    ) -> web.StreamResponse:
        if call.idempotent:
            answer = await self._forwarder.forward(call, outbound)
        else:
            answer = await self._forward_detached(call, outbound)
        if answer.body is not None:
            return web.Response(
                status=answer.status, headers=answer.headers, body=answer.body
            )
        return await self._stream(request, answer)

    async def _forward_detached(self, call: Call, outbound: OutboundRequest) -> Answer:
        """Forward a call that goes on when its caller leaves or its deadline passes."""
        task = asyncio.ensure_future(self._forwarder.forward(call, outbound))
        self._enter()
        task.add_done_callback(lambda _: self._leave())
        try:
            remaining = call.deadline - self._clock.monotonic()
            await asyncio.wait({task}, timeout=max(0.0, remaining))
            if task.done():
                return task.result()
        except asyncio.CancelledError:
            self._abandon(task, call)
            raise
        self._abandon(task, call)
        raise UpstreamTimeoutError("deadline passed")

    def _abandon(self, task: asyncio.Task[Answer], call: Call) -> None:
        if not call.dispatched:
            task.cancel()
        self._detached.add(task)
        task.add_done_callback(self._discard)

    def _discard(self, task: asyncio.Task[Answer]) -> None:
        self._detached.discard(task)
        if task.cancelled() or task.exception() is not None:
            return
        answer = task.result()
        if answer.response is not None:
            answer.response.close()
            self._loop.create_task(answer.finish(OutcomeStatus.CANCELLED))

    async def _stream(
        self, request: web.BaseRequest, answer: Answer
    ) -> web.StreamResponse:
        status = OutcomeStatus.CANCELLED
        response = web.StreamResponse(status=answer.status, headers=answer.headers)
        try:
            await response.prepare(request)
            async for part in answer.response.content.iter_any():
                await response.write(part)
            await response.write_eof()
            status = OutcomeStatus.ANSWERED
        except (aiohttp.ClientError, TimeoutError):
            # A cut answer must reach the caller as a broken one, never as a whole.
            status = OutcomeStatus.FAILED
            self._metrics.increment("calls.answer_cut")
            if request.transport is not None:
                request.transport.abort()
        finally:
            if status is not OutcomeStatus.ANSWERED:
                answer.response.close()
            await answer.finish(status)
        return response

    def _record(self, call: Call | None, started: float, status: int, ran: str) -> None:
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
                call.double_prevented,
            )
        )

    def _enter(self) -> None:
        self._in_flight += 1
        self._idle.clear()

    def _leave(self) -> None:
        self._in_flight -= 1
        if self._in_flight == 0:
            self._idle.set()


def _number(request: web.BaseRequest, name: str, default: float) -> float:
    text = request.headers.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        raise MalformedRequestError(f"{name}: {text!r:.40}") from None
    if not 0 <= value < 1e12:
        raise MalformedRequestError(f"{name}: {text!r:.40}")
    return value
