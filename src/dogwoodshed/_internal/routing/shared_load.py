"""Tell the other gateways of this one's load, and use what they tell."""

from collections import deque
from typing import Any, NamedTuple

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.mesh.load_sum import merge_report
from dogwoodshed._internal.mesh.messages import (
    DataCentreLoad,
    InFlightCalls,
    UpstreamReport,
    WaitingCalls,
)
from dogwoodshed._internal.routing.shared_pool import ServicePool, UpstreamState

# Counts of a relay that was not heard for longer are dropped.
FORGET_RELAY_S = 1.7
# No more of the attempts that one report sums up are counted.
MOST_COUNTED_ATTEMPTS = 8


class _Told(NamedTuple):
    """What one message told the relay."""

    sequence: int
    in_flight: dict[str, int]
    waiting: dict[str, tuple[int, ...]]
    reports: dict[str, UpstreamReport]


class SharedLoad:
    """Keep the load of other gateways in the states of upstreams and services.

    The sum that a relay tells counts this gateway too, as of the last message that the
    relay has confirmed; that part is taken off again.
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
        self._heard_at: dict[str, float] = {}
        self._hub = ""
        self._told: deque[_Told] = deque()
        self._confirmed = _Told(0, {}, {}, {})
        # Own reports that the next load of the relay brings back.
        self._returning: dict[str, UpstreamReport] = {}

    def note_report(
        self, upstream_id: str, slowness: float | None, failed: bool
    ) -> None:
        """Keep what an attempt showed for the next message."""
        percent = round((slowness or 0) * 100)
        report = UpstreamReport(upstream_id, percent, int(not failed), int(failed))
        merge_report(self._reports, report)

    def compose_load(self, sequence: int) -> dict[str, Any]:
        """Return the fields of the next message to the relay."""
        in_flight = {key: s.own for key, s in self._states.items() if s.own}
        waiting = {n: p.queue.lengths for n, p in self._pools.items() if p.queue}
        reports, self._reports = self._reports, {}
        self._told.append(_Told(sequence, in_flight, waiting, reports))
        return {
            "in_flight": tuple(InFlightCalls(*item) for item in in_flight.items()),
            "waiting": tuple(WaitingCalls(*item) for item in waiting.items()),
            "reports": tuple(reports.values()),
        }

    def switch_hub(self, hub: str) -> None:
        """Start anew with a relay that knows nothing of this gateway."""
        self._hub = hub
        self._told.clear()
        self._confirm(_Told(0, {}, {}, {}))
        self._returning.clear()

    def record_acknowledgement(self, hub: str, sequence: int) -> None:
        """Note which messages the next load of the relay counts."""
        if hub != self._hub:
            return
        while self._told and self._told[0].sequence <= sequence:
            told = self._told.popleft()
            for report in told.reports.values():
                merge_report(self._returning, report)
            self._confirm(told)

    def _confirm(self, told: _Told) -> None:
        before, self._confirmed = self._confirmed, told
        for upstream_id in before.in_flight.keys() | told.in_flight.keys():
            state = self._states.get(upstream_id)
            if state is not None:
                state.counted = told.in_flight.get(upstream_id, 0)
        for service in before.waiting.keys() | told.waiting.keys():
            pool = self._pools.get(service)
            if pool is not None:
                pool.waiting_counted = told.waiting.get(service, ())

    def apply_load(self, load: DataCentreLoad) -> None:
        """Use the load of the gateways that a relay serves."""
        now = self._clock.monotonic()
        self._heard_at[load.hub] = now
        if load.full:
            self._drop(load.hub)
        for item in load.in_flight:
            state = self._states.get(item.upstream_id)
            if state is not None:
                _set_or_drop(state.others, load.hub, item.calls)
        for waiting in load.waiting:
            pool = self._pools.get(waiting.service)
            if pool is not None:
                _set_or_drop(pool.waiting_elsewhere, load.hub, waiting.by_rank)
        own = self._returning if load.hub == self._hub else {}
        for report in load.reports:
            self._take_report(report, own.get(report.upstream_id), now)
        own.clear()

    def _take_report(
        self, report: UpstreamReport, own: UpstreamReport | None, now: float
    ) -> None:
        state = self._states.get(report.upstream_id)
        if state is None:
            return
        answered, failed = report.answered, report.failed
        if own is not None:
            answered, failed = answered - own.answered, failed - own.failed
            if answered <= 0 and failed <= 0:
                return
        if report.slowness:
            slowness = report.slowness / 100
            state.pace.note_slowness(slowness, now)
            self._pool_of[report.upstream_id].usual.observe(slowness)
        for _ in range(min(failed, MOST_COUNTED_ATTEMPTS)):
            state.pace.note_result(True, now)
        for _ in range(min(answered, MOST_COUNTED_ATTEMPTS)):
            state.pace.note_result(False, now)

    def drop_stale_loads(self) -> None:
        """Drop the counts of relays that were not heard for a while."""
        now = self._clock.monotonic()
        for hub, heard_at in list(self._heard_at.items()):
            if now - heard_at >= FORGET_RELAY_S:
                del self._heard_at[hub]
                self._drop(hub)
                if hub == self._hub:
                    self._confirm(_Told(0, {}, {}, {}))

    def _drop(self, hub: str) -> None:
        for state in self._states.values():
            state.others.pop(hub, None)
        for pool in self._pools.values():
            pool.waiting_elsewhere.pop(hub, None)


def _set_or_drop(table: dict[str, Any], key: str, value: Any) -> None:
    if value:
        table[key] = value
    else:
        table.pop(key, None)
