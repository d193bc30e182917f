"""Join the parts that run keyed calls at most once."""

from mode import Service

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.idempotency.claim_registry import ClaimRegistry
from dogwoodshed._internal.idempotency.claimant import Claimant
from dogwoodshed._internal.idempotency.forwarder import IdempotentForwarder
from dogwoodshed._internal.idempotency.holders import HolderView
from dogwoodshed._internal.idempotency.records import (
    PENDING_FACTOR,
    RETENTION_S,
    RecordTable,
)
from dogwoodshed._internal.idempotency.transfer import RecordTransfer
from dogwoodshed._internal.membership import Members
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.server import Forwarder


class Idempotency(Service):
    """Hold the key records of one gateway."""

    mundane_level = "debug"

    def __init__(
        self,
        mesh: Mesh,
        members: Members,
        clock: Clock,
        metrics: Metrics,
        seed: int | None = None,
    ) -> None:
        super().__init__()
        forgotten_for = RETENTION_S * PENDING_FACTOR
        self._view = HolderView(mesh.id, members.listed, clock, forgotten_for)
        self._table = RecordTable(clock)
        self._keeper = ClaimRegistry(mesh, self._view, self._table, metrics)
        self._transfer = RecordTransfer(mesh, self._view, self._table, metrics)
        self._claimant = Claimant(mesh, self._keeper, clock, metrics, seed)
        self._clock = clock
        self._metrics = metrics

    @property
    def table(self) -> RecordTable:
        return self._table

    @property
    def synchronized(self) -> bool:
        return self._view.synchronized

    def wrap(self, inner: Forwarder) -> IdempotentForwarder:
        """Return a forwarder that claims the keys of calls before it sends them."""
        return IdempotentForwarder(
            inner, self._keeper, self._claimant, self._clock, self._metrics
        )

    def apply_members(self, members: Members) -> None:
        """Use a new list of gateways."""
        self._view.apply(members.listed)

    async def on_start(self) -> None:
        """Start to fetch records."""
        await self.add_runtime_dependency(self._transfer)

    async def wait_until_synchronized(self, timeout: float) -> None:
        """Wait until this gateway may vote on keys, within a bound."""
        await self._transfer.wait_until_synchronized(timeout)

    def stop_voting(self) -> None:
        """Vote on no key from now on, before a planned stop."""
        self._view.stop_voting()

    async def hand_over_records(self) -> None:
        """Give all records to the other gateways, before a planned stop."""
        await self._transfer.hand_over_records()
