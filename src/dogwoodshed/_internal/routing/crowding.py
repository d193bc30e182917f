"""Estimate whether filling the last slots of an upstream raises its throughput."""

# Upstreams on shared machines slow down when they are nearly full. With fewer slots
# than this, the difference between nearly full and not is too small to measure.
MIN_SLOTS = 4
# An upstream is crowded when a larger share of its slots is in use.
UNCROWDED_SHARE = 0.75
MIN_SAMPLES = 10
# Weight of a new sample in the means.
MEAN_WEIGHT = 0.03
# The last slots are left free when using them raises the throughput by less than this
# factor.
MIN_THROUGHPUT_GAIN = 1.3
# Assumed without enough samples; the last slots are then left free.
INITIAL_SLOWDOWN = 1.5


class CrowdingEstimate:
    """Compare service times on nearly full upstreams with those on the others.

    This matters for a service near its limit: a call that waits at the gateway instead
    of at an upstream can still go to any upstream and is ordered by rank, and every
    call takes less time.
    """

    def __init__(self) -> None:
        self._crowded = _MovingAverage()
        self._uncrowded = _MovingAverage()

    def observe(
        self,
        in_flight_at_start: int,
        in_flight_at_end: int,
        slots: int,
        relative_time: float,
    ) -> None:
        """Add a service time with the calls in flight at its start and its end."""
        uncrowded = uncrowded_limit(slots)
        if max(in_flight_at_start, in_flight_at_end) <= uncrowded:
            self._uncrowded.observe(relative_time)
        elif min(in_flight_at_start, in_flight_at_end) > uncrowded:
            self._crowded.observe(relative_time)

    def call_limit(self, slots: int) -> int:
        """Return how many concurrent calls to send to an upstream with these slots."""
        uncrowded = uncrowded_limit(slots)
        return (
            uncrowded
            if slots / self._slowdown() < MIN_THROUGHPUT_GAIN * uncrowded
            else slots
        )

    def relative_time(self, in_flight: int, slots: int) -> float:
        """Return the ratio of the service time to that of an uncrowded upstream."""
        return self._slowdown() if in_flight > uncrowded_limit(slots) else 1.0

    def _slowdown(self) -> float:
        if not (
            self._crowded.has_enough_samples and self._uncrowded.has_enough_samples
        ):
            return INITIAL_SLOWDOWN
        return max(1.0, self._crowded.value / self._uncrowded.value)


def uncrowded_limit(slots: int) -> int:
    """Return the highest number of calls at which an upstream is not crowded."""
    return slots if slots < MIN_SLOTS else int(UNCROWDED_SHARE * slots)


class _MovingAverage:
    """Exponentially weighted mean; the plain mean while samples are few."""

    def __init__(self) -> None:
        self._samples = 0
        self._value = 0.0

    @property
    def has_enough_samples(self) -> bool:
        return self._samples >= MIN_SAMPLES

    @property
    def value(self) -> float:
        return self._value

    def observe(self, sample: float) -> None:
        self._samples += 1
        self._value += max(MEAN_WEIGHT, 1 / self._samples) * (sample - self._value)
