"""Define the interface of routing policies."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import Configuration, Service, Upstream
from dogwoodshed._internal.membership import Members, Membership
from dogwoodshed._internal.mesh.messages import (
    ServiceLoad,
)
from dogwoodshed._internal.mesh.service import Mesh
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.settings import Settings


class OutcomeStatus(Enum):
    """How a call to an upstream ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    UNREACHABLE = "unreachable"


class LoadReport(NamedTuple):
    """The load that an upstream reports of itself."""

    in_flight: int | None = None
    slots: int | None = None
    draining: bool = False
    # Ratio of the current to the usual service time.
    slowness: float | None = None
    # The instance that responded, if upstreams identify themselves.
    instance: str = ""
    # Seconds for which the upstream wants no more calls of this gateway.
    hold_off: float | None = None


class Outcome(NamedTuple):
    """The result of one call to an upstream."""

    status: OutcomeStatus
    # In seconds.
    elapsed: float
    report: LoadReport | None = None


class UpstreamStatus(NamedTuple):
    """The state of an upstream as one gateway observes it."""

    service: str
    address: str
    in_flight: int
    expected_ms: float
    # Why the upstream gets few or no calls; None if it is available.
    out: str | None


class ProbeTarget(NamedTuple):
    """An upstream that this gateway probes if there is no recent sample of it."""

    service: str
    address: str
    path: str
    # Probes per second that all gateways together may send to it.
    budget_per_s: float
    last_sample_at: float


class RouterStatus(NamedTuple):
    """The state of a routing policy."""

    policy: str
    # Waiting calls by service and rank.
    queued: Mapping[str, Mapping[str, int]]
    upstreams: tuple[UpstreamStatus, ...]


class Slot:
    """Permission to send one call to one upstream."""

    __slots__ = ("service", "upstream")

    def __init__(self, service: Service, upstream: Upstream) -> None:
        self.service = service
        self.upstream = upstream

    def describe_choice(self) -> str:
        """Return, for the log, why this upstream was chosen."""
        return ""


class RouterContext(NamedTuple):
    """Dependencies of a routing policy."""

    settings: Settings
    mesh: Mesh
    membership: Membership
    clock: Clock
    metrics: Metrics


class Router(ABC):
    """Choose an upstream for each call and adapt to the outcomes."""

    name = ""

    @classmethod
    def from_context(cls, context: RouterContext) -> "Router":
        """Create a policy; most do not need the context."""
        return cls()

    def apply_members(self, members: Members) -> None:  # noqa: B027
        """Apply a changed set of live gateways; most policies ignore it."""

    def probe_targets(self) -> tuple[ProbeTarget, ...]:
        """Return the upstreams that this gateway probes on behalf of the fleet."""
        return ()

    def record_probe(self, target: ProbeTarget, outcome: Outcome) -> None:  # noqa: B027
        """Record the outcome of a probe."""

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load of each service for the heartbeat, if the policy uses it."""
        return ()

    def count_upstreams(self, service: Service) -> int:
        """Return how many upstreams a service has."""
        return len(service.upstreams)

    @abstractmethod
    async def acquire(
        self, call: Call, *, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Wait for a slot; raises NotRunError."""

    @abstractmethod
    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Return a slot with the outcome of its call."""

    def record_notice(self, slot: Slot, report: LoadReport) -> None:  # noqa: B027
        """Record at once what a response says of further calls to its upstream."""

    @abstractmethod
    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply the services and upstreams of a new configuration."""

    @abstractmethod
    def snapshot(self) -> RouterStatus:
        """Return the state for the status page."""

    @abstractmethod
    def set_draining(self, address: str, draining: bool) -> None:
        """Stop or resume sending calls to an upstream."""
