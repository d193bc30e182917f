"""Hold calls after a pause until peers have sent the changes."""

import asyncio

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.document_replicator import DocumentReplicator
from dogwoodshed._internal.configuration.model import Service
from dogwoodshed._internal.drains import DrainTracker
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import (
    LoadReport,
    Outcome,
    OutcomeStatus,
    Router,
    Slot,
)

FEATURE = "catch_up"

# Reconnecting takes about 50 ms; this limits how long calls wait if peers are lost.
CATCH_UP_TIMEOUT_S = 0.5


class CatchUp:
    """Track whether changes that were missed during a pause are still outstanding."""

    def __init__(
        self,
        mesh: Mesh,
        replicator: DocumentReplicator,
        metrics: Metrics,
        *,
        enabled: bool = True,
    ) -> None:
        self._mesh = mesh
        self._replicator = replicator
        self._metrics = metrics
        self._done = asyncio.Event()
        self._done.set()
        self._task: asyncio.Task[None] | None = None
        if enabled:
            mesh.on_pause(self._begin)

    @property
    def pending(self) -> bool:
        # A call may be the first to run after a pause, before any task of the mesh.
        self._mesh.check_pause()
        return not self._done.is_set()

    async def wait(self) -> None:
        """Wait until peers have sent the changes, up to CATCH_UP_TIMEOUT_S."""
        if self.pending:
            self._metrics.increment("catch_up.held")
            await self._done.wait()

    def _begin(self, duration: float) -> None:
        self._done.clear()
        if self._task is not None:
            self._task.cancel()
        self._task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        try:
            async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
                await self._replicator.resynchronize(CATCH_UP_TIMEOUT_S)
        except TimeoutError:
            self._metrics.increment("catch_up.timed_out")
        self._done.set()


class GuardedRouter:
    """Router that grants no slots while catching up, and tracks reported drains."""

    def __init__(
        self, router: Router, catch_up: CatchUp, drains: DrainTracker, clock: Clock
    ) -> None:
        self._router = router
        self._catch_up = catch_up
        self._drains = drains
        self._clock = clock

    async def acquire(
        self, call: Call, *, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Wait for a slot; raises NotRunError."""
        while True:
            await self._catch_up.wait()
            slot = await self._router.acquire(call, exclude=exclude)
            if not self._catch_up.pending:
                return slot
            # The slot was granted on the basis of state from before a pause.
            self._router.release(slot, Outcome(OutcomeStatus.CANCELLED, 0.0))

    def count_upstreams(self, service: Service) -> int:
        """Return the number of upstreams of a service."""
        return self._router.count_upstreams(service)

    def record_notice(self, slot: Slot, report: LoadReport) -> None:
        """Record at once what a response says of further calls to its upstream."""
        self._router.record_notice(slot, report)

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Return a slot with the outcome of its call."""
        self._router.release(slot, outcome)
        if outcome.report is not None:
            sent_at = self._clock.monotonic() - outcome.elapsed
            self._drains.apply_load_report(
                slot.upstream.address, outcome.report, sent_at
            )
