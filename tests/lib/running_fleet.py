"""Run a fleet for a scenario and track the configuration that gateways use."""

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

POLL_INTERVAL_S = 0.02
# Slots that move to another gateway are used after two heartbeats of 0.25 s. The limit
# is a time, because a fixed number of calls could all end before that.
SERVED_TIMEOUT_S = 3.0
SERVICE = "profiles"
# Separate from the service under test, so that polling the texts puts no load on it.
TEXT_SERVICE = "texts"


class RunningFleet:
    """A fleet that synchronous steps of a scenario control.

    Text N is a configuration with a service `text-N`; a gateway uses it if it serves
    calls to that service.
    """

    def __init__(self, features: dict[str, bool]) -> None:
        self._runner = asyncio.Runner()
        self._poll_tasks: list[asyncio.Task[None]] = []
        self.features = features
        self.routing = "slices"
        self.fleet = Fleet()
        self.last_text = 0
        self.discover = False
        # Newest text that each gateway has used, also before a restart.
        self.newest_text: dict[str, int] = {}
        # Gateway, newest text and older text that it served a call with afterwards.
        self.reversions: list[tuple[str, int, int]] = []

    @classmethod
    def from_context(cls, context: Any) -> "RunningFleet":
        """Create a fleet that is closed with the scenario.

        `behave -D off=NAME,NAME` disables features. A scenario must fail when the
        feature that it tests is disabled.
        """
        running = cls(scenario.disabled_features(context))
        running.routing = context.config.userdata.get("routing", running.routing)
        context.add_cleanup(running.close)
        return running

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine on the event loop of the fleet."""
        return self._runner.run(coroutine)

    def close(self) -> None:
        """Stop the polling and all processes."""
        for task in self._poll_tasks:
            task.cancel()
        self.run(self.fleet.stop())
        self._runner.close()

    async def start(self, count: int, *, upstreams: int = 2, **settings: Any) -> None:
        """Start platform, upstreams and gateways with text 1 in effect."""
        await self.start_stand_ins(upstreams=upstreams)
        await self.start_gateways(count, **settings)

    async def start_stand_ins(self, *, upstreams: int, discover: bool = False) -> None:
        """Start platform and upstreams, and publish text 1."""
        self.discover = discover
        await self.fleet.start_platform()
        await self.fleet.start_upstreams(
            [
                UpstreamGroup(SERVICE, upstreams, {"mean_ms": 2.0}),
                # Enough slots that each gateway gets one.
                UpstreamGroup(TEXT_SERVICE, 8, {"mean_ms": 2.0}),
            ]
        )
        await self.publish()

    async def start_gateways(self, count: int, **settings: Any) -> None:
        """Start the gateways and poll which texts they use."""
        settings = {"routing": self.routing, "features": self.features, **settings}
        await self.fleet.start_gateways(count, **settings)
        for gateway in self.fleet.gateways:
            self.newest_text[gateway.id] = 0
            self._poll_tasks.append(asyncio.ensure_future(self._poll_texts(gateway)))

    async def publish(self, **changes: Any) -> int:
        """Publish the next text and return its revision."""
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
        """Publish a host list of all upstreams; upstream_N="STATE" overrides "live"."""
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
        """Publish a host list with all gateways."""
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
        """Send calls to each gateway in turn and return the statuses."""
        return [
            await self.call(gateway, SERVICE)
            for gateway in gateways
            for _ in range(calls)
        ]

    async def call_until_served(
        self, gateways: Sequence[GatewayProcess], number: int
    ) -> None:
        """Call gateways in turn until an upstream has received one call.

        Afterwards only the gateway called last has a load report of that upstream.
        """
        before = await self.count_requests(number)
        started = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - started < SERVED_TIMEOUT_S:
            for gateway in gateways:
                await self.call(gateway, SERVICE)
                if await self.count_requests(number) > before:
                    return
        raise AssertionError(f"no call reached upstream {number}")

    async def wait_for(
        self, condition: Callable[[], bool | Awaitable[bool]], timeout: float
    ) -> bool:
        """Poll a condition; return whether it held within `timeout` seconds."""
        try:
            async with asyncio.timeout(timeout):
                while True:
                    holds = condition()
                    if isinstance(holds, Awaitable):
                        holds = await holds
                    if holds:
                        return True
                    await asyncio.sleep(POLL_INTERVAL_S)
        except TimeoutError:
            return False

    async def call(self, gateway: GatewayProcess, service: str) -> int:
        """Return the status of a call, or 0 without a response."""
        url = f"http://{gateway.address}/{service}"
        try:
            async with self.fleet.session.get(
                url, timeout=aiohttp.ClientTimeout(total=2.0)
            ) as response:
                return response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def _poll_texts(self, gateway: GatewayProcess) -> None:
        while True:
            for text in range(1, self.last_text + 1):
                newest = self.newest_text[gateway.id]
                if await self.call(gateway, f"text-{text}") == 200:
                    if text < newest:
                        self.reversions.append((gateway.id, newest, text))
                    self.newest_text[gateway.id] = max(
                        text, self.newest_text[gateway.id]
                    )
            await asyncio.sleep(POLL_INTERVAL_S)
