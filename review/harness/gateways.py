"""Start the gateways with the command and the template of the deploy file."""

import asyncio
import json
import os
import re
import signal
import socket
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
# Below the ephemeral ports, which other connections may take.
PORTS = iter(range(20_000 + os.getpid() % 100 * 100, 32_000))
START_TIMEOUT_S = 40.0
# The bounds of the users' small sites.
BOUNDS = {
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 64,
}


def free_port() -> int:
    """Return a port that is free now."""
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise OSError("no free port")


def render(template: str, fields: dict) -> str:
    """Fill in the placeholders of a template."""

    def replace(match: re.Match) -> str:
        value = fields
        for part in match[1].split("."):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if match[2] else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


class Gateway:
    """One gateway process."""

    def __init__(self, name: str, zone: str, folder: Path) -> None:
        self.name = name
        self.zone = zone
        self.store_address = ""
        self.seeds: list[str] = []
        self._folder = folder
        self.front, self.ready, self.control, self._metrics = (
            f"127.0.0.1:{free_port()}" for _ in range(4)
        )
        self.log_path = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings file and start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        fields = {
            "node": self.name,
            "zone": self.zone,
            "ip": "127.0.0.1",
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": self.control,
            },
            "internal_ports": [self._metrics.rpartition(":")[2]],
            "seeds": self.seeds,
            "platform": {"address": self.store_address},
            "heartbeat_ms": 1500,
            "limits": {"cpu_share": 0.86, "link_mbps": 1000.0},
            "bounds": BOUNDS,
        }
        settings = self._folder / f"{self.name}.jsonc"
        settings.write_text(render((ROOT / role["template"]).read_text(), fields))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["DOGWOODSHED_CONFIG"] = str(settings)
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *render(role["run"], fields).split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self) -> None:
        """Wait until the gateway reports that it is ready; raises TimeoutError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while await self.readiness() != 200:
                await asyncio.sleep(0.05)

    async def readiness(self) -> int:
        """Return the status of the readiness endpoint, 0 without a response."""
        host, port = self.ready.split(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                    return int((await reader.readline()).split()[1])
                finally:
                    writer.close()
        except (OSError, IndexError, ValueError):
            return 0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.signal(signal.SIGCONT)
            self.signal(signal.SIGKILL)
            await self.process.wait()
