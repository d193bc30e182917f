"""Determine which minutes of which gateways the report does not cover."""

from collections.abc import Iterable
from itertools import zip_longest
from typing import NamedTuple

from dogwoodshed._internal.mesh.messages import (
    Presence,
)
from dogwoodshed._internal.reporting.merge import MergedDay, ReportedIncarnation


class Hole(NamedTuple):
    """A range of minutes without a summary; both ends are included."""

    first: int
    last: int


class GatewayCoverage(NamedTuple):
    """Minutes of one gateway that should be and that are in the report."""

    gateway: str
    calls: int
    expected: int
    covered: int
    holes: tuple[Hole, ...]


class Coverage(NamedTuple):
    """Minutes of all gateways that should be and that are in the report."""

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
    day: MergedDay, listed: Iterable[str], presences: Iterable[Presence] = ()
) -> Coverage:
    """Compare the reported minutes with those in which gateways should have run.

    `listed` are the gateways of the member list; `presences` are the minutes in which
    peers were live, as observed by the gateways that replied.
    """
    listed = set(listed)
    first = min(
        (min(reported.minutes) for reported in day.incarnations), default=day.until
    )
    by_gateway: dict[str, list[ReportedIncarnation]] = {name: [] for name in listed}
    for reported in day.incarnations:
        by_gateway.setdefault(reported.gateway, []).append(reported)
    by_incarnation = {reported[:2]: reported for reported in day.incarnations}
    present: dict[str, set[int]] = {}
    for entry in presences:
        by_gateway.setdefault(entry.gateway, [])
        minutes = present.setdefault(entry.gateway, set())
        minutes.update(_present_minutes(day, entry, by_incarnation.get(entry[:2])))
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
    day: MergedDay,
    name: str,
    incarnations: list[ReportedIncarnation],
    *,
    listed: bool,
    present: set[int],
    first: int,
) -> GatewayCoverage:
    covered = set().union(*(reported.minutes for reported in incarnations))
    expected = set(present)
    if listed and not incarnations:
        # A listed gateway without any summary is missing for the whole day.
        expected.update(range(first, day.until))
    for reported, later in zip_longest(incarnations, incarnations[1:]):
        expected.update(
            range(min(reported.minutes), _expected_until(day, reported, later, listed))
        )
    expected = expected | covered
    return GatewayCoverage(
        name,
        sum(reported.calls for reported in incarnations),
        len(expected),
        len(covered),
        _to_holes(expected - covered),
    )


def _present_minutes(
    day: MergedDay, entry: Presence, reported: ReportedIncarnation | None
) -> range:
    first, last = entry.first, entry.last
    if reported is None:
        # It may have served calls until the end of the minute in which it left.
        last += 1
    else:
        # Clocks differ: the first observed minute may precede the gateway's own first.
        first += 1
        if reported.stopped_at is not None:
            last = min(last, reported.stopped_at)
    return range(max(day.since, first), min(day.until, last + 1))


def _expected_until(
    day: MergedDay,
    reported: ReportedIncarnation,
    later: ReportedIncarnation | None,
    listed: bool,
) -> int:
    if reported.stopped_at is not None:
        return reported.stopped_at + 1
    if later is not None:
        return min(later.minutes)
    if listed:
        return day.until
    # A gateway that disappeared and is no longer listed lost its open minute.
    return min(day.until, max(reported.minutes) + 2)


def _to_holes(minutes: set[int]) -> tuple[Hole, ...]:
    holes: list[Hole] = []
    for minute in sorted(minutes):
        if holes and holes[-1].last == minute - 1:
            holes[-1] = Hole(holes[-1].first, minute)
        else:
            holes.append(Hole(minute, minute))
    return tuple(holes)
