"""Claim an idempotency key for a call, or find the outcome of its first call."""

import asyncio
import random

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import (
    FirstCallOutcomeUnknownError,
    IdempotencyKeyReusedError,
    IdempotencyKeyUnavailableError,
    MeshError,
)
from dogwoodshed._internal.idempotency.claim_registry import ClaimAttempt, ClaimRegistry
from dogwoodshed._internal.idempotency.holders import holder_set_digest
from dogwoodshed._internal.idempotency.records import State
from dogwoodshed._internal.mesh.messages import (
    Claim,
    KeyLookup,
    KeyState,
)
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call

# Many times the round trip of 3 ms between data centres.
CLAIM_TIMEOUT_S = 0.3
# An attempt that gets no majority ends after this share of its remaining time, so that
# its caller can still use another gateway, but at most after this many seconds.
MAX_CLAIM_TIME_SHARE = 0.5
MAX_CLAIM_TIME_S = 2.0
MIN_RETRY_DELAY_S = 0.01
MAX_RETRY_DELAY_S = 0.1

_REFUSED = KeyState(State.REFUSED.value)
_FINAL_STATES = frozenset({State.ANSWERED.value, State.UNKNOWN.value})
# States that say more about the outcome of the first call come first.
_STATES_BY_PRECEDENCE = (
    State.ANSWERED,
    State.UNKNOWN,
    State.PENDING,
    State.REFUSED,
    State.GRANTED,
)


class Claimant:
    """Claim keys at their holders."""

    def __init__(
        self,
        mesh: Mesh,
        registry: ClaimRegistry,
        clock: Clock,
        metrics: Metrics,
        seed: int | None = None,
    ) -> None:
        self._mesh = mesh
        self._registry = registry
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random(seed)

    async def claim(
        self, call: Call, key: bytes, fingerprint: bytes
    ) -> ClaimAttempt | KeyState:
        """Return an attempt that may be sent, or the outcome of the key's first call.

        Raises FirstCallOutcomeUnknownError, IdempotencyKeyReusedError or
        IdempotencyKeyUnavailableError.
        """
        claim_deadline = self._claim_deadline(call)
        delay = MIN_RETRY_DELAY_S
        while True:
            result = await self._claim_once(call, key, fingerprint)
            if isinstance(result, ClaimAttempt):
                return result
            _check_fingerprint(result, fingerprint)
            if result.state == State.PENDING:
                result = await self._wait_for_first_call(call, key, result)
                claim_deadline = self._claim_deadline(call)
            if result.state in _FINAL_STATES:
                return result
            if self._clock.monotonic() >= claim_deadline:
                return await self._query_reachable(call, key, fingerprint)
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
            delay = min(MAX_RETRY_DELAY_S, delay * 2)

    def _claim_deadline(self, call: Call) -> float:
        now = self._clock.monotonic()
        return now + min(MAX_CLAIM_TIME_S, MAX_CLAIM_TIME_SHARE * (call.deadline - now))

    async def _claim_once(
        self, call: Call, key: bytes, fingerprint: bytes
    ) -> ClaimAttempt | KeyState:
        """Return an attempt with a majority, or the known state of the key."""
        active = self._registry.active_attempt(key)
        if active is not None:
            return _pending_state(active)
        dispatched = self._registry.dispatched_state(key)
        if dispatched is not None:
            return dispatched
        attempt = self._registry.begin_attempt(key, call.service.name, fingerprint)
        sendable = False
        try:
            key_state = await self._collect_votes(attempt)
            if key_state is None:
                # If this process was suspended, the holders' records of the claim may
                # have expired.
                in_time = self._clock.monotonic() < call.deadline
                sendable = in_time and self._registry.record_dispatch(attempt)
        finally:
            if not sendable:
                self._registry.end_attempt(attempt, State.ABSENT)
        return attempt if sendable else key_state or _REFUSED

    async def _collect_votes(self, attempt: ClaimAttempt) -> KeyState | None:
        """Return None if a majority granted the claim, else the state of the key."""
        needed = len(attempt.holders) // 2 + 1
        message = _claim_message(attempt)
        replies: list[KeyState] = []
        if self._mesh.id in attempt.holders:
            replies.append(self._registry.vote(self._mesh.id, message))
        votes = [
            asyncio.ensure_future(self._request_state(holder, message))
            for holder in attempt.holders
            if holder != self._mesh.id
        ]
        try:
            for vote in asyncio.as_completed(votes):
                replies.append(await vote)
                if _count_granted(replies) >= needed:
                    break
        finally:
            for vote in votes:
                vote.cancel()
        if _count_granted(replies) >= needed:
            return None
        return min(replies, key=lambda reply: _STATES_BY_PRECEDENCE.index(reply.state))

    async def _request_state(self, peer: str, message: Claim | KeyLookup) -> KeyState:
        # Counts the request and its reply.
        self._metrics.increment("idempotency.messages", 2)
        try:
            return await self._mesh.request(peer, message, CLAIM_TIMEOUT_S)
        except MeshError:
            return _REFUSED

    async def _wait_for_first_call(
        self, call: Call, key: bytes, key_state: KeyState
    ) -> KeyState:
        """Wait until the dispatcher of the first call reports its outcome.

        Raises FirstCallOutcomeUnknownError.
        """
        self._metrics.increment("idempotency.waited")
        remaining = max(0.0, call.deadline - self._clock.monotonic())
        lookup = KeyLookup(call.service.name, key, wait=True)
        try:
            async with asyncio.timeout(remaining):
                if key_state.dispatcher == self._mesh.id:
                    outcome = await self._registry.look_up(self._mesh.id, lookup)
                else:
                    outcome = await self._mesh.request(
                        key_state.dispatcher, lookup, remaining
                    )
        except (MeshError, TimeoutError):
            raise FirstCallOutcomeUnknownError(
                f"sent by {key_state.dispatcher}"
            ) from None
        if outcome.state in _FINAL_STATES:
            return outcome
        same_process = (outcome.dispatcher, outcome.incarnation) == key_state[1:3]
        if same_process == (outcome.state == State.PENDING):
            # The dispatcher has restarted and has at most the records of other
            # gateways.
            raise FirstCallOutcomeUnknownError(f"{key_state.dispatcher} restarted")
        return outcome

    async def _query_reachable(
        self, call: Call, key: bytes, fingerprint: bytes
    ) -> KeyState:
        """Return the outcome of the first call from any reachable gateway.

        Raises FirstCallOutcomeUnknownError, IdempotencyKeyReusedError or
        IdempotencyKeyUnavailableError.
        """
        lookup = KeyLookup(call.service.name, key)
        peers = [p for p in self._registry.view.listed if p != self._mesh.id]
        key_states = await asyncio.gather(
            *(self._request_state(peer, lookup) for peer in peers)
        )
        for key_state in key_states:
            if key_state.state in _FINAL_STATES:
                _check_fingerprint(key_state, fingerprint)
                return key_state
        if any(key_state.state == State.PENDING for key_state in key_states):
            raise FirstCallOutcomeUnknownError("no majority of holders")
        self._metrics.increment("idempotency.unsettled")
        raise IdempotencyKeyUnavailableError(call.service.name)


def _count_granted(replies: list[KeyState]) -> int:
    return sum(1 for reply in replies if reply.state == State.GRANTED)


def _pending_state(attempt: ClaimAttempt) -> KeyState:
    return KeyState(
        State.PENDING.value, *attempt.claim[:2], fingerprint=attempt.fingerprint
    )


def _check_fingerprint(key_state: KeyState, fingerprint: bytes) -> None:
    if key_state.fingerprint and key_state.fingerprint != fingerprint:
        raise IdempotencyKeyReusedError("the key belongs to another request")


def _claim_message(attempt: ClaimAttempt) -> Claim:
    """Build the message that requests the vote of a holder."""
    return Claim(
        attempt.service,
        attempt.key,
        attempt.fingerprint,
        *attempt.claim[:2],
        attempt.claim.attempt,
        holder_set_digest(attempt.holders),
    )
