"""Summarise runs and compare them with the targets."""

import math
from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from bench.cases import (
    FLOOD,
    FLOORS,
    PROBE_BUDGET_PER_S,
    RANKS,
    TIME_LIMITS,
    User,
)
from bench.measure import CallRow, Run

Runs = Mapping[tuple[str, str], "Summary"]

# Bounds of docs/design.md; they never change with what is measured.
URGENT_P99_OF_BASELINE = 0.65
URGENT_P999_OF_BASELINE = 0.4
ALL_P99_OF_BASELINE = 0.7
URGENT_P99_OF_CENTRAL = 1.15
FLOOD_URGENT_IN_TIME = 0.99
FLOOD_URGENT_P99_OF_BASE = 1.3
# Below this fewer than five calls lie beyond the 99.9th percentile.
ENOUGH_FOR_P999 = 5000


class RankSummary(NamedTuple):
    """What one rank met; a call without an answer counts as endless."""

    sent: int
    answered: int
    not_run: int
    unknown: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    in_time: float


class Summary(NamedTuple):
    """One run in figures; `ranks` leaves the flood's own calls out."""

    ranks: dict[str, RankSummary]
    total: RankSummary
    # Answered calls by rank, the flood's included, as a share of all answered calls.
    shares: dict[str, float]
    # Answered calls against the nominal capacity of the upstreams.
    utilisation: float
    probes_per_s: float
    probes_allowed: int
    most_probes: int
    run: dict[str, Any]


def summarise(run: Run, user: User, duration: float) -> Summary:
    """Compute the figures of a run whose counted arrivals span `duration`."""
    own = [row for row in run.rows if row.flow != FLOOD]
    answered = [row for row in run.rows if row.answered]
    served = max(1, len(answered))
    return Summary(
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
        # A window that opens just before a probe holds one more than its length.
        probes_allowed=math.floor(PROBE_BUDGET_PER_S * run.counted_s) + 1,
        most_probes=run.most_probes,
        run={k: v for k, v in run._asdict().items() if k != "rows"},
    )


def _summarise_rank(rows: Sequence[CallRow], user: User) -> RankSummary:
    times = sorted(row.elapsed * 1000 if row.answered else math.inf for row in rows)
    in_time = sum(
        1
        for row in rows
        if row.answered and row.elapsed * 1000 <= TIME_LIMITS[row.rank] * user.mean_ms
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


class Verdict(NamedTuple):
    """One target and what was measured; `met` is None without a measurement."""

    target: str
    measured: str
    met: bool | None

    def __str__(self) -> str:
        word = {True: "pass", False: "MISS", None: "not measured"}[self.met]
        return f"{word:12} {self.target}: {self.measured}"


def verdicts(runs: Runs) -> list[Verdict]:
    """Compare the policy `slices` with every target."""
    return [*_noisy_neighbour(runs), *_floods(runs), _probes(runs)]


def _noisy_neighbour(runs: Runs) -> list[Verdict]:
    slices = runs.get(("slices", "noisy-neighbour"))
    baseline = runs.get(("least_in_flight", "noisy-neighbour"))
    central = runs.get(("central", "noisy-neighbour"))
    name = "noisy neighbour at 0.8:"
    return [
        _ratio(
            f"{name} urgent p99 against least_in_flight",
            slices and slices.ranks["urgent"].p99_ms,
            baseline and baseline.ranks["urgent"].p99_ms,
            URGENT_P99_OF_BASELINE,
        ),
        _ratio(
            f"{name} urgent p99.9{_samples(slices)} against least_in_flight",
            slices and slices.ranks["urgent"].p999_ms,
            baseline and baseline.ranks["urgent"].p999_ms,
            URGENT_P999_OF_BASELINE,
        ),
        _ratio(
            f"{name} all ranks' p99 against least_in_flight",
            slices and slices.total.p99_ms,
            baseline and baseline.total.p99_ms,
            ALL_P99_OF_BASELINE,
        ),
        _ratio(
            f"{name} urgent p99 against central",
            slices and slices.ranks["urgent"].p99_ms,
            central and central.ranks["urgent"].p99_ms,
            URGENT_P99_OF_CENTRAL,
        ),
    ]


def _samples(summary: Summary | None) -> str:
    """Warn of a percentile that rests on a handful of calls."""
    sent = summary.ranks["urgent"].sent if summary else ENOUGH_FOR_P999
    return f" (of {sent} calls only)" if sent < ENOUGH_FOR_P999 else ""


def _ratio(
    target: str, value: float | None, reference: float | None, bound: float
) -> Verdict:
    target = f"{target} <= {bound}"
    if value is None or reference is None:
        return Verdict(target, "no run", None)
    if math.isinf(value):
        return Verdict(target, "endless", False)
    ratio = value / reference
    return Verdict(
        target, f"{value:.0f}/{reference:.0f} ms = {ratio:.2f}", ratio <= bound
    )


def _floods(runs: Runs) -> list[Verdict]:
    base = runs.get(("slices", "base"))
    bulk = runs.get(("slices", "flood-bulk"))
    urgent = runs.get(("slices", "flood-urgent"))
    target = f"flood of bulk: urgent in time >= {FLOOD_URGENT_IN_TIME}"
    in_time = Verdict(target, "no run", None)
    if bulk is not None:
        share = bulk.ranks["urgent"].in_time
        in_time = Verdict(target, f"{share:.4f}", share >= FLOOD_URGENT_IN_TIME)
    slower = _ratio(
        "flood of bulk: urgent p99 against the same load without flood",
        bulk and bulk.ranks["urgent"].p99_ms,
        base and base.ranks["urgent"].p99_ms,
        FLOOD_URGENT_P99_OF_BASE,
    )
    return [
        in_time,
        slower,
        *(_floor(urgent, rank) for rank in RANKS if rank != "urgent"),
    ]


def _floor(flood: Summary | None, rank: str) -> Verdict:
    """Compare a rank's share of all answered calls with its floor."""
    target = f"flood of urgent: {rank} keeps its floor of {FLOORS[rank]} of all served"
    if flood is None:
        return Verdict(target, "no run", None)
    summary = flood.ranks[rank]
    share = flood.shares[rank]
    # A rank that offers less than its floor cannot be served more than it offers.
    met = share >= FLOORS[rank] or summary.answered == summary.sent
    text = f"{share:.3f}, {summary.answered} of {summary.sent} sent"
    return Verdict(target, text, met)


def _probes(runs: Runs) -> Verdict:
    target = f"probes of any upstream <= {PROBE_BUDGET_PER_S}/s"
    worst = [s for (policy, _), s in runs.items() if policy == "slices"]
    if not worst:
        return Verdict(target, "no run", None)
    summary = max(worst, key=lambda s: s.most_probes - s.probes_allowed)
    text = f"{summary.most_probes} sent, {summary.probes_allowed} allowed"
    return Verdict(target, text, summary.most_probes <= summary.probes_allowed)
