"""Define the services, load and faults of a festival evening."""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from dogwoodshed._internal.standins.caller import Flow
from dogwoodshed._internal.standins.fleet import UpstreamGroup
from dogwoodshed._internal.standins.upstream import Behaviour

GATEWAYS = 5
RANKS = ("urgent", "normal", "bulk")
SLOTS = 2
# Long against the delays of a busy laptop, which would otherwise count as load.
MEAN_MS = 80.0
# The users' 20, 10 and 10 upstreams, scaled down to a laptop.
UPSTREAMS = {"profiles": 8, "registration": 4, "billing": 4}
PROFILES_PER_S = UPSTREAMS["profiles"] * SLOTS / MEAN_MS * 1000


class Event(NamedTuple):
    """A change of the stand-ins at a share of the evening."""

    at: float
    text: str
    # The service whose first upstream changes, if any does.
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
    behaviour: Behaviour = {"slots": SLOTS, "mean_ms": MEAN_MS}
    return [
        UpstreamGroup(name, count, behaviour, seed + 100 * number)
        for number, (name, count) in enumerate(UPSTREAMS.items())
    ]


def flows(seconds: float) -> list[Flow]:
    """Return the calls of an evening of this length."""
    return [
        Flow("profile-read", "urgent", "GET", "/profiles/7", 0.3 * PROFILES_PER_S),
        Flow("profile-save", "normal", "PUT", "/profiles/7", 0.15 * PROFILES_PER_S),
        Flow("export", "bulk", "POST", "/profiles/export", 0.05 * PROFILES_PER_S),
        Flow(
            "surge-read",
            "urgent",
            "GET",
            "/profiles/7",
            0.25 * PROFILES_PER_S,
            caller="festival",
            start_s=0.15 * seconds,
            end_s=0.4 * seconds,
        ),
        Flow(
            "flood-export",
            "bulk",
            "POST",
            "/profiles/export",
            1.5 * PROFILES_PER_S,
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
            # The callers' network loses one answer in five; they ask again.
            lost_answer_every=5,
        ),
        Flow("schedule", "normal", "GET", "/billing/schedules", 25),
    ]


# Calls that must run at most once.
ONCE = frozenset({"pairing", "fee"})


def configuration(addresses: Mapping[str, Sequence[str]]) -> dict[str, Any]:
    """Return the configuration text as objects."""
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
    name: str, addresses: Sequence[str], *kinds: dict[str, Any], **more: Any
) -> dict[str, Any]:
    return {
        "name": name,
        "path_prefix": f"/{name}",
        "slots_per_upstream": SLOTS,
        "upstreams": [
            {"address": address, "data_centre": f"lima-{index % 3 + 1}"}
            for index, address in enumerate(addresses)
        ],
        "kinds": list(kinds),
        **more,
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
