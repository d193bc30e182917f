"""Find what took the time of a service that missed its objective."""

from enum import Enum
from typing import NamedTuple, Protocol

from dogwoodshed._internal.configuration.model import Configuration
from dogwoodshed._internal.reporting.merge import Day, Sums

# A part takes the time if it is more than half of it.
MAIN_SHARE = 0.5


class CauseKind(Enum):
    """Where the time of a service went."""

    QUEUE = "queue"
    DEPENDENCY = "dependency"
    OWN_UPSTREAMS = "own_upstreams"
    UNTOLD = "untold"


class Cause(NamedTuple):
    """What took the time, with the numbers that show it."""

    kind: CauseKind
    # Dependencies that missed in the same period, the one with most time first.
    dependencies: tuple[str, ...]
    # Milliseconds for each call of the service in the period.
    waiting_ms: float
    upstream_ms: float
    # Milliseconds of the first dependency for each call of the service.
    dependency_ms: float = 0.0


class _Range(Protocol):
    first: int
    until: int


def find_cause(
    day: Day, configuration: Configuration, service: str, rank: int, period: _Range
) -> Cause:
    """Compare a service with its dependencies over a period."""
    own = _sum(day, period, service, rank)
    waiting = own.waiting_ms / own.calls
    upstream = own.upstream_ms / own.calls
    if own.waiting_ms > MAIN_SHARE * (own.waiting_ms + own.upstream_ms):
        return Cause(CauseKind.QUEUE, (), waiting, upstream)
    known = {entry.name: entry for entry in configuration.services}
    depends_on = known[service].depends_on if service in known else ()
    if not depends_on:
        return Cause(CauseKind.OWN_UPSTREAMS, (), waiting, upstream)
    missed = {}
    for name in depends_on:
        sums = _sum(day, period, name)
        if sums.missed > _allowed(day, period, configuration, name):
            missed[name] = sums.waiting_ms + sums.upstream_ms
    if not missed:
        return Cause(CauseKind.UNTOLD, (), waiting, upstream)
    names = tuple(sorted(missed, key=lambda name: (-missed[name], name)))
    whole = _sum(day, period, service)
    return Cause(
        CauseKind.DEPENDENCY,
        names,
        waiting,
        upstream,
        missed[names[0]] / whole.calls,
    )


def _sum(day: Day, period: _Range, service: str, rank: int | None = None) -> Sums:
    total = Sums()
    for start, counts in day.bins.items():
        if period.first <= start < period.until:
            for key, sums in counts.items():
                if key[0] == service and rank in (None, key[2]):
                    total.add(sums)
    return total


def _allowed(
    day: Day, period: _Range, configuration: Configuration, service: str
) -> float:
    shares = {
        kind.name: 1 - kind.objective for kind in configuration.service(service).kinds
    }
    return sum(
        sums.calls * shares.get(key[1], 0.0)
        for start, counts in day.bins.items()
        if period.first <= start < period.until
        for key, sums in counts.items()
        if key[0] == service
    )
