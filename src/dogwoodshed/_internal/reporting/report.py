"""Build the daily report from the merged counts."""

from collections.abc import Generator, Iterable
from typing import NamedTuple

from dogwoodshed._internal.configuration.model import Configuration
from dogwoodshed._internal.reporting.causes import Cause, find_cause
from dogwoodshed._internal.reporting.coverage import Coverage, measure_coverage
from dogwoodshed._internal.reporting.exchange import CollectedDay
from dogwoodshed._internal.reporting.merge import LONG_WINDOW, SHORT_WINDOW, Day, Sums
from dogwoodshed._internal.reporting.summary import CallStats, CallStatsKey

RowKey = tuple[str, int]


class Burn(NamedTuple):
    """Calls, those that missed, and those that the objective allows to miss."""

    calls: float
    missed: float
    allowed: float

    @property
    def rate(self) -> float | None:
        """How fast the error budget is used; 1 uses it up exactly."""
        return self.missed / self.allowed if self.allowed else None


class Period(NamedTuple):
    """A range of minutes; the second end is excluded."""

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
    day: Burn
    hour: Burn
    five_minutes: Burn
    # Burn by bin of the day; bins without calls are missing.
    bins: dict[int, Burn]
    # Where most of the budget was used, if any of it was.
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
        """Share of the day's error budget that the worst period used."""
        if self.worst is None:
            return 0.0
        first, until = self.worst
        missed = sum(b.missed for at, b in self.bins.items() if first <= at < until)
        return missed / self.day.allowed

    @property
    def budget_left(self) -> float | None:
        return 1 - self.day.rate if self.day.rate is not None else None


class ProbeRow(NamedTuple):
    """Probes of one service against its budget."""

    service: str
    sent: int
    budget: float


class ServiceLevelReport(NamedTuple):
    """Everything that the report shows."""

    fleet: str
    revision: int
    minute_s: float
    since: int
    until: int
    first: int
    bin_minutes: int
    rows: tuple[Row, ...]
    probes: tuple[ProbeRow, ...]
    coverage: Coverage
    silent: tuple[str, ...]
    # Kinds that were called but are no longer configured.
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
        min((min(seen.minutes) for seen in day.seen), default=day.until),
        day.bin_minutes,
        tuple(rows),
        tuple(_probe_rows(day, configuration, minute_s)),
        coverage,
        collected.silent,
        tuple(unconfigured),
    )


def _build_row(
    day: Day,
    configuration: Configuration,
    allowances: dict[tuple[str, str], float],
    row_key: RowKey,
    keys: list[CallStatsKey],
) -> Row:
    service, rank = row_key
    total = CallStats()
    for key in keys:
        total.add(day.counts.call_stats[key])

    def burn(counts: dict[CallStatsKey, CallStats] | dict[CallStatsKey, Sums]) -> Burn:
        present = [key for key in keys if key in counts]
        return Burn(
            sum(counts[key].calls for key in present),
            sum(counts[key].missed for key in present),
            sum(counts[key].calls * allowances[key[:2]] for key in present),
        )

    bins = {start: burn(counts) for start, counts in sorted(day.bins.items())}
    bins = {start: value for start, value in bins.items() if value.calls}
    whole = burn(day.counts.call_stats)
    worst = cause = None
    if whole.missed:
        worst = worst_period(bins, day.bin_minutes)
    if whole.missed > whole.allowed:
        cause = find_cause(day, configuration, service, rank, worst)
    names = [rank.name for rank in configuration.ranks]
    return Row(
        service,
        rank,
        names[rank] if rank < len(names) else f"rank {rank}",
        1 - whole.allowed / whole.calls,
        total,
        *total.percentiles_ms(50, 99),
        whole,
        burn(day.windows[LONG_WINDOW]),
        burn(day.windows[SHORT_WINDOW]),
        bins,
        worst,
        cause,
    )


def worst_period(bins: dict[int, Burn], bin_minutes: int) -> Period:
    """Return the run of bins above the budget with most missed calls."""
    # Shares of coarse blocks are rounded, so that no single bin need be above.
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
    day: Day, configuration: Configuration, minute_s: float
) -> Iterable[ProbeRow]:
    minutes = set().union(*(seen.minutes for seen in day.seen))
    for service in configuration.services:
        per_second = service.probe_budget_per_s * len(service.upstreams)
        yield ProbeRow(
            service.name,
            day.counts.probes[service.name],
            per_second * len(minutes) * minute_s,
        )
