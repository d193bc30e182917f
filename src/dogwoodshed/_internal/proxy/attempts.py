"""Send a call to one upstream and classify how that ends."""

import asyncio
from collections.abc import Callable

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import (
    CallError,
    DeadlineExpiredInQueueError,
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
from dogwoodshed._internal.proxy.load_reports import LoadReportReader
from dogwoodshed._internal.proxy.upstream_messages import Answer, OutboundRequest
from dogwoodshed._internal.routing.base import (
    LoadReport,
    Outcome,
    OutcomeStatus,
    Router,
    Slot,
)

# Answers up to this size are read whole, so that a cut one can still become a 502.
WHOLE_ANSWER_BYTES = 65_536
# How long past its deadline a non-idempotent call may go on, so that its answer is
# known to a caller that asks again with the same key.
NON_IDEMPOTENT_GRACE_S = 30.0

# Attempts in a row that were given up without an answer on the same pool. Callers that
# leave cause some too, but seldom several with no answer between them.
SUSPECT_AFTER = 3

_STATUS_OF_ERROR = {
    DeadlineExpiredInQueueError: OutcomeStatus.CANCELLED,
    UpstreamUnreachableError: OutcomeStatus.UNREACHABLE,
    UpstreamRefusedError: OutcomeStatus.REFUSED,
    UpstreamTimeoutError: OutcomeStatus.TIMED_OUT,
}


class Attempt:
    """One attempt on one slot, released exactly once."""

    __slots__ = (
        "_call",
        "_clock",
        "_pool",
        "_report",
        "_router",
        "_slot",
        "_started",
        "limit",
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
        self._report: LoadReport | None = None
        self._started = clock.monotonic()
        self.limit: asyncio.Timeout | None = None
        self.timer: asyncio.TimerHandle | None = None
        pool.enter()

    @property
    def pool(self) -> UpstreamPool:
        return self._pool

    @property
    def upstream_id(self) -> str:
        return self._slot.upstream.id

    def note_report(self, report: LoadReport | None) -> None:
        """Keep the load report of the answer for the router."""
        self._report = report

    def end(self, status: OutcomeStatus) -> None:
        """Release the slot with the outcome."""
        elapsed = self._clock.monotonic() - self._started
        self._router.release(self._slot, Outcome(status, elapsed, self._report))
        self._call.trace.append(
            f"{self.upstream_id or self._pool.address}"
            f" {self._slot.describe_choice()} {status.value} {elapsed:.3f}s"
        )
        self._pool.leave()


class AttemptSender:
    """Make single attempts."""

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
        hold_unsized: bool = False,
    ) -> None:
        self._hold_unsized = hold_unsized
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
        patience: float,
        may_give_up: Callable[[], bool],
    ) -> Answer:
        """Make one attempt on a slot; raises CallError.

        An attempt without progress marks its pool after `patience` and ends then if
        `may_give_up` allows it.
        """
        pool = self._pools.pool(
            slot.upstream.address, call.service.connections_per_upstream
        )
        attempt = Attempt(self._router, slot, pool, call, self._clock)
        status: OutcomeStatus | None = OutcomeStatus.CANCELLED
        try:
            answer = await self._exchange(call, request, attempt, patience, may_give_up)
            if answer.response is not None:
                # The slot stays in use until the caller has the last byte.
                answer.attach(attempt.end, lambda: self._suspect(pool))
                status = None
            else:
                status = OutcomeStatus.ANSWERED
                if answer.status >= 500:
                    status = OutcomeStatus.FAILED
            return answer
        except CallError as error:
            status = _STATUS_OF_ERROR.get(type(error), OutcomeStatus.FAILED)
            raise
        except asyncio.CancelledError:
            self._note_given_up(pool)
            raise
        finally:
            if attempt.timer is not None:
                attempt.timer.cancel()
            if status is not None:
                attempt.end(status)

    def _stalled(
        self, attempt: Attempt, ends: float, may_give_up: Callable[[], bool] | None
    ) -> None:
        """Notice missing progress; end the attempt now or at its limit."""
        if may_give_up is not None:
            self._suspect(attempt.pool)
            if not may_give_up():
                attempt.limit.reschedule(ends)
                return
        attempt.limit.reschedule(self._loop.time())

    def _note_given_up(self, pool: UpstreamPool) -> None:
        # A hedge ends an attempt long before its patience does, so that the attempts
        # on silent connections would never be seen to stall.
        pool.unanswered += 1
        if pool.unanswered >= SUSPECT_AFTER:
            self._suspect(pool)

    def _suspect(self, pool: UpstreamPool) -> None:
        self._metrics.increment("connections.silent")
        # What is silent on a new connection too is the upstream, not the connection.
        if pool.proven and self._replace_silent:
            self._pools.replace(pool)

    async def _exchange(
        self,
        call: Call,
        request: OutboundRequest,
        attempt: Attempt,
        patience: float,
        may_give_up: Callable[[], bool],
    ) -> Answer:
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
        # One timer serves both the patience and the limit, because nearly all attempts
        # end before either.
        started = self._loop.time()
        ends = started + limit
        attempt.timer = self._loop.call_at(
            min(started + patience, ends),
            self._stalled,
            attempt,
            ends,
            may_give_up if patience < limit else None,
        )
        # From here on the upstream may have seen the call.
        call.dispatched = True
        call.attempts += 1
        if call.dispatched_at is None:
            call.dispatched_at = now
        try:
            async with asyncio.timeout(None) as attempt.limit:
                response = await pool.session.request(
                    request.method,
                    _url(address, request.target),
                    headers=outbound_headers,
                    data=request.body.payload(),
                    allow_redirects=False,
                )
                pool.note_answer(response.headers.get("Keep-Alive"))
                return await self._read_answer(call, response, attempt)
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
        # A copy, since a hedge sends the same request to another instance.
        outbound = CIMultiDict(request.headers)
        outbound[self._names.timeout_ms] = str(int(remaining * 1000))
        if self._names.expected_instance is not None:
            outbound[self._names.expected_instance] = attempt.upstream_id
        return outbound

    async def _read_answer(
        self, call: Call, response: aiohttp.ClientResponse, attempt: Attempt
    ) -> Answer:
        attempt.note_report(self._read_report(response.headers))
        if call.service.not_run.matches(response.status, response.headers):
            await _drain(response)
            raise UpstreamRefusedError(call.service.name)
        seal = self._names.response_seal
        if (
            seal is not None
            and response.status < 300
            and (seal not in response.headers)
        ):
            response.close()
            raise UnverifiedResponseError(attempt.pool.address)
        answer_headers = headers.for_caller(response.headers)
        length = response.content_length
        if length is None and self._hold_unsized:
            return await _read_unsized(response, answer_headers)
        if length is not None and length <= WHOLE_ANSWER_BYTES:
            body = await response.read()
            return Answer(
                None, response.status, answer_headers, body, reason=response.reason
            )
        return Answer(
            response, response.status, answer_headers, None, reason=response.reason
        )


async def _read_unsized(
    response: aiohttp.ClientResponse, answer_headers: CIMultiDict[str]
) -> Answer:
    """Hold a short answer of unknown length whole, and stream a longer one."""
    parts: list[bytes] = []
    size = 0
    while size <= WHOLE_ANSWER_BYTES:
        part = await response.content.readany()
        if not part:
            body = b"".join(parts)
            return Answer(
                None, response.status, answer_headers, body, reason=response.reason
            )
        parts.append(part)
        size += len(part)
    return Answer(
        response,
        response.status,
        answer_headers,
        None,
        reason=response.reason,
        head=b"".join(parts),
    )


async def _drain(response: aiohttp.ClientResponse) -> None:
    """Keep the connection of a small refusal, which is cheaper than a new one."""
    length = response.content_length
    if length is not None and length <= WHOLE_ANSWER_BYTES:
        try:
            await response.read()
        except aiohttp.ClientError:
            response.close()
    else:
        response.close()


def _url(address: str, target: str) -> URL:
    url = URL(f"http://{address}{target}", encoded=True)
    # The class drops the question mark of an empty query. There is no public way to
    # keep it; tests/functional/test_traps.py fails if this one goes.
    if target.endswith("?"):
        url._cache["raw_path_qs"] = target
    return url
