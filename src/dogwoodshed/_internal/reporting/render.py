"""Render the report as text and as JSON."""

import json
from abc import ABC, abstractmethod
from typing import Any

from dogwoodshed._internal.reporting import words
from dogwoodshed._internal.reporting.report import Burn, Row, ServiceLevelReport
from dogwoodshed._internal.tables import format_table

COLUMNS = (
    "service",
    "rank",
    "result",
    "calls",
    "in time",
    "objective",
    "budget left",
    "burn 5 min",
    "burn 1 h",
    "burn day",
    "not run",
    "unknown",
    "p50 ms",
    "p99 ms",
    "doubles prevented",
    "retries",
    "hedges",
)


class Renderer(ABC):
    """Turn a page into a document."""

    content_type = ""

    @abstractmethod
    def render(self, page: ServiceLevelReport) -> str:
        """Return the document."""


class TextRenderer(Renderer):
    """Render plain text for terminals."""

    content_type = "text/plain"

    def render(self, page: ServiceLevelReport) -> str:
        """Return the text."""
        parts = [words.first_line(page), "\n".join(scope_lines(page))]
        if page.rows:
            parts.append(format_table(COLUMNS, [row_cells(row) for row in page.rows]))
        causes = [words.cause_line(row) for row in page.missed_rows]
        parts += _section("What took the time", causes)
        probes = [
            (row.service, f"{row.sent:,}", f"{row.budget:,.0f}") for row in page.probes
        ]
        table = format_table(("service", "probes sent", "budget"), probes)
        parts += _section("Probes", table.splitlines() if probes else [])
        parts += _section("Not covered", words.hole_lines(page))
        return "\n\n".join(parts) + "\n"


class JsonRenderer(Renderer):
    """Render JSON for programs."""

    content_type = "application/json"

    def render(self, page: ServiceLevelReport) -> str:
        """Return the JSON text."""
        return json.dumps(self._document(page)) + "\n"

    def _document(self, page: ServiceLevelReport) -> dict[str, Any]:
        coverage = page.coverage
        return {
            "summary": words.first_line(page),
            "fleet": page.fleet,
            "configuration_revision": page.revision,
            "went_well": not page.missed_rows,
            "calls": page.calls,
            "minute_s": page.minute_s,
            "first_minute": page.first,
            "until_minute": page.until,
            "bin_minutes": page.bin_minutes,
            "rows": [_row_document(row) for row in page.rows],
            "probes": [row._asdict() for row in page.probes],
            "coverage": {
                "expected_host_minutes": coverage.expected,
                "covered_host_minutes": coverage.covered,
                "share": coverage.share,
                "silent": list(page.silent),
                "gateways": [
                    gateway._asdict()
                    | {"holes": [hole._asdict() for hole in gateway.holes]}
                    for gateway in coverage.gateways
                ],
            },
            "unconfigured_kinds": [list(key) for key in page.unconfigured],
        }


def scope_lines(page: ServiceLevelReport) -> list[str]:
    """Say what the report is about and how much it covers."""
    times = " to ".join(
        words.date_and_time(minute, page.minute_s)
        for minute in (page.first, page.until)
    )
    lines = [
        f"Fleet {page.fleet}, {times} UTC, configuration revision {page.revision}.",
        f"Coverage: {words.coverage_line(page)}.",
    ]
    if page.unconfigured:
        names = ", ".join(f"{key[0]} {key[1]}" for key in page.unconfigured)
        lines.append(f"Not shown, since no longer configured: {names}.")
    return lines


def row_cells(row: Row) -> tuple[str, ...]:
    """Return the cells of a row in the order of the columns."""
    stats = row.stats
    return (
        row.service,
        row.rank_name,
        "met" if row.met else "MISSED",
        f"{stats.calls:,}",
        words.percent(row.in_time_share),
        words.percent(row.objective),
        words.percent(row.budget_left, 0),
        _rate(row.five_minutes),
        _rate(row.hour),
        _rate(row.day),
        f"{stats.not_run:,}",
        f"{stats.unknown:,}",
        f"{row.p50_ms:.1f}",
        f"{row.p99_ms:.1f}",
        f"{stats.doubles_prevented:,}",
        f"{stats.retries:,}",
        f"{stats.hedges:,}",
    )


def _rate(burn: Burn) -> str:
    return "-" if burn.rate is None else f"{burn.rate:.1f} x"


def _section(title: str, lines: list[str]) -> list[str]:
    if not lines:
        return []
    return ["\n".join([title, *(f"  {line}" for line in lines)])]


def _row_document(row: Row) -> dict[str, Any]:
    stats = row.stats
    return {
        "service": row.service,
        "rank": row.rank_name,
        "met": row.met,
        "calls": stats.calls,
        "in_time": stats.in_time,
        "in_time_share": row.in_time_share,
        "objective": row.objective,
        "error_budget_left": row.budget_left,
        "burn_rate": {
            "5_min": row.five_minutes.rate,
            "1_h": row.hour.rate,
            "day": row.day.rate,
        },
        "not_run": stats.not_run,
        "unknown": stats.unknown,
        "p50_ms": row.p50_ms,
        "p99_ms": row.p99_ms,
        "doubles_prevented": stats.doubles_prevented,
        "retries": stats.retries,
        "hedges": stats.hedges,
        "waiting_ms": stats.waiting_ms,
        "upstream_ms": stats.upstream_ms,
        "worst": row.worst._asdict() if row.worst else None,
        "cause": words.cause_line(row) if row.cause else None,
        # Pairs of first minute and rate.
        "burn_by_bin": [
            (start, None if burn.rate is None else round(burn.rate, 3))
            for start, burn in row.bins.items()
        ],
    }
