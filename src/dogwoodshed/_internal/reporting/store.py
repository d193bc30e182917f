"""Store the minute summaries of the day within a limit of bytes."""

import bisect
from collections.abc import Container, Generator, Iterable, Iterator

from dogwoodshed._internal.exceptions import ProtocolError
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.reporting.summary import (
    SummaryBlock,
    TrafficCounts,
    add_counts,
    decode_counts,
    encode_counts,
)

DAY_MINUTES = 1440
# Minutes in a block once older summaries are merged, and the bits of the buckets of
# its histograms: latencies are at most 3 % off in a block of an hour. With the
# resolution of a minute, a day of 280 services would take five times as much.
MERGED_SPANS_MINUTES = (10, 60)
MERGED_BUCKET_BITS = {10: 6, 60: 5}
# The report needs single minutes only for its short windows. Merging the others early
# keeps the report of 19 gateways at 4,000 blocks instead of 27,000.
UNMERGED_MINUTES = 65
# Memory of a block beyond its body: the tuple, its integers and the index entry.
BLOCK_OVERHEAD_BYTES = 600

BlockKey = tuple[str, int, int, int, int]


class SummaryStore:
    """Store the blocks of this gateway and of the peers that chose it as a holder."""

    def __init__(self, max_bytes: int, metrics: Metrics) -> None:
        self._max_bytes = max_bytes
        self._metrics = metrics
        self._blocks: dict[BlockKey, SummaryBlock] = {}
        self._bytes = 0
        self._newest_minute = 0
        self._sorted: list[SummaryBlock] | None = None

    @property
    def stored_bytes(self) -> int:
        return self._bytes

    @property
    def over_limit(self) -> bool:
        return self._bytes > self._max_bytes

    def __len__(self) -> int:
        return len(self._blocks)

    def __iter__(self) -> Iterator[SummaryBlock]:
        return iter(self.blocks_after(()))

    def blocks_after(self, key: tuple) -> list[SummaryBlock]:
        """Return the blocks with a higher key, in order of keys."""
        if self._sorted is None:
            self._sorted = sorted(self._blocks.values(), key=_block_key)
        return self._sorted[bisect.bisect_right(self._sorted, key, key=_block_key) :]

    def add(self, block: SummaryBlock) -> bool:
        """Store a block unless its minutes are already stored."""
        if any(_covers_all(other, block) for other in self._of_incarnation(block)):
            self._metrics.increment("report.duplicate_summaries")
            return False
        self._blocks[block.key] = block
        self._bytes += _size(block)
        self._sorted = None
        self._newest_minute = max(self._newest_minute, block.start + block.span - 1)
        return True

    def expire(self, now_minute: int) -> None:
        """Drop blocks that ended more than a day ago."""
        for block in list(self._blocks.values()):
            if block.start + block.span <= now_minute - DAY_MINUTES:
                self._remove(block)

    def compact(
        self, live_incarnations: Container[tuple[str, int]] = frozenset()
    ) -> Generator[None, None, None]:
        """Merge blocks older than an hour, in steps, and more until all fit the limit.

        If merging is not enough, blocks are dropped. Those of `live_incarnations`
        (gateway and incarnation) are dropped first, since their own gateways store
        them too.
        """
        while group := self._oldest_group(MERGED_SPANS_MINUTES[:1], UNMERGED_MINUTES):
            yield from self._merge_group(*group)
        while self.over_limit:
            if group := self._oldest_group(MERGED_SPANS_MINUTES, 0):
                yield from self._merge_group(*group)
            else:
                self._drop_oldest(live_incarnations)
                yield

    def _merge_group(
        self, span: int, blocks: list[SummaryBlock]
    ) -> Generator[None, None, None]:
        merged = yield from _merge(blocks, span)
        # Some may have been removed by other tasks between the steps.
        if all(block.key in self._blocks for block in blocks):
            for block in blocks:
                self._remove(block)
            if merged.minutes:
                self.add(merged)
            self._metrics.increment("report.blocks_merged", len(blocks))

    def _of_incarnation(self, block: SummaryBlock) -> list[SummaryBlock]:
        return [
            other
            for other in self._blocks.values()
            if other.gateway == block.gateway and other.incarnation == block.incarnation
        ]

    def _oldest_group(
        self, spans: Iterable[int], unmerged_minutes: int
    ) -> tuple[int, list[SummaryBlock]] | None:
        until = self._newest_minute - unmerged_minutes
        for span in spans:
            groups: dict[tuple[int, str, int], list[SummaryBlock]] = {}
            for block in self._blocks.values():
                start = block.start // span * span
                if block.span < span and start + span < until:
                    key = (start, block.gateway, block.incarnation)
                    groups.setdefault(key, []).append(block)
            for key in sorted(groups):
                disjoint = _disjoint(groups[key])
                if len(disjoint) > 1:
                    return span, disjoint
        return None

    def _drop_oldest(self, live_incarnations: Container[tuple[str, int]]) -> None:
        oldest = min(
            self._blocks.values(),
            key=lambda block: (block[:2] not in live_incarnations, block.start),
        )
        self._remove(oldest)
        self._metrics.increment("report.minutes_dropped", len(oldest.covered))

    def _remove(self, block: SummaryBlock) -> None:
        if self._blocks.pop(block.key, None) is not None:
            self._bytes -= _size(block)
            self._sorted = None


def _block_key(block: SummaryBlock) -> BlockKey:
    return block.key


def _size(block: SummaryBlock) -> int:
    return len(block.body) + BLOCK_OVERHEAD_BYTES


def _covers_all(outer: SummaryBlock, inner: SummaryBlock) -> bool:
    if (
        outer.start + outer.span <= inner.start
        or inner.start + inner.span <= outer.start
    ):
        return False
    base = min(outer.start, inner.start)
    mask = inner.minutes << inner.start - base
    return mask & outer.minutes << outer.start - base == mask


def _disjoint(blocks: Iterable[SummaryBlock]) -> list[SummaryBlock]:
    chosen, covered_minutes = [], 0
    for block in sorted(blocks):
        base = block.start // MERGED_SPANS_MINUTES[-1] * MERGED_SPANS_MINUTES[-1]
        mask = block.minutes << block.start - base
        if not covered_minutes & mask:
            covered_minutes |= mask
            chosen.append(block)
    return chosen


def _merge(
    blocks: list[SummaryBlock], span: int
) -> Generator[None, None, SummaryBlock]:
    counts = TrafficCounts.empty()
    start = blocks[0].start // span * span
    minutes = 0
    for block in blocks:
        try:
            decoded = yield from decode_counts(block.body)
        except ProtocolError:
            # The minutes of a malformed body count as not covered.
            continue
        yield from add_counts(counts, decoded)
        minutes |= block.minutes << block.start - start
    for stats in counts.call_stats.values():
        stats.coarsen(MERGED_BUCKET_BITS[span])
        yield
    body = yield from encode_counts(counts)
    final = any(block.final for block in blocks)
    return SummaryBlock(*blocks[0][:2], start, span, minutes, final, body)
