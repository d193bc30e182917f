"""Count finished calls by minute and code the counts compactly."""

import zlib
from collections import Counter
from collections.abc import Generator, Iterable, Mapping
from typing import NamedTuple

import msgpack
from hdrh.histogram import HdrHistogram

from dogwoodshed._internal.exceptions import ProtocolError
from dogwoodshed._internal.proxy.server import CallRecord

# Latencies are kept in tenths of a millisecond, up to 1,000 seconds.
UNITS_PER_S = 10_000
MAX_UNITS = 10_000_000
SIGNIFICANT_DIGITS = 2
# 64 buckets between two powers of two: the middle of a bucket is at most 0.8 % off.
SUB_BUCKET_BITS = 7
# Buckets handled between two returns to the event loop.
STEP_BUCKETS = 256
COMPRESSION_LEVEL = 6
# The span of the coarsest block; its minutes fit the 64 bits of a msgpack integer.
MAX_SPAN = 60

CallStatsKey = tuple[str, str, int]


class CallStats:
    """The counts of one kind of call in one rank.

    The histogram is sparse: most of the 2,300 buckets of a dense one stay empty in a
    minute, and 840 dense ones would take 15 MB.
    """

    __slots__ = (
        "calls",
        "doubles_prevented",
        "hedges",
        "histogram",
        "in_time",
        "not_run",
        "retries",
        "unknown",
        "upstream_ms",
        "waiting_ms",
    )

    def __init__(self) -> None:
        self.calls = 0
        self.in_time = 0
        self.not_run = 0
        self.unknown = 0
        self.doubles_prevented = 0
        self.retries = 0
        self.hedges = 0
        self.waiting_ms = 0.0
        self.upstream_ms = 0.0
        self.histogram: dict[int, int] = {}

    @property
    def missed(self) -> int:
        return self.calls - self.in_time

    def add_call(self, record: CallRecord) -> None:
        """Count one finished call."""
        self.calls += 1
        if record.in_time:
            self.in_time += 1
        if record.ran == "no":
            self.not_run += 1
        elif record.ran == "unknown":
            self.unknown += 1
        self.doubles_prevented += record.duplicate_prevented
        self.retries += record.retries
        self.hedges += record.hedges
        self.waiting_ms += record.queue_time * 1000
        self.upstream_ms += record.upstream_time * 1000
        value = min(MAX_UNITS, int(record.elapsed * UNITS_PER_S))
        shift = value.bit_length() - SUB_BUCKET_BITS
        if shift > 0:
            # The library reads a bucket of twice this resolution at its upper end,
            # which is the middle of this one.
            value = value >> shift << shift
        histogram = self.histogram
        histogram[value] = histogram.get(value, 0) + 1

    def add(self, other: "CallStats") -> None:
        """Add the counts of another stats."""
        for name in _COUNTS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        histogram = self.histogram
        for value, count in other.histogram.items():
            histogram[value] = histogram.get(value, 0) + count

    def coarsen(self, bits: int) -> None:
        """Keep only `2 ** (bits - 1)` buckets between two powers of two."""
        coarse: dict[int, int] = {}
        for value, count in self.histogram.items():
            shift = value.bit_length() - bits
            if shift > 0:
                value = value >> shift << shift | 1 << shift - 1
            coarse[value] = coarse.get(value, 0) + count
        self.histogram = coarse

    def percentiles_ms(self, *percentiles: float) -> tuple[float, ...]:
        """Return latencies at percentiles in milliseconds."""
        if not self.histogram:
            return (0.0,) * len(percentiles)
        merged = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
        for value, count in self.histogram.items():
            merged.record_value(value, count)
        found = merged.get_percentile_to_value_dict(percentiles)
        return tuple(found[percentile] / UNITS_PER_S * 1000 for percentile in found)


_COUNTS = (
    "calls",
    "in_time",
    "not_run",
    "unknown",
    "doubles_prevented",
    "retries",
    "hedges",
    "waiting_ms",
    "upstream_ms",
)


class TrafficCounts(NamedTuple):
    """What a gateway counted over some minutes."""

    call_stats: dict[CallStatsKey, CallStats]
    probes: Counter[str]

    @classmethod
    def empty(cls) -> "TrafficCounts":
        """Create counts of nothing."""
        return cls({}, Counter())

    def stats_for(self, key: CallStatsKey) -> CallStats:
        """Return the stats of a key, a new one if it is missing."""
        stats = self.call_stats.get(key)
        if stats is None:
            stats = self.call_stats[key] = CallStats()
        return stats


class SummaryBlock(NamedTuple):
    """The encoded counts of one incarnation of a gateway over one or more minutes."""

    gateway: str
    incarnation: int
    # First minute that the block may cover, and how many.
    start: int
    span: int
    # Bit i is set if minute `start + i` is covered.
    minutes: int
    # The gateway stopped as planned after this block.
    final: bool
    body: bytes

    @property
    def key(self) -> tuple[str, int, int, int, int]:
        return self.gateway, self.incarnation, self.start, self.span, self.minutes

    @property
    def covered(self) -> tuple[int, ...]:
        return tuple(
            self.start + index
            for index in range(self.span)
            if self.minutes >> index & 1
        )

    def encode(self) -> bytes:
        """Return the bytes that travel between gateways."""
        return msgpack.packb(tuple(self))

    @classmethod
    def from_bytes(cls, data: bytes) -> "SummaryBlock":
        """Decode a block without its body; raises ProtocolError."""
        try:
            block = cls(*msgpack.unpackb(data, use_list=False)[: len(cls._fields)])
            sound = 0 < block.span <= MAX_SPAN and 0 < block.minutes < 1 << block.span
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise ProtocolError(f"malformed summary: {error}") from error
        if not sound:
            raise ProtocolError("malformed summary: minutes out of range")
        return block


def run_to_completion(steps: Generator[None, None, object]) -> object:
    """Run a stepwise computation at once and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def encode_counts(counts: TrafficCounts) -> Generator[None, None, bytes]:
    """Encode counts in steps, between which the caller may yield to other tasks."""
    packer = msgpack.Packer()
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    parts = [compressor.compress(packer.pack(dict(counts.probes)))]
    parts.append(compressor.compress(packer.pack_array_header(len(counts.call_stats))))
    pending, buckets = [], 0
    for key, stats in sorted(counts.call_stats.items()):
        entry = (*key, *_flatten(stats.histogram), *_counts_of(stats))
        pending.append(packer.pack(entry))
        buckets += len(stats.histogram)
        if buckets > STEP_BUCKETS:
            parts.append(compressor.compress(b"".join(pending)))
            pending, buckets = [], 0
            yield
    parts += (compressor.compress(b"".join(pending)), compressor.flush())
    return b"".join(parts)


def decode_counts(body: bytes) -> Generator[None, None, TrafficCounts]:
    """Decode counts in steps; raises ProtocolError."""
    counts = TrafficCounts.empty()
    try:
        unpacker = msgpack.Unpacker(use_list=False)
        unpacker.feed(zlib.decompress(body))
        counts.probes.update(unpacker.unpack())
        buckets = 0
        for _ in range(unpacker.read_array_header()):
            service, kind, rank, steps, numbers, *values = unpacker.unpack()
            stats = _restore_stats(values, steps, numbers)
            counts.call_stats[service, kind, rank] = stats
            buckets += len(steps)
            if buckets > STEP_BUCKETS:
                buckets = 0
                yield
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as error:
        raise ProtocolError(f"malformed summary body: {error}") from error
    return counts


def add_counts(
    total: TrafficCounts, counts: TrafficCounts
) -> Generator[None, None, None]:
    """Add counts to a total in steps."""
    total.probes.update(counts.probes)
    buckets = 0
    for key, stats in counts.call_stats.items():
        total.stats_for(key).add(stats)
        buckets += len(stats.histogram)
        if buckets > STEP_BUCKETS:
            buckets = 0
            yield


def _counts_of(stats: CallStats) -> Iterable[int]:
    return (round(getattr(stats, name)) for name in _COUNTS)


def _flatten(histogram: Mapping[int, int]) -> tuple[list[int], list[int]]:
    """Return the steps between values, and their counts apart.

    Most counts are 1, so that a list of them alone compresses to almost nothing.
    """
    values = sorted(histogram)
    steps = [
        value - previous for value, previous in zip(values, [0, *values], strict=False)
    ]
    return steps, [histogram[value] for value in values]


def _restore_stats(
    values: list[int], steps: tuple[int, ...], numbers: tuple[int, ...]
) -> CallStats:
    stats = CallStats()
    # A later release may append values; an earlier one has fewer.
    for name, value in zip(_COUNTS, values, strict=False):
        setattr(stats, name, value)
    latency = 0
    for step, count in zip(steps, numbers, strict=True):
        latency += step
        stats.histogram[latency] = count
    return stats
