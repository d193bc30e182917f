"""Forward a call to upstreams, with retries and hedges."""

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import (
    CallError,
    NotRunError,
    OutcomeUnknownError,
    UpstreamUnreachableError,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.attempts import NON_IDEMPOTENT_GRACE_S, AttemptSender
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.hedging import HedgeRace
from dogwoodshed._internal.proxy.upstream_messages import (
    OutboundRequest,
    UpstreamResponse,
)
from dogwoodshed._internal.retries.hedges import HedgePolicy
from dogwoodshed._internal.retries.policy import REPEATABLE_STATUSES, RetryPolicy
from dogwoodshed._internal.routing.base import Router, Slot

__all__ = [
    "NON_IDEMPOTENT_GRACE_S",
    "OutboundRequest",
    "RetryingForwarder",
    "UpstreamResponse",
]

# An attempt counts as stalled after at most ten times the 95th percentile latency of
# its kind, and within half of the remaining time, so that a repeat can still succeed.
# Slow kinds get at least three times the percentile.
MIN_STALL_TIMEOUT_S = 0.1
MAX_STALL_TIMEOUT_PER_P95 = 10
MIN_STALL_TIMEOUT_PER_P95 = 3
_NO_ADDRESSES: frozenset[str] = frozenset()


class _CallProgress:
    """State of the attempts at a call."""

    __slots__ = ("first_failure", "moves", "repeats", "tried_addresses")

    def __init__(self) -> None:
        self.tried_addresses: set[str] = set()
        self.moves = 0
        self.repeats = 0
        # Outcome of the first failed attempt that may have run. After it, the caller
        # must not be told that the call did not run.
        self.first_failure: OutcomeUnknownError | UpstreamResponse | None = None

    def record_failure(self, response: UpstreamResponse) -> None:
        """Record an error response and free its slot."""
        response.discard()
        if self.first_failure is None and response.body is not None:
            self.first_failure = response
        elif self.first_failure is None:
            self.first_failure = OutcomeUnknownError(
                f"upstream answered {response.status}"
            )

    def conclude(self, error: CallError) -> UpstreamResponse:
        """Return or raise the outcome of a call whose last attempt failed."""
        if isinstance(self.first_failure, UpstreamResponse):
            return self.first_failure
        raise self.first_failure or error


class RetryingForwarder:
    """Forward calls to upstreams and decide on further attempts.

    A move sends a call that certainly did not run to another upstream. A repeat sends
    an idempotent call that may have run once more.
    """

    def __init__(
        self,
        router: Router,
        sender: AttemptSender,
        retries: RetryPolicy,
        hedges: HedgePolicy,
        progress_timeout: float,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._sender = sender
        self._retries = retries
        self._hedges = hedges
        self._progress_timeout = progress_timeout
        self._clock = clock
        self._metrics = metrics

    async def forward(self, call: Call, request: OutboundRequest) -> UpstreamResponse:
        """Make attempts until the outcome of a call is decided; raises CallError."""
        self._retries.record_call(call)
        self._hedges.record_call(call)
        progress = _CallProgress()
        while True:
            slot = None
            try:
                slot = await self._router.acquire(
                    call, exclude=self._exclusions(call, progress)
                )
                response = await self._attempt(call, request, slot, progress)
            except NotRunError as error:
                if slot is None or not self._try_move(
                    call, request, slot, progress, error
                ):
                    return progress.conclude(error)
            except OutcomeUnknownError as error:
                progress.first_failure = progress.first_failure or error
                if not self._try_repeat(call, request, slot, progress):
                    return progress.conclude(error)
            else:
                if response.status not in REPEATABLE_STATUSES:
                    return response
                if not self._try_repeat(
                    call, request, slot, progress, needs_other_upstream=True
                ):
                    return response
                progress.record_failure(response)

    def _try_move(
        self,
        call: Call,
        request: OutboundRequest,
        slot: Slot,
        progress: _CallProgress,
        error: NotRunError,
    ) -> bool:
        if progress.first_failure is None:
            call.dispatched = False
        progress.tried_addresses.add(slot.upstream.address)
        now = self._clock.monotonic()
        if (
            not request.body.can_send
            or len(progress.tried_addresses)
            >= self._router.count_upstreams(call.service)
            or not self._retries.allow_move(
                call,
                progress.moves,
                now,
                arrived=not isinstance(error, UpstreamUnreachableError),
            )
        ):
            return False
        progress.moves += 1
        call.retries += 1
        self._metrics.increment("calls.moved")
        return True

    def _try_repeat(
        self,
        call: Call,
        request: OutboundRequest,
        slot: Slot,
        progress: _CallProgress,
        *,
        needs_other_upstream: bool = False,
    ) -> bool:
        progress.tried_addresses.add(slot.upstream.address)
        if not request.body.is_buffered or (
            needs_other_upstream
            and len(progress.tried_addresses)
            >= self._router.count_upstreams(call.service)
        ):
            return False
        now = self._clock.monotonic()
        if not self._retries.allow_repeat(call, progress.repeats, now):
            return False
        progress.repeats += 1
        call.retries += 1
        self._metrics.increment("calls.repeated")
        return True

    async def _attempt(
        self, call: Call, request: OutboundRequest, slot: Slot, progress: _CallProgress
    ) -> UpstreamResponse:
        started_at = self._clock.monotonic()
        remaining = call.deadline - started_at
        stall_timeout = self._stall_timeout(call, remaining)

        def may_abandon() -> bool:
            return request.body.is_buffered and self._retries.may_repeat(
                call, progress.repeats, self._clock.monotonic()
            )

        delay = self._hedges.delay(call)
        untried = self._router.count_upstreams(call.service) - len(
            progress.tried_addresses
        )
        if (
            delay is None
            or delay >= remaining
            or untried < 2
            or not request.body.is_buffered
        ):
            response = await self._sender.send(
                call, request, slot, stall_timeout, may_abandon
            )
        else:

            async def hedge() -> UpstreamResponse:
                excluded = frozenset({*progress.tried_addresses, slot.upstream.address})
                hedge_slot = await self._router.acquire(call, exclude=excluded)
                call.hedges += 1
                self._metrics.increment("calls.hedged")
                return await self._sender.send(
                    call, request, hedge_slot, remaining, lambda: False
                )

            race = HedgeRace(delay, lambda: self._hedges.allow_hedge(call), hedge)
            response = await race.run(
                self._sender.send(call, request, slot, stall_timeout, may_abandon)
            )
        if response.status < 500:
            self._hedges.observe(call, self._clock.monotonic() - started_at)
        return response

    def _exclusions(self, call: Call, progress: _CallProgress) -> frozenset[str]:
        tried = progress.tried_addresses
        # After all upstreams were tried, a repeat may use any of them again, on new
        # connections if an earlier attempt found the open ones silent.
        if not tried or len(tried) >= self._router.count_upstreams(call.service):
            return _NO_ADDRESSES
        return frozenset(tried)

    def _stall_timeout(self, call: Call, remaining: float) -> float:
        stall_timeout = min(self._progress_timeout, remaining / 2)
        p95 = self._hedges.p95(call)
        if p95 is not None:
            stall_timeout = max(stall_timeout, MIN_STALL_TIMEOUT_PER_P95 * p95)
            stall_timeout = min(stall_timeout, MAX_STALL_TIMEOUT_PER_P95 * p95)
        return max(stall_timeout, MIN_STALL_TIMEOUT_S)
