"""Build the service-level report from the merged counts."""

from collections.abc import Generator, Iterable
from typing import NamedTuple

from dogwoodshed._internal.configuration.model import Configuration
from dogwoodshed._internal.reporting.causes import Cause, find_cause
from dogwoodshed._internal.reporting.coverage import Coverage, measure_coverage
from dogwoodshed._internal.reporting.exchange import CollectedDay
from dogwoodshed._internal.reporting.merge import (
    LONG_WINDOW_MINUTES,
    SHORT_WINDOW_MINUTES,
    CallSums,
    MergedDay,
)
from dogwoodshed._internal.reporting.summary import CallStats, CallStatsKey

RowKey = tuple[str, int]


class BudgetBurn(NamedTuple):
    """Calls, those not served in time, and how many of these the objective allows."""

    calls: float
    missed: float
    allowed: float

    @property
    def rate(self) -> float | None:
        """The burn rate: 1 uses the error budget exactly as fast as allowed."""
        return self.missed / self.allowed if self.allowed else None


class Period(NamedTuple):
    """A range of minutes; the end is excluded."""

    first: int
    until: int


class Row(NamedTuple):
    """One service in one rank over the day."""

    service: str
    rank: int
    rank_name: str
    objective: float
    stats: CallStats
    p50_ms: float
    p99_ms: float
    day: BudgetBurn
    hour: BudgetBurn
    five_minutes: BudgetBurn
    # By first minute of the bin; bins without calls are left out.
    bins: dict[int, BudgetBurn]
    # The period that used most of the error budget, if any was used.
    worst: Period | None
    cause: Cause | None

    @property
    def in_time_share(self) -> float | None:
        return self.stats.in_time / self.stats.calls if self.stats.calls else None

    @property
    def met(self) -> bool:
        return self.day.missed <= self.day.allowed

    @property
    def budget_used_in_worst(self) -> float:
        """The share of the day's error budget that the worst period used."""
        if self.worst is None:
            return 0.0
        first, until = self.worst
        missed = sum(b.missed for at, b in self.bins.items() if first <= at < until)
        return missed / self.day.allowed

    @property
    def budget_left(self) -> float | None:
        return 1 - self.day.rate if self.day.rate is not None else None


class ProbeRow(NamedTuple):
    """Probes sent to the upstreams of one service, and the probe budget."""

    service: str
    sent: int
    budget: float


class ServiceLevelReport(NamedTuple):
    """Service levels of all services and ranks over a day."""

    fleet: str
    revision: int
    minute_s: float
    # The range of minutes of the report; the end is excluded.
    since: int
    until: int
    # The first minute with a summary.
    first: int
    bin_minutes: int
    rows: tuple[Row, ...]
    probes: tuple[ProbeRow, ...]
    coverage: Coverage
    silent: tuple[str, ...]
    # Kinds of calls that were counted but are no longer configured.
    unconfigured: tuple[CallStatsKey, ...]

    @property
    def calls(self) -> int:
        return sum(row.stats.calls for row in self.rows)

    @property
    def missed_rows(self) -> tuple[Row, ...]:
        missed = (row for row in self.rows if not row.met)
        return tuple(sorted(missed, key=lambda row: (row.rank, -row.day.missed)))


def build_report(
    collected: CollectedDay,
    configuration: Configuration,
    listed: Iterable[str],
    minute_s: float,
) -> Generator[None, None, ServiceLevelReport]:
    """Build the report in steps, with the objectives of the configuration in effect."""
    day = collected.day
    allowances = {
        (service.name, kind.name): 1 - kind.objective
        for service in configuration.services
        for kind in service.kinds
    }
    keys: dict[RowKey, list[CallStatsKey]] = {}
    unconfigured = []
    for key in sorted(day.counts.call_stats):
        if key[:2] in allowances:
            keys.setdefault((key[0], key[2]), []).append(key)
        else:
            unconfigured.append(key)
    rows = []
    for row_key, stats_keys in sorted(keys.items()):
        rows.append(_build_row(day, configuration, allowances, row_key, stats_keys))
        yield
    coverage = measure_coverage(day, listed, collected.presences)
    return ServiceLevelReport(
        configuration.fleet,
        configuration.revision,
        minute_s,
        day.since,
        day.until,
        min(
            (min(reported.minutes) for reported in day.incarnations), default=day.until
        ),
        day.bin_minutes,
        tuple(rows),
        tuple(_probe_rows(day, configuration, minute_s)),
        coverage,
        collected.silent,
        tuple(unconfigured),
    )


def _build_row(
    day: MergedDay,
    configuration: Configuration,
    allowances: dict[tuple[str, str], float],
    row_key: RowKey,
    keys: list[CallStatsKey],
) -> Row:
    service, rank = row_key
    total = CallStats()
    for key in keys:
        total.add(day.counts.call_stats[key])

    def burn(
        counts: dict[CallStatsKey, CallStats] | dict[CallStatsKey, CallSums],
    ) -> BudgetBurn:
        present = [key for key in keys if key in counts]
        return BudgetBurn(
            sum(counts[key].calls for key in present),
            sum(counts[key].missed for key in present),
            sum(counts[key].calls * allowances[key[:2]] for key in present),
        )

    bins = {start: burn(counts) for start, counts in sorted(day.bins.items())}
    bins = {start: value for start, value in bins.items() if value.calls}
    whole_day = burn(day.counts.call_stats)
    worst = cause = None
    if whole_day.missed:
        worst = worst_period(bins, day.bin_minutes)
    if whole_day.missed > whole_day.allowed:
        cause = find_cause(day, configuration, service, rank, worst)
    names = [rank.name for rank in configuration.ranks]
    return Row(
        service,
        rank,
        names[rank] if rank < len(names) else f"rank {rank}",
        1 - whole_day.allowed / whole_day.calls,
        total,
        *total.percentiles_ms(50, 99),
        whole_day,
        burn(day.windows[LONG_WINDOW_MINUTES]),
        burn(day.windows[SHORT_WINDOW_MINUTES]),
        bins,
        worst,
        cause,
    )


def worst_period(bins: dict[int, BudgetBurn], bin_minutes: int) -> Period:
    """Return the consecutive bins above the budget with most missed calls."""
    # The shares of merged blocks are rounded. If that leaves no bin above its budget,
    # the whole range is returned.
    best, best_missed = Period(min(bins), max(bins) + bin_minutes), -1.0
    first = until = None
    missed = 0.0
    for start, burn in sorted(bins.items()):
        if burn.missed <= burn.allowed:
            continue
        if start != until:
            first, missed = start, 0.0
        until = start + bin_minutes
        missed += burn.missed
        if missed > best_missed:
            best, best_missed = Period(first, until), missed
    return best


def _probe_rows(
    day: MergedDay, configuration: Configuration, minute_s: float
) -> Iterable[ProbeRow]:
    minutes = set().union(*(reported.minutes for reported in day.incarnations))
    for service in configuration.services:
        per_second = service.probe_budget_per_s * len(service.upstreams)
        yield ProbeRow(
            service.name,
            day.counts.probes[service.name],
            per_second * len(minutes) * minute_s,
        )
