"""Build test data for fleets that discover their members."""

import base64
import json
from collections.abc import Callable
from typing import Any

from dogwoodshed._internal.configuration.model import (
    Backend,
    Configuration,
    Kind,
    NotRunRule,
    Rank,
    Route,
    Service,
)
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.directory.model import (
    DirectoryRevision,
    UpstreamEntry,
    UpstreamRun,
)
from dogwoodshed._internal.directory.table import UpstreamTable, UsableUpstream
from dogwoodshed._internal.directory.view import DirectoryView
from dogwoodshed._internal.mesh.fleet_messages import (
    Member,
)
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.placement import Candidate
from dogwoodshed._internal.routing.shared_router import (
    SharedRouter,
    SharedRouterContext,
)

# Seconds between two writes of an entry by its upstream.
ENTRY_INTERVAL_S = 1.5
RANKS = tuple(Rank(str(position), position, 0.0) for position in range(3))


class FakeClock:
    """Clock whose monotonic, wall and CPU time are one time that a test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now

    def wall(self) -> float:
        return self.now

    def cpu_time(self) -> float:
        return self.now


def revision(number: int, era: int = 0) -> DirectoryRevision:
    """Build a revision of the directory."""
    return DirectoryRevision(era, number)


def read_version(text: str) -> int:
    """Return the version of a text such as "text 17"."""
    return int(text.rpartition(" ")[2])


def table() -> UpstreamTable:
    """Build an empty table of upstreams."""
    return UpstreamTable(ENTRY_INTERVAL_S)


def entry(
    upstream_id: str = "i-1", number: int = 1, era: int = 0, **changes: Any
) -> UpstreamEntry:
    """Build a directory entry whose last change has a revision."""
    fields = {
        "service": "profiles",
        "address": f"10.0.0.1:{8000 + number}",
        "data_centre": "lima-a",
        "slots": 2,
        "started_ms": 1,
    }
    return UpstreamEntry(upstream_id, revision(number, era), **{**fields, **changes})


def usable_upstream(upstream_id: str, **changes: Any) -> UsableUpstream:
    """Build an upstream that may get calls."""
    port = 8000 + int(upstream_id.rpartition("-")[2])
    return UsableUpstream(
        entry(upstream_id, address=f"10.0.0.1:{port}", **changes), False, 0.0
    )


def upstream_run(upstream_id: str, **changes: Any) -> UpstreamRun:
    """Build the run of an upstream from `usable_upstream`."""
    return UpstreamRun.from_entry(usable_upstream(upstream_id, **changes).entry)


def member(name: str, data_centre: str = "lima-a", incarnation: int = 1) -> Member:
    """Build a member of a fleet."""
    return Member(name, f"10.0.0.{incarnation}:70", data_centre, incarnation)


def kind(rank: int = 1, **changes: Any) -> Kind:
    """Build a kind of request."""
    built = Kind("read", "*", "/", RANKS[rank], True, 0.4, 1.2, 1.0, 2)
    return built._replace(**changes)


def service(name: str = "profiles") -> Service:
    """Build a service whose upstreams come from the directory."""
    mark = NotRunRule(0, "X-Not-Run", 421)
    return Service(name, "", (), 0, 100, 8.0, "/health", (), name, mark, ())


def configuration(*routes: Route) -> Configuration:
    """Build a configuration with routes."""
    services = {b.service.name: b.service for r in routes for b in r.backends}
    services.setdefault("profiles", service())
    return Configuration(1, "", "", RANKS, tuple(services.values()), routes)


def route(prefix: str = "/a/", host: str = "h", **weights: float) -> Route:
    """Build a route with weighted services as backends."""
    weights = weights or {"profiles": 1}
    backends = tuple(Backend(service(name), weight) for name, weight in weights.items())
    return Route(f"{host}{prefix}", host, prefix, kind(), backends)


def call(clock: FakeClock, rank: int = 1, **changes: Any) -> Call:
    """Build a call that has just arrived."""
    fields = {"caller": "c", "arrived_at": clock.now, "deadline": clock.now + 1.2}
    return Call(service(), kind(rank), **{**fields, **changes})


def candidate(upstream_id: str = "i-1", **changes: Any) -> Candidate:
    """Build an idle upstream with its usual service time."""
    built = Candidate(upstream_id, 2, 0, 1.0, 0.0, False, False, False)
    return built._replace(**changes)


class IdleFollower:
    """Follower of a directory that reads nothing."""

    failing = False
    age = 0.0

    def record_peer_progress(self, revision: DirectoryRevision, age: float) -> None:
        """Ignore the progress of a peer."""


def directory_view(
    clock: FakeClock,
    load: Callable[..., Any] = lambda *_: None,
    on_upstreams: Callable[[list[UsableUpstream]], None] = lambda _: None,
    **options: Any,
) -> DirectoryView:
    """Build an empty view; `load` gets the texts of configurations."""
    metrics = CountingMetrics()
    view = DirectoryView(
        ConfigurationStore(metrics, load),
        on_upstreams,
        lambda: None,
        read_version,
        clock,
        metrics,
        entry_interval=ENTRY_INTERVAL_S,
        **options,
    )
    view.attach(IdleFollower())
    return view


class CountingMetrics:
    """Metrics that count in memory."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}

    def increment(self, name: str, count: int = 1) -> None:
        self.counts[name] = self.counts.get(name, 0) + count

    def gauge(self, name: str, value: float) -> None:
        """Ignore a gauge."""


def router(clock: FakeClock, *upstream_ids: str) -> SharedRouter:
    """Build a router with idle upstreams."""
    built = SharedRouter(
        SharedRouterContext(
            "lima-a",
            100,
            lambda: None,
            lambda _: True,
            lambda _: True,
            clock,
            CountingMetrics(),
        )
    )
    built.apply_configuration(configuration())
    built.apply_upstreams(
        [usable_upstream(upstream_id) for upstream_id in upstream_ids]
    )
    return built


def item(key: str, value: Any, revision: int = 1) -> dict[str, Any]:
    """Build an item in the format of the key-value store."""
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return {
        "key": key,
        "value": base64.b64encode(data).decode(),
        "revision": revision,
        "create_revision": revision,
        "lease": 0,
    }


def target_value(**changes: Any) -> dict[str, Any]:
    """Build the value that a target registers in the store."""
    return {
        "service": "profiles",
        "address": "10.0.0.1:8000",
        "zone": "lima-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "cold_left_ms": 0,
        "sequence": 1,
        "born": 5,
        **changes,
    }
