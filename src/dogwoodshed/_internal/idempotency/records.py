"""Keep the records of idempotency keys within bounds."""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from dogwoodshed._internal.clock import Clock

RETENTION_S = 600.0
# A call takes at most its deadline of 600 s and 30 s of grace, and its record must
# outlive it.
PENDING_FACTOR = 2
MAX_RECORDS = 50_000
MAX_ANSWER_BYTES = 65_536
# With a full table of 50,000 records this stays within 32 MB for control work;
# bench/idempotency_cost.py measures it.
MAX_TOTAL_ANSWER_BYTES = 8 * 1024 * 1024


class State(StrEnum):
    """What is known of a key; a claim is answered with one of these."""

    GRANTED = "granted"
    # Granted to a claim whose call has not ended.
    PENDING = "pending"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    # The gateway may not vote on the key.
    REFUSED = "refused"


class ClaimId(NamedTuple):
    """The claim that a key was granted to."""

    dispatcher: str
    incarnation: int
    # Never repeats for a dispatcher, not even after a restart.
    attempt: int


class Record:
    """The record of one key."""

    __slots__ = ("answer", "changed_at", "claim", "fingerprint", "state")

    def __init__(
        self,
        state: State,
        claim: ClaimId,
        fingerprint: bytes,
        answer: bytes = b"",
    ) -> None:
        self.state = state
        self.claim = claim
        self.fingerprint = fingerprint
        # Empty if it was too large or had to make room.
        self.answer = answer
        self.changed_at = 0.0


class RecordTable:
    """Hold records by key for the retention.

    A full table takes no new key, because dropping a record early would let a repeat
    run again. Answers beyond the byte bound are dropped, oldest first; their records
    stay.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_records: int = MAX_RECORDS,
        max_total_response_bytes: int = MAX_TOTAL_ANSWER_BYTES,
        retention: float = RETENTION_S,
    ) -> None:
        self._clock = clock
        self._max_records = max_records
        self._max_bytes = max_total_response_bytes
        self._retention = retention
        # Ordered by the last change, apart from records taken over from peers.
        self._records: dict[bytes, Record] = {}
        self._answered: dict[bytes, None] = {}
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def response_bytes(self) -> int:
        return self._response_bytes

    @property
    def has_room(self) -> bool:
        self._expire()
        return len(self._records) < self._max_records

    def get(self, key: bytes) -> Record | None:
        """Return the record of a key unless it has expired."""
        record = self._records.get(key)
        if record is not None and self._expired(record):
            self.discard(key)
            return None
        return record

    def put(self, key: bytes, record: Record, age: float = 0.0) -> bool:
        """Set the record of a key; return False if the table is full."""
        self.discard(key)
        if not self.has_room:
            return False
        record.changed_at = self._clock.monotonic() - age
        self._records[key] = record
        if record.answer:
            self._answered[key] = None
            self._response_bytes += len(record.answer)
            self._trim()
        return True

    def discard(self, key: bytes) -> None:
        """Remove the record of a key, if there is one."""
        record = self._records.pop(key, None)
        if record is not None and record.answer:
            del self._answered[key]
            self._response_bytes -= len(record.answer)

    def items(self) -> Iterator[tuple[bytes, Record, float]]:
        """Yield key, record and age of all records that have not expired."""
        now = self._clock.monotonic()
        for key, record in list(self._records.items()):
            if not self._expired(record):
                yield key, record, now - record.changed_at

    def _expired(self, record: Record) -> bool:
        age = self._clock.monotonic() - record.changed_at
        if record.state is State.PENDING:
            return age >= self._retention * PENDING_FACTOR
        return age >= self._retention

    def _expire(self) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if not self._expired(record):
                return
            self.discard(key)

    def _trim(self) -> None:
        while self._response_bytes > self._max_bytes:
            key = next(iter(self._answered))
            del self._answered[key]
            record = self._records[key]
            self._response_bytes -= len(record.answer)
            record.answer = b""
