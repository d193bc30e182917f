"""Run the demo and count the outcomes of all calls."""

import asyncio
import json
import sys
from collections import Counter
from typing import Any, NamedTuple

import aiohttp

from dogwoodshed._internal.demo import scenario
from dogwoodshed._internal.standins.caller import (
    Callers,
    CallResult,
    OutcomeCounts,
    count_outcomes,
)
from dogwoodshed._internal.standins.fleet import Fleet

DATA_CENTRES = ("lima-1", "lima-2", "lima-3")
CALLER_TRIES = 3
# Without a pause before retries, callers with three tries would triple a flood.
RETRY_PAUSE_S = 0.2
PROGRESS_INTERVAL_S = 0.25
# Shorter than the default, so that a silent connection is replaced during the run.
PROGRESS_TIMEOUT_S = 1.0
# The report covers closed minutes only; real minutes would outlast the demo.
MINUTE_S = 1.0
# The last minute must close; its summaries arrive half a minute later.
REPORT_DELAY_S = 2 * MINUTE_S


class DemoResult(NamedTuple):
    """The outcomes of the calls by rank, and the report if it was available."""

    ranks: dict[str, OutcomeCounts]
    report: str | None

    @property
    def clean(self) -> bool:
        return all(counts.clean for counts in self.ranks.values())


class DemoRun:
    """Run gateways and stand-ins on loopback for a number of seconds."""

    def __init__(
        self, seconds: float, seed: int, settings: dict[str, Any], quiet: bool
    ) -> None:
        self._seconds = seconds
        self._seed = seed
        self._settings = settings
        self._quiet = quiet
        self._fleet = Fleet()

    async def run(self) -> DemoResult:
        """Run the scenario and stop every process."""
        try:
            await self._start()
            addresses = [gateway.address for gateway in self._fleet.gateways]
            callers = Callers(addresses, CALLER_TRIES, RETRY_PAUSE_S)
            background_tasks = [
                asyncio.ensure_future(self._run_events()),
                asyncio.ensure_future(self._show_progress(callers)),
            ]
            try:
                results = await callers.run(
                    scenario.flows(self._seconds), self._seconds, self._seed
                )
            finally:
                for task in background_tasks:
                    task.cancel()
                await asyncio.gather(*background_tasks, return_exceptions=True)
            self._print("")
            return DemoResult(
                count_by_rank(results, await self._count_runs()),
                await self._fetch_report(),
            )
        finally:
            await self._fleet.stop()

    async def _start(self) -> None:
        self._print(f"starting {scenario.GATEWAYS} gateways and their stand-ins")
        await self._fleet.start_platform()
        await self._fleet.start_upstreams(scenario.upstream_groups(self._seed))
        text = json.dumps(scenario.configuration(self._fleet.upstreams), indent=1)
        await self._fleet.publish(text)
        await self._fleet.start_gateways(
            scenario.GATEWAYS,
            data_centres=DATA_CENTRES,
            limits={"progress_timeout_s": PROGRESS_TIMEOUT_S},
            reporting={"minute_s": MINUTE_S},
            **self._settings,
        )

    async def _run_events(self) -> None:
        loop = asyncio.get_running_loop()
        started = loop.time()
        for event in scenario.EVENTS:
            await asyncio.sleep(started + event.at * self._seconds - loop.time())
            if event.service is not None:
                address = self._fleet.upstreams[event.service][0]
                await self._fleet.control_upstream(address, event.behaviour)
            self._print(f"{event.at * self._seconds:5.1f} s  {event.text}")

    async def _show_progress(self, callers: Callers) -> None:
        if self._quiet or not sys.stdout.isatty():
            return
        while True:
            outcomes = Counter(result.ran for result in callers.results)
            line = (
                f"sent {callers.sent}  answered {outcomes['yes']}  "
                f"not run {outcomes['no']}  unknown {outcomes['unknown']}  "
                f"open {callers.sent - len(callers.results)}"
            )
            print(f"\r\x1b[K{line}", end="", flush=True)
            await asyncio.sleep(PROGRESS_INTERVAL_S)

    def _print(self, text: str) -> None:
        if self._quiet:
            return
        # Overwrites the progress line, which is shown only on terminals.
        clear_line = "\r\x1b[K" if sys.stdout.isatty() else ""
        print(f"{clear_line}{text}", flush=True)

    async def _count_runs(self) -> Counter[str]:
        runs: Counter[str] = Counter()
        for service in self._fleet.upstreams:
            for state in await self._fleet.upstream_states(service):
                runs.update(state["runs"])
        return runs

    async def _fetch_report(self) -> str | None:
        """Return the report of one gateway, or None if it is not available."""
        await asyncio.sleep(REPORT_DELAY_S)
        address = self._fleet.gateways[0].administration_address
        try:
            async with self._fleet.session.get(
                f"http://{address}/report", headers={"Accept": "text/plain"}
            ) as response:
                return await response.text() if response.status == 200 else None
        except (aiohttp.ClientError, OSError):
            return None


def count_by_rank(
    results: list[CallResult], runs: Counter[str]
) -> dict[str, OutcomeCounts]:
    """Count the outcomes of the calls of each rank."""
    return {
        rank: count_outcomes(
            [r for r in results if r.rank == rank], runs, scenario.RUN_AT_MOST_ONCE
        )
        for rank in scenario.RANKS
    }
