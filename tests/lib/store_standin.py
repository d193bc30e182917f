"""Stand in for the platform's store."""

import asyncio
import base64
import json
from typing import Any

from aiohttp import web


class StoreStandIn:
    """Keep items with one revision counter; answer ranges and watches."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._runner: web.ServerRunner | None = None
        self._forgotten_before = 0
        self.calls = 0
        # "ok", "busy", "reset" or "silent".
        self.mode = "ok"
        self.delay = 0.0
        # Clients by address that are turned away.
        self.turned_away: set[str] = set()

    @property
    def address(self) -> str:
        host, port = self._runner.addresses[0][:2]
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen on loopback."""
        self._runner = web.ServerRunner(web.Server(self._answer, access_log=None))
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()

    async def stop(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()

    async def put(self, key: str, value: Any) -> int:
        """Write a value, JSON unless it is bytes; return its revision."""
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

    async def forget_history(self) -> None:
        """Drop all events, so that older watches get 410."""
        async with self._changed:
            self._events.clear()
            self._forgotten_before = self._revision
            self._changed.notify_all()

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        self.calls += 1
        if self.mode != "ok" or request.remote in self.turned_away:
            return await self._fail(request)
        await asyncio.sleep(self.delay)
        if request.path == "/kv-range":
            return self._range(request)
        if request.path == "/kv-watch":
            return await self._watch(request)
        return web.Response(status=404)

    async def _fail(self, request: web.BaseRequest) -> web.StreamResponse:
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
                await self._changed.wait_for(lambda: self._has_news(after))
        except TimeoutError:
            pass
        if after < self._forgotten_before:
            return web.Response(status=410)
        events = [event for event in self._events if event["revision"] > after]
        return web.json_response({"events": events, "store_revision": self._revision})

    def _has_news(self, after: int) -> bool:
        return self._revision > after
