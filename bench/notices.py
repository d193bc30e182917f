"""Measure what callers get while upstreams hold calls off or leave.

Run `python -m bench.notices`; the callers need about two thirds of the slots.
"""

import argparse
import asyncio
import itertools
import statistics
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

import aiohttp

from tests.lib.deployment import HOST, Deployment, route
from tests.lib.target_standin import TargetStandIn

GATEWAYS = 4
TARGETS = 3
SLOTS = 4
SERVICE_TIME_S = 0.05
DEADLINE_MS = 1000
# Calls per second by rank, the most urgent first; three targets serve 240.
RATES = {"urgent": 30.0, "normal": 50.0, "bulk": 80.0}
WARM_UP_S = 2.0
# Time in which the upstreams say what a case lets them say, and time after it.
NOTICE_S = 6.0
RETURN_S = 3.0
HOLD_OFF_S = 1.5
# A hold-off counts from this time after the refusal.
HOLD_OFF_SLACK_S = 0.5
CALL_TIMEOUT_S = 5.0


class CallOutcome(NamedTuple):
    """One call as its caller saw it."""

    request_id: str
    rank: str
    sent_at: float
    elapsed: float
    # 0 without a response.
    status: int


class RankRow(NamedTuple):
    """Outcomes of the calls of one rank."""

    rank: str
    sent: int
    answered: int
    not_run: int
    other: int
    answered_p50_ms: float
    refused_p50_ms: float
    refused_max_ms: float

    @classmethod
    def from_outcomes(cls, rank: str, outcomes: list[CallOutcome]) -> "RankRow":
        """Count the outcomes of a rank."""
        answered = [o.elapsed for o in outcomes if o.status == 200]
        refused = [o.elapsed for o in outcomes if o.status == 503]
        return cls(
            rank,
            len(outcomes),
            len(answered),
            len(refused),
            len(outcomes) - len(answered) - len(refused),
            _median_ms(answered),
            _median_ms(refused),
            max(refused, default=0.0) * 1000,
        )


def _median_ms(values: list[float]) -> float:
    return statistics.median(values) * 1000 if values else 0.0


def hold_off_one(targets: list[TargetStandIn]) -> None:
    """Let one target turn all requests away."""
    targets[0].refuse, targets[0].retry_after = True, str(HOLD_OFF_S)


def hold_off_all(targets: list[TargetStandIn]) -> None:
    """Let all targets turn all requests away."""
    for target in targets:
        hold_off_one([target])


def leave_one(targets: list[TargetStandIn]) -> None:
    """Let one target say that it leaves, while its entry stays as it is."""
    targets[0].leaving = True


CASES: dict[str, Callable[[list[TargetStandIn]], None]] = {
    "one holds off": hold_off_one,
    "all hold off": hold_off_all,
    "one leaves": leave_one,
}


class CaseRun:
    """One fleet with callers that send at fixed rates."""

    def __init__(self, name: str) -> None:
        self._notice = CASES[name]
        self._fleet = Deployment(GATEWAYS, zones=2)
        self._outcomes: list[CallOutcome] = []
        self._session: aiohttp.ClientSession | None = None

    async def play(self) -> tuple[list[CallOutcome], list[TargetStandIn]]:
        """Return the calls that were sent while the notice held, and the targets."""
        routes = tuple(
            route(rank, f"/{rank}/", priority=priority, timeout_ms=DEADLINE_MS)
            for priority, rank in enumerate(RATES)
        )
        connector = aiohttp.TCPConnector(limit=0)
        try:
            await self._fleet.start(TARGETS, routes, SLOTS)
            async with aiohttp.ClientSession(connector=connector) as self._session:
                return await self._play_phases()
        finally:
            await self._fleet.stop()

    async def _play_phases(self) -> tuple[list[CallOutcome], list[TargetStandIn]]:
        targets = list(self._fleet.targets.values())
        for target in targets:
            target.service_time_s = SERVICE_TIME_S
        length = WARM_UP_S + NOTICE_S + RETURN_S
        callers = [
            asyncio.create_task(self._send(rank, rate, length))
            for rank, rate in RATES.items()
        ]
        await asyncio.sleep(WARM_UP_S)
        starts_at = time.monotonic()
        for target in targets:
            target.exchanges.clear()
        self._notice(targets)
        await asyncio.sleep(NOTICE_S)
        ends_at = time.monotonic()
        for target in targets:
            target.refuse, target.retry_after = False, ""
        await asyncio.gather(*callers)
        sent = [o for o in self._outcomes if starts_at <= o.sent_at < ends_at]
        return sent, targets

    async def _send(self, rank: str, rate: float, length: float) -> None:
        tasks = []
        for number in range(int(rate * length)):
            tasks.append(asyncio.create_task(self._call(rank, number)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)

    async def _call(self, rank: str, number: int) -> None:
        gateway = number % GATEWAYS
        request_id = f"{gateway}-{rank}-{number}"
        headers = {
            "Host": HOST,
            "X-Dogwoodshed-Request-Id": request_id,
            "X-Dogwoodshed-Deadline-Ms": str(DEADLINE_MS),
        }
        url = f"http://127.0.0.1:{self._fleet.gateways[gateway].port}/{rank}/a"
        sent_at = time.monotonic()
        try:
            async with self._session.get(
                url,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            ) as response:
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            status = 0
        elapsed = time.monotonic() - sent_at
        self._outcomes.append(CallOutcome(request_id, rank, sent_at, elapsed, status))


def count_unwanted(target: TargetStandIn) -> int:
    """Return the most requests of one gateway in one hold-off of a target."""
    counts = [0]
    for refusal in target.exchanges:
        if refusal.status != 503 or not refusal.hold_off_s:
            continue
        starts_at = refusal.answered_at + HOLD_OFF_SLACK_S
        ends_at = refusal.answered_at + refusal.hold_off_s
        counts.append(
            sum(
                starts_at < other.arrived_at < ends_at
                and other.request_id[0] == refusal.request_id[0]
                for other in target.exchanges
            )
        )
    return max(counts)


def count_after_leaving(target: TargetStandIn) -> Counter[str]:
    """Return by gateway the requests that arrived after its first answer said so."""
    counts: Counter[str] = Counter()
    known_at: dict[str, float] = {}
    for exchange in sorted(target.exchanges, key=lambda e: e.arrived_at):
        gateway = exchange.request_id[0]
        if exchange.arrived_at > known_at.get(gateway, float("inf")):
            counts[f"g{gateway}"] += 1
        if exchange.leaving:
            known_at.setdefault(gateway, exchange.answered_at)
    return counts


def summarize(
    name: str, outcomes: list[CallOutcome], targets: list[TargetStandIn]
) -> Iterable[str]:
    """Yield the lines of the result of one case."""
    yield f"{name}:"
    for rank in RATES:
        row = RankRow.from_outcomes(rank, [o for o in outcomes if o.rank == rank])
        yield (
            f"  {row.rank:7} sent {row.sent:4} answered {row.answered:4}"
            f" not run {row.not_run:4} other {row.other:3}"
            f"  answered p50 {row.answered_p50_ms:6.0f} ms"
            f"  refused p50 {row.refused_p50_ms:6.0f} ms"
            f" max {row.refused_max_ms:6.0f} ms"
        )
    sent = {outcome.request_id for outcome in outcomes}
    arrivals = Counter(
        exchange.request_id
        for exchange in itertools.chain(*(target.exchanges for target in targets))
        if exchange.request_id in sent
    )
    repeats = sum(arrivals.values()) - len(arrivals)
    yield f"  arrivals beyond the first of a request: {repeats}"
    yield f"  most of one gateway in one hold-off: {max(map(count_unwanted, targets))}"
    if any(target.leaving for target in targets):
        late = dict(count_after_leaving(targets[0]))
        yield f"  arrivals after a gateway's first answer: {late}"


async def run(names: Iterable[str]) -> None:
    """Play the cases one after the other and print their results."""
    for name in names:
        outcomes, targets = await CaseRun(name).play()
        print("\n".join(summarize(name, outcomes, targets)), flush=True)


def main() -> None:
    """Parse the arguments and run the cases."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--case", action="append", choices=CASES, help="play only this case; repeatable"
    )
    asyncio.run(run(parser.parse_args().case or CASES))


if __name__ == "__main__":
    main()
