"""Define the interface of routing policies."""

from abc import ABC, abstractmethod
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from dogwoodshed._internal.clock import Clock
from dogwoodshed._internal.configuration.model import Configuration, Service, Upstream
from dogwoodshed._internal.membership import Members, Membership
from dogwoodshed._internal.mesh.messages import ServiceLoad
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
    """What an upstream says of its own load."""

    in_flight: int | None = None
    slots: int | None = None
    draining: bool = False
    # How long work takes there at this moment, 1 being as usual.
    slowness: float | None = None
    # The instance that answered, where upstreams name it.
    instance: str = ""


class Outcome(NamedTuple):
    """The end of one call to an upstream."""

    status: OutcomeStatus
    elapsed: float
    report: LoadReport | None = None


class UpstreamStatus(NamedTuple):
    """The state of an upstream as one gateway sees it."""

    service: str
    address: str
    in_flight: int
    expected_ms: float
    out: str | None


class ProbeTarget(NamedTuple):
    """An upstream that this gateway probes when it has not heard from it."""

    service: str
    address: str
    path: str
    budget_per_s: float
    last_sample_at: float


class RouterStatus(NamedTuple):
    """The state of a routing policy."""

    policy: str
    queued: Mapping[str, Mapping[str, int]]
    upstreams: tuple[UpstreamStatus, ...]


class Slot:
    """Permission to send one call to one upstream."""

    __slots__ = ("service", "upstream")

    def __init__(self, service: Service, upstream: Upstream) -> None:
        self.service = service
        self.upstream = upstream

    def describe_choice(self) -> str:
        """Tell for the log what decided for this upstream."""
        return ""


class RouterContext(NamedTuple):
    """What a routing policy may use."""

    settings: Settings
    mesh: Mesh
    membership: Membership
    clock: Clock
    metrics: Metrics


class Router(ABC):
    """Choose an upstream for each call and learn from the outcome."""

    name = ""

    @classmethod
    def from_context(cls, context: RouterContext) -> "Router":
        """Create a policy; most need nothing of the context."""
        return cls()

    def apply_members(self, members: Members) -> None:  # noqa: B027
        """Use a new set of live gateways; most policies ignore it."""

    def probe_targets(self) -> tuple[ProbeTarget, ...]:
        """Return the upstreams that this gateway alone should probe."""
        return ()

    def record_probe(self, target: ProbeTarget, outcome: Outcome) -> None:  # noqa: B027
        """Learn from a probe."""

    def loads(self) -> tuple[ServiceLoad, ...]:
        """Return the load by service for the heartbeat, if the policy shares it."""
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

    @abstractmethod
    def apply_configuration(self, configuration: Configuration) -> None:
        """Use the services and upstreams of a new configuration."""

    @abstractmethod
    def snapshot(self) -> RouterStatus:
        """Return the state for the status page."""

    @abstractmethod
    def set_draining(self, address: str, draining: bool) -> None:
        """Stop or resume new work for an upstream."""
