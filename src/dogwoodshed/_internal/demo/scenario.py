"""Define the services, load and faults of the demo: a festival evening."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from dogwoodshed._internal.standins.caller import Flow
from dogwoodshed._internal.standins.fleet import UpstreamGroup
from dogwoodshed._internal.standins.upstream import Behaviour

GATEWAYS = 5
RANKS = ("urgent", "normal", "bulk")
SLOTS_PER_UPSTREAM = 2
# Long compared with the delays of a busy laptop, which would otherwise look like load.
MEAN_SERVICE_TIME_MS = 80.0
# The 20, 10 and 10 upstreams of the users, scaled down to a laptop.
UPSTREAM_COUNTS = {"profiles": 8, "registration": 4, "billing": 4}
PROFILES_CAPACITY_PER_S = (
    UPSTREAM_COUNTS["profiles"] * SLOTS_PER_UPSTREAM / MEAN_SERVICE_TIME_MS * 1000
)


class Event(NamedTuple):
    """A change of the load or of a stand-in during the run."""

    # As a fraction of the duration of the run.
    at: float
    text: str
    # The service whose first upstream changes, if any.
    service: str | None = None
    behaviour: Mapping[str, Any] = {}


EVENTS = (
    Event(0.0, "doors open: ordinary load"),
    Event(0.15, "surge of profile reads"),
    Event(0.3, "one profile server drains", "profiles", {"draining": True}),
    Event(0.4, "the surge ends"),
    Event(
        0.45,
        "open connections of one registration server go silent",
        "registration",
        {"silent": True},
    ),
    Event(0.55, "flood of bulk exports at one and a half times the capacity"),
    Event(0.75, "the flood ends"),
)


def upstream_groups(seed: int) -> list[UpstreamGroup]:
    """Return the upstreams of the three services."""
    behaviour: Behaviour = {
        "slots": SLOTS_PER_UPSTREAM,
        "mean_ms": MEAN_SERVICE_TIME_MS,
    }
    return [
        UpstreamGroup(name, count, behaviour, seed + 100 * number)
        for number, (name, count) in enumerate(UPSTREAM_COUNTS.items())
    ]


def flows(seconds: float) -> list[Flow]:
    """Return the flows of calls for a run of this duration."""
    return [
        Flow(
            "profile-read",
            "urgent",
            "GET",
            "/profiles/7",
            0.3 * PROFILES_CAPACITY_PER_S,
        ),
        Flow(
            "profile-save",
            "normal",
            "PUT",
            "/profiles/7",
            0.15 * PROFILES_CAPACITY_PER_S,
        ),
        Flow(
            "export", "bulk", "POST", "/profiles/export", 0.05 * PROFILES_CAPACITY_PER_S
        ),
        Flow(
            "surge-read",
            "urgent",
            "GET",
            "/profiles/7",
            0.25 * PROFILES_CAPACITY_PER_S,
            caller="festival",
            start_s=0.15 * seconds,
            end_s=0.4 * seconds,
        ),
        Flow(
            "flood-export",
            "bulk",
            "POST",
            "/profiles/export",
            1.5 * PROFILES_CAPACITY_PER_S,
            caller="archive",
            start_s=0.55 * seconds,
            end_s=0.75 * seconds,
        ),
        Flow("pairing", "urgent", "POST", "/registration/pairings", 25, keyed=True),
        Flow("couples", "normal", "GET", "/registration/couples", 25),
        Flow(
            "fee",
            "urgent",
            "POST",
            "/billing/charges",
            25,
            keyed=True,
            # The callers lose one response in five and repeat the call.
            lost_response_every=5,
        ),
        Flow("schedule", "normal", "GET", "/billing/schedules", 25),
    ]


# Flows whose calls must run at most once.
RUN_AT_MOST_ONCE = frozenset({"pairing", "fee"})


def configuration(addresses: Mapping[str, Sequence[str]]) -> dict[str, Any]:
    """Return the configuration as a document that can be written as JSON."""
    floors = {"urgent": 20, "normal": 20, "bulk": 10}
    return {
        "fleet": "parejas-demo",
        "ranks": [{"name": rank, "floor_percent": floors[rank]} for rank in RANKS],
        "services": [
            _service(
                "profiles",
                addresses["profiles"],
                _kind("read", "GET", "/profiles", "urgent", 500),
                _kind("save", "PUT", "/profiles", "normal", 800),
                _kind("export", "POST", "/profiles/export", "bulk", 2000),
            ),
            _service(
                "registration",
                addresses["registration"],
                _kind("confirm-pairing", "POST", "/registration", "urgent", 800, False),
                _kind("list", "GET", "/registration", "normal", 800),
                depends_on=["profiles", "billing"],
            ),
            _service(
                "billing",
                addresses["billing"],
                _kind("charge-fee", "POST", "/billing", "urgent", 1000, False),
                _kind("read-schedule", "GET", "/billing", "normal", 800),
            ),
        ],
    }


def _service(
    name: str, addresses: Sequence[str], *kinds: dict[str, Any], **options: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "path_prefix": f"/{name}",
        "slots_per_upstream": SLOTS_PER_UPSTREAM,
        "upstreams": [
            {"address": address, "data_centre": f"lima-{index % 3 + 1}"}
            for index, address in enumerate(addresses)
        ],
        "kinds": list(kinds),
        **options,
    }


def _kind(
    name: str,
    method: str,
    path: str,
    rank: str,
    time_limit_ms: float,
    idempotent: bool = True,
) -> dict[str, Any]:
    return {
        "name": name,
        "method": method,
        "path": path,
        "rank": rank,
        "idempotent": idempotent,
        "time_limit_ms": time_limit_ms,
    }
