"""Run a fleet of gateways and its stand-ins as processes on loopback."""

import asyncio
import json
import signal
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import Any, NamedTuple

import aiohttp

from dogwoodshed._internal.exceptions import StandInError
from dogwoodshed._internal.standins.ports import free_ports
from dogwoodshed._internal.standins.upstream import Behaviour

CONFIGURATION_KEY = "dogwoodshed/configuration"
HOSTS_KEY = "dogwoodshed/hosts"
START_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class UpstreamGroup(NamedTuple):
    """Upstreams of one service, served by one stand-in process."""

    service: str
    count: int
    behaviour: Behaviour
    seed: int = 1


class GatewayProcess:
    """One gateway process and its addresses."""

    def __init__(self, settings: dict[str, Any], directory: Path) -> None:
        self._settings = settings
        self._path = directory / f"{settings['id']}.jsonc"
        self._log = directory / f"{settings['id']}.log"
        self._process: asyncio.subprocess.Process | None = None
        self._paused = False

    @property
    def id(self) -> str:
        return self._settings["id"]

    @property
    def address(self) -> str:
        return self._settings["listen"]

    @property
    def mesh_address(self) -> str:
        return self._settings["mesh"]["listen"]

    @property
    def administration_address(self) -> str:
        return self._settings["administration"]["listen"]

    @property
    def log_text(self) -> str:
        return self._log.read_text(encoding="utf-8")

    @property
    def pid(self) -> int:
        return self._process.pid

    @property
    def running(self) -> bool:
        return self._process is not None and self._process.returncode is None

    @property
    def paused(self) -> bool:
        return self._paused

    async def start(self) -> None:
        """Start the process without waiting until it serves."""
        self._path.write_text(json.dumps(self._settings), encoding="utf-8")
        with self._log.open("a", encoding="utf-8") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "dogwoodshed",
                "--verbose",
                "gateway",
                "--settings",
                str(self._path),
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)
        if number in (signal.SIGSTOP, signal.SIGCONT):
            self._paused = number == signal.SIGSTOP

    async def kill(self) -> None:
        """Kill the process."""
        if self.running:
            self._process.kill()
            await self._process.wait()

    async def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        return await self._process.wait()


class Fleet:
    """Gateways, platform, upstreams and links of one test, demo or benchmark run."""

    def __init__(self) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix="dogwoodshed-")
        self._stand_ins: list[asyncio.subprocess.Process] = []
        self._session: aiohttp.ClientSession | None = None
        self._links: dict[tuple[int, int], tuple[str, int]] = {}
        self.gateways: list[GatewayProcess] = []
        self.upstreams: dict[str, list[str]] = {}
        self._platform_link = ""
        self.platform = ""

    @property
    def session(self) -> aiohttp.ClientSession:
        return self._session

    @property
    def stand_in_pids(self) -> list[int]:
        return [process.pid for process in self._stand_ins]

    async def start_platform(self) -> None:
        """Start the platform stand-in without any values."""
        self._session = aiohttp.ClientSession()
        reply = await self._start_stand_in("platform", {})
        self.platform = reply["address"]

    async def start_upstreams(self, groups: Sequence[UpstreamGroup]) -> None:
        """Start one stand-in process for each group."""
        for group in groups:
            reply = await self._start_stand_in("upstream", group._asdict())
            # Several groups of one service spread its load over several processes.
            self.upstreams.setdefault(group.service, []).extend(reply["addresses"])

    async def publish(self, text: str, key: str = CONFIGURATION_KEY) -> int:
        """Publish a text on the platform and return its new index."""
        reply = await self.control_platform(put={"key": key, "text": text})
        return reply["index"]

    async def start_gateways(
        self,
        count: int,
        *,
        data_centres: Sequence[str] = ("dc-1",),
        with_links: bool = False,
        link_delay_s: float = 0.0,
        platform_link_for: Sequence[int] = (),
        administration: Mapping[str, Any] = MappingProxyType({}),
        **settings: Any,
    ) -> None:
        """Start gateways that are peers of each other and wait until all are ready.

        Those in `platform_link_for` reach the platform over a link that can be cut.
        """
        ports = free_ports(3 * count)
        mesh = [f"127.0.0.1:{port}" for port in ports[:count]]
        if with_links:
            await self._start_links(mesh, link_delay_s)
        platforms = dict.fromkeys(range(count), self.platform)
        if platform_link_for:
            parameters = {"targets": [self.platform]}
            reply = await self._start_stand_in("link", parameters)
            self._platform_link = reply["control"]
            platforms |= dict.fromkeys(platform_link_for, reply["addresses"][0])
        for index in range(count):
            peers = [
                {
                    "id": f"g{other:02d}",
                    "address": self._mesh_address(index, other, mesh),
                }
                for other in range(count)
                if other != index
            ]
            self.gateways.append(
                GatewayProcess(
                    {
                        "id": f"g{index:02d}",
                        "host": f"host-{index:02d}",
                        "data_centre": data_centres[index % len(data_centres)],
                        "listen": f"127.0.0.1:{ports[count + index]}",
                        "administration": {
                            "listen": f"127.0.0.1:{ports[2 * count + index]}",
                            **administration,
                        },
                        **settings,
                        "mesh": {
                            "listen": mesh[index],
                            "peers": peers,
                            **settings.get("mesh", {}),
                        },
                        "platform": {
                            "address": platforms[index],
                            **settings.get("platform", {}),
                        },
                    },
                    Path(self._directory.name),
                )
            )
        for gateway in self.gateways:
            await gateway.start()
        for gateway in self.gateways:
            await self.wait_ready(gateway)

    async def wait_ready(self, gateway: GatewayProcess) -> None:
        """Wait until a gateway accepts connections; raises StandInError."""
        ip, _, port = gateway.address.rpartition(":")
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while True:
                    if not gateway.running:
                        raise StandInError(gateway.log_text[-2000:])
                    try:
                        _, writer = await asyncio.open_connection(ip, int(port))
                    except OSError:
                        await asyncio.sleep(POLL_INTERVAL_S)
                        continue
                    writer.close()
                    return
        except TimeoutError:
            raise StandInError(f"{gateway.id}: {gateway.log_text[-2000:]}") from None

    async def control_platform(self, **command: Any) -> dict[str, Any]:
        """Change the platform stand-in and return its counts."""
        return await self._post(self.platform, command)

    async def control_upstream(
        self, address: str, behaviour: Mapping[str, Any] | None = None
    ) -> dict[str, Any]:
        """Change an upstream stand-in and return its counts."""
        return await self._post(address, dict(behaviour or {}))

    async def upstream_states(self, service: str) -> list[dict[str, Any]]:
        """Return the counts of all upstreams of a service."""
        return await asyncio.gather(
            *(self.control_upstream(address) for address in self.upstreams[service])
        )

    async def link_bytes(self) -> int:
        """Return the bytes that all links between gateways have forwarded."""
        control = next(iter(self._links.values()))[0]
        reply = await self._post(control, {"links": [], "cut": False})
        return sum(reply["bytes"])

    async def set_partition(self, side: Sequence[int], cut: bool) -> None:
        """Cut or restore every link between a gateway in `side` and one that is not."""
        control = ""
        numbers = []
        for (first, second), (address, number) in self._links.items():
            if (first in side) != (second in side):
                control = address
                numbers.append(number)
        await self._post(control, {"links": numbers, "cut": cut})

    async def set_platform_cut(self, cut: bool) -> None:
        """Cut or restore the link to the platform."""
        await self._post(self._platform_link, {"links": [0], "cut": cut})

    async def stop(self) -> None:
        """Kill every process that this fleet started."""
        for gateway in self.gateways:
            await gateway.kill()
        for process in self._stand_ins:
            if process.returncode is None:
                process.kill()
                await process.wait()
        if self._session is not None:
            await self._session.close()
        self._directory.cleanup()

    async def _start_links(self, mesh: Sequence[str], delay: float) -> None:
        pairs = [
            (first, second)
            for first in range(len(mesh))
            for second in range(len(mesh))
            if first != second
        ]
        reply = await self._start_stand_in(
            "link",
            {"targets": [mesh[second] for _, second in pairs], "delay": delay},
        )
        self._link_addresses = dict(zip(pairs, reply["addresses"], strict=True))
        for number, pair in enumerate(pairs):
            self._links[pair] = (reply["control"], number)

    def _mesh_address(self, index: int, other: int, mesh: Sequence[str]) -> str:
        if self._links:
            return self._link_addresses[index, other]
        return mesh[other]

    async def _start_stand_in(
        self, name: str, parameters: dict[str, Any]
    ) -> dict[str, Any]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            f"dogwoodshed._internal.standins.{name}",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._stand_ins.append(process)
        process.stdin.write(json.dumps(parameters).encode())
        process.stdin.close()
        line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
        if not line:
            raise StandInError(f"{name} stand-in did not start")
        return json.loads(line)

    async def _post(self, address: str, command: dict[str, Any]) -> dict[str, Any]:
        url = f"http://{address}/_control"
        async with self._session.post(url, json=command) as response:
            return await response.json()
