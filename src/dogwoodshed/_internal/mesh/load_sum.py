"""Sum the load of the gateways that a relay serves."""

from typing import Any

from dogwoodshed._internal.mesh.messages import (
    GatewayLoad,
    InFlightCalls,
    UpstreamReport,
    WaitingCalls,
)


class _Changes:
    """What one audience has not been told yet."""

    __slots__ = ("reports", "services", "upstreams")

    def __init__(self) -> None:
        self.upstreams: set[str] = set()
        self.services: set[str] = set()
        self.reports: dict[str, UpstreamReport] = {}

    def clear(self) -> None:
        self.upstreams.clear()
        self.services.clear()
        self.reports.clear()


class LoadSum:
    """Keep the sums over gateways and what each audience has not been told.

    A gateway that decoded the load of every other one by itself would spend the square
    of the fleet's size; with sums it decodes one message for each data centre.
    """

    def __init__(self, audiences: tuple[str, ...]) -> None:
        self._in_flight: dict[str, dict[str, int]] = {}
        self._waiting: dict[str, dict[str, tuple[int, ...]]] = {}
        self._totals: dict[str, int] = {}
        self._changes = {audience: _Changes() for audience in audiences}

    @property
    def hosts(self) -> tuple[str, ...]:
        return tuple(self._in_flight)

    def note(self, host: str, load: GatewayLoad) -> None:
        """Take over what a gateway tells of its load."""
        self._note_in_flight(host, {i.upstream_id: i.calls for i in load.in_flight})
        self._note_waiting(host, {w.service: w.by_rank for w in load.waiting})
        for changes in self._changes.values():
            for report in load.reports:
                merge_report(changes.reports, report)

    def drop(self, host: str) -> None:
        """Forget a gateway."""
        if host in self._in_flight:
            self._note_in_flight(host, {})
            self._note_waiting(host, {})
            del self._in_flight[host], self._waiting[host]

    def has_changes(self, audience: str) -> bool:
        """Tell whether an audience has not been told everything."""
        changes = self._changes[audience]
        return bool(changes.upstreams or changes.services or changes.reports)

    def compose(self, audience: str, *, full: bool) -> dict[str, Any]:
        """Return the fields of the next load for an audience, which then knows them."""
        changes = self._changes[audience]
        upstreams = [u for u, n in self._totals.items() if n]
        services = self._services() if full else changes.services
        fields = {
            "full": full,
            "in_flight": tuple(
                InFlightCalls(upstream, self._totals.get(upstream, 0))
                for upstream in (upstreams if full else changes.upstreams)
            ),
            "waiting": tuple(
                WaitingCalls(service, self._waiting_total(service))
                for service in services
            ),
            "reports": tuple(changes.reports.values()),
        }
        changes.clear()
        return fields

    def _note_in_flight(self, host: str, calls: dict[str, int]) -> None:
        before = self._in_flight.get(host, {})
        self._in_flight[host] = calls
        for upstream in before.keys() | calls.keys():
            difference = calls.get(upstream, 0) - before.get(upstream, 0)
            if not difference:
                continue
            total = self._totals.get(upstream, 0) + difference
            if total:
                self._totals[upstream] = total
            else:
                del self._totals[upstream]
            for changes in self._changes.values():
                changes.upstreams.add(upstream)

    def _note_waiting(self, host: str, waiting: dict[str, tuple[int, ...]]) -> None:
        before = self._waiting.get(host, {})
        self._waiting[host] = waiting
        for service in before.keys() | waiting.keys():
            if before.get(service) != waiting.get(service):
                for changes in self._changes.values():
                    changes.services.add(service)

    def _services(self) -> set[str]:
        return {service for waiting in self._waiting.values() for service in waiting}

    def _waiting_total(self, service: str) -> tuple[int, ...]:
        lengths = [w[service] for w in self._waiting.values() if service in w]
        return tuple(map(sum, zip(*lengths, strict=False)))


def merge_report(reports: dict[str, UpstreamReport], report: UpstreamReport) -> None:
    """Add a report to those of earlier attempts; the latest slowness counts."""
    earlier = reports.get(report.upstream_id)
    if earlier is not None:
        report = UpstreamReport(
            report.upstream_id,
            report.slowness or earlier.slowness,
            report.answered + earlier.answered,
            report.failed + earlier.failed,
        )
    reports[report.upstream_id] = report
