"""Simulate the platform's configuration service: reads of the Consul KV store."""

import asyncio
import base64
import json

from aiohttp import web


class PlatformStandIn:
    """Serve values with blocking queries, count calls, and fail on request."""

    def __init__(self) -> None:
        self._values: dict[str, tuple[str, int]] = {}
        self._index = 1
        self._changed = asyncio.Event()
        self._calls = 0
        # Blocking queries that are waiting for a change.
        self._watching = 0
        self._down = False
        # Connections that do not respond any more.
        self._silent_connections: set[int] = set()
        self._connections: dict[int, asyncio.Transport] = {}
        # An older state, served instead of the current one.
        self._stale: tuple[dict[str, tuple[str, int]], int] | None = None
        self._history: list[tuple[dict[str, tuple[str, int]], int]] = []
        self._call_times: list[float] = []
        self._runner: web.AppRunner | None = None
        self._port = 0

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    @property
    def calls(self) -> int:
        return self._calls

    @property
    def watching(self) -> int:
        return self._watching

    def put(self, key: str, text: str) -> int:
        """Publish a value and return its revision."""
        self._history.append((dict(self._values), self._index))
        self._index += 1
        self._values[key] = (text, self._index)
        self._notify_waiting()
        return self._index

    def set_down(self, down: bool) -> None:
        """Respond to every call with an error, also to the waiting ones."""
        self._down = down
        self._notify_waiting()

    def set_stale(self, stale: bool) -> None:
        """Freeze the served state, or serve the current state again."""
        self._stale = (dict(self._values), self._index) if stale else None
        self._notify_waiting()

    def silence_connections(self) -> None:
        """Stop responding on the open connections, as when a middlebox is lost."""
        self._silent_connections |= {
            number
            for number, transport in self._connections.items()
            if transport is not None and not transport.is_closing()
        }

    def rewind(self, changes: int) -> None:
        """Serve the state before the last changes, as a stale replica does."""
        self._stale = self._history[-changes]
        self._notify_waiting()

    def busiest_second(self) -> int:
        """Return the most calls within any second; a blocking query counts once."""
        most = first = 0
        for last, at in enumerate(self._call_times):
            while self._call_times[first] <= at - 1.0:
                first += 1
            most = max(most, last - first + 1)
        return most

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        application = web.Application()
        application.router.add_get("/v1/kv/{prefix:.*}", self._get)
        application.router.add_post("/_control", self._control)
        self._runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._notify_waiting()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get(self, request: web.Request) -> web.Response:
        transport = request.transport
        self._connections[id(transport)] = transport
        self._calls += 1
        self._call_times.append(asyncio.get_running_loop().time())
        if self._down:
            return web.Response(status=500)
        index = int(request.query.get("index", "0"))
        if index:
            await self._wait_for_change(
                index, _parse_seconds(request.query.get("wait", "5m"))
            )
        if id(transport) in self._silent_connections:
            await asyncio.Event().wait()
        if self._down:
            return web.Response(status=500)
        return self._entries_response(request.match_info["prefix"])

    async def _wait_for_change(self, index: int, wait: float) -> None:
        self._watching += 1
        try:
            async with asyncio.timeout(wait):
                while self._served_state()[1] <= index and not self._down:
                    await self._changed.wait()
        except TimeoutError:
            pass
        finally:
            self._watching -= 1

    def _served_state(self) -> tuple[dict[str, tuple[str, int]], int]:
        return self._stale or (self._values, self._index)

    def _entries_response(self, prefix: str) -> web.Response:
        values, index = self._served_state()
        entries = [
            {
                "Key": key,
                "Value": base64.b64encode(text.encode()).decode(),
                "ModifyIndex": revision,
            }
            for key, (text, revision) in sorted(values.items())
            if key.startswith(prefix)
        ]
        return web.json_response(
            entries,
            status=200 if entries else 404,
            headers={"X-Consul-Index": str(index)},
        )

    async def _control(self, request: web.Request) -> web.Response:
        command = await request.json()
        if "put" in command:
            self.put(command["put"]["key"], command["put"]["text"])
        if "down" in command:
            self.set_down(command["down"])
        if "stale" in command:
            self.set_stale(command["stale"])
        if "rewind" in command:
            self.rewind(command["rewind"])
        if command.get("silence_connections"):
            self.silence_connections()
        if "reset_counts" in command:
            self._call_times.clear()
        return web.json_response(
            {
                "index": self._index,
                "calls": self._calls,
                "watching": self._watching,
                "busiest_second": self.busiest_second(),
            }
        )

    def _notify_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _parse_seconds(text: str) -> float:
    for suffix, factor in (("ms", 0.001), ("s", 1.0), ("m", 60.0)):
        if text.endswith(suffix):
            return float(text.removesuffix(suffix)) * factor
    return float(text)


async def _serve(port: int, values: dict[str, str]) -> None:
    platform = PlatformStandIn()
    for key, text in values.items():
        platform.put(key, text)
    await platform.start(port)
    print(json.dumps({"address": platform.address}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve the values given as JSON on standard input."""
    import sys

    parameters = json.loads(sys.stdin.read() or "{}")
    try:
        asyncio.run(_serve(parameters.get("port", 0), parameters.get("values", {})))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
