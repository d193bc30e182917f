"""Express the results of a report as English sentences."""

from datetime import UTC, datetime
from functools import singledispatch

from dogwoodshed._internal.reporting.causes import Cause, CauseKind
from dogwoodshed._internal.reporting.coverage import Hole
from dogwoodshed._internal.reporting.report import Period, Row, ServiceLevelReport

# A period that used less of the day's error budget is not mentioned at the top.
NOTABLE_SHARE = 0.25


def clock_time(minute: int, minute_s: float) -> str:
    """Return the time of day at which a minute starts."""
    at = datetime.fromtimestamp(minute * minute_s, UTC)
    # Report minutes of another length occur in tests and the demo and need seconds.
    return at.strftime("%H:%M" if minute_s == 60 else "%H:%M:%S")


def date_and_time(minute: int, minute_s: float) -> str:
    """Return the date and time at which a minute starts."""
    at = datetime.fromtimestamp(minute * minute_s, UTC)
    return f"{at:%Y-%m-%d} {clock_time(minute, minute_s)}"


@singledispatch
def time_range(value: object, minute_s: float) -> str:
    """Format a range of minutes as times of day."""
    raise TypeError(type(value).__name__)


@time_range.register
def _(value: Period, minute_s: float) -> str:
    first, until = (clock_time(minute, minute_s) for minute in value)
    return f"{first} to {until} UTC"


@time_range.register
def _(value: Hole, minute_s: float) -> str:
    return time_range(Period(value.first, value.last + 1), minute_s)


def percent(share: float | None, digits: int = 2) -> str:
    """Format a share in percent, rounded down so that a miss never shows as 100 %."""
    if share is None:
        return "none"
    scale = 10**digits
    # The addition keeps binary fractions such as 0.99 from showing as 98.99 %.
    return f"{int(share * 100 * scale + 1e-6) / scale:.{digits}f} %"


def first_line(report: ServiceLevelReport) -> str:
    """Say whether all objectives were met and, if not, which were missed and when."""
    if not report.calls:
        return f"No calls were recorded today{_coverage_clause(report)}."
    missed = report.missed_rows
    if not missed:
        services = {row.service for row in report.rows}
        noun = "service" if len(services) == 1 else "services"
        return (
            f"Today went well for callers: {len(services)} {noun} met the objective "
            f"in every rank{_notable_period_clause(report)}{_coverage_clause(report)}."
        )
    text = f"Today did not go well for callers of {_describe_miss(missed[0], report)}"
    if len(missed) > 1:
        others = ", ".join(f"{row.service} ({row.rank_name})" for row in missed[1:4])
        more = f" and {len(missed) - 4} more" if len(missed) > 4 else ""
        text += f"; also missed: {others}{more}"
    return f"{text}{_coverage_clause(report)}."


def _describe_miss(row: Row, report: ServiceLevelReport) -> str:
    return (
        f"{row.service}, rank {row.rank_name}: {percent(row.in_time_share)} in time "
        f"against {percent(row.objective)}, worst from "
        f"{time_range(row.worst, report.minute_s)}"
    )


def _notable_period_clause(report: ServiceLevelReport) -> str:
    """Mention a period that used much of an error budget that was not exceeded."""
    row = max(report.rows, key=lambda row: row.budget_used_in_worst)
    if row.budget_used_in_worst < NOTABLE_SHARE:
        return ""
    return (
        f", though {row.service}, rank {row.rank_name}, used "
        f"{percent(row.budget_used_in_worst, 0)} of its error budget from "
        f"{time_range(row.worst, report.minute_s)}"
    )


def _coverage_clause(report: ServiceLevelReport) -> str:
    coverage = report.coverage
    if coverage.expected and not coverage.complete:
        return f", as far as the {percent(coverage.share)} of host-minutes covered show"
    return ""


def coverage_line(report: ServiceLevelReport) -> str:
    """Say how many host-minutes the report covers."""
    coverage = report.coverage
    text = (
        f"{coverage.covered:,} of {coverage.expected:,} host-minutes covered "
        f"({percent(coverage.share)})"
    )
    if report.silent:
        text += f"; no answer from {', '.join(report.silent)}"
    return text


def hole_lines(report: ServiceLevelReport) -> list[str]:
    """List every hole by gateway and range of minutes."""
    return [
        f"{gateway.gateway}: no summary from {time_range(hole, report.minute_s)} "
        f"({hole.last - hole.first + 1} min)"
        for gateway in report.coverage.gateways
        for hole in gateway.holes
    ]


def cause_line(row: Row) -> str:
    """Name the likely cause of a missed objective."""
    cause = row.cause
    name = f"{row.service}, rank {row.rank_name}"
    numbers = (
        f"{cause.waiting_ms:.1f} ms waiting and {cause.upstream_ms:.1f} ms at "
        "upstreams per call"
    )
    return f"{name}: {_CAUSE_TEXTS[cause.kind](cause)} ({numbers})"


def _dependency_text(cause: Cause) -> str:
    first, *others = cause.dependencies
    text = (
        f"dependency {first} missed in the same period and took "
        f"{cause.dependency_ms:.1f} ms per call of this service, over all its callers"
    )
    if others:
        text += f"; {', '.join(others)} missed too"
    return text


_CAUSE_TEXTS = {
    CauseKind.QUEUE: lambda cause: "most time was spent waiting for its own upstreams",
    CauseKind.DEPENDENCY: _dependency_text,
    CauseKind.OWN_UPSTREAMS: lambda cause: (
        "its own upstreams took the time; it depends on no other service"
    ),
    CauseKind.UNDETERMINED: lambda cause: (
        "the cause cannot be told: its upstreams took the time and no dependency "
        "missed in the same period"
    ),
}
