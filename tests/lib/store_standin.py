"""Stand-in for the metadata store of the platform."""

import asyncio
import base64
import json
from typing import Any

from aiohttp import web


class StoreStandIn:
    """Key-value store with one revision counter, range reads and watches."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._runner: web.ServerRunner | None = None
        self._compacted_revision = 0
        self.calls = 0
        # "ok", "busy" (503), "reset" (connection reset) or "silent" (no response).
        self.mode = "ok"
        self.delay = 0.0
        # IP addresses of clients that are rejected.
        self.rejected_clients: set[str] = set()

    @property
    def address(self) -> str:
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()

    async def stop(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()

    async def put(self, key: str, value: Any) -> int:
        """Store a value, encoded as JSON unless it is bytes; return its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self._revision += 1
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "revision": self._revision,
                "create_revision": self._revision,
                "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
            return self._revision

    async def delete(self, key: str) -> None:
        """Remove a key."""
        async with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._events.append(event)
            self._changed.notify_all()

    async def compact_history(self) -> None:
        """Drop all events, so that watches from older revisions get status 410."""
        async with self._changed:
            self._events.clear()
            self._compacted_revision = self._revision
            self._changed.notify_all()

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        if self.mode != "ok" or request.remote in self.rejected_clients:
            return await self._simulate_failure(request)
        await asyncio.sleep(self.delay)
        if request.path == "/kv-range":
            return self._range(request)
        if request.path == "/kv-watch":
            return await self._watch(request)
        return web.Response(status=404)

    async def _simulate_failure(self, request: web.BaseRequest) -> web.StreamResponse:
        if self.mode == "silent":
            await asyncio.sleep(3600)
        if self.mode == "reset":
            request.transport.abort()
        return web.Response(status=503)

    def _range(self, request: web.BaseRequest) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        page = [self._items[key] for key in keys[:20]]
        return web.json_response(
            {
                "items": page,
                "has_more": len(keys) > len(page),
                "store_revision": self._revision,
            }
        )

    async def _watch(self, request: web.BaseRequest) -> web.Response:
        after = int(request.query["after"])
        wait = int(request.query["wait_ms"]) / 1000
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._has_changes(after))
        except TimeoutError:
            pass
        if after < self._compacted_revision:
            return web.Response(status=410)
        events = [event for event in self._events if event["revision"] > after]
        return web.json_response({"events": events, "store_revision": self._revision})

    def _has_changes(self, after: int) -> bool:
        return self._revision > after
