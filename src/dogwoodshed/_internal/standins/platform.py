"""Stand in for the platform's configuration service (Consul KV, read side)."""

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
        self._watching = 0
        self._down = False
        # Connections open at the moment of the change never answer again.
        self._silent: set[int] = set()
        self._open: dict[int, asyncio.Transport] = {}
        # While stale, readers see this older state.
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
        self._wake()
        return self._index

    def set_down(self, down: bool) -> None:
        """Answer every call with an error, and end the waiting ones."""
        self._down = down
        self._wake()

    def set_stale(self, stale: bool) -> None:
        """Freeze what readers see, or show the present state again."""
        self._stale = (dict(self._values), self._index) if stale else None
        self._wake()

    def silence_connections(self) -> None:
        """Answer nothing more on the open connections, as a lost middlebox does."""
        self._silent |= {
            number
            for number, transport in self._open.items()
            if transport is not None and not transport.is_closing()
        }

    def rewind(self, changes: int) -> None:
        """Serve the state before the last changes, as a stale replica does."""
        self._stale = self._history[-changes]
        self._wake()

    def busiest_second(self) -> int:
        """Return the most calls within any second, each waiting watch counted once."""
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
        self._wake()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _get(self, request: web.Request) -> web.Response:
        transport = request.transport
        self._open[id(transport)] = transport
        self._calls += 1
        self._call_times.append(asyncio.get_running_loop().time())
        if self._down:
            return web.Response(status=500)
        index = int(request.query.get("index", "0"))
        if index:
            await self._wait_past(index, _seconds(request.query.get("wait", "5m")))
        if id(transport) in self._silent:
            await asyncio.Event().wait()
        if self._down:
            return web.Response(status=500)
        return self._entries(request.match_info["prefix"])

    async def _wait_past(self, index: int, wait: float) -> None:
        self._watching += 1
        try:
            async with asyncio.timeout(wait):
                while self._seen()[1] <= index and not self._down:
                    await self._changed.wait()
        except TimeoutError:
            pass
        finally:
            self._watching -= 1

    def _seen(self) -> tuple[dict[str, tuple[str, int]], int]:
        return self._stale or (self._values, self._index)

    def _entries(self, prefix: str) -> web.Response:
        values, index = self._seen()
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
        order = await request.json()
        if "put" in order:
            self.put(order["put"]["key"], order["put"]["text"])
        if "down" in order:
            self.set_down(order["down"])
        if "stale" in order:
            self.set_stale(order["stale"])
        if "rewind" in order:
            self.rewind(order["rewind"])
        if order.get("silence_connections"):
            self.silence_connections()
        if "reset_counts" in order:
            self._call_times.clear()
        return web.json_response(
            {
                "index": self._index,
                "calls": self._calls,
                "watching": self._watching,
                "busiest_second": self.busiest_second(),
            }
        )

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _seconds(text: str) -> float:
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

    order = json.loads(sys.stdin.read() or "{}")
    try:
        asyncio.run(_serve(order.get("port", 0), order.get("values", {})))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
