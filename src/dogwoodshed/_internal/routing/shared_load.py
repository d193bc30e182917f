"""Exchange load with the other gateways through the hubs of the mesh."""

from collections import deque
from typing import Any, NamedTuple

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.mesh.fleet_messages import (
    DataCentreLoad,
    InFlightCalls,
    UpstreamReport,
    WaitingCalls,
)
from dogwoodshed._internal.mesh.load_sum import merge_report
from dogwoodshed._internal.routing.shared_pool import ServicePool, UpstreamState

# Counts are dropped when their hub has sent nothing for longer than this.
HUB_TIMEOUT_S = 1.7
# Upper limit of the successes, and also of the failures, that one report adds.
MAX_COUNTED_ATTEMPTS = 8


class _SentLoad(NamedTuple):
    """The content of one message to the hub."""

    sequence: int
    in_flight: dict[str, int]
    waiting: dict[str, tuple[int, ...]]
    reports: dict[str, UpstreamReport]


class SharedLoad:
    """Apply the load of all gateways to the states of upstreams and services.

    The sum that a hub sends includes the load of this gateway as of the last message
    that the hub acknowledged; that part is subtracted again.
    """

    def __init__(
        self,
        pools: dict[str, ServicePool],
        states: dict[str, UpstreamState],
        pool_of: dict[str, ServicePool],
        clock: Clock,
    ) -> None:
        self._pools = pools
        self._states = states
        self._pool_of = pool_of
        self._clock = clock
        self._reports: dict[str, UpstreamReport] = {}
        self._last_load_at: dict[str, float] = {}
        self._hub = ""
        self._delegation_epoch = 0
        self._unacknowledged: deque[_SentLoad] = deque()
        self._acknowledged = _SentLoad(0, {}, {}, {})
        # Own reports that the next load of the hub includes. They are subtracted from
        # it, since they were applied before.
        self._echoed_reports: dict[str, UpstreamReport] = {}

    @property
    def delegation_epoch(self) -> int:
        """Increases when the hub no longer counts the calls that it placed before."""
        return self._delegation_epoch

    def report_delegated_calls(self) -> None:
        """Report the calls that a hub placed, since no hub counts them any more."""
        self._delegation_epoch += 1
        for state in self._states.values():
            state.delegated_calls = 0

    def record_report(
        self, upstream_id: str, slowness: float | None, failed: bool
    ) -> None:
        """Add the result of an attempt to the next message."""
        percent = round((slowness or 0) * 100)
        report = UpstreamReport(upstream_id, percent, int(not failed), int(failed))
        merge_report(self._reports, report)

    def compose_load(self, sequence: int) -> dict[str, Any]:
        """Return the fields of the next message to the hub."""
        in_flight = {
            key: calls
            for key, state in self._states.items()
            if (calls := state.reportable_calls)
        }
        waiting = {n: p.queue.lengths for n, p in self._pools.items() if p.queue}
        reports, self._reports = self._reports, {}
        self._unacknowledged.append(_SentLoad(sequence, in_flight, waiting, reports))
        return {
            "in_flight": tuple(InFlightCalls(*item) for item in in_flight.items()),
            "waiting": tuple(WaitingCalls(*item) for item in waiting.items()),
            "reports": tuple(reports.values()),
        }

    def switch_hub(self, hub: str) -> None:
        """Switch to a hub that does not count the load of this gateway yet."""
        self._hub = hub
        self.report_delegated_calls()
        self._unacknowledged.clear()
        self._apply_acknowledged(_SentLoad(0, {}, {}, {}))
        self._echoed_reports.clear()

    def record_acknowledgement(self, hub: str, sequence: int) -> None:
        """Record which messages the next load of the hub includes."""
        if hub != self._hub:
            return
        while self._unacknowledged and self._unacknowledged[0].sequence <= sequence:
            sent = self._unacknowledged.popleft()
            for report in sent.reports.values():
                merge_report(self._echoed_reports, report)
            self._apply_acknowledged(sent)

    def _apply_acknowledged(self, sent: _SentLoad) -> None:
        before, self._acknowledged = self._acknowledged, sent
        for upstream_id in before.in_flight.keys() | sent.in_flight.keys():
            state = self._states.get(upstream_id)
            if state is not None:
                state.reported_own_calls = sent.in_flight.get(upstream_id, 0)
        for service in before.waiting.keys() | sent.waiting.keys():
            pool = self._pools.get(service)
            if pool is not None:
                pool.reported_own_waiting = sent.waiting.get(service, ())

    def apply_load(self, load: DataCentreLoad) -> None:
        """Apply the load of the gateways that a hub serves."""
        now = self._clock.monotonic()
        self._last_load_at[load.hub] = now
        if load.full:
            self._drop(load.hub)
        for item in load.in_flight:
            state = self._states.get(item.upstream_id)
            if state is not None:
                _set_or_drop(state.reported_calls, load.hub, item.calls)
        for waiting in load.waiting:
            pool = self._pools.get(waiting.service)
            if pool is not None:
                _set_or_drop(pool.reported_waiting, load.hub, waiting.by_rank)
        own_reports = self._echoed_reports if load.hub == self._hub else {}
        for report in load.reports:
            self._apply_report(report, own_reports.get(report.upstream_id), now)
        own_reports.clear()

    def _apply_report(
        self, report: UpstreamReport, own_report: UpstreamReport | None, now: float
    ) -> None:
        state = self._states.get(report.upstream_id)
        if state is None:
            return
        answered, failed = report.answered, report.failed
        if own_report is not None:
            answered, failed = (
                answered - own_report.answered,
                failed - own_report.failed,
            )
            if answered <= 0 and failed <= 0:
                return
        if report.slowness:
            slowness = report.slowness / 100
            state.performance.record_slowness(slowness, now)
            self._pool_of[report.upstream_id].mean_slowness.observe(slowness)
        for _ in range(min(failed, MAX_COUNTED_ATTEMPTS)):
            state.performance.record_result(True, now)
        for _ in range(min(answered, MAX_COUNTED_ATTEMPTS)):
            state.performance.record_result(False, now)

    def drop_stale_loads(self) -> None:
        """Drop the counts of hubs that have sent nothing for HUB_TIMEOUT_S."""
        now = self._clock.monotonic()
        for hub, last_load_at in list(self._last_load_at.items()):
            if now - last_load_at >= HUB_TIMEOUT_S:
                del self._last_load_at[hub]
                self._drop(hub)
                if hub == self._hub:
                    self._apply_acknowledged(_SentLoad(0, {}, {}, {}))

    def drop_hub(self, hub: str) -> None:
        """Drop the counts of a hub whose connection ended."""
        if self._last_load_at.pop(hub, None) is not None:
            self._drop(hub)
        if hub == self._hub:
            self.report_delegated_calls()
            self._apply_acknowledged(_SentLoad(0, {}, {}, {}))

    def _drop(self, hub: str) -> None:
        for state in self._states.values():
            state.reported_calls.pop(hub, None)
        for pool in self._pools.values():
            pool.reported_waiting.pop(hub, None)


def _set_or_drop(table: dict[str, Any], key: str, value: Any) -> None:
    if value:
        table[key] = value
    else:
        table.pop(key, None)
