"""Learn the speed and the failures of each upstream from outcomes."""

import statistics
from collections.abc import Collection
from typing import NamedTuple

from dogwoodshed._internal.routing.base import Outcome, OutcomeStatus

SPEED_WEIGHT = 0.2
ERROR_WEIGHT = 0.3
# What an upstream is worth that fails every call, however fast it fails.
ERROR_PENALTY_S = 1.0
# Without new samples an estimate returns to the normal one, so that an upstream that
# is avoided is tried again from time to time.
FORGET_HALF_LIFE_S = 2.0
# Without a newer sample an upstream gets the next call, unless it is known to be slow:
# its estimate stays at the usual one, and any upstream below that takes every call.
RESAMPLE_AFTER_S = 0.5
SHED_BACKOFF_FIRST_S = 0.01
SHED_BACKOFF_MOST_S = 0.5
UNREACHABLE_BACKOFF_FIRST_S = 0.05
UNREACHABLE_BACKOFF_MOST_S = 2.0
# A returning upstream opens one more slot after each interval.
RAMP_INTERVAL_S = 0.5
FAILING_ERROR_RATE = 0.5


class UpstreamHealth:
    """What one gateway knows of one upstream."""

    __slots__ = (
        "_closed_until",
        "_draining",
        "_error_rate",
        "_last_sample",
        "_mean",
        "_opened_at",
        "_refusals",
        "_reported_slots",
        "_unreachable",
    )

    def __init__(self, now: float, *, cold: bool) -> None:
        self._mean: float | None = None
        self._error_rate = 0.0
        self._last_sample = now
        self._closed_until = 0.0
        self._refusals = 0
        self._unreachable = 0
        self._draining = False
        self._reported_slots: int | None = None
        self._opened_at = now if cold else float("-inf")

    @property
    def draining(self) -> bool:
        return self._draining

    @property
    def mean(self) -> float | None:
        return self._mean

    @property
    def last_sample(self) -> float:
        return self._last_sample

    def needs_sample(self, now: float) -> bool:
        """Tell whether the estimate stands on no call, or on none of late."""
        return self._mean is None or now - self._last_sample > RESAMPLE_AFTER_S

    def record_probe(self, outcome: Outcome, now: float) -> None:
        """Learn from a probe, whose speed says nothing of real calls."""
        if outcome.status is not OutcomeStatus.ANSWERED:
            self.note(outcome, now)
            return
        self._last_sample = now
        if outcome.report is not None:
            self._reported_slots = outcome.report.slots

    def set_draining(self, draining: bool, now: float) -> None:
        """Stop new work, or open the slots again one by one."""
        if self._draining and not draining:
            self._opened_at = now
        self._draining = draining

    def note(self, outcome: Outcome, now: float) -> None:
        """Learn from the end of a call."""
        if outcome.report is not None:
            self._reported_slots = outcome.report.slots
        if outcome.status is OutcomeStatus.CANCELLED:
            return
        if outcome.status is OutcomeStatus.REFUSED:
            self._refusals += 1
            backoff = SHED_BACKOFF_FIRST_S * 2 ** min(self._refusals, 10)
            self._closed_until = now + min(SHED_BACKOFF_MOST_S, backoff)
            return
        if outcome.status is OutcomeStatus.UNREACHABLE:
            self._unreachable += 1
            backoff = UNREACHABLE_BACKOFF_FIRST_S * 2 ** min(self._unreachable, 10)
            self._closed_until = now + min(UNREACHABLE_BACKOFF_MOST_S, backoff)
        failed = outcome.status is not OutcomeStatus.ANSWERED
        self._error_rate += ERROR_WEIGHT * (failed - self._error_rate)
        self._last_sample = now
        if not failed:
            self._refusals = self._unreachable = 0
            self._learn_speed(outcome.elapsed)
        elif outcome.status is OutcomeStatus.TIMED_OUT:
            self._learn_speed(outcome.elapsed)

    def suggest(self, mean: float) -> None:
        """Take a peer's estimate if there is none of this gateway's own."""
        if self._mean is None and mean > 0:
            self._mean = mean

    def cost(self, default: float) -> float:
        """Return the service time with the penalty for failures."""
        mean = default if self._mean is None else self._mean
        return mean + self._error_rate * ERROR_PENALTY_S

    def expected(self, now: float, usual: "UsualTimes") -> float:
        """Return the cost, which fades into the usual one without new samples."""
        age = max(0.0, now - self._last_sample)
        extra = self.cost(usual.service) - usual.cost
        return usual.cost + extra * 0.5 ** (age / FORGET_HALF_LIFE_S)

    def opens_at(self, index: int) -> float:
        """Return when a slot of this upstream may be used."""
        if self._draining:
            return float("inf")
        opens = max(self._closed_until, self._opened_at + index * RAMP_INTERVAL_S)
        if self._reported_slots is not None and index >= self._reported_slots:
            # The report may be old by now: look again soon.
            opens = max(opens, self._last_sample + RAMP_INTERVAL_S)
        return opens

    def reason_out(self, now: float) -> str | None:
        """Return why the upstream gets no or little work."""
        if self._draining:
            return "draining"
        if now < self._closed_until:
            return "unreachable" if self._unreachable else "shedding"
        if self._error_rate > FAILING_ERROR_RATE:
            return "failing"
        return None

    def _learn_speed(self, elapsed: float) -> None:
        if self._mean is None:
            self._mean = elapsed
        else:
            self._mean += SPEED_WEIGHT * (elapsed - self._mean)


class UsualTimes(NamedTuple):
    """The medians over the upstreams of a service, in seconds."""

    service: float
    # With the penalty for failures: where all fail alike, none is worse than usual.
    cost: float

    @classmethod
    def from_upstreams(
        cls, upstreams: Collection[UpstreamHealth], default: float
    ) -> "UsualTimes":
        """Take the medians, or the default without samples."""
        means = [health.mean for health in upstreams if health.mean is not None]
        service = statistics.median(means) if means else default
        costs = [health.cost(service) for health in upstreams]
        return cls(service, statistics.median(costs) if costs else service)
