"""Estimate how long a call would take on each upstream."""

import itertools
import random
from collections.abc import Iterable
from typing import NamedTuple

# Slowness reports lose half of their meaning within this time; shared machines change
# their load several times a second.
SLOWNESS_HALF_LIFE_S = 0.25
# What an upstream without news is expected to be, until reports say what is usual.
USUAL_SLOWNESS = 1.5
USUAL_WEIGHT = 0.01
# No machine is taken for faster than this, whatever it reports.
LEAST_SLOWNESS = 0.2
# An upstream that has just started takes about twice as long.
COLD_FACTOR = 1.6
# A call to another data centre costs transit and its bytes; in usual service times.
REMOTE_SERVICE_TIMES = 0.35
# A new connection takes time at the upstream, may hold a slot there and counts against
# its bound on connections; in usual service times.
NEW_CONNECTION_SERVICE_TIMES = 0.2
# An absent entry means a crash or a departure more often than a lapse.
ABSENT_SERVICE_TIMES = 1.0
# A slot that frees may go to a call of another gateway first, so that waiting for one
# beats only an upstream that is slower by more than this; in service times.
FULL_SERVICE_TIMES = 1.0
# A fully used upstream slows its calls down; in shares of the service time.
CROWDING = 0.25
# A failed call costs its caller everything; in usual service times.
FAILURE_SERVICE_TIMES = 8.0
ERROR_WEIGHT = 0.15
ERROR_HALF_LIFE_S = 2.0
WORK_WEIGHT = 0.04
# Before any sample, work takes this share of the time in which an answer is worth most.
FIRST_WORK_SHARE = 0.35
# Only calls on machines that were not slow tell how long the work itself takes.
CLEAN_SLOWNESS = 1.25
LARGEST_SAMPLE = 3.0
# Gateways with the same view must not all choose the same upstream.
JITTER = 0.12


class WorkEstimate:
    """Follow how long the work of one kind takes on an unburdened upstream."""

    __slots__ = ("_mean",)

    def __init__(self, first: float) -> None:
        self._mean = first

    @property
    def mean(self) -> float:
        return self._mean

    def observe(self, elapsed: float) -> None:
        """Learn from a finished call on an upstream that was neither slow nor full."""
        sample = min(elapsed, LARGEST_SAMPLE * self._mean)
        self._mean += WORK_WEIGHT * (sample - self._mean)


class Pace:
    """Follow how slow an upstream is and how often it fails."""

    __slots__ = ("_error_at", "_error_rate", "_slowness", "_slowness_at")

    def __init__(self) -> None:
        self._slowness: float | None = None
        self._slowness_at = float("-inf")
        self._error_rate = 0.0
        self._error_at = 0.0

    @property
    def reported_at(self) -> float:
        return self._slowness_at

    def note_slowness(self, slowness: float, now: float) -> None:
        """Take over a report, 1 being as usual."""
        self._slowness = slowness
        self._slowness_at = now

    def note_result(self, failed: bool, now: float) -> None:
        """Count an attempt."""
        rate = self.error_rate(now)
        self._error_rate = rate + ERROR_WEIGHT * (failed - rate)
        self._error_at = now

    def slowness(self, usual: float, now: float) -> float:
        """Return the expected slowness, which fades into the usual one."""
        if self._slowness is None:
            return usual
        age = now - self._slowness_at
        return usual + (self._slowness - usual) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)

    def speed(self, usual_speed: float, now: float) -> float:
        """Return the expected work done in a time, 1 being as usual."""
        if self._slowness is None:
            return usual_speed
        age = now - self._slowness_at
        known = 1 / max(LEAST_SLOWNESS, self._slowness)
        return usual_speed + (known - usual_speed) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)

    def error_rate(self, now: float) -> float:
        """Return the share of failures, which fades without attempts."""
        age = max(0.0, now - self._error_at)
        return self._error_rate * 0.5 ** (age / ERROR_HALF_LIFE_S)


class UsualSlowness:
    """Follow the slowness over all upstreams of a service."""

    __slots__ = ("_mean", "_speed")

    def __init__(self) -> None:
        self._mean = USUAL_SLOWNESS
        self._speed = 1 / USUAL_SLOWNESS

    @property
    def mean(self) -> float:
        return self._mean

    @property
    def speed(self) -> float:
        """The mean of the inverse, which tells how much work gets done."""
        return self._speed

    def observe(self, slowness: float) -> None:
        """Learn from one report."""
        self._mean += USUAL_WEIGHT * (slowness - self._mean)
        speed = 1 / max(LEAST_SLOWNESS, slowness)
        self._speed += USUAL_WEIGHT * (speed - self._speed)


class Candidate(NamedTuple):
    """What placement knows of one upstream."""

    id: str
    slots: int
    # Calls of all gateways that it is at work on, as far as they are known.
    in_flight: int
    slowness: float
    error_rate: float
    remote: bool
    absent: bool
    cold: bool
    # Seconds since the last report of its slowness.
    age: float = 0.0
    # Whether a call finds an open connection.
    connected: bool = True


class Placement(NamedTuple):
    """The upstream for a call, and whether it has a free slot."""

    id: str
    free: bool
    # Seconds until the answer, waiting for a slot included.
    expected: float
    # What the choice was made on, for the log.
    slowness: float
    in_flight: int
    age: float
    # Free slots of all upstreams, as far as they are known.
    spare: int = 0


class _Priced(NamedTuple):
    """A candidate with its cost and the slots that it has free."""

    cost: float
    expected: float
    free: int
    candidate: Candidate


def expected_time(candidate: Candidate, work: float) -> float:
    """Return the seconds until an answer, waiting included."""
    slowness = candidate.slowness * (COLD_FACTOR if candidate.cold else 1.0)
    fill = min(1.0, (candidate.in_flight + 1) / candidate.slots)
    service = work * slowness * (1 + CROWDING * fill)
    queued = candidate.in_flight - candidate.slots + 1
    if queued <= 0:
        return service
    wait = FULL_SERVICE_TIMES + queued / candidate.slots
    return service + wait * work * slowness


def place(
    candidates: Iterable[Candidate],
    work: float,
    generator: random.Random,
    rivals: int = 0,
) -> Placement | None:
    """Choose the upstream with the lowest cost for a call, or one of the lowest.

    `rivals` is how many calls of other gateways wait for the same free slots. With one
    view all would choose the best upstream; the call takes one of as many of the best
    slots at random instead.
    """
    priced = [_price(candidate, work, generator) for candidate in candidates]
    if not priced:
        return None
    chosen = _spread(priced, rivals, generator)
    candidate = chosen.candidate
    return Placement(
        candidate.id,
        chosen.free > 0,
        chosen.expected,
        candidate.slowness,
        candidate.in_flight,
        candidate.age,
        sum(item.free for item in priced),
    )


def _price(candidate: Candidate, work: float, generator: random.Random) -> _Priced:
    expected = expected_time(candidate, work)
    penalties = (
        REMOTE_SERVICE_TIMES * candidate.remote
        + NEW_CONNECTION_SERVICE_TIMES * (not candidate.connected)
        + ABSENT_SERVICE_TIMES * candidate.absent
        + FAILURE_SERVICE_TIMES * candidate.error_rate
    )
    cost = (expected + penalties * work) * (1 + JITTER * generator.random())
    free = max(0, candidate.slots - candidate.in_flight)
    return _Priced(cost, expected, free, candidate)


def _spread(priced: list[_Priced], rivals: int, generator: random.Random) -> _Priced:
    """Choose among the best slots, one for this call and one for each rival."""
    if not rivals:
        return min(priced, key=lambda item: item.cost)
    ranked = sorted(priced, key=lambda item: item.cost)
    # Waiting for a slot of a full upstream costs less than the free ones after it.
    worth = list(itertools.takewhile(lambda item: item.free, ranked))
    if not worth:
        return ranked[0]
    position = generator.random() * min(1 + rivals, sum(item.free for item in worth))
    for item in worth:
        position -= item.free
        if position < 0:
            return item
    return worth[-1]
