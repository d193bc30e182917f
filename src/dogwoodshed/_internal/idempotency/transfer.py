"""Copy key records between gateways when the list of gateways changes."""

import asyncio
from collections.abc import Iterator

from mode import Service

from dogwoodshed._internal.exceptions import MeshError
from dogwoodshed._internal.idempotency.claim_registry import claim_id
from dogwoodshed._internal.idempotency.holders import HolderView
from dogwoodshed._internal.idempotency.records import Record, RecordTable, State
from dogwoodshed._internal.mesh.messages import (
    Acknowledgement,
    KeyRecord,
    KeyRecords,
    KeyRecordsRequest,
)
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics

# Small enough that a transfer does not delay heartbeats on the same connection.
MAX_PART_BYTES = 256 * 1024
PART_TIMEOUT_S = 2.0
# A full table takes about a hundred parts.
FETCH_TIMEOUT_S = 10.0
SYNC_RETRY_S = 0.1
RECORD_OVERHEAD_BYTES = 100


class RecordTransfer(Service):
    """Fetch records until all listed gateways have sent theirs, and hand them over."""

    mundane_level = "debug"

    def __init__(
        self, mesh: Mesh, view: HolderView, table: RecordTable, metrics: Metrics
    ) -> None:
        super().__init__()
        self._mesh = mesh
        self._view = view
        self._table = table
        self._metrics = metrics
        # Gateways that have sent their records for the generation of the list below.
        self._fetched_peers: set[str] = set()
        self._fetch_generation = -1
        mesh.subscribe(KeyRecords, self._store_records)
        mesh.subscribe(KeyRecordsRequest, self._send_records)

    async def synchronize(self) -> bool:
        """Fetch the records that are missing; return whether all have arrived."""
        generation = self._view.generation
        if self._fetch_generation != generation:
            self._fetch_generation = generation
            self._fetched_peers = {self._mesh.id}
        if not self._view.synchronized:
            missing = [p for p in self._view.listed if p not in self._fetched_peers]
            await asyncio.gather(*(self._fetch(peer, generation) for peer in missing))
            if self._fetched_peers.issuperset(self._view.listed):
                self._view.mark_synchronized(generation)
        return self._view.synchronized

    async def wait_until_synchronized(self, timeout: float) -> None:
        """Wait until this gateway may vote on keys, at most `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while not await self.synchronize():
                    await asyncio.sleep(SYNC_RETRY_S)
        except TimeoutError:
            self._metrics.increment("idempotency.join_timed_out")

    async def hand_over_records(self) -> None:
        """Send all records to their holders before a planned stop."""
        peers = [peer for peer in self._view.listed if peer != self._mesh.id]
        await asyncio.gather(*(self._hand_over_to(peer) for peer in peers))

    async def _hand_over_to(self, peer: str) -> None:
        try:
            for part in _split_records(self._records_for(peer)):
                await self._mesh.request(peer, KeyRecords(part), PART_TIMEOUT_S)
                self._metrics.increment("idempotency.handed_over", len(part))
        except MeshError:
            self._metrics.increment("idempotency.hand_over_failed")

    @Service.task
    async def _keep_synchronized(self) -> None:
        while not self.should_stop:
            await self.synchronize()
            await self.sleep(SYNC_RETRY_S)

    async def _fetch(self, peer: str, generation: int) -> None:
        request = KeyRecordsRequest(self._view.digest)
        try:
            last = await self._mesh.request(peer, request, FETCH_TIMEOUT_S)
        except MeshError:
            return
        stored = self._store_records(peer, last) is not None
        if stored and last.complete and self._fetch_generation == generation:
            self._fetched_peers.add(peer)

    async def _send_records(
        self, peer_id: str, request: KeyRecordsRequest
    ) -> KeyRecords:
        if request.listed != self._view.digest:
            return KeyRecords(())
        *parts, last = _split_records(self._records_for(peer_id))
        try:
            for part in parts:
                await self._mesh.request(peer_id, KeyRecords(part), PART_TIMEOUT_S)
        except MeshError:
            return KeyRecords(())
        return KeyRecords(last, complete=True)

    def _records_for(self, peer: str) -> list[KeyRecord]:
        return [
            KeyRecord(
                key,
                record.state.value,
                *record.claim,
                record.fingerprint,
                record.response,
                int(age * 1000),
            )
            for key, record, age in self._table.items()
            if peer in self._view.holders(key)
        ]

    def _store_records(
        self, peer_id: str, message: KeyRecords
    ) -> Acknowledgement | None:
        """Store records from a peer; return None if the table is full."""
        stored = True
        for received in message.records:
            existing = self._table.get(received.key)
            if existing is not None and existing.state is not State.PENDING:
                continue
            claim = claim_id(
                received.dispatcher, received.incarnation, received.attempt
            )
            record = Record(
                State(received.state), claim, received.fingerprint, received.response
            )
            if existing is None or record.state is not State.PENDING:
                stored &= self._table.put(received.key, record, received.age_ms / 1000)
        return Acknowledgement() if stored else None


def _split_records(records: list[KeyRecord]) -> Iterator[tuple[KeyRecord, ...]]:
    """Split records into parts of bounded size, at least one."""
    part: list[KeyRecord] = []
    size = 0
    for record in records:
        part.append(record)
        size += len(record.response) + RECORD_OVERHEAD_BYTES
        if size >= MAX_PART_BYTES:
            yield tuple(part)
            part, size = [], 0
    yield tuple(part)
