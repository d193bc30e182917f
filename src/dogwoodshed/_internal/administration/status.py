"""Collect the status of a gateway for the administration API."""

from collections.abc import Callable
from typing import NamedTuple, TypedDict

from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.routing.base import Router
from dogwoodshed._internal.settings import Settings


class ConfigurationStatus(TypedDict):
    """The configuration in effect and the last rejected revision."""

    revision: int
    digest: str
    rejected_revision: int | None
    rejected_reason: str | None


class PeerStatus(TypedDict):
    """State of a peer from the point of view of this gateway."""

    id: str
    address: str | None
    live: bool
    listed: bool
    state: str | None
    data_centre: str | None
    revision: int | None
    sent_bytes: int
    received_bytes: int


class UpstreamStatusDict(TypedDict):
    """State of an upstream from the point of view of this gateway."""

    service: str
    address: str
    in_flight: int
    # Expected service time.
    expected_ms: float
    # Why the upstream gets few or no calls; None if it is available.
    out: str | None


class GatewayStatus(TypedDict):
    """The status of one gateway."""

    id: str
    host: str
    data_centre: str
    state: str
    ready: bool
    drained: bool
    in_flight: int
    configuration: ConfigurationStatus
    platform_reachable: bool
    peers: list[PeerStatus]
    routing: str
    upstreams: list[UpstreamStatusDict]
    queues: dict[str, dict[str, int]]
    summaries: dict[str, int]
    counters: dict[str, int]


class StatusSources(NamedTuple):
    """Components of a gateway that provide its status."""

    settings: Settings
    store: ConfigurationStore
    membership: Membership
    mesh: Mesh
    router: Router
    metrics: Metrics
    state: Callable[[], str]
    in_flight: Callable[[], int]
    platform_reachable: Callable[[], bool]
    summaries: Callable[[], dict[str, int]]


def collect_status(
    sources: StatusSources, *, ready: bool, drained: bool
) -> GatewayStatus:
    """Collect the status from all components."""
    settings, routing = sources.settings, sources.router.snapshot()
    return {
        "id": settings.id,
        "host": settings.host,
        "data_centre": settings.data_centre,
        "state": sources.state(),
        "ready": ready,
        "drained": drained,
        "in_flight": sources.in_flight(),
        "configuration": _configuration_status(sources.store),
        "platform_reachable": sources.platform_reachable(),
        "peers": _peer_statuses(sources),
        "routing": routing.policy,
        "upstreams": [upstream._asdict() for upstream in routing.upstreams],
        "queues": {
            service: dict(by_rank) for service, by_rank in routing.queued.items()
        },
        "summaries": sources.summaries(),
        "counters": dict(sorted(sources.metrics.counters.items())),
    }


def _configuration_status(store: ConfigurationStore) -> ConfigurationStatus:
    rejection = store.rejection
    return {
        "revision": store.revision,
        "digest": store.current.digest if store.current else "",
        "rejected_revision": store.rejected_revision if rejection else None,
        "rejected_reason": str(rejection) if rejection else None,
    }


def _peer_statuses(sources: StatusSources) -> list[PeerStatus]:
    membership, mesh = sources.membership, sources.mesh
    members, views, traffic = membership.members, membership.views, mesh.traffic
    names = {*members.listed, *members.live, *membership.addresses} - {mesh.id}
    peers: list[PeerStatus] = []
    for name in sorted(names):
        view = views.get(name)
        byte_counts = traffic.get(name)
        peers.append(
            {
                "id": name,
                "address": membership.address(name),
                "live": name in members.live,
                "listed": name in members.listed,
                "state": view.heartbeat.state if view else None,
                "data_centre": view.data_centre if view else None,
                "revision": view.heartbeat.revision if view else None,
                "sent_bytes": byte_counts.sent if byte_counts else 0,
                "received_bytes": byte_counts.received if byte_counts else 0,
            }
        )
    return peers
