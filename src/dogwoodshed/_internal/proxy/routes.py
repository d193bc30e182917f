"""Find the service and kind of a request."""

import random
from typing import NamedTuple

from dogwoodshed._internal.configuration.model import (
    Configuration,
    Kind,
    Route,
    Service,
)


class Destination(NamedTuple):
    """Where a request goes and how it is treated."""

    service: Service
    kind: Kind


class _Split:
    """Spread the calls of a route over its services in the proportion of weights.

    Smooth weighted round-robin keeps each gateway near the proportions even after a
    few calls. The start is random, so that gateways are not in step.
    """

    def __init__(self, route: Route) -> None:
        self._total = sum(backend.weight for backend in route.backends)
        self._credits = [random.random() * backend.weight for backend in route.backends]

    def choose(self, route: Route) -> Service:
        """Return the service of the next call."""
        for index, backend in enumerate(route.backends):
            self._credits[index] += backend.weight
        best = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return route.backends[best].service


class Routes:
    """Look routes up by host and path at a cost that does not grow with them."""

    def __init__(
        self, configuration: Configuration | None, previous: "Routes | None" = None
    ) -> None:
        self._configuration = configuration
        services = configuration.services if configuration else ()
        self._services = {
            service.path_prefix: service for service in services if service.path_prefix
        }
        routes = configuration.routes if configuration else ()
        self._routes = {(route.host, route.prefix): route for route in routes}
        self._splits: dict[tuple, _Split] = {}
        # The most time that callers of a kind were seen to have, in seconds.
        self._most_time: dict[str, float] = {}
        if previous is not None:
            self._splits = previous._splits
            self._most_time = previous._most_time

    @property
    def configuration(self) -> Configuration | None:
        return self._configuration

    def find(self, path: str) -> Service | None:
        """Return the service with the longest path prefix that matches."""
        services = self._services
        service = services.get(path)
        end = len(path)
        while service is None:
            end = path.rfind("/", 0, end)
            if end < 0:
                return None
            service = services.get(path[: end + 1]) or services.get(path[:end])
        return service

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that begins the path."""
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None

    def prior_wait(self, kind: Kind, time_left: float) -> float:
        """Return what a caller spent before, judged by the most time of its kind."""
        most = max(self._most_time.get(kind.name, 0.0), time_left)
        self._most_time[kind.name] = most
        return most - time_left

    def resolve(self, host: str, method: str, path: str) -> Destination | None:
        """Return the service and the kind of a request."""
        if self._routes:
            route = self.find_route(host, path)
            if route is None:
                return None
            return Destination(self._choose(route), route.kind)
        service = self.find(path)
        kind = service.find_kind(method, path) if service else None
        return Destination(service, kind) if kind is not None else None

    def _choose(self, route: Route) -> Service:
        if len(route.backends) == 1:
            return route.backends[0].service
        key = (
            route.name,
            tuple((b.service.name, b.weight) for b in route.backends),
        )
        split = self._splits.get(key)
        if split is None:
            split = self._splits[key] = _Split(route)
        return split.choose(route)
