"""Define the deployments, loads and faults for comparing routing policies."""

from collections.abc import Mapping
from typing import Any, NamedTuple

RANKS = ("urgent", "normal", "bulk")
RANK_SHARES = {"urgent": 0.2, "normal": 0.5, "bulk": 0.3}
FLOORS = {"urgent": 0.2, "normal": 0.2, "bulk": 0.1}
METHODS = {"urgent": "GET", "normal": "PUT", "bulk": "POST"}
# Multiples of the mean service time. With exponential service times, one call in 400
# exceeds the urgent limit without any waiting, so 99% in time leaves room to wait.
TIME_LIMIT_FACTORS = {"urgent": 6, "normal": 10, "bulk": 20}
DEADLINE_FACTOR = 20
PROBE_BUDGET_PER_S = 0.2
FLOOD = "flood"
FLOOD_FACTOR = 3.0


class User(NamedTuple):
    """The deployment of one user, with all upstreams in a single service."""

    name: str
    upstreams: int
    slots: int
    # Far above the users' real service times, so that the machine that runs all
    # processes of the benchmark is never the bottleneck.
    mean_ms: float

    @property
    def capacity_per_s(self) -> float:
        return self.upstreams * self.slots / self.mean_ms * 1000


USERS = {
    "parejas": User("parejas", 40, 2, 100.0),
    "corrib": User("corrib", 30, 6, 200.0),
}


class Case(NamedTuple):
    """A load, with or without a flood or a fault."""

    name: str
    load: float
    flood_rank: str | None = None
    # Changes to the behaviour of all upstreams, and of the first one only.
    all_upstreams: Mapping[str, Any] = {}
    first_upstream: Mapping[str, Any] = {}


CASES = {
    case.name: case
    for case in (
        Case("load-0.5", 0.5),
        Case("load-0.8", 0.8),
        Case("load-0.95", 0.95),
        Case("noisy-neighbour", 0.8, first_upstream={"slow_factor": 3.0}),
        Case("lagging-report", 0.8, all_upstreams={"report_lag_s": 2.0}),
        # The base load of both floods, and the reference for the urgent p99.
        Case("base", 0.6),
        Case("flood-bulk", 0.6, flood_rank="bulk"),
        Case("flood-urgent", 0.6, flood_rank="urgent"),
    )
}


def flows(user: User, case: Case, processes: int) -> list[dict[str, Any]]:
    """Return the flows that each of several load processes sends."""
    base = user.capacity_per_s * case.load / processes
    result = [_flow(rank, rank, base * RANK_SHARES[rank]) for rank in RANKS]
    if case.flood_rank:
        rate = user.capacity_per_s * FLOOD_FACTOR / processes
        result.append(_flow(FLOOD, case.flood_rank, rate))
    return result


def _flow(name: str, rank: str, rate_per_s: float) -> dict[str, Any]:
    return {
        "name": name,
        "rank": rank,
        "method": METHODS[rank],
        "path": "/work",
        "rate_per_s": rate_per_s,
        "caller": name,
    }


def configuration(user: User, addresses: list[str]) -> dict[str, Any]:
    """Return the configuration of a user as a document that can be written as JSON."""
    return {
        "fleet": user.name,
        "ranks": [
            {"name": rank, "floor_percent": FLOORS[rank] * 100} for rank in RANKS
        ],
        "services": [
            {
                "name": "work",
                "path_prefix": "/work",
                "slots_per_upstream": user.slots,
                "probe_budget_per_s": PROBE_BUDGET_PER_S,
                "upstreams": [
                    {"address": address, "data_centre": f"dc-{index % 3 + 1}"}
                    for index, address in enumerate(addresses)
                ],
                "kinds": [
                    {
                        "name": rank,
                        "method": METHODS[rank],
                        "path": "/work",
                        "rank": rank,
                        "idempotent": True,
                        "time_limit_ms": TIME_LIMIT_FACTORS[rank] * user.mean_ms,
                        "deadline_ms": DEADLINE_FACTOR * user.mean_ms,
                    }
                    for rank in RANKS
                ],
            }
        ],
    }
