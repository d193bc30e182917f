"""A small deployment on loopback: store, targets and gateways."""

import asyncio
import os
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from harness.client import HOST, Answer, send
from harness.gateways import Gateway
from harness.store import Store
from harness.target import Arrival, Target

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
ZONES = ("lima-a", "lima-b", "lima-c")


def route(name: str, prefix: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "route_type": "safe",
        "timeout_ms": 1000,
        "slo_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **changes,
    }


class Deployment:
    """Start and stop everything; write what happened to a record."""

    def __init__(self, case: Path) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self._record = (case / "record.txt").open("w", encoding="utf-8")
        self._folder = tempfile.TemporaryDirectory()
        self._started_at = time.monotonic()
        self._version = 0
        self.store = Store()
        self.answers: list[Answer] = []
        self.arrivals: list[Arrival] = []
        self.targets: dict[str, Target] = {}
        self.gateways: list[Gateway] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line to the record."""
        seconds = (time.monotonic() if at is None else at) - self._started_at
        self._record.write(f"{seconds:9.3f} {text}\n")

    async def add_target(self, target_id: str, service: str, **options: Any) -> Target:
        """Start a target that writes its entry to the store."""
        target = Target(target_id, service, self.arrivals, **options)
        await target.start()
        self.targets[target_id] = target
        await self.store.put(target.key, target.entry())
        return target

    async def send(
        self, gateway: Gateway, request_id: str, path: str, **options: Any
    ) -> Answer:
        """Send a request, and keep its answer for the record."""
        answer = await send(gateway, request_id, path, **options)
        self.answers.append(answer)
        return answer

    async def configure(self, *routes: dict[str, Any]) -> float:
        """Write a configuration; return the time of the acknowledgement."""
        self._version += 3
        names = sorted({entry["service"] for entry in routes})
        value = {
            "version": f"{self._version:08x}",
            "routes": list(routes),
            "services": [
                {
                    "name": name,
                    "health_path": "/healthz",
                    "max_connections": 260,
                    "protocol": "h1",
                    "tls": False,
                }
                for name in names
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        acknowledged_at = await self.store.put("op/config", value)
        self.note(f"configuration {value['version']} acknowledged", acknowledged_at)
        return acknowledged_at

    async def start_gateways(self, count: int) -> None:
        """Start gateways, divided among the zones, and wait until all are ready."""
        self.gateways = [
            Gateway(f"front-{number}", ZONES[number % 3], Path(self._folder.name))
            for number in range(count)
        ]
        seeds = [gateway.control for gateway in self.gateways[:3]]
        for gateway in self.gateways:
            gateway.seeds = seeds
            gateway.store_address = await self.store.add_address()
            await gateway.start()
        await asyncio.gather(*(gateway.wait_ready() for gateway in self.gateways))
        self.note(f"{count} gateways ready")

    def note_log(self, gateway: Gateway, *texts: str) -> None:
        """Copy the lines of a gateway's log that contain one of the texts."""
        for line in gateway.log_path.read_text(errors="replace").splitlines():
            if any(text in line for text in texts):
                self._record.write(f"{gateway.name} log: {line[:300]}\n")

    def note_requests(self) -> None:
        """Write what was sent, what reached a target and what was answered."""
        events = []
        for a in self.answers:
            request = f"{a.request_id} {a.method} {a.path}"
            answer = a.status or "no answer"
            events.append((a.sent_at, f"sent     {request} to {a.gateway}"))
            events.append((a.ended_at, f"answered {request}: {answer}"))
        for arrival in self.arrivals:
            verb = "run     " if arrival.ran else "rejected"
            text = f"{verb} {arrival.request_id} {arrival.line} at {arrival.target}"
            events.append((arrival.at, text))
        for at, text in sorted(events):
            self.note(text, at)

    async def close(self) -> None:
        """End all processes that were started."""
        await asyncio.gather(*(gateway.kill() for gateway in self.gateways))
        for target in self.targets.values():
            target.stop()
        await self.store.stop()
        self._record.close()
        self._folder.cleanup()


async def _run(case: Path, play: Callable[[Deployment], Awaitable[bool]]) -> int:
    deployment = Deployment(case)
    try:
        await deployment.store.start()
        async with asyncio.timeout(TIME_LIMIT_S):
            is_broken = await play(deployment)
        deployment.note("the rule was broken" if is_broken else "the rule held")
        deployment.note_requests()
        return EXIT_BROKEN if is_broken else EXIT_HELD
    except Exception as error:
        deployment.note(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return EXIT_NOT_RUN
    finally:
        await deployment.close()


def main(case_file: str, play: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Run a case and exit with its result."""
    sys.exit(asyncio.run(_run(Path(case_file).resolve().parent, play)))
