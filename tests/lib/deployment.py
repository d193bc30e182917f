"""Run gateway processes with stand-ins for the store and the targets."""

import asyncio
import json
import os
import signal
import sys
import tempfile
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from dogwoodshed._internal.exceptions import StandInError
from dogwoodshed._internal.standins.ports import free_ports
from tests.lib.store_standin import StoreStandIn
from tests.lib.target_standin import TargetStandIn

LOG_TAIL_CHARACTERS = 1500
ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
CONFIGURATION_KEY = "op/config"
START_TIMEOUT_S = 20.0


class Response(NamedTuple):
    """The response that a caller received."""

    status: int
    body: bytes
    headers: dict[str, str]


def route(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Build a route entry of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route_type": "safe",
        "timeout_ms": 1000,
        "slo_ms": 300,
        "priority": 1,
        "service": "profiles",
        "max_attempts": 2,
        **changes,
    }


ROUTES = (route("read", "/read/"), route("write", "/write/", route_type="unsafe"))


class DeployedGateway:
    """A gateway process, started as on the platform, and its addresses."""

    def __init__(self, name: str, folder: str, zone: str) -> None:
        self.name = name
        self.zone = zone
        # Address at which only this gateway calls the store.
        self.store_address = ""
        self.port, self.ready_port, self.control_port = free_ports(3)
        self.settings_path = Path(folder) / f"{name}.jsonc"
        self._log = Path(folder) / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    @property
    def control(self) -> str:
        return f"127.0.0.1:{self.control_port}"

    @property
    def log(self) -> str:
        return self._log.read_text(errors="replace")

    def configure(
        self,
        store: str,
        seeds: list[str],
        stop_grace_s: float | None = None,
        **limits: Any,
    ) -> None:
        """Write the settings file."""
        settings = {
            "id": self.name,
            "host": self.name,
            "data_centre": self.zone,
            "listen": f"127.0.0.1:{self.port}",
            "routing": "shared",
            "mesh": {"listen": self.control, "seeds": seeds},
            "platform": {"address": store},
            "endpoints": {"readiness": f"127.0.0.1:{self.ready_port}"},
            "retries": {"ratio": 0.2, "reserve": 20},
            "limits": {
                "connect_timeout_s": 0.25,
                "stop_linger_s": 0.5,
                "idle_timeout_s": 9.0,
                "finish_abandoned": False,
                "hold_unsized": True,
                **limits,
            },
            "stop_timeout_s": 2.6,
        }
        if stop_grace_s is not None:
            settings["stop_grace_s"] = stop_grace_s
        self.settings_path.write_text(json.dumps(settings))

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform"),
                f"127.0.0.1:{self.port}",
                env={"DOGWOODSHED_CONFIG": str(self.settings_path), "PATH": os.defpath},
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> None:
        """Wait until the gateway reports that it is ready."""
        try:
            async with asyncio.timeout(START_TIMEOUT_S):
                while not await self.is_ready():
                    await asyncio.sleep(0.02)
        except TimeoutError:
            code = self.process.returncode
            tail = self.log[-LOG_TAIL_CHARACTERS:]
            raise StandInError(
                f"{self.name} not ready, exit code {code}: {tail}"
            ) from None

    async def is_ready(self) -> bool:
        """Return whether the readiness endpoint reports ready."""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://127.0.0.1:{self.ready_port}/ready") as response,
            ):
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGKILL) -> int:
        """Resume and signal the process; return its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(number)
        async with asyncio.timeout(START_TIMEOUT_S):
            return await self.process.wait()


class Deployment:
    """A store, targets and gateways on loopback."""

    def __init__(self, gateways: int = 1, zones: int = 1) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.store = StoreStandIn()
        self.targets: dict[str, TargetStandIn] = {}
        self.gateways = [
            DeployedGateway(f"g{i}", self._folder.name, f"lima-{i % zones}")
            for i in range(gateways)
        ]
        # The last value that the operator or a target wrote to each key.
        self._written: dict[str, Any] = {}
        # Settings of the gateways, if not the usual ones.
        self.stop_grace_s: float | None = None
        self.limits: dict[str, Any] = {}
        # The limits of the operator's configuration.
        self.caller_limits: dict[str, Any] = {}
        self._version = 0
        self._session: aiohttp.ClientSession | None = None

    @property
    def written_keys(self) -> list[str]:
        return sorted(self._written)

    async def start(
        self, targets: int = 2, routes: tuple = ROUTES, slots: int = 4
    ) -> None:
        """Start everything and wait until all gateways are ready."""
        self.open_session()
        await self.store.start()
        for index in range(targets):
            await self.add_target(f"i-{index}", slots=slots)
        await self.configure(*routes)
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.store_address = await self.store.add_address()
            gateway.configure(
                gateway.store_address, seeds, self.stop_grace_s, **self.limits
            )
            await gateway.start()
        await asyncio.gather(*(gateway.wait_ready() for gateway in self.gateways))

    def open_session(self) -> None:
        """Create the HTTP session of the callers."""
        self._session = aiohttp.ClientSession()

    async def stop(self) -> None:
        """Stop all processes and stand-ins."""
        for gateway in self.gateways:
            if gateway.process is not None:
                await gateway.stop()
        for target in self.targets.values():
            await target.stop()
        await self._session.close()
        await self.store.stop()
        self._folder.cleanup()

    async def add_target(
        self, target_id: str, service: str = "profiles", slots: int = 4
    ) -> TargetStandIn:
        """Start a target and publish it."""
        target = TargetStandIn(target_id, service, slots=slots)
        await target.start()
        self.targets[target_id] = target
        await self.write_target(target_id)
        return target

    async def write_target(self, target_id: str, **changes: Any) -> None:
        """Write the entry of a target to the store."""
        await self._write(
            f"servers/{target_id}", self.targets[target_id].entry(**changes)
        )

    async def remove_target(self, target_id: str) -> None:
        """Remove the entry of a target from the store."""
        del self._written[f"servers/{target_id}"]
        await self.store.delete(f"servers/{target_id}")

    async def _write(self, key: str, value: Any) -> None:
        self._written[key] = value
        await self.store.put(key, value)

    async def write_again(self, *keys: str) -> None:
        """Write the last values of the keys once more, as after a restored store."""
        for key in keys:
            if key in self._written:
                await self.store.put(key, self._written[key])

    async def configure(self, *routes: dict[str, Any]) -> None:
        """Publish a configuration with the given routes."""
        self._version += 3
        names = sorted({entry["service"] for entry in routes})
        services = [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 100,
                "protocol": "h1",
                "tls": False,
            }
            for name in names
        ]
        value = {
            "version": f"{self._version:08x}",
            "routes": list(routes),
            "services": services,
            "limits": self.caller_limits,
        }
        await self._write(CONFIGURATION_KEY, value)

    async def call(
        self,
        path: str = "/read/a",
        *,
        method: str = "GET",
        request_id: str = "r",
        gateway: int = 0,
        body: bytes = b"",
        deadline_ms: int = 1000,
    ) -> Response:
        """Send a request to a gateway."""
        port = self.gateways[gateway].port
        headers = {
            "Host": HOST,
            "X-Dogwoodshed-Request-Id": request_id,
            "X-Dogwoodshed-Deadline-Ms": str(deadline_ms),
        }
        async with self._session.request(
            method,
            f"http://127.0.0.1:{port}{path}",
            headers=headers,
            data=body or None,
            timeout=aiohttp.ClientTimeout(total=5),
        ) as response:
            return Response(
                response.status, await response.read(), dict(response.headers)
            )

    def count_runs(self, request_id: str) -> int:
        """Return how often all targets together ran a request."""
        return sum(
            len(target.runs.get(request_id, ())) for target in self.targets.values()
        )
