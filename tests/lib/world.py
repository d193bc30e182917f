"""Context object ("world") of scenarios that send load to a fleet."""

import asyncio
import json
from collections.abc import Coroutine, Iterable
from typing import Any

from dogwoodshed._internal.standins.caller import (
    Callers,
    CallResult,
    Flow,
    OutcomeCounts,
    count_outcomes,
)
from dogwoodshed._internal.standins.fleet import Fleet, UpstreamGroup
from dogwoodshed._internal.standins.upstream import Behaviour
from tests.lib import builders, scenario

IDLE_TIMEOUT_S = 20.0
# Default of the upstream stand-in.
DEFAULT_SLOTS = 2


class World:
    """A fleet with an event loop of its own, its load and the results of its calls."""

    def __init__(self, features: dict[str, bool]) -> None:
        self.runner = asyncio.Runner()
        self.fleet = Fleet()
        self.features = features
        self.routing = "slices"
        self.slots = DEFAULT_SLOTS
        self.results: list[CallResult] = []
        self.flows: list[Flow] = []
        self.deadline_ms = 2000
        self._callers: Callers | None = None

    @classmethod
    def from_context(cls, context) -> "World":
        """Create a world that is closed with its scenario.

        `behave -D off=NAME,NAME` disables features.
        """
        world = cls(scenario.disabled_features(context))
        world.routing = context.config.userdata.get("routing", world.routing)
        context.add_cleanup(world.close)
        return world

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the event loop of the world."""
        return self.runner.run(coroutine)

    def close(self) -> None:
        """Stop all processes."""
        self.run(self.fleet.stop())
        self.runner.close()

    async def start(
        self,
        gateways: int,
        upstreams: int,
        behaviour: Behaviour,
        services: Iterable[str] = ("profiles",),
        **settings: Any,
    ) -> None:
        """Start gateways, and the same number of upstreams for each service."""
        await self.fleet.start_platform()
        names = list(services)
        self.slots = behaviour.get("slots", DEFAULT_SLOTS)
        await self.fleet.start_upstreams(
            [UpstreamGroup(name, upstreams, behaviour, 1) for name in names]
        )
        await self.publish()
        await self.fleet.start_gateways(
            gateways,
            **{"routing": self.routing, "features": self.features, **settings},
        )

    async def publish(self, extra_addresses: Iterable[str] = ()) -> None:
        """Publish all services, each with additional upstream addresses."""
        services = [
            builders.service_entry(
                name,
                (*addresses, *extra_addresses),
                kinds=self.kind_entries(name),
                slots_per_upstream=self.slots,
            )
            for name, addresses in self.fleet.upstreams.items()
        ]
        await self.fleet.publish(json.dumps(builders.configuration_document(*services)))

    def kind_entries(self, name: str) -> list[dict]:
        """Return an idempotent and a non-idempotent kind."""
        common = {
            "time_limit_ms": 500,
            "deadline_ms": self.deadline_ms,
            "path": f"/{name}",
        }
        write = builders.kind_entry("write", method="POST", idempotent=False, **common)
        return [builders.kind_entry(**common), write]

    def add_flow(
        self, name: str, method: str, rate: float, path: str = "/profiles"
    ) -> Flow:
        """Add a flow of calls to the load."""
        flow = Flow(name, "normal", method, path, rate)
        self.flows.append(flow)
        return flow

    async def run_load(self, seconds: float, seed: int, **options: Any) -> None:
        """Send the calls of all flows and record the results."""
        self._callers = Callers([g.address for g in self.fleet.gateways], **options)
        await self._callers.run(self.flows, seconds, seed)
        self.results += self._callers.results

    def stop_load(self) -> None:
        """Stop sending calls of the running load."""
        self._callers.stop()

    async def count_runs(self, service: str = "profiles") -> dict[str, int]:
        """Return how often the upstreams ran each request."""
        runs: dict[str, int] = {}
        for state in await self.fleet.upstream_states(service):
            for request_id, count in state["runs"].items():
                runs[request_id] = runs.get(request_id, 0) + count
        return runs

    async def sum_counter(self, name: str, service: str = "profiles") -> int:
        """Return the sum of a counter over all upstreams."""
        states = await self.fleet.upstream_states(service)
        return sum(state["counts"].get(name, 0) for state in states)

    async def max_counter(self, name: str, service: str = "profiles") -> int:
        """Return the maximum of a counter over all upstreams."""
        states = await self.fleet.upstream_states(service)
        return max(state["counts"].get(name, 0) for state in states)

    async def set_behaviour(
        self, behaviour: Behaviour, service: str = "profiles"
    ) -> None:
        """Change the behaviour of all upstreams of a service."""
        for address in self.fleet.upstreams[service]:
            await self.fleet.control_upstream(address, behaviour)

    async def wait_until_idle(self, service: str = "profiles") -> None:
        """Wait until no call runs or waits at any upstream."""
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            while any(
                state["running"] or state["waiting"]
                for state in await self.fleet.upstream_states(service)
            ):
                await asyncio.sleep(0.05)

    def count_outcomes(self, runs: dict[str, int]) -> OutcomeCounts:
        """Compare the results with the runs; calls of POST flows may run only once."""
        run_once = frozenset(flow.name for flow in self.flows if flow.method == "POST")
        return count_outcomes(self.results, runs, run_once)
