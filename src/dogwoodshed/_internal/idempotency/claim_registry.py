"""Vote on claims of idempotency keys and record the outcomes of their calls."""

import asyncio
import functools
import itertools
from typing import NamedTuple

from dogwoodshed._internal.idempotency.holders import HolderView
from dogwoodshed._internal.idempotency.records import (
    ClaimId,
    Record,
    RecordTable,
    State,
)
from dogwoodshed._internal.mesh.messages import (
    Claim,
    KeyLookup,
    KeyResult,
    KeyState,
)
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics


class ClaimAttempt(NamedTuple):
    """An attempt of this gateway to run the call of a key."""

    key: bytes
    service: str
    fingerprint: bytes
    claim: ClaimId
    holders: tuple[str, ...]
    # Set to the state of the key when the attempt has ended.
    ended: asyncio.Future[KeyState]


class ClaimRegistry:
    """Record the states of keys and vote on claims."""

    def __init__(
        self, mesh: Mesh, view: HolderView, table: RecordTable, metrics: Metrics
    ) -> None:
        self._mesh = mesh
        self._view = view
        self._table = table
        self._metrics = metrics
        self._attempt_numbers = itertools.count(mesh.incarnation)
        self._active: dict[bytes, ClaimAttempt] = {}
        mesh.subscribe(Claim, self.vote)
        mesh.subscribe(KeyResult, self.record_result)
        mesh.subscribe(KeyLookup, self.look_up)

    @property
    def view(self) -> HolderView:
        return self._view

    def active_attempt(self, key: bytes) -> ClaimAttempt | None:
        """Return the running attempt of this gateway for a key."""
        return self._active.get(key)

    def dispatched_state(self, key: bytes) -> KeyState | None:
        """Return the state of a key if this process has dispatched its call."""
        record = self._table.get(key)
        own = (self._mesh.id, self._mesh.incarnation)
        if record is None or record.claim[:2] != own:
            return None
        return _key_state(record)

    def begin_attempt(
        self, key: bytes, service: str, fingerprint: bytes
    ) -> ClaimAttempt:
        """Start an attempt; the key must have no running one."""
        claim = ClaimId(
            self._mesh.id, self._mesh.incarnation, next(self._attempt_numbers)
        )
        ended = asyncio.get_running_loop().create_future()
        holders = self._view.holders(key)
        attempt = ClaimAttempt(key, service, fingerprint, claim, holders, ended)
        self._active[key] = attempt
        return attempt

    def record_dispatch(self, attempt: ClaimAttempt) -> bool:
        """Record that the call is about to be sent; return False if that fails."""
        record = Record(State.PENDING, attempt.claim, attempt.fingerprint)
        return self._table.put(attempt.key, record)

    def end_attempt(
        self, attempt: ClaimAttempt, state: State, response: bytes = b""
    ) -> None:
        """Report the outcome of an attempt to the holders.

        `State.ABSENT` releases the key.
        """
        result = KeyResult(
            attempt.service,
            attempt.key,
            state.value,
            response,
            attempt.fingerprint,
            attempt.claim.incarnation,
            attempt.claim.attempt,
        )
        self.record_result(self._mesh.id, result)
        for holder in attempt.holders:
            if holder != self._mesh.id:
                self._metrics.increment("idempotency.messages")
                self._mesh.send(holder, result)
        del self._active[attempt.key]
        attempt.ended.set_result(
            _key_state(Record(state, attempt.claim, attempt.fingerprint, response))
        )

    def vote(self, peer_id: str, claim: Claim) -> KeyState:
        """Grant a key to a claim, or return the state of the key."""
        requested_claim = claim_id(claim.dispatcher, claim.incarnation, claim.attempt)
        record = self._table.get(claim.key)
        if record is not None and not _is_superseded(record, requested_claim):
            return _key_state(record)
        if not self._view.may_vote(claim.key, claim.holders):
            self._metrics.increment("idempotency.vote_withheld")
            return KeyState(State.REFUSED.value)
        granted = Record(State.PENDING, requested_claim, claim.fingerprint)
        if not self._table.put(claim.key, granted):
            self._metrics.increment("idempotency.table_full")
            return KeyState(State.REFUSED.value)
        return KeyState(State.GRANTED.value)

    def record_result(self, peer_id: str, result: KeyResult) -> None:
        """Record the outcome of a call."""
        claim = claim_id(peer_id, result.incarnation, result.attempt)
        record = self._table.get(result.key)
        if result.state == State.ABSENT:
            if record is not None and record.claim == claim:
                self._table.discard(result.key)
        elif record is None or record.state is not State.ANSWERED:
            # A call that was sent had a majority, whatever is recorded here.
            state = State(result.state)
            self._table.put(
                result.key, Record(state, claim, result.fingerprint, result.response)
            )

    async def look_up(self, peer_id: str, lookup: KeyLookup) -> KeyState:
        """Return the state of a key; if asked to wait, after its attempt has ended."""
        attempt = self._active.get(lookup.key)
        if attempt is not None and lookup.wait:
            return await asyncio.shield(attempt.ended)
        record = self._table.get(lookup.key)
        if record is None:
            return KeyState(State.ABSENT.value, self._mesh.id, self._mesh.incarnation)
        return _key_state(record)


def claim_id(dispatcher: str, incarnation: int, attempt: int) -> ClaimId:
    """Build the identity of a claim from the fields of a message."""
    return ClaimId(*_intern_process(dispatcher, incarnation), attempt)


@functools.lru_cache(maxsize=1024)
def _intern_process(dispatcher: str, incarnation: int) -> tuple[str, int]:
    """Return the same objects for all messages of a process, to save memory."""
    return dispatcher, incarnation


def _is_superseded(record: Record, claim: ClaimId) -> bool:
    """Return whether a claim may replace a pending record of its own dispatcher.

    A dispatcher makes one attempt for a key at a time, and none after it has sent the
    call. An earlier attempt with a pending record has therefore ended without sending.
    """
    old = record.claim
    return (
        record.state is State.PENDING
        and old[:2] == claim[:2]
        and old.attempt <= claim.attempt
    )


def _key_state(record: Record) -> KeyState:
    return KeyState(
        record.state.value,
        record.claim.dispatcher,
        record.claim.incarnation,
        record.fingerprint,
        record.response,
    )
