"""Merge the summaries of all gateways so that each minute counts once."""

from collections.abc import Generator, Iterable
from typing import NamedTuple

from dogwoodshed._internal.exceptions import ProtocolError
from dogwoodshed._internal.reporting.summary import (
    CallStats,
    CallStatsKey,
    SummaryBlock,
    TrafficCounts,
    add_counts,
    decode_counts,
)

# The two windows besides the day over which burn rates are usually computed.
SHORT_WINDOW_MINUTES = 5
LONG_WINDOW_MINUTES = 60
# At most this many bins in the chart of the day: 15 minutes each for a whole day.
MAX_BINS = 96


class CallSums:
    """Sums over the calls of a window or of a bin of the day."""

    __slots__ = ("calls", "missed", "upstream_ms", "waiting_ms")

    def __init__(self) -> None:
        self.calls = 0.0
        self.missed = 0.0
        self.waiting_ms = 0.0
        self.upstream_ms = 0.0

    def add(self, stats: "CallStats | CallSums", share: float = 1.0) -> None:
        """Add a share of other counts."""
        self.calls += stats.calls * share
        self.missed += stats.missed * share
        self.waiting_ms += stats.waiting_ms * share
        self.upstream_ms += stats.upstream_ms * share


class ReportedIncarnation(NamedTuple):
    """The minutes and calls received from one incarnation of a gateway."""

    gateway: str
    incarnation: int
    minutes: frozenset[int]
    calls: int
    # The last minute before a planned stop, if there was one.
    stopped_at: int | None


class MergedDay(NamedTuple):
    """The merged counts of all gateways over a range of minutes."""

    since: int
    # The first minute that is not yet in the report.
    until: int
    counts: TrafficCounts
    # By length of the window in minutes.
    windows: dict[int, dict[CallStatsKey, CallSums]]
    bin_minutes: int
    # By first minute of the bin.
    bins: dict[int, dict[CallStatsKey, CallSums]]
    incarnations: tuple[ReportedIncarnation, ...]


def merge_day(
    blocks: Iterable[SummaryBlock], since: int, until: int
) -> Generator[None, None, MergedDay]:
    """Merge blocks in steps; their order and duplicates make no difference."""
    groups: dict[tuple[str, int], set[SummaryBlock]] = {}
    for block in blocks:
        if since <= block.start and block.covered[-1] < until:
            groups.setdefault(block[:2], set()).add(block)
    first = min((b.start for group in groups.values() for b in group), default=until)
    bin_minutes = max(1, -(-(until - first) // MAX_BINS))
    day = MergedDay(since, until, TrafficCounts.empty(), {}, bin_minutes, {}, ())
    for window in (SHORT_WINDOW_MINUTES, LONG_WINDOW_MINUTES):
        day.windows[window] = {}
    incarnations = []
    for key in sorted(groups):
        incarnation = yield from _add_incarnation(day, key, groups[key])
        if incarnation.minutes:
            incarnations.append(incarnation)
    return day._replace(incarnations=tuple(incarnations))


def _add_incarnation(
    day: MergedDay, key: tuple[str, int], blocks: set[SummaryBlock]
) -> Generator[None, None, ReportedIncarnation]:
    minutes: set[int] = set()
    calls = 0
    stopped_at = None
    # Blocks with most minutes come first: shorter ones that overlap them were merged
    # into them.
    for block in sorted(blocks, key=lambda b: (-b.minutes.bit_count(), b)):
        if not minutes.isdisjoint(block.covered):
            continue
        try:
            counts = yield from decode_counts(block.body)
        except ProtocolError:
            continue
        yield from add_counts(day.counts, counts)
        _add_to_windows(day, block, counts)
        minutes.update(block.covered)
        calls += sum(stats.calls for stats in counts.call_stats.values())
        if block.final:
            stopped_at = max(stopped_at or 0, block.covered[-1])
        yield
    return ReportedIncarnation(*key, frozenset(minutes), calls, stopped_at)


def _add_to_windows(day: MergedDay, block: SummaryBlock, counts: TrafficCounts) -> None:
    covered = block.covered
    targets = [
        (sums, 1.0)
        for window, sums in day.windows.items()
        if block.start >= day.until - window
    ]
    # A merged block does not separate its minutes: each gets an equal share.
    for minute in covered:
        start = minute // day.bin_minutes * day.bin_minutes
        targets.append((day.bins.setdefault(start, {}), 1 / len(covered)))
    for target, share in targets:
        for key, stats in counts.call_stats.items():
            target.setdefault(key, CallSums()).add(stats, share)
