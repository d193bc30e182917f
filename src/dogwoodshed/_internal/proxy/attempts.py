"""Send a call to one upstream and classify the outcome."""

import asyncio
from collections.abc import Callable

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import (
    CallError,
    DeadlineExpiredInQueueError,
    ResponseTooLargeError,
    StreamedBodyTooLargeError,
    UnverifiedResponseError,
    UpstreamDisconnectedError,
    UpstreamRefusedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy import headers
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.connections import UpstreamPool, UpstreamPools
from dogwoodshed._internal.proxy.headers import DEFAULT_NAMES, HeaderNames
from dogwoodshed._internal.proxy.load_reports import (
    LoadReportReader,
    report_of_response,
)
from dogwoodshed._internal.proxy.upstream_messages import (
    OutboundRequest,
    UpstreamResponse,
)
from dogwoodshed._internal.routing.base import (
    LoadReport,
    Outcome,
    OutcomeStatus,
    Router,
    Slot,
)
from dogwoodshed._internal.settings import LimitSettings

# Responses up to this size are buffered, so that the caller receives a 502 instead of
# a truncated response.
MAX_BUFFERED_RESPONSE_BYTES = 65_536
# A non-idempotent call may continue for this long after its deadline, so that its
# response is known when the caller repeats the call with the same idempotency key.
NON_IDEMPOTENT_GRACE_S = 30.0

# A pool is reported as silent after this many consecutive abandoned attempts. Callers
# that disconnect also cause abandoned attempts, but rarely several in a row without a
# response in between.
SILENT_AFTER_ABANDONED = 3

_STATUS_OF_ERROR = {
    DeadlineExpiredInQueueError: OutcomeStatus.CANCELLED,
    UpstreamUnreachableError: OutcomeStatus.UNREACHABLE,
    UpstreamRefusedError: OutcomeStatus.REFUSED,
    UpstreamTimeoutError: OutcomeStatus.TIMED_OUT,
}


class Attempt:
    """One request to one upstream; releases its slot exactly once."""

    __slots__ = (
        "_call",
        "_clock",
        "_load_report",
        "_pool",
        "_router",
        "_slot",
        "_started_at",
        "timeout",
        "timer",
    )

    def __init__(
        self,
        router: Router,
        slot: Slot,
        pool: UpstreamPool,
        call: Call,
        clock: Clock,
    ) -> None:
        self._call = call
        self._router = router
        self._slot = slot
        self._pool = pool
        self._clock = clock
        self._load_report: LoadReport | None = None
        self._started_at = clock.monotonic()
        self.timeout: asyncio.Timeout | None = None
        self.timer: asyncio.TimerHandle | None = None
        pool.begin_call()

    @property
    def pool(self) -> UpstreamPool:
        return self._pool

    @property
    def upstream_id(self) -> str:
        return self._slot.upstream.id

    def record_load_report(self, report: LoadReport | None) -> None:
        """Keep the load report of the response for the router.

        What it says of further calls applies before the response ends.
        """
        self._load_report = report
        if report is not None:
            self._router.record_notice(self._slot, report)

    def end(self, status: OutcomeStatus) -> None:
        """Release the slot and report the outcome to the router."""
        elapsed = self._clock.monotonic() - self._started_at
        self._router.release(self._slot, Outcome(status, elapsed, self._load_report))
        self._call.attempt_log.append(
            f"{self.upstream_id or self._pool.address}"
            f" {self._slot.describe_choice()} {status.value} {elapsed:.3f}s"
        )
        self._pool.end_call()


class AttemptSender:
    """Send single attempts to upstreams."""

    def __init__(
        self,
        router: Router,
        pools: UpstreamPools,
        read_report: LoadReportReader,
        clock: Clock,
        metrics: Metrics,
        *,
        replace_silent: bool = True,
        names: HeaderNames = DEFAULT_NAMES,
        finish_abandoned: bool = True,
        buffer_unsized: bool = False,
        max_response_bytes: int = LimitSettings().max_response_bytes,
    ) -> None:
        self._max_response_bytes = max_response_bytes
        self._buffer_unsized = buffer_unsized
        self._names = names
        self._finish_abandoned = finish_abandoned
        self._router = router
        self._pools = pools
        self._read_report = read_report
        self._clock = clock
        self._metrics = metrics
        self._replace_silent = replace_silent
        self._loop = asyncio.get_running_loop()

    async def send(
        self,
        call: Call,
        request: OutboundRequest,
        slot: Slot,
        stall_timeout: float,
        may_abandon: Callable[[], bool],
    ) -> UpstreamResponse:
        """Send a request to the upstream of a slot; raises CallError.

        If no response arrives within `stall_timeout`, the connection pool is reported
        as silent, and the attempt ends if `may_abandon` returns true.
        """
        pool = self._pools.pool(
            slot.upstream.address, call.service.connections_per_upstream
        )
        attempt = Attempt(self._router, slot, pool, call, self._clock)
        status: OutcomeStatus | None = OutcomeStatus.CANCELLED
        try:
            response = await self._exchange(
                call, request, attempt, stall_timeout, may_abandon
            )
            if response.client_response is not None:
                # The slot stays in use until the last byte is sent to the caller.
                response.attach(attempt.end, lambda: self._report_silent(pool))
                status = None
            else:
                status = OutcomeStatus.ANSWERED
                if response.status >= 500:
                    status = OutcomeStatus.FAILED
            return response
        except CallError as error:
            status = _STATUS_OF_ERROR.get(type(error), OutcomeStatus.FAILED)
            raise
        except asyncio.CancelledError:
            self._record_abandoned(pool)
            raise
        finally:
            if attempt.timer is not None:
                attempt.timer.cancel()
            if status is not None:
                attempt.end(status)

    def _on_stall(
        self, attempt: Attempt, ends_at: float, may_abandon: Callable[[], bool] | None
    ) -> None:
        """Report the pool of a stalled attempt and end it now or at its time limit."""
        if may_abandon is not None:
            self._report_silent(attempt.pool)
            if not may_abandon():
                attempt.timeout.reschedule(ends_at)
                return
        attempt.timeout.reschedule(self._loop.time())

    def _record_abandoned(self, pool: UpstreamPool) -> None:
        # A hedge usually ends an attempt long before its stall timeout, so attempts on
        # silent connections would otherwise never be detected.
        pool.consecutive_abandoned += 1
        if pool.consecutive_abandoned >= SILENT_AFTER_ABANDONED:
            self._report_silent(pool)

    def _report_silent(self, pool: UpstreamPool) -> None:
        self._metrics.increment("connections.silent")
        # If new connections are silent too, the fault is in the upstream and not in
        # the connections.
        if pool.has_responded and self._replace_silent:
            self._pools.replace(pool)

    async def _exchange(
        self,
        call: Call,
        request: OutboundRequest,
        attempt: Attempt,
        stall_timeout: float,
        may_abandon: Callable[[], bool],
    ) -> UpstreamResponse:
        now = self._clock.monotonic()
        remaining = call.deadline - now
        if remaining <= 0:
            raise DeadlineExpiredInQueueError(call.service.name)
        limit = remaining
        if self._finish_abandoned and not call.idempotent:
            limit += NON_IDEMPOTENT_GRACE_S
        outbound_headers = self._outbound_headers(request, attempt, remaining)
        pool = attempt.pool
        address = pool.address
        # One timer serves both the stall timeout and the time limit, because nearly all
        # attempts end before either.
        started_at = self._loop.time()
        ends_at = started_at + limit
        attempt.timer = self._loop.call_at(
            min(started_at + stall_timeout, ends_at),
            self._on_stall,
            attempt,
            ends_at,
            may_abandon if stall_timeout < limit else None,
        )
        # From here on, the upstream may receive the call.
        call.dispatched = True
        call.attempts += 1
        if call.dispatched_at is None:
            call.dispatched_at = now
        try:
            async with asyncio.timeout(None) as attempt.timeout:
                response = await pool.session.request(
                    request.method,
                    _url(address, request.target),
                    headers=outbound_headers,
                    data=request.body.payload(),
                    allow_redirects=False,
                )
                pool.record_response(response.headers.get("Keep-Alive"))
                return await self._read_response(call, response, attempt)
        except aiohttp.ClientConnectorError as error:
            call.attempts -= 1
            raise UpstreamUnreachableError(f"{address}: {error.strerror}") from error
        except aiohttp.ConnectionTimeoutError as error:
            call.attempts -= 1
            raise UpstreamUnreachableError(f"{address}: connect timeout") from error
        except TimeoutError as error:
            raise UpstreamTimeoutError(f"{address}: no answer in time") from error
        except (aiohttp.ClientError, OSError) as error:
            if request.body.over_limit:
                raise StreamedBodyTooLargeError(call.service.name) from error
            raise UpstreamDisconnectedError(
                f"{address}: {type(error).__name__}"
            ) from error

    def _outbound_headers(
        self, request: OutboundRequest, attempt: Attempt, remaining: float
    ) -> CIMultiDict[str]:
        # Copied, because a hedge sends the same request to another instance.
        outbound = CIMultiDict(request.headers)
        outbound[self._names.timeout_ms] = str(int(remaining * 1000))
        if self._names.expected_instance is not None:
            outbound[self._names.expected_instance] = attempt.upstream_id
        return outbound

    async def _read_response(
        self, call: Call, response: aiohttp.ClientResponse, attempt: Attempt
    ) -> UpstreamResponse:
        # Another instance at the address reports nothing of this upstream.
        if response.status != call.service.not_run.bare_status:
            attempt.record_load_report(
                report_of_response(self._read_report, response.status, response.headers)
            )
        if call.service.not_run.matches(response.status, response.headers):
            await _read_or_close(response)
            raise UpstreamRefusedError(call.service.name)
        seal = self._names.response_seal
        if (
            seal is not None
            and response.status < 300
            and (seal not in response.headers)
        ):
            response.close()
            raise UnverifiedResponseError(attempt.pool.address)
        response_headers = headers.for_caller(response.headers)
        length = response.content_length
        if length is not None and length > self._max_response_bytes:
            response.close()
            raise ResponseTooLargeError(f"{attempt.pool.address}: {length} bytes")
        if length is None and self._buffer_unsized:
            return await _buffer_unsized_response(response, response_headers)
        if length is not None and length <= MAX_BUFFERED_RESPONSE_BYTES:
            body = await response.read()
            return UpstreamResponse(
                None, response.status, response_headers, body, reason=response.reason
            )
        return UpstreamResponse(
            response, response.status, response_headers, None, reason=response.reason
        )


async def _buffer_unsized_response(
    response: aiohttp.ClientResponse, response_headers: CIMultiDict[str]
) -> UpstreamResponse:
    """Buffer a short response of unknown length; stream a longer one."""
    parts: list[bytes] = []
    size = 0
    try:
        while size <= MAX_BUFFERED_RESPONSE_BYTES:
            part = await response.content.readany()
            if not part:
                return UpstreamResponse(
                    None,
                    response.status,
                    response_headers,
                    b"".join(parts),
                    reason=response.reason,
                )
            parts.append(part)
            size += len(part)
    except BaseException:
        # Unlike `read`, reading in parts leaves the connection open after an error.
        response.close()
        raise
    return UpstreamResponse(
        response,
        response.status,
        response_headers,
        None,
        reason=response.reason,
        prefix=b"".join(parts),
    )


async def _read_or_close(response: aiohttp.ClientResponse) -> None:
    """Read a small refusal to keep its connection open; close it otherwise.

    Reading a small body is cheaper than opening a new connection.
    """
    length = response.content_length
    if length is not None and length <= MAX_BUFFERED_RESPONSE_BYTES:
        try:
            await response.read()
        except aiohttp.ClientError:
            response.close()
    else:
        response.close()


def _url(address: str, target: str) -> URL:
    url = URL(f"http://{address}{target}", encoded=True)
    # yarl.URL drops the question mark of an empty query and has no public way to keep
    # it. tests/functional/test_http_pitfalls.py fails if `_cache` is removed.
    if target.endswith("?"):
        url._cache["raw_path_qs"] = target
    return url
