"""Stand-in for the platform's metadata store, with one address for each gateway."""

import asyncio
import base64
import json
import time
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500


class Store:
    """Key-value store with one revision counter, range reads and watches."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        # Addresses whose calls get no response.
        self.silent: set[str] = set()
        # Watches that wait now, by the address that was called.
        self.waiting: dict[str, int] = {}
        # Connections whose watch waits.
        self._watching: set[asyncio.Transport] = set()

    async def start(self) -> None:
        """Prepare to listen."""
        await self._runner.setup()

    async def add_address(self) -> str:
        """Listen at one more address and return it."""
        await web.TCPSite(self._runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()
        host, port = self._runner.addresses[-1][:2]
        return f"{host}:{port}"

    async def stop(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()

    async def put(self, key: str, value: Any) -> float:
        """Store a value as JSON; return the time of the acknowledgement."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        async with self._changed:
            self._revision += 1
            created = self._items.get(key, {}).get("create_revision", self._revision)
            item = {
                "key": key,
                "value": data,
                "revision": self._revision,
                "create_revision": created,
                "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
        return time.monotonic()

    async def delete(self, key: str) -> float:
        """Remove a key; return the time of the acknowledgement."""
        async with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._events.append(event)
            self._changed.notify_all()
        return time.monotonic()

    def cut_watches(self) -> int:
        """Close the connections of all watches that wait; return their number."""
        watching = list(self._watching)
        for transport in watching:
            self._watching.discard(transport)
            transport.close()
        return len(watching)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        host, port = request.transport.get_extra_info("sockname")[:2]
        address = f"{host}:{port}"
        if address in self.silent:
            await asyncio.sleep(3600)
        if request.path == "/kv-range":
            return self._range(request)
        if request.path == "/kv-watch":
            return await self._watch(request, address)
        return web.Response(status=404)

    def _range(self, request: web.BaseRequest) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return web.json_response(
            {
                "items": [self._items[key] for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS,
                "store_revision": self._revision,
            }
        )

    async def _watch(self, request: web.BaseRequest, address: str) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        wait = int(request.query["wait_ms"]) / 1000
        self.waiting[address] = self.waiting.get(address, 0) + 1
        transport = request.transport
        self._watching.add(transport)
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._revision > after)
        except TimeoutError:
            pass
        finally:
            self.waiting[address] -= 1
            self._watching.discard(transport)
        if address in self.silent:
            await asyncio.sleep(3600)
        events = [
            event
            for event in self._events
            if event["revision"] > after and event["key"].startswith(prefix)
        ]
        return web.json_response({"events": events, "store_revision": self._revision})
