"""Claim a key for a call, or learn how its first call ended."""

import asyncio
import random

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import (
    FirstCallOutcomeUnknownError,
    IdempotencyKeyReusedError,
    IdempotencyKeyUnavailableError,
    MeshError,
)
from dogwoodshed._internal.idempotency.claim_registry import Attempt, ClaimRegistry
from dogwoodshed._internal.idempotency.holders import holder_set_digest
from dogwoodshed._internal.idempotency.records import State
from dogwoodshed._internal.mesh.messages import Claim, KeyLookup, KeyState
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call

# Many times the 3 ms round trip between data centres.
CLAIM_TIMEOUT_S = 0.3
# A try that gets no majority ends after this share of its remaining time, so that its
# caller can still go elsewhere, and at the latest after this many seconds.
CLAIM_SHARE = 0.5
CLAIM_MOST_S = 2.0
RETRY_FIRST_S = 0.01
RETRY_MOST_S = 0.1

_REFUSED = KeyState(State.REFUSED.value)
_ENDED = frozenset({State.ANSWERED.value, State.UNKNOWN.value})
# What says more about the key comes first.
_TELLING = (State.ANSWERED, State.UNKNOWN, State.PENDING, State.REFUSED, State.GRANTED)


class Claimant:
    """Claim keys at their holders."""

    def __init__(
        self,
        mesh: Mesh,
        keeper: ClaimRegistry,
        clock: Clock,
        metrics: Metrics,
        seed: int | None = None,
    ) -> None:
        self._mesh = mesh
        self._keeper = keeper
        self._clock = clock
        self._metrics = metrics
        self._random = random.Random(seed)

    async def claim(
        self, call: Call, key: bytes, fingerprint: bytes
    ) -> Attempt | KeyState:
        """Return a try that may be sent, or the end of the key's first call.

        Raises FirstCallOutcomeUnknownError, IdempotencyKeyReusedError or
        IdempotencyKeyUnavailableError.
        """
        give_up = self._give_up_at(call)
        delay = RETRY_FIRST_S
        while True:
            found = await self._try_once(call, key, fingerprint)
            if isinstance(found, Attempt):
                return found
            _check_fingerprint(found, fingerprint)
            if found.state == State.PENDING:
                found = await self._first_outcome(call, key, found)
                give_up = self._give_up_at(call)
            if found.state in _ENDED:
                return found
            if self._clock.monotonic() >= give_up:
                return await self._ask_visible(call, key, fingerprint)
            await asyncio.sleep(delay * self._random.uniform(0.5, 1.0))
            delay = min(RETRY_MOST_S, delay * 2)

    def _give_up_at(self, call: Call) -> float:
        now = self._clock.monotonic()
        return now + min(CLAIM_MOST_S, CLAIM_SHARE * (call.deadline - now))

    async def _try_once(
        self, call: Call, key: bytes, fingerprint: bytes
    ) -> Attempt | KeyState:
        """Return a try with its majority, or the most telling state of the key."""
        own = self._keeper.active(key)
        if own is not None:
            return _pending(own)
        sent = self._keeper.sent(key)
        if sent is not None:
            return sent
        attempt = self._keeper.begin(key, call.service.name, fingerprint)
        sendable = False
        try:
            found = await self._gather_votes(attempt)
            if found is None:
                # After a pause the claim may be older than the records of the holders.
                in_time = self._clock.monotonic() < call.deadline
                sendable = in_time and self._keeper.note_dispatch(attempt)
        finally:
            if not sendable:
                self._keeper.end(attempt, State.ABSENT)
        return attempt if sendable else found or _REFUSED

    async def _gather_votes(self, attempt: Attempt) -> KeyState | None:
        """Return None for a majority, otherwise the most telling answer."""
        needed = len(attempt.holders) // 2 + 1
        message = _claim_message(attempt)
        answers: list[KeyState] = []
        if self._mesh.id in attempt.holders:
            answers.append(self._keeper.vote(self._mesh.id, message))
        votes = [
            asyncio.ensure_future(self._ask(holder, message))
            for holder in attempt.holders
            if holder != self._mesh.id
        ]
        try:
            for vote in asyncio.as_completed(votes):
                answers.append(await vote)
                if _count_granted(answers) >= needed:
                    break
        finally:
            for vote in votes:
                vote.cancel()
        if _count_granted(answers) >= needed:
            return None
        return min(answers, key=lambda answer: _TELLING.index(answer.state))

    async def _ask(self, peer: str, message: Claim | KeyLookup) -> KeyState:
        # The request and its reply.
        self._metrics.increment("idempotency.messages", 2)
        try:
            return await self._mesh.request(peer, message, CLAIM_TIMEOUT_S)
        except MeshError:
            return _REFUSED

    async def _first_outcome(self, call: Call, key: bytes, found: KeyState) -> KeyState:
        """Wait for the dispatcher of the first call.

        Raises FirstCallOutcomeUnknownError.
        """
        self._metrics.increment("idempotency.waited")
        remaining = max(0.0, call.deadline - self._clock.monotonic())
        lookup = KeyLookup(call.service.name, key, wait=True)
        try:
            async with asyncio.timeout(remaining):
                if found.dispatcher == self._mesh.id:
                    outcome = await self._keeper.look_up(self._mesh.id, lookup)
                else:
                    outcome = await self._mesh.request(
                        found.dispatcher, lookup, remaining
                    )
        except (MeshError, TimeoutError):
            raise FirstCallOutcomeUnknownError(f"sent by {found.dispatcher}") from None
        if outcome.state in _ENDED:
            return outcome
        same = (outcome.dispatcher, outcome.incarnation) == found[1:3]
        if same == (outcome.state == State.PENDING):
            # The dispatcher has restarted and knows at most what others told it.
            raise FirstCallOutcomeUnknownError(f"{found.dispatcher} restarted")
        return outcome

    async def _ask_visible(
        self, call: Call, key: bytes, fingerprint: bytes
    ) -> KeyState:
        """Look for a first call without a majority; raises if none is known."""
        lookup = KeyLookup(call.service.name, key)
        peers = [p for p in self._keeper.view.listed if p != self._mesh.id]
        states = await asyncio.gather(*(self._ask(peer, lookup) for peer in peers))
        for state in states:
            if state.state in _ENDED:
                _check_fingerprint(state, fingerprint)
                return state
        if any(state.state == State.PENDING for state in states):
            raise FirstCallOutcomeUnknownError("no majority of holders")
        self._metrics.increment("idempotency.unsettled")
        raise IdempotencyKeyUnavailableError(call.service.name)


def _count_granted(answers: list[KeyState]) -> int:
    return sum(1 for answer in answers if answer.state == State.GRANTED)


def _pending(attempt: Attempt) -> KeyState:
    return KeyState(
        State.PENDING.value, *attempt.claim[:2], fingerprint=attempt.fingerprint
    )


def _check_fingerprint(found: KeyState, fingerprint: bytes) -> None:
    if found.fingerprint and found.fingerprint != fingerprint:
        raise IdempotencyKeyReusedError("the key belongs to another request")


def _claim_message(attempt: Attempt) -> Claim:
    """Return the message that asks a holder for its vote."""
    return Claim(
        attempt.service,
        attempt.key,
        attempt.fingerprint,
        *attempt.claim[:2],
        attempt.claim.attempt,
        holder_set_digest(attempt.holders),
    )
