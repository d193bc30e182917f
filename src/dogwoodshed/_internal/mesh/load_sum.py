"""Sum the load of the gateways that a hub serves."""

from typing import Any

from dogwoodshed._internal.mesh.fleet_messages import (
    DataCentreLoad,
    GatewayLoad,
    InFlightCalls,
    UpstreamReport,
    WaitingCalls,
)


class _Changes:
    """Changes that have not been sent to a peer group yet."""

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
    """Sum loads over gateways and track the changes not yet sent to each peer group.

    If every gateway decoded the load of every other one, the work would grow with the
    square of the fleet size; with sums each gateway decodes one message for each data
    centre. The peer groups of a hub are the gateways that it serves and the other hubs.
    """

    def __init__(self, groups: tuple[str, ...]) -> None:
        self._in_flight: dict[str, dict[str, int]] = {}
        self._waiting: dict[str, dict[str, tuple[int, ...]]] = {}
        self._in_flight_totals: dict[str, int] = {}
        self._changes = {group: _Changes() for group in groups}

    @property
    def gateway_ids(self) -> tuple[str, ...]:
        return tuple(self._in_flight)

    def record(self, gateway_id: str, load: GatewayLoad) -> None:
        """Replace the load of a gateway."""
        self._record_in_flight(
            gateway_id, {item.upstream_id: item.calls for item in load.in_flight}
        )
        self._record_waiting(
            gateway_id, {queues.service: queues.by_rank for queues in load.waiting}
        )
        for changes in self._changes.values():
            for report in load.reports:
                merge_report(changes.reports, report)

    def drop(self, gateway_id: str) -> None:
        """Remove a gateway and its load."""
        if gateway_id in self._in_flight:
            self._record_in_flight(gateway_id, {})
            self._record_waiting(gateway_id, {})
            del self._in_flight[gateway_id], self._waiting[gateway_id]

    def has_changes(self, group: str) -> bool:
        """Return whether there are changes to send to a peer group."""
        changes = self._changes[group]
        return bool(changes.upstreams or changes.services or changes.reports)

    def compose(self, group: str, *, full: bool) -> dict[str, Any]:
        """Return the fields of the next load for a group, and mark them as sent.

        Calls and queues that have not changed are included only if `full`.
        """
        changes = self._changes[group]
        upstreams = [
            upstream for upstream, calls in self._in_flight_totals.items() if calls
        ]
        services = self._services_with_queues() if full else changes.services
        fields = {
            "full": full,
            "in_flight": tuple(
                InFlightCalls(upstream, self._in_flight_totals.get(upstream, 0))
                for upstream in (upstreams if full else changes.upstreams)
            ),
            "waiting": tuple(
                WaitingCalls(service, self._sum_waiting(service))
                for service in services
            ),
            "reports": tuple(changes.reports.values()),
        }
        changes.clear()
        return fields

    def _record_in_flight(self, gateway_id: str, calls: dict[str, int]) -> None:
        previous = self._in_flight.get(gateway_id, {})
        self._in_flight[gateway_id] = calls
        for upstream in previous.keys() | calls.keys():
            difference = calls.get(upstream, 0) - previous.get(upstream, 0)
            if not difference:
                continue
            total = self._in_flight_totals.get(upstream, 0) + difference
            if total:
                self._in_flight_totals[upstream] = total
            else:
                del self._in_flight_totals[upstream]
            for changes in self._changes.values():
                changes.upstreams.add(upstream)

    def _record_waiting(
        self, gateway_id: str, waiting: dict[str, tuple[int, ...]]
    ) -> None:
        previous = self._waiting.get(gateway_id, {})
        self._waiting[gateway_id] = waiting
        for service in previous.keys() | waiting.keys():
            if previous.get(service) != waiting.get(service):
                for changes in self._changes.values():
                    changes.services.add(service)

    def _services_with_queues(self) -> set[str]:
        return {service for waiting in self._waiting.values() for service in waiting}

    def _sum_waiting(self, service: str) -> tuple[int, ...]:
        lengths = [
            queues[service] for queues in self._waiting.values() if service in queues
        ]
        return tuple(map(sum, zip(*lengths, strict=False)))


def merge_loads(earlier: DataCentreLoad, later: DataCentreLoad) -> DataCentreLoad:
    """Merge two consecutive loads of a hub into one with the effect of both."""
    if earlier.incarnation != later.incarnation:
        return later
    reports = {report.upstream_id: report for report in earlier.reports}
    for report in later.reports:
        merge_report(reports, report)
    in_flight, waiting = later.in_flight, later.waiting
    if not later.full:
        in_flight = tuple(
            {item[0]: item for item in (*earlier.in_flight, *in_flight)}.values()
        )
        waiting = tuple(
            {item[0]: item for item in (*earlier.waiting, *waiting)}.values()
        )
    return later._replace(
        full=earlier.full or later.full,
        in_flight=in_flight,
        waiting=waiting,
        reports=tuple(reports.values()),
        members=later.members or earlier.members,
    )


def merge_report(reports: dict[str, UpstreamReport], report: UpstreamReport) -> None:
    """Merge a report into earlier ones; counts add up, the latest slowness is kept."""
    earlier = reports.get(report.upstream_id)
    if earlier is not None:
        report = UpstreamReport(
            report.upstream_id,
            report.slowness or earlier.slowness,
            report.answered + earlier.answered,
            report.failed + earlier.failed,
        )
    reports[report.upstream_id] = report
