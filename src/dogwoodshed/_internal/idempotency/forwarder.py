"""Forward calls so that a non-idempotent call with a key runs at most once."""

import asyncio

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import (
    FirstCallOutcomeUnknownError,
    NotRunError,
    UpstreamTimeoutError,
)
from dogwoodshed._internal.idempotency.claim_registry import ClaimAttempt, ClaimRegistry
from dogwoodshed._internal.idempotency.claimant import Claimant
from dogwoodshed._internal.idempotency.records import State
from dogwoodshed._internal.idempotency.stored_responses import (
    buffer_response,
    decode_response,
    encode_response,
    fingerprint,
    scoped_key,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.forwarder import (
    NON_IDEMPOTENT_GRACE_S,
    OutboundRequest,
    UpstreamResponse,
)
from dogwoodshed._internal.proxy.server import Forwarder


class IdempotentForwarder:
    """Forwarder that claims the key of a call before an inner forwarder sends the call.

    The key is claimed before the call waits for a slot, so that a repeat takes no place
    in the queue.
    """

    def __init__(
        self,
        inner: Forwarder,
        registry: ClaimRegistry,
        claimant: Claimant,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._inner = inner
        self._registry = registry
        self._claimant = claimant
        self._clock = clock
        self._metrics = metrics

    async def forward(self, call: Call, request: OutboundRequest) -> UpstreamResponse:
        """Return the response to the call or the stored one; raises CallError."""
        if call.key is None or call.idempotent:
            return await self._inner.forward(call, request)
        self._metrics.increment("idempotency.calls")
        result = await self._claimant.claim(
            call, scoped_key(call, request), fingerprint(request)
        )
        if isinstance(result, ClaimAttempt):
            return await self._send(call, request, result)
        if result.state != State.ANSWERED:
            raise FirstCallOutcomeUnknownError(f"sent by {result.dispatcher}")
        if not result.response:
            raise FirstCallOutcomeUnknownError(
                "it was answered, but its answer is not kept"
            )
        self._metrics.increment("idempotency.replayed")
        call.duplicate_prevented = True
        return decode_response(result.response)

    async def _send(
        self, call: Call, request: OutboundRequest, attempt: ClaimAttempt
    ) -> UpstreamResponse:
        state, stored = State.UNKNOWN, b""
        try:
            response = await self._inner.forward(call, request)
            timeout = call.deadline + NON_IDEMPOTENT_GRACE_S - self._clock.monotonic()
            async with asyncio.timeout(timeout):
                response = await buffer_response(response)
            state = State.ANSWERED
            if response.body is not None:
                stored = encode_response(response)
            return response
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
            self._registry.end_attempt(attempt, state, stored)
