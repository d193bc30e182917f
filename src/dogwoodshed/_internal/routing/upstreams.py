"""Estimate service time and error rate of each upstream from call outcomes."""

import statistics
from collections.abc import Collection
from typing import NamedTuple

from dogwoodshed._internal.routing.base import Outcome, OutcomeStatus

SERVICE_TIME_WEIGHT = 0.2
ERROR_WEIGHT = 0.3
# Added to the cost of an upstream that fails every call, so that failing fast does not
# make it look fast.
ERROR_PENALTY_S = 1.0
# Without new samples an estimate decays to the median of all upstreams, so that an
# upstream that is avoided is tried again from time to time.
ESTIMATE_HALF_LIFE_S = 2.0
# An upstream whose last sample is older than this gets the next call, unless it is
# known to be slow. Otherwise its estimate would stay at the median, and any upstream
# below the median would get every call.
RESAMPLE_AFTER_S = 0.5
SHED_BACKOFF_INITIAL_S = 0.01
SHED_BACKOFF_MAX_S = 0.5
UNREACHABLE_BACKOFF_INITIAL_S = 0.05
UNREACHABLE_BACKOFF_MAX_S = 2.0
# An upstream that starts cold or returns from a drain gets one more slot after each
# interval.
RAMP_INTERVAL_S = 0.5
FAILING_ERROR_RATE = 0.5


class UpstreamHealth:
    """Speed, failures and availability of one upstream as one gateway observes them."""

    __slots__ = (
        "_backoff_until",
        "_draining",
        "_error_rate",
        "_last_sample_at",
        "_mean_service_time",
        "_ramp_started_at",
        "_refusal_count",
        "_reported_slots",
        "_unreachable_count",
    )

    def __init__(self, now: float, *, cold: bool) -> None:
        self._mean_service_time: float | None = None
        self._error_rate = 0.0
        self._last_sample_at = now
        self._backoff_until = 0.0
        self._refusal_count = 0
        self._unreachable_count = 0
        self._draining = False
        self._reported_slots: int | None = None
        self._ramp_started_at = now if cold else float("-inf")

    @property
    def draining(self) -> bool:
        return self._draining

    @property
    def mean_service_time(self) -> float | None:
        return self._mean_service_time

    @property
    def last_sample_at(self) -> float:
        return self._last_sample_at

    def needs_sample(self, now: float) -> bool:
        """Return whether the estimate is based on no sample or only on old ones."""
        return (
            self._mean_service_time is None
            or now - self._last_sample_at > RESAMPLE_AFTER_S
        )

    def record_probe(self, outcome: Outcome, now: float) -> None:
        """Record a probe; its response time, unlike that of calls, is not used."""
        if outcome.status is not OutcomeStatus.ANSWERED:
            self.record_outcome(outcome, now)
            return
        self._last_sample_at = now
        if outcome.report is not None:
            self._reported_slots = outcome.report.slots

    def set_draining(self, draining: bool, now: float) -> None:
        """Stop new calls, or reopen the slots one by one."""
        if self._draining and not draining:
            self._ramp_started_at = now
        self._draining = draining

    def record_outcome(self, outcome: Outcome, now: float) -> None:
        """Update the estimates with the outcome of a call."""
        if outcome.report is not None:
            self._reported_slots = outcome.report.slots
        if outcome.status is OutcomeStatus.CANCELLED:
            return
        if outcome.status is OutcomeStatus.REFUSED:
            self._refusal_count += 1
            backoff = SHED_BACKOFF_INITIAL_S * 2 ** min(self._refusal_count, 10)
            self._backoff_until = now + min(SHED_BACKOFF_MAX_S, backoff)
            return
        if outcome.status is OutcomeStatus.UNREACHABLE:
            self._unreachable_count += 1
            backoff = UNREACHABLE_BACKOFF_INITIAL_S * 2 ** min(
                self._unreachable_count, 10
            )
            self._backoff_until = now + min(UNREACHABLE_BACKOFF_MAX_S, backoff)
        failed = outcome.status is not OutcomeStatus.ANSWERED
        self._error_rate += ERROR_WEIGHT * (failed - self._error_rate)
        self._last_sample_at = now
        if not failed:
            self._refusal_count = self._unreachable_count = 0
            self._update_mean(outcome.elapsed)
        elif outcome.status is OutcomeStatus.TIMED_OUT:
            self._update_mean(outcome.elapsed)

    def set_initial_mean(self, mean_service_time: float) -> None:
        """Use a peer's estimate if this gateway has none of its own."""
        if self._mean_service_time is None and mean_service_time > 0:
            self._mean_service_time = mean_service_time

    def cost(self, default: float) -> float:
        """Return the mean service time plus the penalty for failures."""
        mean_service_time = (
            default if self._mean_service_time is None else self._mean_service_time
        )
        return mean_service_time + self._error_rate * ERROR_PENALTY_S

    def expected_cost(self, now: float, medians: "MedianTimes") -> float:
        """Return the cost, which decays to the median cost without new samples."""
        age = max(0.0, now - self._last_sample_at)
        extra = self.cost(medians.service_time) - medians.cost
        return medians.cost + extra * 0.5 ** (age / ESTIMATE_HALF_LIFE_S)

    def slot_opens_at(self, index: int) -> float:
        """Return the time from which a slot of this upstream may be used."""
        if self._draining:
            return float("inf")
        opens = max(
            self._backoff_until, self._ramp_started_at + index * RAMP_INTERVAL_S
        )
        if self._reported_slots is not None and index >= self._reported_slots:
            # The report may be outdated, so the slot is tried again after an interval.
            opens = max(opens, self._last_sample_at + RAMP_INTERVAL_S)
        return opens

    def unavailable_reason(self, now: float) -> str | None:
        """Return why the upstream gets few or no calls, or None."""
        if self._draining:
            return "draining"
        if now < self._backoff_until:
            return "unreachable" if self._unreachable_count else "shedding"
        if self._error_rate > FAILING_ERROR_RATE:
            return "failing"
        return None

    def _update_mean(self, elapsed: float) -> None:
        if self._mean_service_time is None:
            self._mean_service_time = elapsed
        else:
            self._mean_service_time += SERVICE_TIME_WEIGHT * (
                elapsed - self._mean_service_time
            )


class MedianTimes(NamedTuple):
    """Median service time and cost over the upstreams of a service, in seconds."""

    service_time: float
    # Includes the penalty for failures: when all upstreams fail alike, none costs more
    # than the median.
    cost: float

    @classmethod
    def from_upstreams(
        cls, upstreams: Collection[UpstreamHealth], default: float
    ) -> "MedianTimes":
        """Compute the medians; without samples the service time is the default."""
        means = [
            health.mean_service_time
            for health in upstreams
            if health.mean_service_time is not None
        ]
        service_time = statistics.median(means) if means else default
        costs = [health.cost(service_time) for health in upstreams]
        return cls(service_time, statistics.median(costs) if costs else service_time)
