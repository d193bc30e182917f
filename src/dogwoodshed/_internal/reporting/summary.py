"""Count finished calls by minute and encode the counts compactly."""

import zlib
from collections import Counter
from collections.abc import Generator, Iterable, Mapping
from typing import NamedTuple

import msgpack
from hdrh.histogram import HdrHistogram

from dogwoodshed._internal.exceptions import ProtocolError
from dogwoodshed._internal.proxy.server import CallRecord

# Latencies are recorded in tenths of a millisecond, up to 1,000 seconds.
UNITS_PER_S = 10_000
MAX_UNITS = 10_000_000
SIGNIFICANT_DIGITS = 2
# 64 buckets between two powers of two: the middle of a bucket is at most 0.8 % off.
SUB_BUCKET_BITS = 7
# Buckets processed before a generator yields to the event loop.
BUCKETS_PER_STEP = 256
COMPRESSION_LEVEL = 6
# Minutes of the longest block; the bits of `minutes` fit a 64-bit msgpack integer.
MAX_SPAN_MINUTES = 60

# Service, kind of call and rank.
CallStatsKey = tuple[str, str, int]


class CallStats:
    """Counts and latency histogram of one kind of call in one rank.

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
            # HdrHistogram has buckets of half this width and reports their upper end,
            # which is the middle of this bucket.
            value = value >> shift << shift
        histogram = self.histogram
        histogram[value] = histogram.get(value, 0) + 1

    def add(self, other: "CallStats") -> None:
        """Add other counts to these."""
        for name in _COUNTS:
            setattr(self, name, getattr(self, name) + getattr(other, name))
        histogram = self.histogram
        for value, count in other.histogram.items():
            histogram[value] = histogram.get(value, 0) + count

    def coarsen(self, bits: int) -> None:
        """Reduce to `2 ** (bits - 1)` buckets between two powers of two."""
        coarse: dict[int, int] = {}
        for value, count in self.histogram.items():
            shift = value.bit_length() - bits
            if shift > 0:
                value = value >> shift << shift | 1 << shift - 1
            coarse[value] = coarse.get(value, 0) + count
        self.histogram = coarse

    def percentiles_ms(self, *percentiles: float) -> tuple[float, ...]:
        """Return the latencies at percentiles in milliseconds."""
        if not self.histogram:
            return (0.0,) * len(percentiles)
        merged = HdrHistogram(1, MAX_UNITS, SIGNIFICANT_DIGITS)
        for value, count in self.histogram.items():
            merged.record_value(value, count)
        values = merged.get_percentile_to_value_dict(percentiles)
        return tuple(values[percentile] / UNITS_PER_S * 1000 for percentile in values)


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
    """Calls and probes counted over one or more minutes."""

    call_stats: dict[CallStatsKey, CallStats]
    probes: Counter[str]

    @classmethod
    def empty(cls) -> "TrafficCounts":
        """Create counts without any calls or probes."""
        return cls({}, Counter())

    def stats_for(self, key: CallStatsKey) -> CallStats:
        """Return the counts of a key; creates them if they are missing."""
        stats = self.call_stats.get(key)
        if stats is None:
            stats = self.call_stats[key] = CallStats()
        return stats


class SummaryBlock(NamedTuple):
    """The encoded counts of one incarnation of a gateway over one or more minutes."""

    gateway: str
    incarnation: int
    # The first minute that the block may cover, and their number.
    start: int
    span: int
    # Bit i is set if minute `start + i` is covered.
    minutes: int
    # Whether the gateway stopped as planned after this block.
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
        """Return the block as sent to other gateways."""
        return msgpack.packb(tuple(self))

    @classmethod
    def from_bytes(cls, data: bytes) -> "SummaryBlock":
        """Decode a block but not its body; raises ProtocolError."""
        try:
            block = cls(*msgpack.unpackb(data, use_list=False)[: len(cls._fields)])
            valid = (
                0 < block.span <= MAX_SPAN_MINUTES
                and 0 < block.minutes < 1 << block.span
            )
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            raise ProtocolError(f"malformed summary: {error}") from error
        if not valid:
            raise ProtocolError("malformed summary: minutes out of range")
        return block


def run_to_completion(steps: Generator[None, None, object]) -> object:
    """Run a generator to its end without interruption and return its result."""
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value


def encode_counts(counts: TrafficCounts) -> Generator[None, None, bytes]:
    """Encode counts in steps, so that other tasks may run in between."""
    packer = msgpack.Packer()
    compressor = zlib.compressobj(COMPRESSION_LEVEL)
    parts = [compressor.compress(packer.pack(dict(counts.probes)))]
    parts.append(compressor.compress(packer.pack_array_header(len(counts.call_stats))))
    pending, buckets = [], 0
    for key, stats in sorted(counts.call_stats.items()):
        entry = (*key, *_encode_histogram(stats.histogram), *_counts_of(stats))
        pending.append(packer.pack(entry))
        buckets += len(stats.histogram)
        if buckets > BUCKETS_PER_STEP:
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
            service, kind, rank, differences, bucket_counts, *values = unpacker.unpack()
            stats = _restore_stats(values, differences, bucket_counts)
            counts.call_stats[service, kind, rank] = stats
            buckets += len(differences)
            if buckets > BUCKETS_PER_STEP:
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
        if buckets > BUCKETS_PER_STEP:
            buckets = 0
            yield


def _counts_of(stats: CallStats) -> Iterable[int]:
    return (round(getattr(stats, name)) for name in _COUNTS)


def _encode_histogram(histogram: Mapping[int, int]) -> tuple[list[int], list[int]]:
    """Return the differences between successive values, and the counts separately.

    Most counts are 1, so that a separate list of them compresses to almost nothing.
    """
    values = sorted(histogram)
    differences = [
        value - previous for value, previous in zip(values, [0, *values], strict=False)
    ]
    return differences, [histogram[value] for value in values]


def _restore_stats(
    values: list[int], differences: tuple[int, ...], bucket_counts: tuple[int, ...]
) -> CallStats:
    stats = CallStats()
    # Later releases may append values, earlier ones send fewer.
    for name, value in zip(_COUNTS, values, strict=False):
        setattr(stats, name, value)
    latency = 0
    for difference, count in zip(differences, bucket_counts, strict=True):
        latency += difference
        stats.histogram[latency] = count
    return stats
