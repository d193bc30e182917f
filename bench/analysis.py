"""Summarise runs and compare them with the targets."""

import math
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from bench.cases import (
    FLOOD,
    FLOORS,
    PROBE_BUDGET_PER_S,
    RANKS,
    TIME_LIMIT_FACTORS,
    User,
)
from bench.measure import CallRow, Run

Runs = Mapping[tuple[str, str], "RunSummary"]

# The bounds of docs/design.md; they must not be adjusted to measured values.
MAX_URGENT_P99_TO_BASELINE = 0.65
MAX_URGENT_P999_TO_BASELINE = 0.4
MAX_ALL_P99_TO_BASELINE = 0.7
MAX_URGENT_P99_TO_CENTRAL = 1.15
MIN_URGENT_IN_TIME_IN_FLOOD = 0.99
MAX_URGENT_P99_IN_FLOOD_TO_BASE = 1.3
# With fewer calls, fewer than five lie beyond the 99.9th percentile.
MIN_CALLS_FOR_P999 = 5000


class RankSummary(NamedTuple):
    """Results of one rank; calls that were not answered count as infinitely slow."""

    sent: int
    answered: int
    not_run: int
    unknown: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    in_time: float


class RunSummary(NamedTuple):
    """Figures of one run; `ranks` leaves out the calls of the flood itself."""

    ranks: dict[str, RankSummary]
    total: RankSummary
    # Share of each rank in all answered calls, those of the flood included.
    shares: dict[str, float]
    # Answered calls as a share of the nominal capacity of the upstreams.
    utilisation: float
    probes_per_s: float
    probes_allowed: int
    most_probes: int
    run: dict[str, Any]


def summarise(run: Run, user: User, duration: float) -> RunSummary:
    """Compute the figures of a run whose counted arrivals span `duration`."""
    own = [row for row in run.rows if row.flow != FLOOD]
    answered = [row for row in run.rows if row.answered]
    served = max(1, len(answered))
    return RunSummary(
        ranks={
            rank: _summarise_rank([r for r in own if r.rank == rank], user)
            for rank in RANKS
        },
        total=_summarise_rank(own, user),
        shares={
            rank: sum(1 for row in answered if row.rank == rank) / served
            for rank in RANKS
        },
        utilisation=len(answered) / duration / user.capacity_per_s,
        probes_per_s=run.most_probes / run.counted_s,
        # A window that starts just before a probe contains one more than its length.
        probes_allowed=math.floor(PROBE_BUDGET_PER_S * run.counted_s) + 1,
        most_probes=run.most_probes,
        run={k: v for k, v in run._asdict().items() if k != "rows"},
    )


def _summarise_rank(rows: Sequence[CallRow], user: User) -> RankSummary:
    times = sorted(row.elapsed * 1000 if row.answered else math.inf for row in rows)
    in_time = sum(
        1
        for row in rows
        if row.answered
        and row.elapsed * 1000 <= TIME_LIMIT_FACTORS[row.rank] * user.mean_ms
    )
    return RankSummary(
        sent=len(rows),
        answered=sum(1 for row in rows if row.answered),
        not_run=sum(1 for row in rows if row.ran == "no"),
        unknown=sum(1 for row in rows if row.ran == "unknown"),
        p50_ms=percentile(times, 0.5),
        p99_ms=percentile(times, 0.99),
        p999_ms=percentile(times, 0.999),
        in_time=in_time / max(1, len(rows)),
    )


def percentile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest value that covers a share of the ordered values."""
    if not ordered:
        return math.nan
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


class TargetResult(NamedTuple):
    """One target and the measured value; `met` is None without a measurement."""

    target: str
    measured: str
    met: bool | None

    def __str__(self) -> str:
        label = {True: "pass", False: "MISS", None: "not measured"}[self.met]
        return f"{label:12} {self.target}: {self.measured}"


def check_targets(runs: Runs) -> list[TargetResult]:
    """Compare the policy `slices` with every target."""
    return [*_check_noisy_neighbour(runs), *_check_floods(runs), _check_probes(runs)]


def _check_noisy_neighbour(runs: Runs) -> list[TargetResult]:
    slices = runs.get(("slices", "noisy-neighbour"))
    baseline = runs.get(("least_in_flight", "noisy-neighbour"))
    central = runs.get(("central", "noisy-neighbour"))
    name = "noisy neighbour at 0.8:"
    return [
        _check_ratio(
            f"{name} urgent p99 against least_in_flight",
            slices and slices.ranks["urgent"].p99_ms,
            baseline and baseline.ranks["urgent"].p99_ms,
            MAX_URGENT_P99_TO_BASELINE,
        ),
        _check_ratio(
            f"{name} urgent p99.9{_few_calls_note(slices)} against least_in_flight",
            slices and slices.ranks["urgent"].p999_ms,
            baseline and baseline.ranks["urgent"].p999_ms,
            MAX_URGENT_P999_TO_BASELINE,
        ),
        _check_ratio(
            f"{name} all ranks' p99 against least_in_flight",
            slices and slices.total.p99_ms,
            baseline and baseline.total.p99_ms,
            MAX_ALL_P99_TO_BASELINE,
        ),
        _check_ratio(
            f"{name} urgent p99 against central",
            slices and slices.ranks["urgent"].p99_ms,
            central and central.ranks["urgent"].p99_ms,
            MAX_URGENT_P99_TO_CENTRAL,
        ),
    ]


def _few_calls_note(summary: RunSummary | None) -> str:
    """Return a note if a percentile is based on too few calls."""
    sent = summary.ranks["urgent"].sent if summary else MIN_CALLS_FOR_P999
    return f" (of {sent} calls only)" if sent < MIN_CALLS_FOR_P999 else ""


def _check_ratio(
    target: str, value: float | None, reference: float | None, bound: float
) -> TargetResult:
    target = f"{target} <= {bound}"
    if value is None or reference is None:
        return TargetResult(target, "no run", None)
    if math.isinf(value):
        return TargetResult(target, "infinite", False)
    ratio = value / reference
    return TargetResult(
        target, f"{value:.0f}/{reference:.0f} ms = {ratio:.2f}", ratio <= bound
    )


def _check_floods(runs: Runs) -> list[TargetResult]:
    base = runs.get(("slices", "base"))
    bulk = runs.get(("slices", "flood-bulk"))
    urgent = runs.get(("slices", "flood-urgent"))
    target = f"flood of bulk: urgent in time >= {MIN_URGENT_IN_TIME_IN_FLOOD}"
    in_time = TargetResult(target, "no run", None)
    if bulk is not None:
        share = bulk.ranks["urgent"].in_time
        in_time = TargetResult(
            target, f"{share:.4f}", share >= MIN_URGENT_IN_TIME_IN_FLOOD
        )
    p99_ratio = _check_ratio(
        "flood of bulk: urgent p99 against the same load without flood",
        bulk and bulk.ranks["urgent"].p99_ms,
        base and base.ranks["urgent"].p99_ms,
        MAX_URGENT_P99_IN_FLOOD_TO_BASE,
    )
    return [
        in_time,
        p99_ratio,
        *(_check_floor(urgent, rank) for rank in RANKS if rank != "urgent"),
    ]


def _check_floor(flood: RunSummary | None, rank: str) -> TargetResult:
    """Compare a rank's share of all answered calls with its floor."""
    target = f"flood of urgent: {rank} keeps its floor of {FLOORS[rank]} of all served"
    if flood is None:
        return TargetResult(target, "no run", None)
    summary = flood.ranks[rank]
    share = flood.shares[rank]
    # A rank with less load than its floor meets it once all its calls are served.
    met = share >= FLOORS[rank] or summary.answered == summary.sent
    text = f"{share:.3f}, {summary.answered} of {summary.sent} sent"
    return TargetResult(target, text, met)


def _check_probes(runs: Runs) -> TargetResult:
    target = f"probes of any upstream <= {PROBE_BUDGET_PER_S}/s"
    worst = [s for (policy, _), s in runs.items() if policy == "slices"]
    if not worst:
        return TargetResult(target, "no run", None)
    summary = max(worst, key=lambda s: s.most_probes - s.probes_allowed)
    text = f"{summary.most_probes} sent, {summary.probes_allowed} allowed"
    return TargetResult(target, text, summary.most_probes <= summary.probes_allowed)
