"""Store the records of idempotency keys in a bounded table."""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from dogwoodshed._internal.clock import Clock

RETENTION_S = 600.0
# A pending record must outlive its call, which takes at most its deadline of 600 s and
# a grace period of 30 s.
PENDING_RETENTION_FACTOR = 2
MAX_RECORDS = 50_000
MAX_RESPONSE_BYTES = 65_536
# Together with a full table of 50,000 records, this stays within the 32 MB that a
# gateway may use for control data; bench/idempotency_cost.py measures it.
MAX_TOTAL_RESPONSE_BYTES = 8 * 1024 * 1024


class State(StrEnum):
    """State of a key, as returned for a claim or a lookup."""

    GRANTED = "granted"
    # Granted to a claim whose call has not ended yet.
    PENDING = "pending"
    ANSWERED = "answered"
    UNKNOWN = "unknown"
    ABSENT = "absent"
    # The gateway may not vote on the key.
    REFUSED = "refused"


class ClaimId(NamedTuple):
    """Identity of the claim that a key was granted to."""

    dispatcher: str
    incarnation: int
    # Unique for a dispatcher, even across restarts.
    attempt: int


class Record:
    """Record of one key."""

    __slots__ = ("changed_at", "claim", "fingerprint", "response", "state")

    def __init__(
        self,
        state: State,
        claim: ClaimId,
        fingerprint: bytes,
        response: bytes = b"",
    ) -> None:
        self.state = state
        self.claim = claim
        self.fingerprint = fingerprint
        # Empty if the response was too large or was dropped to free space.
        self.response = response
        self.changed_at = 0.0


class RecordTable:
    """Table of records by key, kept for the retention time.

    A full table rejects new keys, because a repeat of a call could run again if its
    record were dropped early. Responses beyond the byte limit are dropped, oldest
    first; their records stay.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_records: int = MAX_RECORDS,
        max_total_response_bytes: int = MAX_TOTAL_RESPONSE_BYTES,
        retention: float = RETENTION_S,
    ) -> None:
        self._clock = clock
        self._max_records = max_records
        self._max_total_response_bytes = max_total_response_bytes
        self._retention = retention
        # Ordered by the time of the last change, except for records from peers.
        self._records: dict[bytes, Record] = {}
        self._keys_with_response: dict[bytes, None] = {}
        self._response_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    @property
    def response_bytes(self) -> int:
        return self._response_bytes

    @property
    def has_room(self) -> bool:
        self._drop_expired()
        return len(self._records) < self._max_records

    def get(self, key: bytes) -> Record | None:
        """Return the record of a key, or None if there is none or it has expired."""
        record = self._records.get(key)
        if record is not None and self._has_expired(record):
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
        if record.response:
            self._keys_with_response[key] = None
            self._response_bytes += len(record.response)
            self._drop_oldest_responses()
        return True

    def discard(self, key: bytes) -> None:
        """Remove the record of a key, if there is one."""
        record = self._records.pop(key, None)
        if record is not None and record.response:
            del self._keys_with_response[key]
            self._response_bytes -= len(record.response)

    def items(self) -> Iterator[tuple[bytes, Record, float]]:
        """Yield key, record and age of all records that have not expired."""
        now = self._clock.monotonic()
        for key, record in list(self._records.items()):
            if not self._has_expired(record):
                yield key, record, now - record.changed_at

    def _has_expired(self, record: Record) -> bool:
        age = self._clock.monotonic() - record.changed_at
        if record.state is State.PENDING:
            return age >= self._retention * PENDING_RETENTION_FACTOR
        return age >= self._retention

    def _drop_expired(self) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if not self._has_expired(record):
                return
            self.discard(key)

    def _drop_oldest_responses(self) -> None:
        while self._response_bytes > self._max_total_response_bytes:
            key = next(iter(self._keys_with_response))
            del self._keys_with_response[key]
            record = self._records[key]
            self._response_bytes -= len(record.response)
            record.response = b""
