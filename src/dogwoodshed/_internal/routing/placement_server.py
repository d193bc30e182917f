"""Place the calls of the other gateways of a data centre, as its hub.

Gateways that place their calls independently see the calls of the others only after
some hundred milliseconds. In a fleet of hundreds, many calls arrive in that time, and
all of them go to the upstreams that seemed best. One gateway that places all calls of a
data centre knows each of them.
"""

import asyncio
from collections.abc import Callable

from dogwoodshed._internal.background import log_unexpected_errors
from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import Configuration, Kind
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.exceptions import NotRunError
from dogwoodshed._internal.mesh.placement_messages import (
    PlacementEnd,
    PlacementReply,
    PlacementRequest,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import LoadReport, Outcome, OutcomeStatus
from dogwoodshed._internal.routing.refusals import (
    GRANTED,
    QUEUED,
    UNKNOWN,
    code_of_refusal,
)
from dogwoodshed._internal.routing.shared_pool import PlacedSlot
from dogwoodshed._internal.routing.shared_router import SharedRouter

_Key = tuple[str, int]


class PlacementServer:
    """Grant slots of the shared router to other gateways."""

    def __init__(
        self,
        router: SharedRouter,
        store: ConfigurationStore,
        send: Callable[[str, PlacementReply], bool],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._router = router
        self._store = store
        self._send = send
        self._clock = clock
        self._metrics = metrics
        self._slots: dict[_Key, PlacedSlot] = {}
        self._waiting: dict[_Key, asyncio.Task[None]] = {}
        self._configuration: Configuration | None = None
        self._kinds: dict[str, Kind] = {}

    @property
    def granted(self) -> int:
        """The number of places that other gateways hold."""
        return len(self._slots)

    def handle_request(self, peer_id: str, request: PlacementRequest) -> None:
        """Grant or refuse a place, or queue the call."""
        key = peer_id, request.request_id
        call = self._build_call(request)
        if call is None:
            self._reply(key, PlacementReply(request.request_id, UNKNOWN))
            return
        exclude = frozenset(request.exclude)
        self._metrics.increment("placement.requests")
        try:
            slot = self._router.try_acquire(call, exclude)
        except NotRunError as error:
            self._refuse(key, error)
            return
        if slot is not None:
            self._grant(key, slot)
            return
        self._reply(key, PlacementReply(request.request_id, QUEUED))
        task = asyncio.get_running_loop().create_task(self._wait(key, call, exclude))
        self._waiting[key] = task
        task.add_done_callback(lambda _: self._waiting.pop(key, None))

    def handle_end(self, peer_id: str, end: PlacementEnd) -> None:
        """Free a place, or withdraw a request that waits."""
        key = peer_id, end.request_id
        task = self._waiting.pop(key, None)
        if task is not None:
            task.cancel()
        slot = self._slots.pop(key, None)
        if slot is not None:
            self._router.release(slot, _outcome_of(end))

    def drop_peer(self, peer_id: str) -> None:
        """Free all places of a gateway whose connection ended.

        Its calls may go on. It reports them to its next hub.
        """
        for key in [key for key in self._waiting if key[0] == peer_id]:
            self._waiting.pop(key).cancel()
        for key in [key for key in self._slots if key[0] == peer_id]:
            outcome = Outcome(OutcomeStatus.CANCELLED, 0.0)
            self._router.release(self._slots.pop(key), outcome)

    async def _wait(self, key: _Key, call: Call, exclude: frozenset[str]) -> None:
        with log_unexpected_errors("placement", self._metrics):
            try:
                slot = await self._router.wait_for_slot(call, exclude)
            except NotRunError as error:
                self._refuse(key, error)
            else:
                self._grant(key, slot)

    def _grant(self, key: _Key, slot: PlacedSlot) -> None:
        self._slots[key] = slot
        placement = slot.placement
        reply = PlacementReply(
            key[1],
            GRANTED,
            slot.state.usable_upstream.entry.id,
            slowness=round(placement.slowness * 100),
            in_flight=placement.in_flight,
            report_age_ms=placement.report_age_ms,
        )
        if not self._reply(key, reply):
            self._slots.pop(key, None)
            self._router.release(slot, Outcome(OutcomeStatus.CANCELLED, 0.0))

    def _refuse(self, key: _Key, error: NotRunError) -> None:
        self._metrics.increment("placement.refused")
        self._reply(
            key, PlacementReply(key[1], code_of_refusal(error), detail=str(error))
        )

    def _reply(self, key: _Key, reply: PlacementReply) -> bool:
        return self._send(key[0], reply)

    def _build_call(self, request: PlacementRequest) -> Call | None:
        """Return the call of a request, or None if its service or kind is unknown."""
        service = self._router.find_service(request.service)
        kind = self._find_kind(request.kind)
        if service is None or kind is None:
            return None
        now = self._clock.monotonic()
        call = Call(
            service,
            kind,
            caller="",
            arrived_at=now - request.waited_ms / 1000,
            deadline=now + request.time_left_ms / 1000,
            rank=self._router.clamp_rank(request.rank),
        )
        call.set_prior_wait(request.prior_wait_ms / 1000)
        call.connected_addresses = frozenset(request.connected)
        return call

    def _find_kind(self, name: str) -> Kind | None:
        configuration = self._store.current
        if configuration is not self._configuration and configuration is not None:
            self._configuration = configuration
            self._kinds = {
                route.kind.name: route.kind for route in configuration.routes
            }
        return self._kinds.get(name)


def _outcome_of(end: PlacementEnd) -> Outcome:
    try:
        status = OutcomeStatus(end.status)
    except ValueError:
        # A later release may know further outcomes.
        status = OutcomeStatus.CANCELLED
    report = None
    if end.slowness >= 0 or end.in_flight >= 0:
        report = LoadReport(
            in_flight=end.in_flight if end.in_flight >= 0 else None,
            slowness=end.slowness / 100 if end.slowness > 0 else None,
        )
    return Outcome(status, end.elapsed_ms / 1000, report)
