"""Tell which minutes of which gateways the report does not cover."""

from collections.abc import Iterable
from itertools import zip_longest
from typing import NamedTuple

from dogwoodshed._internal.mesh.messages import Presence
from dogwoodshed._internal.reporting.merge import Day, SeenIncarnation


class Hole(NamedTuple):
    """A range of minutes, both ends included, without a summary."""

    first: int
    last: int


class GatewayCoverage(NamedTuple):
    """How much of one gateway's day is covered."""

    gateway: str
    calls: int
    expected: int
    covered: int
    holes: tuple[Hole, ...]


class Coverage(NamedTuple):
    """How much of the day is covered."""

    gateways: tuple[GatewayCoverage, ...]

    @property
    def expected(self) -> int:
        return sum(gateway.expected for gateway in self.gateways)

    @property
    def covered(self) -> int:
        return sum(gateway.covered for gateway in self.gateways)

    @property
    def share(self) -> float | None:
        return self.covered / self.expected if self.expected else None

    @property
    def complete(self) -> bool:
        return self.covered == self.expected


def measure_coverage(
    day: Day, listed: Iterable[str], presences: Iterable[Presence] = ()
) -> Coverage:
    """Compare the minutes of a day with those in which gateways should have run."""
    listed = set(listed)
    first = min((min(seen.minutes) for seen in day.seen), default=day.until)
    by_gateway: dict[str, list[SeenIncarnation]] = {name: [] for name in listed}
    for seen in day.seen:
        by_gateway.setdefault(seen.gateway, []).append(seen)
    incarnations = {seen[:2]: seen for seen in day.seen}
    present: dict[str, set[int]] = {}
    for entry in presences:
        by_gateway.setdefault(entry.gateway, [])
        minutes = present.setdefault(entry.gateway, set())
        minutes.update(_present_minutes(day, entry, incarnations.get(entry[:2])))
    return Coverage(
        tuple(
            _gateway_coverage(
                day,
                name,
                incarnations,
                listed=name in listed,
                present=present.get(name, set()),
                first=first,
            )
            for name, incarnations in sorted(by_gateway.items())
        )
    )


def _gateway_coverage(
    day: Day,
    name: str,
    incarnations: list[SeenIncarnation],
    *,
    listed: bool,
    present: set[int],
    first: int,
) -> GatewayCoverage:
    covered = set().union(*(seen.minutes for seen in incarnations))
    expected = set(present)
    if listed and not incarnations:
        # A listed gateway that never reported is a hole as long as the day is.
        expected.update(range(first, day.until))
    for seen, later in zip_longest(incarnations, incarnations[1:]):
        expected.update(range(min(seen.minutes), _end(day, seen, later, listed)))
    expected = expected | covered
    return GatewayCoverage(
        name,
        sum(seen.calls for seen in incarnations),
        len(expected),
        len(covered),
        _ranges(expected - covered),
    )


def _present_minutes(day: Day, entry: Presence, seen: SeenIncarnation | None) -> range:
    first, last = entry.first, entry.last
    if seen is None:
        # It may have served callers up to the end of the minute that it left in.
        last += 1
    else:
        # Clocks differ: the first minute may be the one before the peer's own first.
        first += 1
        if seen.stopped_at is not None:
            last = min(last, seen.stopped_at)
    return range(max(day.since, first), min(day.until, last + 1))


def _end(
    day: Day, seen: SeenIncarnation, later: SeenIncarnation | None, listed: bool
) -> int:
    if seen.stopped_at is not None:
        return seen.stopped_at + 1
    if later is not None:
        return min(later.minutes)
    if listed:
        return day.until
    # A gateway that vanished and is listed no more took its open minute along.
    return min(day.until, max(seen.minutes) + 2)


def _ranges(minutes: set[int]) -> tuple[Hole, ...]:
    holes: list[Hole] = []
    for minute in sorted(minutes):
        if holes and holes[-1].last == minute - 1:
            holes[-1] = Hole(holes[-1].first, minute)
        else:
            holes.append(Hole(minute, minute))
    return tuple(holes)
