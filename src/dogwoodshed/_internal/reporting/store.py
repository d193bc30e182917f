"""Keep the minute summaries of the day within a bound of bytes."""

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
# its histograms: 3 % off at most after an hour. With the resolution of a minute, a day
# of 280 services would take five times as much.
COARSE_SPANS = (10, 60)
COARSE_BITS = {10: 6, 60: 5}
# The report needs single minutes for its short windows only. Merging the others early
# keeps the page of 19 gateways at 4,000 blocks instead of 27,000.
FINE_MINUTES = 65
# What a block takes beyond its body: the tuple, its integers and the index entry.
BLOCK_OVERHEAD_BYTES = 600

BlockKey = tuple[str, int, int, int, int]


class SummaryStore:
    """Hold blocks of this gateway and of the peers that chose it as a holder."""

    def __init__(self, max_bytes: int, metrics: Metrics) -> None:
        self._max_bytes = max_bytes
        self._metrics = metrics
        self._blocks: dict[BlockKey, SummaryBlock] = {}
        self._bytes = 0
        self._newest = 0
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
        """Return the blocks whose key is higher, in order."""
        if self._sorted is None:
            self._sorted = sorted(self._blocks.values(), key=_key)
        return self._sorted[bisect.bisect_right(self._sorted, key, key=_key) :]

    def add(self, block: SummaryBlock) -> bool:
        """Keep a block unless what it covers is already here."""
        if any(_includes(other, block) for other in self._of_incarnation(block)):
            self._metrics.increment("report.duplicate_summaries")
            return False
        self._blocks[block.key] = block
        self._bytes += _size(block)
        self._sorted = None
        self._newest = max(self._newest, block.start + block.span - 1)
        return True

    def expire(self, now_minute: int) -> None:
        """Drop blocks that ended more than a day ago."""
        for block in list(self._blocks.values()):
            if block.start + block.span <= now_minute - DAY_MINUTES:
                self._remove(block)

    def compact(
        self, safe: Container[tuple[str, int]] = frozenset()
    ) -> Generator[None, None, None]:
        """Merge blocks older than an hour, in steps, and more until all fit the bound.

        Where merging is not enough, blocks of safe incarnations go first: their own
        gateways are live and have them too.
        """
        while group := self._oldest_group(COARSE_SPANS[:1], FINE_MINUTES):
            yield from self._merge_group(*group)
        while self.over_limit:
            if group := self._oldest_group(COARSE_SPANS, 0):
                yield from self._merge_group(*group)
            else:
                self._drop_oldest(safe)
                yield

    def _merge_group(
        self, span: int, blocks: list[SummaryBlock]
    ) -> Generator[None, None, None]:
        merged = yield from _merge(blocks, span)
        # Others may have been removed while the steps ran.
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
        self, spans: Iterable[int], fine_minutes: int
    ) -> tuple[int, list[SummaryBlock]] | None:
        until = self._newest - fine_minutes
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

    def _drop_oldest(self, safe: Container[tuple[str, int]]) -> None:
        oldest = min(
            self._blocks.values(),
            key=lambda block: (block[:2] not in safe, block.start),
        )
        self._remove(oldest)
        self._metrics.increment("report.minutes_dropped", len(oldest.covered))

    def _remove(self, block: SummaryBlock) -> None:
        if self._blocks.pop(block.key, None) is not None:
            self._bytes -= _size(block)
            self._sorted = None


def _key(block: SummaryBlock) -> BlockKey:
    return block.key


def _size(block: SummaryBlock) -> int:
    return len(block.body) + BLOCK_OVERHEAD_BYTES


def _includes(first: SummaryBlock, second: SummaryBlock) -> bool:
    if (
        first.start + first.span <= second.start
        or second.start + second.span <= first.start
    ):
        return False
    base = min(first.start, second.start)
    mask = second.minutes << second.start - base
    return mask & first.minutes << first.start - base == mask


def _disjoint(blocks: Iterable[SummaryBlock]) -> list[SummaryBlock]:
    chosen, taken = [], 0
    for block in sorted(blocks):
        base = block.start // COARSE_SPANS[-1] * COARSE_SPANS[-1]
        mask = block.minutes << block.start - base
        if not taken & mask:
            taken |= mask
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
            # An unreadable body covers nothing; its minutes show as a hole.
            continue
        yield from add_counts(counts, decoded)
        minutes |= block.minutes << block.start - start
    for stats in counts.call_stats.values():
        stats.coarsen(COARSE_BITS[span])
        yield
    body = yield from encode_counts(counts)
    final = any(block.final for block in blocks)
    return SummaryBlock(*blocks[0][:2], start, span, minutes, final, body)
