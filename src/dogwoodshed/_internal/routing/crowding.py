"""Learn whether the last slots of an upstream are worth using."""

# Upstreams on shared machines slow down when they are nearly full; with fewer slots
# than this the free part is too small to tell.
LEAST_SLOTS = 4
UNCROWDED_SHARE = 0.75
LEAST_SAMPLES = 10
WEIGHT = 0.03
# The last slots are left free when they add less work than this.
LEAST_GAIN = 1.3
# Before anything is known the last slots are left free.
FIRST_SLOWDOWN = 1.5


class CrowdingEstimate:
    """Compare the service times on upstreams that are nearly full with the others.

    The load that it answers is a service near its limit: calls that wait at a gateway
    keep their choice of upstream and their rank, and all calls take less time.
    """

    def __init__(self) -> None:
        self._crowded = _Mean()
        self._uncrowded = _Mean()

    def observe(
        self, first_level: int, last_level: int, slots: int, relative_time: float
    ) -> None:
        """Note a service time with the calls in flight at its start and its end."""
        most = uncrowded_level(slots)
        if max(first_level, last_level) <= most:
            self._uncrowded.observe(relative_time)
        elif min(first_level, last_level) > most:
            self._crowded.observe(relative_time)

    def limit(self, slots: int) -> int:
        """Return how many calls an upstream with these slots should get at a time."""
        most = uncrowded_level(slots)
        return most if slots / self._slowdown() < LEAST_GAIN * most else slots

    def time_at(self, level: int, slots: int) -> float:
        """Return the service time at a level, 1 being that of an idle upstream."""
        return self._slowdown() if level > uncrowded_level(slots) else 1.0

    def _slowdown(self) -> float:
        if not (self._crowded.known and self._uncrowded.known):
            return FIRST_SLOWDOWN
        return max(1.0, self._crowded.value / self._uncrowded.value)


def uncrowded_level(slots: int) -> int:
    """Return the most calls at a time that leave an upstream some room."""
    return slots if slots < LEAST_SLOTS else int(UNCROWDED_SHARE * slots)


class _Mean:
    """A mean that follows changes."""

    def __init__(self) -> None:
        self._samples = 0
        self._value = 0.0

    @property
    def known(self) -> bool:
        return self._samples >= LEAST_SAMPLES

    @property
    def value(self) -> float:
        return self._value

    def observe(self, sample: float) -> None:
        self._samples += 1
        self._value += max(WEIGHT, 1 / self._samples) * (sample - self._value)
