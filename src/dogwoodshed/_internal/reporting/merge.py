"""Merge summaries of all gateways so that each minute counts once."""

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

# Minutes of the two short windows beside the day, as usual for burn rates.
SHORT_WINDOW = 5
LONG_WINDOW = 60
# Bins of the day's chart: a quarter of an hour each for a whole day.
MAX_BINS = 96


class Sums:
    """The sums of calls over a window or a bin of the day."""

    __slots__ = ("calls", "missed", "upstream_ms", "waiting_ms")

    def __init__(self) -> None:
        self.calls = 0.0
        self.missed = 0.0
        self.waiting_ms = 0.0
        self.upstream_ms = 0.0

    def add(self, stats: "CallStats | Sums", share: float = 1.0) -> None:
        """Add a share of a stats."""
        self.calls += stats.calls * share
        self.missed += stats.missed * share
        self.waiting_ms += stats.waiting_ms * share
        self.upstream_ms += stats.upstream_ms * share


class SeenIncarnation(NamedTuple):
    """What was received of one incarnation of a gateway."""

    gateway: str
    incarnation: int
    minutes: frozenset[int]
    calls: int
    # The last minute of a planned stop, if there was one.
    stopped_at: int | None


class Day(NamedTuple):
    """The merged counts of all gateways over a range of minutes."""

    since: int
    # The first minute that is not in the report yet.
    until: int
    counts: TrafficCounts
    windows: dict[int, dict[CallStatsKey, Sums]]
    bin_minutes: int
    bins: dict[int, dict[CallStatsKey, Sums]]
    seen: tuple[SeenIncarnation, ...]


def merge_day(
    blocks: Iterable[SummaryBlock], since: int, until: int
) -> Generator[None, None, Day]:
    """Merge blocks in steps; the order and repeats of blocks make no difference."""
    groups: dict[tuple[str, int], set[SummaryBlock]] = {}
    for block in blocks:
        if since <= block.start and block.covered[-1] < until:
            groups.setdefault(block[:2], set()).add(block)
    first = min((b.start for group in groups.values() for b in group), default=until)
    bin_minutes = max(1, -(-(until - first) // MAX_BINS))
    day = Day(since, until, TrafficCounts.empty(), {}, bin_minutes, {}, ())
    for window in (SHORT_WINDOW, LONG_WINDOW):
        day.windows[window] = {}
    seen = []
    for key in sorted(groups):
        incarnation = yield from _add_incarnation(day, key, groups[key])
        if incarnation.minutes:
            seen.append(incarnation)
    return day._replace(seen=tuple(seen))


def _add_incarnation(
    day: Day, key: tuple[str, int], blocks: set[SummaryBlock]
) -> Generator[None, None, SeenIncarnation]:
    minutes: set[int] = set()
    calls = 0
    stopped_at = None
    # Blocks with most minutes come first: what overlaps them was merged into them.
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
    return SeenIncarnation(*key, frozenset(minutes), calls, stopped_at)


def _add_to_windows(day: Day, block: SummaryBlock, counts: TrafficCounts) -> None:
    covered = block.covered
    targets = [
        (sums, 1.0)
        for window, sums in day.windows.items()
        if block.start >= day.until - window
    ]
    # A coarse block no longer tells its minutes apart: each gets an equal share.
    for minute in covered:
        start = minute // day.bin_minutes * day.bin_minutes
        targets.append((day.bins.setdefault(start, {}), 1 / len(covered)))
    for target, share in targets:
        for key, stats in counts.call_stats.items():
            target.setdefault(key, Sums()).add(stats, share)
