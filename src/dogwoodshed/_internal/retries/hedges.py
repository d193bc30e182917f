"""Decide when a slow attempt is hedged by a second one."""

from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.retries.budget import ServiceBudgets
from dogwoodshed._internal.settings import Settings

HEDGE_SHARE = 0.02
HEDGE_RESERVE = 5
_QUANTILE = 0.95
# Relative step size. The estimate varies by about 5% in a steady state and doubles
# within 40 slow responses.
_STEP = 0.02
_MIN_SAMPLES = 50
_MIN_DELAY_S = 0.001


class RunningQuantile:
    """Estimate the 95th percentile of a stream in constant memory."""

    __slots__ = ("_estimate", "_samples")

    def __init__(self) -> None:
        self._estimate = 0.0
        self._samples = 0

    @property
    def estimate(self) -> float | None:
        """The estimate, or None until there are enough samples."""
        return self._estimate if self._samples >= _MIN_SAMPLES else None

    def observe(self, sample: float) -> None:
        """Move the estimate up or down; the steps balance at the percentile."""
        if self._samples < _MIN_SAMPLES:
            self._samples += 1
            if sample > self._estimate:
                self._estimate = sample
        elif sample > self._estimate:
            self._estimate *= 1 + _STEP * _QUANTILE
        else:
            self._estimate *= 1 - _STEP * (1 - _QUANTILE)


class HedgePolicy:
    """Delays by kind of call and budgets for the hedges of one gateway."""

    def __init__(self, *, enabled: bool = True) -> None:
        self._enabled = enabled
        self._budgets = ServiceBudgets(HEDGE_SHARE, HEDGE_RESERVE)
        self._latencies: dict[tuple[str, str], RunningQuantile] = {}

    @classmethod
    def from_settings(cls, settings: Settings) -> "HedgePolicy":
        return cls(enabled=settings.is_enabled("hedges"))

    def record_call(self, call: Call) -> None:
        """Count a call, which increases the budget of its service."""
        self._budgets.for_service(call.service.name).deposit()

    def observe(self, call: Call, elapsed: float) -> None:
        """Record the duration of a successful attempt."""
        key = call.service.name, call.kind.name
        latency = self._latencies.get(key)
        if latency is None:
            latency = self._latencies[key] = RunningQuantile()
        latency.observe(elapsed)

    def p95(self, call: Call) -> float | None:
        """Return the 95th percentile of the kind of call, or None if unknown."""
        latency = self._latencies.get((call.service.name, call.kind.name))
        return latency.estimate if latency else None

    def delay(self, call: Call) -> float | None:
        """Return the delay before a hedge, or None for no hedge."""
        if not (self._enabled and call.idempotent):
            return None
        p95 = self.p95(call)
        return None if p95 is None else max(_MIN_DELAY_S, p95)

    def allow_hedge(self, call: Call) -> bool:
        """Allow or refuse one hedge."""
        return self._budgets.for_service(call.service.name).try_withdraw()
