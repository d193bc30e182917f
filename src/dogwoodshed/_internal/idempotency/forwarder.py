"""Forward calls so that a keyed non-idempotent one runs at most once."""

import asyncio

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import (
    FirstCallOutcomeUnknownError,
    NotRunError,
    UpstreamTimeoutError,
)
from dogwoodshed._internal.idempotency.answers import (
    decode_answer,
    encode_answer,
    fingerprint,
    read_whole,
    scoped_key,
)
from dogwoodshed._internal.idempotency.claim_registry import Attempt, ClaimRegistry
from dogwoodshed._internal.idempotency.claimant import Claimant
from dogwoodshed._internal.idempotency.records import State
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.forwarder import (
    NON_IDEMPOTENT_GRACE_S,
    Answer,
    OutboundRequest,
)
from dogwoodshed._internal.proxy.server import Forwarder


class IdempotentForwarder:
    """Claim the key of a call before another forwarder sends the call.

    The claim comes before the wait for a slot, so that a repeat takes no turn.
    """

    def __init__(
        self,
        inner: Forwarder,
        keeper: ClaimRegistry,
        claimant: Claimant,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._inner = inner
        self._keeper = keeper
        self._claimant = claimant
        self._clock = clock
        self._metrics = metrics

    async def forward(self, call: Call, request: OutboundRequest) -> Answer:
        """Return the answer of the call or of its first try; raises CallError."""
        if call.key is None or call.idempotent:
            return await self._inner.forward(call, request)
        self._metrics.increment("idempotency.calls")
        found = await self._claimant.claim(
            call, scoped_key(call, request), fingerprint(request)
        )
        if isinstance(found, Attempt):
            return await self._send(call, request, found)
        if found.state != State.ANSWERED:
            raise FirstCallOutcomeUnknownError(f"sent by {found.dispatcher}")
        if not found.response:
            raise FirstCallOutcomeUnknownError(
                "it was answered, but its answer is not kept"
            )
        self._metrics.increment("idempotency.replayed")
        call.duplicate_prevented = True
        return decode_answer(found.response)

    async def _send(
        self, call: Call, request: OutboundRequest, attempt: Attempt
    ) -> Answer:
        state, stored = State.UNKNOWN, b""
        try:
            answer = await self._inner.forward(call, request)
            limit = call.deadline + NON_IDEMPOTENT_GRACE_S - self._clock.monotonic()
            async with asyncio.timeout(limit):
                answer = await read_whole(answer)
            state = State.ANSWERED
            if answer.body is not None:
                stored = encode_answer(answer)
            return answer
        except NotRunError:
            state = State.ABSENT
            raise
        except TimeoutError:
            raise UpstreamTimeoutError("answer not complete in time") from None
        except asyncio.CancelledError:
            if not call.dispatched:
                state = State.ABSENT
            raise
        finally:
            self._keeper.end(attempt, state, stored)
