"""Stand-in for the metadata store of the platform."""

import asyncio
import base64
import json
import time
from collections import Counter
from typing import Any, NamedTuple

from aiohttp import web

ERA_HEADER = "Store-Era"


class StoreCopy(NamedTuple):
    """State of the store at a moment."""

    items: dict[str, dict[str, Any]]
    events: tuple[dict[str, Any], ...]
    revision: int
    compacted_revision: int


class StoreStandIn:
    """Key-value store with one revision counter, range reads and watches."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._events: list[dict[str, Any]] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._runner: web.ServerRunner | None = None
        self._compacted_revision = 0
        # Rises with each restore.
        self._era = 1
        # States with the monotonic time at which each became current.
        self._states: list[tuple[float, StoreCopy]] = []
        self._record_state()
        # Connections whose watch waits.
        self._waiting: set[asyncio.Transport] = set()
        # Numbers of calls by the address that was called.
        self.calls_by_address: Counter[str] = Counter()
        # "ok", "busy" (503), "reset" (connection reset) or "silent" (no response).
        self.mode = "ok"
        self.delay = 0.0
        # Addresses at which all calls are rejected. All clients share one IP address;
        # a client that is to be rejected alone gets an address of its own.
        self.rejected_addresses: set[str] = set()

    @property
    def address(self) -> str:
        return _join_address(self._runner.addresses[0])

    @property
    def calls(self) -> int:
        return self.calls_by_address.total()

    @property
    def revision(self) -> int:
        return self._revision

    @property
    def waiting_addresses(self) -> set[str]:
        """Return the addresses at which a watch waits."""
        return {
            _join_address(transport.get_extra_info("sockname"))
            for transport in self._waiting
        }

    async def start(self) -> None:
        """Listen on loopback."""
        self._runner = web.ServerRunner(web.Server(self._handle, access_log=None))
        await self._runner.setup()
        await self.add_address()

    async def add_address(self) -> str:
        """Listen at one more address and return it."""
        await web.TCPSite(self._runner, "127.0.0.1", 0, shutdown_timeout=0.1).start()
        return _join_address(self._runner.addresses[-1])

    async def stop(self) -> None:
        """Close all connections."""
        await self._runner.cleanup()

    async def put(self, key: str, value: Any) -> int:
        """Store a value, encoded as JSON unless it is bytes; return its revision."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        async with self._changed:
            self._revision += 1
            previous = self._items.get(key, {})
            item = {
                "key": key,
                "value": base64.b64encode(data).decode(),
                "revision": self._revision,
                "create_revision": previous.get("create_revision", self._revision),
                "lease": 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._record_state()
            self._changed.notify_all()
            return self._revision

    async def delete(self, key: str) -> None:
        """Remove a key."""
        async with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            event = {"key": key, "revision": self._revision, "deleted": True}
            self._events.append(event)
            self._record_state()
            self._changed.notify_all()

    async def compact_history(self) -> None:
        """Drop all events, so that watches from older revisions get status 410."""
        async with self._changed:
            self._events.clear()
            self._compacted_revision = self._revision
            self._record_state()
            self._changed.notify_all()

    def copy(self, age: float = 0.0) -> StoreCopy:
        """Return the state of `age` seconds ago, or the oldest one."""
        at = time.monotonic() - age
        states = [state for changed_at, state in self._states if changed_at <= at]
        return states[-1] if states else self._states[0][1]

    def cut_watches(self) -> None:
        """Close the connections of all waiting watches."""
        for transport in self._waiting:
            transport.close()

    async def restore(self, copy: StoreCopy, *, cut_watches: bool = True) -> None:
        """Return to an earlier state in a new era; cut or answer waiting watches.

        What was written since the copy is lost; its revisions are given out again.
        """
        async with self._changed:
            self._items = dict(copy.items)
            self._events = list(copy.events)
            self._revision = copy.revision
            self._compacted_revision = copy.compacted_revision
            self._era += 1
            # A later restore must not bring back what this one has lost.
            self._states = [
                (at, state)
                for at, state in self._states
                if state.revision <= copy.revision
            ]
            self._record_state()
            if cut_watches:
                for transport in self._waiting:
                    transport.abort()
            self._changed.notify_all()

    def _record_state(self) -> None:
        state = StoreCopy(
            dict(self._items),
            tuple(self._events),
            self._revision,
            self._compacted_revision,
        )
        self._states.append((time.monotonic(), state))

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        response = await self._answer(request)
        response.headers[ERA_HEADER] = str(self._era)
        return response

    async def _answer(self, request: web.BaseRequest) -> web.StreamResponse:
        address = _join_address(request.transport.get_extra_info("sockname"))
        self.calls_by_address[address] += 1
        if self.mode != "ok" or address in self.rejected_addresses:
            return await self._simulate_failure(request)
        await asyncio.sleep(self.delay)
        try:
            if request.path == "/kv-range":
                return self._range(request)
            if request.path == "/kv-watch":
                return await self._watch(request)
        except (KeyError, ValueError):
            return web.Response(status=400)
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
        era = self._era
        transport = request.transport
        self._waiting.add(transport)
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: self._era != era or self._revision != after
                )
        except TimeoutError:
            pass
        finally:
            self._waiting.discard(transport)
        if not self._compacted_revision <= after <= self._revision:
            return web.Response(status=410)
        events = [event for event in self._events if event["revision"] > after]
        return web.json_response({"events": events, "store_revision": self._revision})


def _join_address(sockname: tuple[Any, ...]) -> str:
    return f"{sockname[0]}:{sockname[1]}"
