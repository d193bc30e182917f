"""Build gateways whose hub places their calls, connected without a network."""

import asyncio

from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.mesh.placement_messages import (
    PlacementEnd,
    PlacementRequest,
)
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.routing.delegating_router import DelegatingRouter
from dogwoodshed._internal.routing.placement_server import PlacementServer
from dogwoodshed._internal.routing.shared_router import (
    SharedRouter,
    SharedRouterContext,
)
from tests.lib.fleet_builders import (
    CountingMetrics,
    configuration,
    kind,
    route,
    service,
    usable_upstream,
)

HUB = "hub"


class ConfigurationHolder:
    """Stand-in for the configuration store."""

    def __init__(self) -> None:
        self.current = configuration(route())


class Link:
    """Connect a gateway to the hub; messages arrive in a later turn of the loop."""

    def __init__(self, fleet: "PlacementFleet", gateway_id: str) -> None:
        self._fleet = fleet
        self._gateway_id = gateway_id
        self.hub = HUB
        # Without a reply, as if the hub were paused: messages are kept.
        self.paused = False
        self.kept: list[PlacementRequest | PlacementEnd] = []

    @property
    def connected_hub(self) -> str | None:
        return self.hub or None

    def send_to(self, peer_id: str, message: PlacementRequest | PlacementEnd) -> bool:
        """Deliver a message to the hub, or keep it while the hub is paused."""
        if not self.hub:
            return False
        if self.paused:
            self.kept.append(message)
        else:
            self._deliver(message)
        return True

    def resume(self) -> None:
        """Deliver the messages that were kept."""
        self.paused = False
        for message in self.kept:
            self._deliver(message)
        self.kept.clear()

    def _deliver(self, message: PlacementRequest | PlacementEnd) -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(self._fleet.receive, self._gateway_id, message)


class PlacementFleet:
    """A hub and gateways that share upstreams with two slots each."""

    def __init__(self, gateway_count: int, upstream_count: int) -> None:
        self.metrics = CountingMetrics()
        self.clock = SystemClock()
        self.upstreams = [usable_upstream(f"i-{n}") for n in range(upstream_count)]
        self.hub = self._prepare(SharedRouter(self._context()))
        self.server = PlacementServer(
            self.hub, ConfigurationHolder(), self._reply, self.clock, self.metrics
        )
        self.links: dict[str, Link] = {}
        self.gateways: dict[str, DelegatingRouter] = {}
        for number in range(gateway_count):
            name = f"g{number}"
            self.links[name] = Link(self, name)
            router = DelegatingRouter(self._context(), self.links[name])
            self.gateways[name] = self._prepare(router)
            router.load.switch_hub(HUB)

    def call(self, rank: int = 1, **changes: float) -> Call:
        """Build a call that has just arrived."""
        now = self.clock.monotonic()
        fields = {"caller": "c", "arrived_at": now, "deadline": now + 1.2}
        route_kind = kind(rank)
        return Call(service(), route_kind, **{**fields, **changes})

    def receive(
        self, gateway_id: str, message: PlacementRequest | PlacementEnd
    ) -> None:
        """Let the hub handle a message of a gateway."""
        if isinstance(message, PlacementRequest):
            self.server.handle_request(gateway_id, message)
        else:
            self.server.handle_end(gateway_id, message)

    def calls_at_hub(self) -> list[int]:
        """Return the calls in flight at each upstream, as the hub counts them."""
        return [state.own_calls for state in self.hub._states.values()]

    def _reply(self, gateway_id: str, reply) -> bool:
        loop = asyncio.get_running_loop()
        loop.call_soon(self.gateways[gateway_id].handle_reply, HUB, reply)
        return True

    def _prepare(self, router):
        router.apply_configuration(configuration())
        router.apply_upstreams(self.upstreams)
        return router

    def _context(self) -> SharedRouterContext:
        return SharedRouterContext(
            "lima-a",
            1000,
            lambda: None,
            lambda _: False,
            lambda _: False,
            self.clock,
            self.metrics,
        )
