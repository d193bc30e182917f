"""Send calls to upstreams and classify how they end."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import NotRunMark
from dogwoodshed._internal.exceptions import (
    CallError,
    NotRunError,
    UpstreamDisconnectedError,
    UpstreamRefusedError,
    UpstreamTimeoutError,
    UpstreamUnreachableError,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy import headers
from dogwoodshed._internal.proxy.body import RequestBody
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.connections import UpstreamPool, UpstreamPools
from dogwoodshed._internal.proxy.load_reports import LoadReportReader
from dogwoodshed._internal.routing.base import Outcome, OutcomeStatus, Router, Slot

# Answers up to this size are read whole, so that a cut one can still become a 502.
WHOLE_ANSWER_BYTES = 65_536
# How long past its deadline a non-idempotent call may go on, so that its answer is
# known to a caller that asks again with the same key.
NON_IDEMPOTENT_GRACE_S = 30.0


class OutboundRequest(NamedTuple):
    """What is sent to an upstream, apart from its address."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: RequestBody


class Answer:
    """An upstream's answer, whole or still streaming."""

    __slots__ = ("_finish", "body", "headers", "response", "status")

    def __init__(
        self,
        response: aiohttp.ClientResponse | None,
        status: int,
        answer_headers: CIMultiDict[str],
        body: bytes | None,
        finish: Callable[[OutcomeStatus], Awaitable[None]] | None = None,
    ) -> None:
        self.response = response
        self.status = status
        self.headers = answer_headers
        self.body = body
        self._finish = finish

    async def finish(self, status: OutcomeStatus) -> None:
        """Report the end of a streaming answer."""
        if self._finish is not None:
            finish, self._finish = self._finish, None
            await finish(status)


class _Exchange:
    """One attempt on one slot, released exactly once."""

    __slots__ = ("_clock", "_pool", "_report", "_router", "_slot", "_started")

    def __init__(
        self, router: Router, slot: Slot, pool: UpstreamPool, clock: Clock
    ) -> None:
        self._router = router
        self._slot = slot
        self._pool = pool
        self._clock = clock
        self._report = None
        self._started = clock.monotonic()
        pool.enter()

    def note_report(self, report) -> None:
        self._report = report

    async def end(self, status: OutcomeStatus) -> None:
        elapsed = self._clock.monotonic() - self._started
        self._router.release(self._slot, Outcome(status, elapsed, self._report))
        await self._pool.leave()


class Relay:
    """Send a call to upstreams until it is answered or must be given up."""

    def __init__(
        self,
        router: Router,
        pools: UpstreamPools,
        read_report: LoadReportReader,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._pools = pools
        self._read_report = read_report
        self._clock = clock
        self._metrics = metrics

    async def forward(self, call: Call, request: OutboundRequest) -> Answer:
        """Send a call, moving on while it certainly did not run; raises CallError."""
        tried: set[str] = set()
        while True:
            slot = await self._router.acquire(call, exclude=frozenset(tried))
            try:
                return await self.send(call, request, slot)
            except NotRunError:
                tried.add(slot.upstream.address)
                if not request.body.replayable or not self._may_move(call, tried):
                    raise
                self._metrics.increment("calls.moved")
                call.retries += 1

    def _may_move(self, call: Call, tried: set[str]) -> bool:
        return (
            len(tried) < len(call.service.upstreams)
            and self._clock.monotonic() < call.deadline
        )

    async def send(self, call: Call, request: OutboundRequest, slot: Slot) -> Answer:
        """Make one attempt on a slot; raises CallError."""
        call.dispatched = True
        if call.dispatched_at is None:
            call.dispatched_at = self._clock.monotonic()
        pool = self._pools.pool(
            slot.upstream.address, call.service.connections_per_upstream
        )
        exchange = _Exchange(self._router, slot, pool, self._clock)
        status = OutcomeStatus.CANCELLED
        try:
            answer = await self._exchange(call, request, pool, exchange)
            if answer.response is not None:
                # The slot stays in use until the caller has the last byte.
                answer._finish, status = exchange.end, None
            else:
                status = OutcomeStatus.ANSWERED
                if answer.status >= 500:
                    status = OutcomeStatus.FAILED
            return answer
        except UpstreamUnreachableError:
            status = OutcomeStatus.UNREACHABLE
            raise
        except UpstreamRefusedError:
            status = OutcomeStatus.REFUSED
            raise
        except UpstreamTimeoutError:
            status = OutcomeStatus.TIMED_OUT
            raise
        except CallError:
            status = OutcomeStatus.FAILED
            raise
        finally:
            if status is not None:
                await exchange.end(status)

    async def _exchange(
        self,
        call: Call,
        request: OutboundRequest,
        pool: UpstreamPool,
        exchange: _Exchange,
    ) -> Answer:
        address = pool.address
        limit = call.deadline
        if not call.idempotent:
            limit += NON_IDEMPOTENT_GRACE_S
        remaining = max(0.0, call.deadline - self._clock.monotonic())
        request.headers[headers.TIMEOUT_MS] = str(int(remaining * 1000))
        try:
            async with asyncio.timeout(limit - self._clock.monotonic()):
                response = await pool.session.request(
                    request.method,
                    URL(f"http://{address}{request.target}", encoded=True),
                    headers=request.headers,
                    data=request.body.payload(),
                    allow_redirects=False,
                )
                return await self._read_answer(call, response, exchange)
        except aiohttp.ClientConnectorError as error:
            raise UpstreamUnreachableError(f"{address}: {error.strerror}") from error
        except aiohttp.ConnectionTimeoutError as error:
            raise UpstreamUnreachableError(f"{address}: connect timeout") from error
        except aiohttp.ServerTimeoutError as error:
            # No byte moved for the progress timeout: the connection has gone silent,
            # and what stands in the pool may have gone with it.
            self._metrics.increment("connections.silent")
            self._pools.replace(pool)
            raise UpstreamTimeoutError(f"{address}: no progress") from error
        except TimeoutError as error:
            raise UpstreamTimeoutError(f"{address}: deadline passed") from error
        except (aiohttp.ClientError, OSError) as error:
            raise UpstreamDisconnectedError(
                f"{address}: {type(error).__name__}"
            ) from error

    async def _read_answer(
        self, call: Call, response: aiohttp.ClientResponse, exchange: _Exchange
    ) -> Answer:
        exchange.note_report(self._read_report(response.headers))
        if _says_not_run(response.status, response.headers, call.service.not_run):
            response.close()
            raise UpstreamRefusedError(call.service.name)
        answer_headers = headers.end_to_end(response.headers)
        length = response.content_length
        if length is not None and length <= WHOLE_ANSWER_BYTES:
            body = await response.read()
            return Answer(None, response.status, answer_headers, body)
        return Answer(response, response.status, answer_headers, None)


def _says_not_run(
    status: int, answer_headers: CIMultiDictProxy[str], mark: NotRunMark
) -> bool:
    return status == mark.status and mark.header in answer_headers
