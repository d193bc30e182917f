"""Model an accepted configuration text."""

from collections.abc import Mapping
from typing import NamedTuple


class Rank(NamedTuple):
    """A class of urgency; position 0 is the most urgent."""

    name: str
    position: int
    floor_share: float


class Kind(NamedTuple):
    """A kind of request of a service."""

    name: str
    method: str
    path: str
    rank: Rank
    idempotent: bool
    time_limit: float
    # Beyond the time limit a call is late; beyond the deadline it is given up.
    deadline: float
    objective: float
    # Upstreams that one call may be sent to; 0 leaves that to the retry policy.
    max_attempts: int = 0

    def matches(self, method: str, path: str) -> bool:
        """Tell whether a request is of this kind."""
        return self.method in ("*", method) and path.startswith(self.path)


class Upstream(NamedTuple):
    """One back-end server."""

    address: str
    data_centre: str
    # The name of this run of the server, where the platform gives one.
    id: str = ""


class NotRunRule(NamedTuple):
    """What an answer looks like that says the request was not run."""

    # 0 stands for any status.
    status: int
    header: str
    # A status that says so by itself, without the header; 0 for none.
    bare_status: int = 0

    def matches(self, status: int, headers: Mapping[str, str]) -> bool:
        """Tell whether an answer says that the request was not run."""
        if status == self.bare_status != 0:
            return True
        return self.status in (0, status) and self.header in headers


class Service(NamedTuple):
    """A service, its upstreams and the kinds of request it takes."""

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
    """A service that a route sends a share of its calls to."""

    service: Service
    weight: float


class Route(NamedTuple):
    """Where the calls of one host and path prefix go."""

    name: str
    host: str
    prefix: str
    kind: Kind
    backends: tuple[Backend, ...]


class Configuration(NamedTuple):
    """An accepted configuration text with its revision."""

    revision: int
    digest: str
    fleet: str
    ranks: tuple[Rank, ...]
    services: tuple[Service, ...]
    # Routes by host, for configurations that keep them apart from the services.
    routes: tuple[Route, ...] = ()

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
        """Return a copy with the upstreams of services that use `discover`."""
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
