"""Send a call to upstreams until it is answered or must be given up."""

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
from dogwoodshed._internal.proxy.upstream_messages import Answer, OutboundRequest
from dogwoodshed._internal.retries.hedges import HedgePolicy
from dogwoodshed._internal.retries.policy import REPEATABLE_STATUSES, RetryPolicy
from dogwoodshed._internal.routing.base import Router, Slot

__all__ = ["NON_IDEMPOTENT_GRACE_S", "Answer", "OutboundRequest", "RetryingForwarder"]

# A connection without progress is taken for silent after ten times the kind's 95th
# percentile, within half of the time left, so that a repeat still has a chance. Slow
# kinds get at least three times the percentile.
MIN_PATIENCE_S = 0.1
MOST_PATIENCE_PER_P95 = 10
LEAST_PATIENCE_PER_P95 = 3
_NONE: frozenset[str] = frozenset()


class _Course:
    """What happened to a call so far."""

    __slots__ = ("kept", "moved", "repeated", "tried")

    def __init__(self) -> None:
        self.tried: set[str] = set()
        self.moved = 0
        self.repeated = 0
        # The end of the first attempt that may have run. Nothing later may tell the
        # caller that the call did not run.
        self.kept: OutcomeUnknownError | Answer | None = None

    def keep(self, answer: Answer) -> None:
        """Keep a failure that the upstream answered, and free its slot."""
        answer.discard()
        if self.kept is None and answer.body is not None:
            self.kept = answer
        elif self.kept is None:
            self.kept = OutcomeUnknownError(f"upstream answered {answer.status}")

    def settle(self, error: CallError) -> Answer:
        """End a call whose last attempt failed."""
        if isinstance(self.kept, Answer):
            return self.kept
        raise self.kept or error


class RetryingForwarder:
    """Decide on the attempts of each call."""

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

    async def forward(self, call: Call, request: OutboundRequest) -> Answer:
        """Send a call until an attempt decides its outcome; raises CallError."""
        self._retries.record_call(call)
        self._hedges.record_call(call)
        course = _Course()
        while True:
            slot = None
            try:
                slot = await self._router.acquire(
                    call, exclude=self._exclusions(call, course)
                )
                answer = await self._attempt(call, request, slot, course)
            except NotRunError as error:
                if slot is None or not self._takes_move(
                    call, request, slot, course, error
                ):
                    return course.settle(error)
            except OutcomeUnknownError as error:
                course.kept = course.kept or error
                if not self._takes_repeat(call, request, slot, course):
                    return course.settle(error)
            else:
                if answer.status not in REPEATABLE_STATUSES:
                    return answer
                if not self._takes_repeat(call, request, slot, course, elsewhere=True):
                    return answer
                course.keep(answer)

    def _takes_move(
        self,
        call: Call,
        request: OutboundRequest,
        slot: Slot,
        course: _Course,
        error: NotRunError,
    ) -> bool:
        if course.kept is None:
            call.dispatched = False
        course.tried.add(slot.upstream.address)
        now = self._clock.monotonic()
        if (
            not request.body.replayable
            or len(course.tried) >= self._router.count_upstreams(call.service)
            or not self._retries.allow_move(
                call,
                course.moved,
                now,
                arrived=not isinstance(error, UpstreamUnreachableError),
            )
        ):
            return False
        course.moved += 1
        call.retries += 1
        self._metrics.increment("calls.moved")
        return True

    def _takes_repeat(
        self,
        call: Call,
        request: OutboundRequest,
        slot: Slot,
        course: _Course,
        *,
        elsewhere: bool = False,
    ) -> bool:
        course.tried.add(slot.upstream.address)
        if not request.body.whole or (
            elsewhere
            and len(course.tried) >= self._router.count_upstreams(call.service)
        ):
            return False
        now = self._clock.monotonic()
        if not self._retries.allow_repeat(call, course.repeated, now):
            return False
        course.repeated += 1
        call.retries += 1
        self._metrics.increment("calls.repeated")
        return True

    async def _attempt(
        self, call: Call, request: OutboundRequest, slot: Slot, course: _Course
    ) -> Answer:
        started = self._clock.monotonic()
        remaining = call.deadline - started
        patience = self._patience(call, remaining)

        def may_give_up() -> bool:
            return request.body.whole and self._retries.may_repeat(
                call, course.repeated, self._clock.monotonic()
            )

        delay = self._hedges.delay(call)
        others = self._router.count_upstreams(call.service) - len(course.tried)
        if delay is None or delay >= remaining or others < 2 or not request.body.whole:
            answer = await self._sender.send(call, request, slot, patience, may_give_up)
        else:

            async def hedge() -> Answer:
                excluded = frozenset({*course.tried, slot.upstream.address})
                other = await self._router.acquire(call, exclude=excluded)
                call.hedges += 1
                self._metrics.increment("calls.hedged")
                return await self._sender.send(
                    call, request, other, remaining, lambda: False
                )

            race = HedgeRace(delay, lambda: self._hedges.allow_hedge(call), hedge)
            answer = await race.run(
                self._sender.send(call, request, slot, patience, may_give_up)
            )
        if answer.status < 500:
            self._hedges.observe(call, self._clock.monotonic() - started)
        return answer

    def _exclusions(self, call: Call, course: _Course) -> frozenset[str]:
        tried = course.tried
        # With every upstream tried, a repeat takes a new connection to one of them.
        if not tried or len(tried) >= self._router.count_upstreams(call.service):
            return _NONE
        return frozenset(tried)

    def _patience(self, call: Call, remaining: float) -> float:
        patience = min(self._progress_timeout, remaining / 2)
        p95 = self._hedges.p95(call)
        if p95 is not None:
            patience = max(patience, LEAST_PATIENCE_PER_P95 * p95)
            patience = min(patience, MOST_PATIENCE_PER_P95 * p95)
        return max(patience, MIN_PATIENCE_S)
