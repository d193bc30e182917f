"""Run a fleet for a scenario and observe which text each gateway serves by."""

import asyncio
import json
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any

import aiohttp

from dogwoodshed._internal.standins.fleet import (
    HOSTS_KEY,
    Fleet,
    GatewayProcess,
    UpstreamGroup,
)
from tests.lib import builders, scenario

POLL_S = 0.02
# Slots that changed hands are used after two heartbeats of 0.25 s; a number of calls
# instead of a time could all end before.
SERVED_WITHIN_S = 3.0
SERVICE = "profiles"
# Apart from the service under test, so that watching the texts gives it no work.
TEXT_SERVICE = "texts"


class RunningFleet:
    """Drive a fleet from the steps of a scenario, which are not coroutines."""

    def __init__(self, features: dict[str, bool]) -> None:
        self._runner = asyncio.Runner()
        self._watchers: list[asyncio.Task[None]] = []
        self.features = features
        self.routing = "slices"
        self.fleet = Fleet()
        self.last_text = 0
        self.discover = False
        # The newest text seen in use, by gateway; it stays over restarts.
        self.newest_text: dict[str, int] = {}
        # Calls served by an older text than one seen before on that gateway.
        self.reversions: list[tuple[str, int, int]] = []

    @classmethod
    def from_context(cls, context: Any) -> "RunningFleet":
        """Create a fleet that ends with the scenario; `-D off=NAME,...` cuts features.

        A scenario must fail when the mechanism that it tests is switched off.
        """
        running = cls(scenario.disabled_features(context))
        running.routing = context.config.userdata.get("routing", running.routing)
        context.add_cleanup(running.close)
        return running

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine to its end."""
        return self._runner.run(coroutine)

    def close(self) -> None:
        """End everything."""
        for task in self._watchers:
            task.cancel()
        self.run(self.fleet.stop())
        self._runner.close()

    async def start(self, count: int, *, upstreams: int = 2, **settings: Any) -> None:
        """Start platform, upstreams and gateways with text 1 in force."""
        await self.start_stand_ins(upstreams=upstreams)
        await self.start_gateways(count, **settings)

    async def start_stand_ins(self, *, upstreams: int, discover: bool = False) -> None:
        """Start platform and upstreams and publish text 1."""
        self.discover = discover
        await self.fleet.start_platform()
        await self.fleet.start_upstreams(
            [
                UpstreamGroup(SERVICE, upstreams, {"mean_ms": 2.0}),
                # Enough slots for each gateway to have one.
                UpstreamGroup(TEXT_SERVICE, 8, {"mean_ms": 2.0}),
            ]
        )
        await self.publish()

    async def start_gateways(self, count: int, **settings: Any) -> None:
        """Start the gateways and watch the texts that they serve by."""
        settings = {"routing": self.routing, "features": self.features, **settings}
        await self.fleet.start_gateways(count, **settings)
        for gateway in self.fleet.gateways:
            self.newest_text[gateway.id] = 0
            self._watchers.append(asyncio.ensure_future(self._watch(gateway)))

    async def publish(self, **changes: Any) -> int:
        """Publish the next text, which adds the service `text-N`."""
        self.last_text += 1
        addresses = tuple(self.fleet.upstreams[SERVICE])
        if self.discover:
            changes = {"upstreams": [], "discover": SERVICE, **changes}
        text = builders.configuration_document(
            builders.service_entry(SERVICE, addresses, **changes),
            builders.service_entry(
                f"text-{self.last_text}", tuple(self.fleet.upstreams[TEXT_SERVICE])
            ),
        )
        return await self.fleet.publish(json.dumps(text))

    async def publish_hosts(self, **states: str) -> None:
        """Publish a host list with some upstreams in the states given by number."""
        upstreams = [
            {
                "address": address,
                "service": SERVICE,
                "data_centre": "dc-1",
                "state": states.get(f"upstream_{number}", "live"),
            }
            for number, address in enumerate(self.fleet.upstreams[SERVICE])
            if states.get(f"upstream_{number}") != "missing"
        ]
        await self.fleet.publish(json.dumps({"upstreams": upstreams}), HOSTS_KEY)

    async def publish_gateways(self) -> None:
        """Publish a host list of all gateways."""
        gateways = [
            {"id": gateway.id, "address": gateway.mesh_address, "state": "live"}
            for gateway in self.fleet.gateways
        ]
        await self.fleet.publish(json.dumps({"gateways": gateways}), HOSTS_KEY)

    async def count_requests(self, number: int) -> int:
        """Return how many calls an upstream has received."""
        address = self.fleet.upstreams[SERVICE][number]
        state = await self.fleet.control_upstream(address)
        return state["counts"].get("requests", 0)

    async def call_each(
        self, gateways: Sequence[GatewayProcess], calls: int
    ) -> list[int]:
        """Send calls to gateways one after the other and return the statuses."""
        return [
            await self.call(gateway, SERVICE)
            for gateway in gateways
            for _ in range(calls)
        ]

    async def call_until_served(
        self, gateways: Sequence[GatewayProcess], number: int
    ) -> None:
        """Call gateways in turn until an upstream got one call; then stop at once.

        Afterwards only the gateway that was called last has its load report.
        """
        before = await self.count_requests(number)
        started = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started < SERVED_WITHIN_S:
            for gateway in gateways:
                await self.call(gateway, SERVICE)
                if await self.count_requests(number) > before:
                    return
        raise AssertionError(f"no call reached upstream {number}")

    async def wait_for(
        self, condition: Callable[[], bool | Awaitable[bool]], bound: float
    ) -> bool:
        """Wait until a condition holds; tell whether it did within the bound."""
        try:
            async with asyncio.timeout(bound):
                while True:
                    holds = condition()
                    if isinstance(holds, Awaitable):
                        holds = await holds
                    if holds:
                        return True
                    await asyncio.sleep(POLL_S)
        except TimeoutError:
            return False

    async def call(self, gateway: GatewayProcess, service: str) -> int:
        """Return the status of a call, 0 without an answer."""
        url = f"http://{gateway.address}/{service}"
        try:
            async with self.fleet.session.get(
                url, timeout=aiohttp.ClientTimeout(total=2.0)
            ) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def _watch(self, gateway: GatewayProcess) -> None:
        while True:
            for text in range(1, self.last_text + 1):
                newest = self.newest_text[gateway.id]
                if await self.call(gateway, f"text-{text}") == 200:
                    if text < newest:
                        self.reversions.append((gateway.id, newest, text))
                    self.newest_text[gateway.id] = max(
                        text, self.newest_text[gateway.id]
                    )
            await asyncio.sleep(POLL_S)
