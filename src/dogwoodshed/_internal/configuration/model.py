"""Data model of an accepted configuration."""

from collections.abc import Mapping
from typing import NamedTuple


class Rank(NamedTuple):
    """A priority class of requests; position 0 is the most urgent."""

    name: str
    position: int
    # Minimum share of the dispatches that is reserved for this rank.
    floor_share: float


class Kind(NamedTuple):
    """A kind of request that a service handles, with its time limits in seconds."""

    name: str
    method: str
    path: str
    rank: Rank
    idempotent: bool
    time_limit: float
    # A call is late after the time limit and is abandoned at the deadline.
    deadline: float
    # Share of the calls that must be served within the time limit.
    objective: float
    # Number of upstreams that a call may be sent to; 0: the retry policy decides.
    max_attempts: int = 0

    def matches(self, method: str, path: str) -> bool:
        """Return whether a request is of this kind."""
        return self.method in ("*", method) and path.startswith(self.path)


class Upstream(NamedTuple):
    """One back-end server."""

    address: str
    data_centre: str
    # Identifies one run of the server process, if the platform provides it.
    id: str = ""


class NotRunRule(NamedTuple):
    """Rule for recognising responses to requests that the upstream did not run."""

    # 0: any status.
    status: int
    header: str
    # Status that suffices without the header; 0: none.
    bare_status: int = 0

    def matches(self, status: int, headers: Mapping[str, str]) -> bool:
        """Return whether a response means that the request was not run."""
        if status == self.bare_status != 0:
            return True
        return self.status in (0, status) and self.header in headers


class Service(NamedTuple):
    """A service with its upstreams and kinds of request."""

    name: str
    path_prefix: str
    depends_on: tuple[str, ...]
    slots_per_upstream: int
    connections_per_upstream: int
    probe_budget_per_s: float
    probe_path: str
    upstreams: tuple[Upstream, ...]
    discover: str | None
    not_run: NotRunRule
    kinds: tuple[Kind, ...]

    def find_kind(self, method: str, path: str) -> Kind | None:
        """Return the first kind that matches a request."""
        for kind in self.kinds:
            if kind.matches(method, path):
                return kind
        return None


class Backend(NamedTuple):
    """A service that receives a weighted share of the calls of a route."""

    service: Service
    weight: float


class Route(NamedTuple):
    """Destination of calls with a given host and path prefix."""

    name: str
    host: str
    prefix: str
    kind: Kind
    backends: tuple[Backend, ...]


class CallerLimits(NamedTuple):
    """Bounds on the requests of callers; None leaves the setting of the gateway."""

    max_header_bytes: int | None = None
    max_body_bytes: int | None = None
    # Seconds until the head of a request is complete, and between two requests.
    head_timeout: float | None = None
    idle_timeout: float | None = None


class Configuration(NamedTuple):
    """An accepted configuration and its revision."""

    revision: int
    digest: str
    fleet: str
    ranks: tuple[Rank, ...]
    services: tuple[Service, ...]
    # Only for platforms that define routes by host separately from the services.
    routes: tuple[Route, ...] = ()
    caller_limits: CallerLimits = CallerLimits()

    def find_service(self, path: str) -> Service | None:
        """Return the service with the longest path prefix that matches."""
        best = None
        for service in self.services:
            if _has_prefix(path, service.path_prefix) and (
                best is None or len(service.path_prefix) > len(best.path_prefix)
            ):
                best = service
        return best

    def with_discovered_upstreams(
        self, upstreams: Mapping[str, tuple[Upstream, ...]]
    ) -> "Configuration":
        """Return a copy with upstreams filled in for services that use `discover`."""
        services = tuple(
            service._replace(upstreams=upstreams.get(service.discover, ()))
            if service.discover
            else service
            for service in self.services
        )
        return self._replace(services=services)

    def service(self, name: str) -> Service:
        """Return the service with this name; raises KeyError."""
        for service in self.services:
            if service.name == name:
                return service
        raise KeyError(name)


def _has_prefix(path: str, prefix: str) -> bool:
    # "/price" must not match "/prices".
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")
