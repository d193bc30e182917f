"""Define measured points and fit their growth."""

import math
import statistics
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any, NamedTuple


class Point(NamedTuple):
    """The measured figures at one size."""

    size: Mapping[str, int]
    figures: Mapping[str, float]


class Fit(NamedTuple):
    """A straight line through the points, and the exponent of a power law."""

    intercept: float
    slope: float
    # 1 means that the figure grows in proportion to the size, 2 with its square.
    exponent: float


def fit(sizes: Sequence[float], values: Sequence[float]) -> Fit:
    """Fit a line and a power law by least squares."""
    slope, intercept = statistics.linear_regression(sizes, values)
    logs = [(s, v) for s, v in zip(sizes, values, strict=True) if s > 0 and v > 0]
    exponent = float("nan")
    if len(logs) > 1:
        exponent, _ = statistics.linear_regression(
            [math.log(s) for s, _ in logs], [math.log(v) for _, v in logs]
        )
    return Fit(intercept, slope, exponent)


def min_cpu_time(action: Callable[[], Any], min_total_s: float = 0.2) -> float:
    """Return the lowest CPU time of several runs of an action, in seconds.

    The lowest time is the one that other processes disturbed least.
    """
    best = float("inf")
    total = 0.0
    while total < min_total_s:
        started = time.process_time()
        action()
        elapsed = time.process_time() - started
        best = min(best, elapsed)
        total += max(elapsed, 1e-6)
    return best
