"""Choose an upstream by the estimated cost of a call on each candidate.

Slowness is the ratio of the current to the usual service time of an upstream.
"""

import itertools
import math
import random
from collections.abc import Iterable
from typing import NamedTuple

# A report of slowness loses half of its weight in this time, since the load of shared
# machines changes several times a second.
SLOWNESS_HALF_LIFE_S = 0.25
# Initial mean slowness of a service, which later follows the reports; upstreams without
# a report are assumed to be as slow as the mean.
INITIAL_MEAN_SLOWNESS = 1.5
# Weight of a new report in the means of slowness and speed of a service.
MEAN_SLOWNESS_WEIGHT = 0.01
# Lower bound of the slowness from which a speed is computed, whatever was reported.
MIN_SLOWNESS = 0.2
# Factor on the slowness of an upstream that has just started. Such upstreams were
# observed to take about twice as long per call; the estimate uses a smaller factor.
COLD_FACTOR = 1.6
# A call to another data centre costs transit time and billed traffic; in mean service
# times.
REMOTE_PENALTY_SERVICE_TIMES = 0.35
# A new connection takes time at the upstream, may occupy a slot there and counts
# against its connection limit; in mean service times.
NEW_CONNECTION_PENALTY_SERVICE_TIMES = 0.2
# A missing directory entry means a crash or a shutdown more often than a lapsed entry;
# in mean service times.
ABSENT_PENALTY_SERVICE_TIMES = 1.0
# A slot that becomes free may go to a call of another gateway first. Waiting for a full
# upstream is thus preferred only to upstreams that are slower by more than this; in
# service times.
QUEUEING_PENALTY_SERVICE_TIMES = 1.0
# Share by which the service time grows on an upstream whose slots are all in use.
FULL_UPSTREAM_SLOWDOWN = 0.25
# A failed call is worth nothing to its caller; in mean service times, multiplied by the
# error rate.
FAILURE_PENALTY_SERVICE_TIMES = 8.0
# Weight of a new result in the error rate of an upstream.
ERROR_WEIGHT = 0.15
# Without new results, the error rate halves in this time.
ERROR_HALF_LIFE_S = 2.0
# Weight of a new sample in the mean service time of a kind.
SERVICE_TIME_WEIGHT = 0.04
# Without samples, the service time is assumed to be this share of the time limit of the
# kind.
INITIAL_SERVICE_TIME_SHARE = 0.35
# Only calls on machines up to this slowness are samples of the service time.
MAX_UNLOADED_SLOWNESS = 1.25
# Longer samples of the service time are cut off at this multiple of the mean.
MAX_SAMPLE_FACTOR = 3.0
# Random share added to costs, so that gateways with the same view do not all choose the
# same upstream.
COST_JITTER = 0.12


class ServiceTimeEstimate:
    """Moving mean of the service time of one kind on an unloaded upstream."""

    __slots__ = ("_mean",)

    def __init__(self, initial: float) -> None:
        self._mean = initial

    @property
    def mean(self) -> float:
        return self._mean

    def observe(self, elapsed: float) -> None:
        """Add the time of a call on an upstream that was neither slow nor full."""
        sample = min(elapsed, MAX_SAMPLE_FACTOR * self._mean)
        self._mean += SERVICE_TIME_WEIGHT * (sample - self._mean)


class PerformanceEstimate:
    """Latest slowness and decaying error rate of an upstream."""

    __slots__ = ("_error_at", "_error_rate", "_reported_at", "_slowness")

    def __init__(self) -> None:
        self._slowness: float | None = None
        self._reported_at = float("-inf")
        self._error_rate = 0.0
        self._error_at = 0.0

    @property
    def reported_at(self) -> float:
        return self._reported_at

    def record_slowness(self, slowness: float, now: float) -> None:
        """Replace the slowness by that of a new report."""
        self._slowness = slowness
        self._reported_at = now

    def record_result(self, failed: bool, now: float) -> None:
        """Add the result of an attempt to the error rate."""
        if not failed and not self._error_rate:
            return
        rate = self.error_rate(now)
        self._error_rate = rate + ERROR_WEIGHT * (failed - rate)
        self._error_at = now

    def slowness(self, mean_slowness: float, now: float) -> float:
        """Return the expected slowness, which decays to the mean as the report ages."""
        if self._slowness is None:
            return mean_slowness
        age = now - self._reported_at
        return mean_slowness + (self._slowness - mean_slowness) * 0.5 ** (
            age / SLOWNESS_HALF_LIFE_S
        )

    def speed(self, mean_speed: float, now: float) -> float:
        """Return the expected speed (1 / slowness), which decays to the mean."""
        if self._slowness is None:
            return mean_speed
        age = now - self._reported_at
        speed = 1 / max(MIN_SLOWNESS, self._slowness)
        return mean_speed + (speed - mean_speed) * 0.5 ** (age / SLOWNESS_HALF_LIFE_S)

    def error_rate(self, now: float) -> float:
        """Return the share of failures, which decays to 0 without attempts."""
        age = max(0.0, now - self._error_at)
        return self._error_rate * 0.5 ** (age / ERROR_HALF_LIFE_S)


class MeanSlowness:
    """Moving means of slowness and speed over all upstreams of a service."""

    __slots__ = ("_mean", "_speed")

    def __init__(self) -> None:
        self._mean = INITIAL_MEAN_SLOWNESS
        self._speed = 1 / INITIAL_MEAN_SLOWNESS

    @property
    def mean(self) -> float:
        return self._mean

    @property
    def speed(self) -> float:
        """Return the mean of the inverse of slowness, a measure of throughput."""
        return self._speed

    def observe(self, slowness: float) -> None:
        """Add the slowness of one report."""
        self._mean += MEAN_SLOWNESS_WEIGHT * (slowness - self._mean)
        speed = 1 / max(MIN_SLOWNESS, slowness)
        self._speed += MEAN_SLOWNESS_WEIGHT * (speed - self._speed)


class Candidate(NamedTuple):
    """An upstream to choose from, with the inputs of its cost."""

    id: str
    # How many concurrent calls the gateways send to it.
    slots: int
    # Calls of all gateways, as far as this gateway knows them.
    in_flight: int
    # Expected slowness, from the latest report and the mean of the service.
    slowness: float
    error_rate: float
    # Whether it is in another data centre.
    remote: bool
    # Whether its directory entry is missing.
    absent: bool
    # Whether it has just started.
    cold: bool
    # Seconds since the last report of slowness.
    report_age: float = 0.0
    # Whether there is an open idle connection.
    connected: bool = True


class Placement(NamedTuple):
    """The upstream chosen for a call, with the inputs of the choice."""

    id: str
    has_free_slot: bool
    # Seconds until the response, including the wait for a slot.
    expected_time: float
    # Inputs of the choice, for the log.
    slowness: float
    in_flight: int
    report_age: float
    # Free slots of all candidates, as far as this gateway knows them.
    free_slots: int = 0
    # Upstreams that were left out because of what they said, and why.
    left_out: str = ""

    @property
    def report_age_ms(self) -> int:
        """The age of the report in milliseconds, or -1 without a report."""
        return round(self.report_age * 1000) if math.isfinite(self.report_age) else -1


class _CostedCandidate(NamedTuple):
    """A candidate with its cost and its free slots."""

    cost: float
    expected_time: float
    free_slots: int
    candidate: Candidate


def expected_time(candidate: Candidate, service_time: float) -> float:
    """Return the seconds until a response, including the wait for a slot."""
    slowness = candidate.slowness * (COLD_FACTOR if candidate.cold else 1.0)
    fill = min(1.0, (candidate.in_flight + 1) / candidate.slots)
    service = service_time * slowness * (1 + FULL_UPSTREAM_SLOWDOWN * fill)
    queued = candidate.in_flight - candidate.slots + 1
    if queued <= 0:
        return service
    wait = QUEUEING_PENALTY_SERVICE_TIMES + queued / candidate.slots
    return service + wait * service_time * slowness


def choose_upstream(
    candidates: Iterable[Candidate],
    service_time: float,
    rng: random.Random,
    competing_calls: int = 0,
) -> Placement | None:
    """Choose an upstream of low cost for a call.

    `competing_calls` is the number of calls at other gateways that wait for the same
    free slots. Gateways with the same view would all choose the best upstream, so the
    call gets a random slot out of the best ones, one for each of these calls and one
    for itself.
    """
    costed = [_estimate_cost(candidate, service_time, rng) for candidate in candidates]
    if not costed:
        return None
    chosen = _choose_among_best(costed, competing_calls, rng)
    candidate = chosen.candidate
    return Placement(
        candidate.id,
        chosen.free_slots > 0,
        chosen.expected_time,
        candidate.slowness,
        candidate.in_flight,
        candidate.report_age,
        sum(item.free_slots for item in costed),
    )


def _estimate_cost(
    candidate: Candidate, service_time: float, rng: random.Random
) -> _CostedCandidate:
    expected_seconds = expected_time(candidate, service_time)
    penalties = (
        REMOTE_PENALTY_SERVICE_TIMES * candidate.remote
        + NEW_CONNECTION_PENALTY_SERVICE_TIMES * (not candidate.connected)
        + ABSENT_PENALTY_SERVICE_TIMES * candidate.absent
        + FAILURE_PENALTY_SERVICE_TIMES * candidate.error_rate
    )
    cost = (expected_seconds + penalties * service_time) * (
        1 + COST_JITTER * rng.random()
    )
    free_slots = max(0, candidate.slots - candidate.in_flight)
    return _CostedCandidate(cost, expected_seconds, free_slots, candidate)


def _choose_among_best(
    costed: list[_CostedCandidate], competing_calls: int, rng: random.Random
) -> _CostedCandidate:
    """Choose among the best slots: one for this call and each competing call."""
    if not competing_calls:
        return min(costed, key=lambda item: item.cost)
    ranked = sorted(costed, key=lambda item: item.cost)
    # Waiting for the first full upstream costs less than the free slots after it.
    eligible = list(itertools.takewhile(lambda item: item.free_slots, ranked))
    if not eligible:
        return ranked[0]
    position = rng.random() * min(
        1 + competing_calls, sum(item.free_slots for item in eligible)
    )
    for item in eligible:
        position -= item.free_slots
        if position < 0:
            return item
    return eligible[-1]
