"""Vote on claims and record how their calls end."""

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


class Attempt(NamedTuple):
    """A try of this gateway to run the call of a key."""

    key: bytes
    service: str
    fingerprint: bytes
    claim: ClaimId
    holders: tuple[str, ...]
    # Set to what is known of the key when the try has ended.
    ended: asyncio.Future[KeyState]


class ClaimRegistry:
    """Hold the records of keys and vote on claims."""

    def __init__(
        self, mesh: Mesh, view: HolderView, table: RecordTable, metrics: Metrics
    ) -> None:
        self._mesh = mesh
        self._view = view
        self._table = table
        self._metrics = metrics
        self._attempts = itertools.count(mesh.incarnation)
        self._active: dict[bytes, Attempt] = {}
        mesh.subscribe(Claim, self.vote)
        mesh.subscribe(KeyResult, self.note_result)
        mesh.subscribe(KeyLookup, self.look_up)

    @property
    def view(self) -> HolderView:
        return self._view

    def active(self, key: bytes) -> Attempt | None:
        """Return this gateway's own running try of a key."""
        return self._active.get(key)

    def sent(self, key: bytes) -> KeyState | None:
        """Return what is known of a key whose call this process has sent."""
        record = self._table.get(key)
        own = (self._mesh.id, self._mesh.incarnation)
        if record is None or record.claim[:2] != own:
            return None
        return _key_state(record)

    def begin(self, key: bytes, service: str, fingerprint: bytes) -> Attempt:
        """Start a try; the key must have no running one."""
        claim = ClaimId(self._mesh.id, self._mesh.incarnation, next(self._attempts))
        ended = asyncio.get_running_loop().create_future()
        holders = self._view.holders(key)
        attempt = Attempt(key, service, fingerprint, claim, holders, ended)
        self._active[key] = attempt
        return attempt

    def note_dispatch(self, attempt: Attempt) -> bool:
        """Record that the call is about to be sent; return False if that fails."""
        record = Record(State.PENDING, attempt.claim, attempt.fingerprint)
        return self._table.put(attempt.key, record)

    def end(self, attempt: Attempt, state: State, answer: bytes = b"") -> None:
        """Tell the holders how a try ended; `State.ABSENT` releases the key."""
        result = KeyResult(
            attempt.service,
            attempt.key,
            state.value,
            answer,
            attempt.fingerprint,
            attempt.claim.incarnation,
            attempt.claim.attempt,
        )
        self.note_result(self._mesh.id, result)
        for holder in attempt.holders:
            if holder != self._mesh.id:
                self._metrics.increment("idempotency.messages")
                self._mesh.send(holder, result)
        del self._active[attempt.key]
        attempt.ended.set_result(
            _key_state(Record(state, attempt.claim, attempt.fingerprint, answer))
        )

    def vote(self, peer_id: str, claim: Claim) -> KeyState:
        """Grant a key to a claim, or tell what is known of the key."""
        claimed_by = claim_id(claim.dispatcher, claim.incarnation, claim.attempt)
        record = self._table.get(claim.key)
        if record is not None and not _superseded(record, claimed_by):
            return _key_state(record)
        if not self._view.may_vote(claim.key, claim.holders):
            self._metrics.increment("idempotency.vote_withheld")
            return KeyState(State.REFUSED.value)
        granted = Record(State.PENDING, claimed_by, claim.fingerprint)
        if not self._table.put(claim.key, granted):
            self._metrics.increment("idempotency.table_full")
            return KeyState(State.REFUSED.value)
        return KeyState(State.GRANTED.value)

    def note_result(self, peer_id: str, result: KeyResult) -> None:
        """Record how a call ended."""
        claim = claim_id(peer_id, result.incarnation, result.attempt)
        record = self._table.get(result.key)
        if result.state == State.ABSENT:
            if record is not None and record.claim == claim:
                self._table.discard(result.key)
        elif record is None or record.state is not State.ANSWERED:
            # A call that was sent had the majority, whatever was recorded here.
            state = State(result.state)
            self._table.put(
                result.key, Record(state, claim, result.fingerprint, result.response)
            )

    async def look_up(self, peer_id: str, lookup: KeyLookup) -> KeyState:
        """Tell what is known of a key, after the end of the own call if asked to."""
        attempt = self._active.get(lookup.key)
        if attempt is not None and lookup.wait:
            return await asyncio.shield(attempt.ended)
        record = self._table.get(lookup.key)
        if record is None:
            return KeyState(State.ABSENT.value, self._mesh.id, self._mesh.incarnation)
        return _key_state(record)


def claim_id(dispatcher: str, incarnation: int, attempt: int) -> ClaimId:
    """Build the identity of a claim from the fields of a message."""
    return ClaimId(*_process(dispatcher, incarnation), attempt)


@functools.lru_cache(maxsize=1024)
def _process(dispatcher: str, incarnation: int) -> tuple[str, int]:
    """Return the same objects for each message of a process, to save memory."""
    return dispatcher, incarnation


def _superseded(record: Record, claim: ClaimId) -> bool:
    """Tell whether a pending record is of an earlier or the same try.

    A dispatcher makes one try of a key at a time, and none after one that was sent.
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
        record.answer,
    )
