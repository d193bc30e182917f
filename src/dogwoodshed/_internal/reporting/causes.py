"""Find the likely cause when a service misses its objective."""

from enum import Enum
from typing import NamedTuple, Protocol

from dogwoodshed._internal.configuration.model import Configuration
from dogwoodshed._internal.reporting.merge import CallSums, MergedDay

# The queue is the cause if calls spend more than this share of their time in it.
DOMINANT_SHARE = 0.5


class CauseKind(Enum):
    """Where calls of a service spent most of their time."""

    QUEUE = "queue"
    DEPENDENCY = "dependency"
    OWN_UPSTREAMS = "own_upstreams"
    UNDETERMINED = "untold"


class Cause(NamedTuple):
    """The likely cause of a miss, with the figures that support it."""

    kind: CauseKind
    # Dependencies that missed their objective in the same period, by falling total
    # time of their calls.
    dependencies: tuple[str, ...]
    # Mean milliseconds per call of the service and rank in the period.
    waiting_ms: float
    upstream_ms: float
    # Time spent in the first dependency, divided by the calls of the service in all
    # ranks.
    dependency_ms: float = 0.0


class _MinuteRange(Protocol):
    first: int
    until: int


def find_cause(
    day: MergedDay,
    configuration: Configuration,
    service: str,
    rank: int,
    period: _MinuteRange,
) -> Cause:
    """Compare the times of a service and of its dependencies over a period."""
    own = _sum_calls(day, period, service, rank)
    waiting = own.waiting_ms / own.calls
    upstream = own.upstream_ms / own.calls
    if own.waiting_ms > DOMINANT_SHARE * (own.waiting_ms + own.upstream_ms):
        return Cause(CauseKind.QUEUE, (), waiting, upstream)
    services = {entry.name: entry for entry in configuration.services}
    depends_on = services[service].depends_on if service in services else ()
    if not depends_on:
        return Cause(CauseKind.OWN_UPSTREAMS, (), waiting, upstream)
    total_ms = {}
    for name in depends_on:
        sums = _sum_calls(day, period, name)
        if sums.missed > _allowed_misses(day, period, configuration, name):
            total_ms[name] = sums.waiting_ms + sums.upstream_ms
    if not total_ms:
        return Cause(CauseKind.UNDETERMINED, (), waiting, upstream)
    names = tuple(sorted(total_ms, key=lambda name: (-total_ms[name], name)))
    all_ranks = _sum_calls(day, period, service)
    return Cause(
        CauseKind.DEPENDENCY,
        names,
        waiting,
        upstream,
        total_ms[names[0]] / all_ranks.calls,
    )


def _sum_calls(
    day: MergedDay, period: _MinuteRange, service: str, rank: int | None = None
) -> CallSums:
    total = CallSums()
    for start, counts in day.bins.items():
        if period.first <= start < period.until:
            for key, sums in counts.items():
                if key[0] == service and rank in (None, key[2]):
                    total.add(sums)
    return total


def _allowed_misses(
    day: MergedDay, period: _MinuteRange, configuration: Configuration, service: str
) -> float:
    allowances = {
        kind.name: 1 - kind.objective for kind in configuration.service(service).kinds
    }
    return sum(
        sums.calls * allowances.get(key[1], 0.0)
        for start, counts in day.bins.items()
        if period.first <= start < period.until
        for key, sums in counts.items()
        if key[0] == service
    )
