"""Bound the requests of a gateway that stops before its supervisor kills it."""

import asyncio
from collections.abc import Callable

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.exceptions import (
    CallError,
    ShuttingDownError,
    StoppedDuringCallError,
)
from dogwoodshed._internal.proxy.call import Call

# Requests at which an upstream is at work get this long after those that still wait
# were rejected.
LAST_ANSWERS_S = 0.6
# A request is accepted during a stop if this many mean service times are left, since
# many requests take longer than the mean.
RESERVE_SERVICE_TIMES = 2.0


class PlannedStop:
    """The requests in flight of a server, and how long each may last in a stop.

    A request is served if its own deadline ends it in time. Others are served until the
    acceptance ends, if they can be expected to be finished: their callers would lose
    them without an answer, and can still go to another gateway.
    """

    def __init__(
        self, clock: Clock, expected_service_time: Callable[[Call], float]
    ) -> None:
        self._clock = clock
        self._expected_service_time = expected_service_time
        self._calls: dict[asyncio.Task[object], Call | None] = {}
        self._cancelled: set[asyncio.Task[object]] = set()
        self._accepting = True
        # Times of the clock; infinite without a stop or a bound on it.
        self._starts_until = float("inf")
        self._ends_at = float("inf")

    @property
    def time_left(self) -> float | None:
        """The seconds until the last requests are ended, None without a bound."""
        if self._ends_at == float("inf"):
            return None
        return max(0.0, self._ends_at - self._clock.monotonic())

    def begin(self, timeout: float | None) -> None:
        """Pass no request on after `timeout` seconds; None is no limit.

        Those at an upstream get LAST_ANSWERS_S more.
        """
        if timeout is not None:
            self._starts_until = self._clock.monotonic() + timeout
            self._ends_at = self._starts_until + LAST_ANSWERS_S

    def end_acceptance(self) -> None:
        """Accept only requests that certainly end in time from now on."""
        self._accepting = False

    def add(self, task: asyncio.Task[object]) -> None:
        """Register the task of a request."""
        self._calls[task] = None

    def remove(self, task: asyncio.Task[object]) -> None:
        """Forget the task of a request that has ended."""
        self._calls.pop(task, None)
        self._cancelled.discard(task)

    def admit(self, task: asyncio.Task[object], call: Call) -> None:
        """Accept a call before it is passed on; raises ShuttingDownError."""
        self._calls[task] = call
        if self._ends_at == float("inf"):
            return
        if call.deadline <= self._ends_at:
            is_accepted = self._clock.monotonic() < self._starts_until
        else:
            is_accepted = self._accepting and self._can_start(
                call, RESERVE_SERVICE_TIMES
            )
        if not is_accepted:
            raise ShuttingDownError("cannot be finished")
        call.deadline = min(call.deadline, self._ends_at)

    def reject_waiting(self) -> None:
        """End the requests that wait and can no longer be finished."""
        for task, call in self._calls.items():
            waits = call is not None and not call.dispatched
            if waits and not self._can_start(call, 1.0):
                self._cancel(task)

    def end_all(self) -> None:
        """End all requests."""
        for task in self._calls:
            self._cancel(task)

    def take_error(self, task: asyncio.Task[object]) -> CallError | None:
        """Return the response to a request that the stop ended, None for others."""
        if task not in self._cancelled:
            return None
        while task.cancelling():
            task.uncancel()
        call = self._calls.get(task)
        # A repeat with a key may wait for the first call, which has run.
        if call is None or not (call.dispatched or call.key is not None):
            return ShuttingDownError("waited until the end of the stop")
        return StoppedDuringCallError(call.service.name)

    def _can_start(self, call: Call, service_times: float) -> bool:
        now = self._clock.monotonic()
        if now >= self._starts_until:
            return False
        return now + service_times * self._expected_service_time(call) <= self._ends_at

    def _cancel(self, task: asyncio.Task[object]) -> None:
        if task not in self._cancelled:
            self._cancelled.add(task)
            task.cancel()
