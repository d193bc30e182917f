"""Probe upstreams that have not reported their load recently."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from mode import Service

from dogwoodshed._internal.background import log_unexpected_errors
from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.load_reports import (
    LoadReportReader,
    report_of_response,
)
from dogwoodshed._internal.routing.base import (
    LoadReport,
    Outcome,
    OutcomeStatus,
    ProbeTarget,
    Router,
)

FEATURE = "probing"
FEATURE_BUDGET_SHARE = "probe_share"

POLL_INTERVAL_S = 0.025
# Poll interval of a gateway that has nothing to probe.
IDLE_POLL_INTERVAL_S = 0.2
PROBE_TIMEOUT_S = 1.0
# Two gateways may probe an upstream for a moment while its owner changes.
USED_BUDGET_SHARE = 0.5


class _Schedule(NamedTuple):
    """When to probe an upstream next, and the interval this was computed from."""

    due_at: float
    interval: float


class Prober(Service):
    """Probe the upstreams assigned to this gateway within its share of the budget.

    The share is that of the gateways that are live, so that both sides of a partition
    together stay within the budget.
    """

    mundane_level = "debug"

    def __init__(
        self,
        router: Router,
        membership: Membership,
        read_report: LoadReportReader,
        on_probe: Callable[[ProbeTarget, Outcome], None],
        clock: Clock,
        metrics: Metrics,
        *,
        split_budget: bool = True,
    ) -> None:
        super().__init__()
        self._router = router
        self._membership = membership
        self._read_report = read_report
        self._on_probe = on_probe
        self._clock = clock
        self._metrics = metrics
        self._split_budget = split_budget
        self._schedules: dict[str, _Schedule] = {}
        self._session: aiohttp.ClientSession | None = None

    @Service.task
    async def _probe_when_due(self) -> None:
        self._session = aiohttp.ClientSession(
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S),
        )
        while not self.should_stop:
            with log_unexpected_errors("probes", self._metrics):
                # Probes run concurrently, so that an upstream that does not respond
                # does not delay the others.
                for target in self.pop_due(self._clock.monotonic()):
                    self.add_future(self._probe(target))
            interval = POLL_INTERVAL_S if self._schedules else IDLE_POLL_INTERVAL_S
            await asyncio.sleep(interval)

    async def on_stop(self) -> None:
        """Close the probe connections."""
        if self._session is not None:
            await self._session.close()

    def pop_due(self, now: float) -> list[ProbeTarget]:
        """Return the targets to probe now and schedule their next probes.

        A new target first waits for a whole interval, since its previous owner may have
        probed it just before. Probes missed during a pause are not caught up.
        """
        targets = {target.address: target for target in self._router.probe_targets()}
        for address in set(self._schedules) - set(targets):
            del self._schedules[address]
        due = []
        budget_share = USED_BUDGET_SHARE
        if self._split_budget and targets:
            budget_share *= self._membership.members.live_share
        for address, target in targets.items():
            interval = 1 / (target.budget_per_s * budget_share)
            schedule = self._schedules.get(address)
            if schedule is None or schedule.interval != interval:
                self._schedules[address] = _Schedule(now + interval, interval)
            elif now >= schedule.due_at:
                self._schedules[address] = _Schedule(now + interval, interval)
                if now - target.last_sample_at >= interval:
                    due.append(target)
        return due

    async def _probe(self, target: ProbeTarget) -> None:
        self._metrics.increment("probes.sent")
        started = self._clock.monotonic()
        with log_unexpected_errors("probes", self._metrics):
            status, report = await self._send_probe(target)
            elapsed = self._clock.monotonic() - started
            if status is not OutcomeStatus.ANSWERED:
                self._metrics.increment("probes.failed")
            self._on_probe(target, Outcome(status, elapsed, report))

    async def _send_probe(
        self, target: ProbeTarget
    ) -> tuple[OutcomeStatus, LoadReport | None]:
        url = f"http://{target.address}{target.path}"
        try:
            async with self._session.get(url, allow_redirects=False) as response:
                report = report_of_response(
                    self._read_report, response.status, response.headers
                )
                if response.status < 400:
                    return OutcomeStatus.ANSWERED, report
                return OutcomeStatus.FAILED, report
        except (aiohttp.ClientError, TimeoutError, OSError):
            return OutcomeStatus.UNREACHABLE, None
