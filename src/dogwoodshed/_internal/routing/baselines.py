"""Baseline routing policies that use only the state of one gateway."""

import random
from abc import abstractmethod
from collections import Counter

from dogwoodshed._internal import registry
from dogwoodshed._internal.configuration.model import Configuration, Service, Upstream
from dogwoodshed._internal.exceptions import NoUpstreamError
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.base import (
    Outcome,
    Router,
    RouterStatus,
    Slot,
    UpstreamStatus,
)


class _LocalRouter(Router):
    """Dispatch every call at once, so that calls queue at the upstream."""

    def __init__(self, seed: int | None = None) -> None:
        self._random = random.Random(seed)
        self._in_flight: Counter[str] = Counter()
        self._draining: set[str] = set()
        self._configuration: Configuration | None = None

    async def acquire(
        self, call: Call, *, exclude: frozenset[str] = frozenset()
    ) -> Slot:
        """Choose an upstream without waiting; raises NoUpstreamError."""
        candidates = [
            upstream
            for upstream in call.service.upstreams
            if upstream.address not in exclude
            and upstream.address not in self._draining
        ]
        if not candidates:
            raise NoUpstreamError(call.service.name)
        upstream = self.choose(call.service, candidates)
        self._in_flight[upstream.address] += 1
        return Slot(call.service, upstream)

    @abstractmethod
    def choose(self, service: Service, candidates: list[Upstream]) -> Upstream:
        """Choose one of the candidates."""

    def release(self, slot: Slot, outcome: Outcome) -> None:
        """Decrement the calls in flight of the upstream and record a reported drain."""
        self._in_flight[slot.upstream.address] -= 1
        if outcome.report is not None and outcome.report.draining:
            self._draining.add(slot.upstream.address)

    def apply_configuration(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        self._configuration = configuration

    def set_draining(self, address: str, draining: bool) -> None:
        """Stop or resume sending calls to an upstream."""
        if draining:
            self._draining.add(address)
        else:
            self._draining.discard(address)

    def snapshot(self) -> RouterStatus:
        """Return the state for the status page."""
        services = self._configuration.services if self._configuration else ()
        upstreams = tuple(
            UpstreamStatus(
                service.name,
                upstream.address,
                self._in_flight[upstream.address],
                0.0,
                "draining" if upstream.address in self._draining else None,
            )
            for service in services
            for upstream in service.upstreams
        )
        return RouterStatus(self.name, {}, upstreams)


@registry.register(registry.ROUTING, "round_robin")
class RoundRobinRouter(_LocalRouter):
    """Use the upstreams in turn."""

    name = "round_robin"

    def __init__(self, seed: int | None = None) -> None:
        super().__init__(seed)
        self._next_index: Counter[str] = Counter()

    def choose(self, service: Service, candidates: list[Upstream]) -> Upstream:
        """Return the next upstream in turn."""
        self._next_index[service.name] += 1
        return candidates[self._next_index[service.name] % len(candidates)]


@registry.register(registry.ROUTING, "random")
class RandomRouter(_LocalRouter):
    """Use a random upstream."""

    name = "random"

    def choose(self, service: Service, candidates: list[Upstream]) -> Upstream:
        """Return a random upstream."""
        return self._random.choice(candidates)


@registry.register(registry.ROUTING, "least_in_flight")
class LeastInFlightRouter(_LocalRouter):
    """Use the upstream with the fewest calls in flight from this gateway."""

    name = "least_in_flight"

    def choose(self, service: Service, candidates: list[Upstream]) -> Upstream:
        """Return the upstream with the fewest calls; ties are broken at random."""
        return min(
            candidates,
            key=lambda upstream: (
                self._in_flight[upstream.address],
                self._random.random(),
            ),
        )
