"""Find the service and the kind of a request."""

import posixpath
import random
import re
from typing import NamedTuple
from urllib.parse import unquote

from dogwoodshed._internal.configuration.model import (
    Configuration,
    Kind,
    Route,
    Service,
)

# What an upstream may take for another path than the one that is written.
_AMBIGUOUS = re.compile(r"%|//|/\.")
_PORT = re.compile(r":[0-9]*$")


class Destination(NamedTuple):
    """Service that a request is sent to and kind that it is treated as."""

    service: Service
    kind: Kind


class _WeightedRoundRobin:
    """Distribute the calls of a route over its services in proportion to their weights.

    Smooth weighted round-robin keeps each gateway close to the proportions even after a
    few calls. The start is random, so that gateways do not choose in lockstep.
    """

    def __init__(self, route: Route) -> None:
        self._total = sum(backend.weight for backend in route.backends)
        self._credits = [random.random() * backend.weight for backend in route.backends]

    def next_service(self, route: Route) -> Service:
        """Return the service for the next call."""
        for index, backend in enumerate(route.backends):
            self._credits[index] += backend.weight
        best = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return route.backends[best].service


class Routes:
    """Look up routes by host and path in time that does not depend on their number."""

    def __init__(
        self, configuration: Configuration | None, previous: "Routes | None" = None
    ) -> None:
        self._configuration = configuration
        services = configuration.services if configuration else ()
        self._services_by_prefix = {
            service.path_prefix: service for service in services if service.path_prefix
        }
        routes = configuration.routes if configuration else ()
        self._routes = {(route.host.lower(), route.prefix): route for route in routes}
        self._balancers: dict[tuple, _WeightedRoundRobin] = {}
        # Longest remaining time that callers of each kind have sent, in seconds.
        self._max_remaining_time: dict[str, float] = {}
        if previous is not None:
            self._balancers = previous._balancers
            self._max_remaining_time = previous._max_remaining_time

    @property
    def configuration(self) -> Configuration | None:
        return self._configuration

    def find_service(self, path: str) -> Service | None:
        """Return the service with the longest matching path prefix."""
        services = self._services_by_prefix
        service = services.get(path)
        end = len(path)
        while service is None:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            service = services.get(path[: end + 1]) or services.get(path[:end])
        return service

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def estimate_prior_wait(self, kind: Kind, remaining_time: float) -> float:
        """Estimate the seconds that a caller spent on earlier attempts.

        The estimate is the difference from the longest remaining time of the kind.
        """
        maximum = max(self._max_remaining_time.get(kind.name, 0.0), remaining_time)
        self._max_remaining_time[kind.name] = maximum
        return maximum - remaining_time

    def resolve(self, host: str, method: str, path: str) -> Destination | None:
        """Return the service and the kind of a request, or None if no route matches.

        The path is the encoded one. If its decoded and normalized form is that of a
        non-idempotent kind, the request is not idempotent either, since an upstream may
        read the path in that way.
        """
        host = _PORT.sub("", host).lower()
        destination = self._resolve(host, method, path)
        if destination is None or not destination.kind.idempotent:
            return destination
        if _AMBIGUOUS.search(path):
            kind = self._find_kind(host, method, _normalize(path))
            if kind is not None and not kind.idempotent:
                kind = destination.kind._replace(idempotent=False)
                return destination._replace(kind=kind)
        return destination

    def _resolve(self, host: str, method: str, path: str) -> Destination | None:
        if self._routes:
            route = self.find_route(host, path)
            if route is None:
                return None
            return Destination(self._choose_service(route), route.kind)
        service = self.find_service(path)
        kind = service.find_kind(method, path) if service else None
        return Destination(service, kind) if kind is not None else None

    def _find_kind(self, host: str, method: str, path: str) -> Kind | None:
        if self._routes:
            route = self.find_route(host, path)
            return route.kind if route is not None else None
        service = self.find_service(path)
        return service.find_kind(method, path) if service else None

    def _choose_service(self, route: Route) -> Service:
        if len(route.backends) == 1:
            return route.backends[0].service
        key = (
            route.name,
            tuple((b.service.name, b.weight) for b in route.backends),
        )
        balancer = self._balancers.get(key)
        if balancer is None:
            balancer = self._balancers[key] = _WeightedRoundRobin(route)
        return balancer.next_service(route)


def _normalize(path: str) -> str:
    """Return a decoded path without dot segments and empty segments."""
    decoded = unquote(path)
    normalized = posixpath.normpath("/" + decoded.lstrip("/"))
    return (
        normalized + "/" if decoded.endswith("/") and normalized != "/" else normalized
    )
