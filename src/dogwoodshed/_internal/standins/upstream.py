"""Simulate upstream servers with slots, slow phases and faults."""

import asyncio
import json
import random
import sys
from collections import Counter
from typing import TypedDict

from aiohttp import web

from dogwoodshed._internal.standins.nested import NestedCalls

REQUEST_ID = "X-Request-Id"
LOAD_HEADER = "endpoint-load-metrics"
NOT_RUN_HEADER = "x-not-run"


class Behaviour(TypedDict, total=False):
    """How an upstream behaves; every key may be changed while it runs."""

    slots: int
    # Requests that may wait for a slot; more are shed as not run.
    queue_limit: int
    mean_ms: float
    # Of the service time: exponential or lognormal; any other value makes it constant.
    distribution: str
    # Multiplies the service time, for slow phases and noisy neighbours.
    slow_factor: float
    # Only one slot is available for this long after the start or after this is set.
    cold_s: float
    # Responds with status 500 at once, without running the request.
    fail_fast: bool
    # Sheds every request as not run.
    shed: bool
    draining: bool
    # Connections that are open when this is set never respond again.
    silent: bool
    # Reports this many requests in flight instead of the actual number.
    reported_in_flight: int
    # Reports the load as it was this long ago.
    report_lag_s: float
    # Minimum length of the response body.
    answer_bytes: int
    # Closes the connection after this share of the response.
    cut_answer_at: float
    # Shares of requests whose connection is reset before or after they run.
    reset_before_run: float
    reset_after_run: float
    # Calls this URL for each request and fails if that call fails.
    calls: str


class UpstreamStandIn:
    """One upstream server on loopback."""

    def __init__(self, behaviour: Behaviour, seed: int) -> None:
        self._behaviour: Behaviour = {
            "slots": 2,
            "queue_limit": 1000,
            "mean_ms": 10.0,
            "distribution": "exponential",
            "slow_factor": 1.0,
            "cold_s": 0.0,
            "answer_bytes": 0,
            **behaviour,
        }
        self._random = random.Random(seed)
        self._waiting: list[asyncio.Future[None]] = []
        self._running = 0
        self._started = asyncio.get_running_loop().time()
        self._runs: Counter[str] = Counter()
        self._finished: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()
        self._last_request_at = 0.0
        self._silent_connections: set[int] = set()
        self._connections: dict[int, asyncio.Transport] = {}
        self._load_history: list[tuple[float, int]] = []
        self._runner: web.AppRunner | None = None
        self._port = 0
        self._nested = NestedCalls()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    @property
    def runs(self) -> Counter[str]:
        return self._runs

    async def start(self, port: int = 0) -> None:
        """Listen on loopback."""
        application = web.Application(client_max_size=1 << 30)
        application.router.add_post("/_control", self._control)
        application.router.add_get("/_state", self._state)
        application.router.add_get("/load", self._probe)
        application.router.add_route("*", "/{path:.*}", self._serve)
        self._runner = web.AppRunner(
            application,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.1,
            keepalive_timeout=75.0,
            auto_decompress=False,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", port, backlog=1024).start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._nested.close()

    def change(self, behaviour: Behaviour) -> None:
        """Change how the upstream behaves from now on."""
        if behaviour.get("silent"):
            self._silent_connections |= set(self._connections)
        if "cold_s" in behaviour:
            self._started = asyncio.get_running_loop().time()
        self._behaviour.update(behaviour)
        self._grant_slots()

    def state(self) -> dict:
        """Return the counters and the current load, for assertions."""
        return {
            "address": self.address,
            "running": self._running,
            "waiting": len(self._waiting),
            "runs": dict(self._runs),
            "finished": dict(self._finished),
            "counts": dict(self._counts),
            "since_last_new_work": asyncio.get_running_loop().time()
            - self._last_request_at,
        }

    async def _control(self, request: web.Request) -> web.Response:
        self.change(await request.json())
        return web.json_response(self.state())

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(self.state())

    async def _probe(self, request: web.Request) -> web.Response:
        await self._hold_if_silent(request)
        self._counts["probes"] += 1
        return web.Response(headers=self._load_headers())

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        await self._hold_if_silent(request)
        self._counts["requests"] += 1
        self._last_request_at = asyncio.get_running_loop().time()
        body = await request.read()
        if self._behaviour.get("shed") or self._queue_is_full():
            self._counts["shed"] += 1
            return web.Response(
                status=503, headers={NOT_RUN_HEADER: "1", **self._load_headers()}
            )
        if self._random.random() < self._behaviour.get("reset_before_run", 0.0):
            request.transport.abort()
            return web.Response()
        if self._behaviour.get("fail_fast"):
            self._counts["failed"] += 1
            return web.Response(status=500, headers=self._load_headers())
        await self._acquire_slot()
        try:
            request_id = request.headers.get(REQUEST_ID, "")
            self._runs[request_id] += 1
            await asyncio.sleep(self._service_time())
            url = self._behaviour.get("calls")
            if url and not await self._nested.call_succeeds(url, request):
                return web.Response(status=500, headers=self._load_headers())
            await self._hold_if_silent(request)
            self._finished[request_id] += 1
        finally:
            self._release_slot()
        if self._random.random() < self._behaviour.get("reset_after_run", 0.0):
            request.transport.abort()
            return web.Response()
        return await self._respond(request, request_id, body)

    async def _respond(
        self, request: web.Request, request_id: str, body: bytes
    ) -> web.StreamResponse:
        payload = json.dumps(
            {
                "id": request_id,
                "upstream": self.address,
                "method": request.method,
                "path": request.raw_path,
                "body_bytes": len(body),
                "headers": dict(request.headers),
            }
        ).encode()
        payload += b" " * (self._behaviour["answer_bytes"] - len(payload))
        cut = self._behaviour.get("cut_answer_at", 0.0)
        if cut:
            response = web.StreamResponse(headers=self._load_headers())
            response.content_length = len(payload)
            await response.prepare(request)
            await response.write(payload[: int(len(payload) * cut)])
            request.transport.abort()
            return response
        return web.Response(
            body=payload, content_type="application/json", headers=self._load_headers()
        )

    async def _hold_if_silent(self, request: web.Request) -> None:
        transport = request.transport
        connection_id = id(transport)
        if connection_id not in self._connections:
            self._connections[connection_id] = transport
        self._drop_closed_connections()
        if connection_id in self._silent_connections:
            self._counts["held"] += 1
            await asyncio.Event().wait()

    def _drop_closed_connections(self) -> None:
        for connection_id, transport in list(self._connections.items()):
            if transport is None or transport.is_closing():
                del self._connections[connection_id]
                self._silent_connections.discard(connection_id)

    def _queue_is_full(self) -> bool:
        busy = self._running >= self._available_slots()
        return busy and len(self._waiting) >= self._behaviour["queue_limit"]

    def _available_slots(self) -> int:
        age = asyncio.get_running_loop().time() - self._started
        return 1 if age < self._behaviour["cold_s"] else self._behaviour["slots"]

    async def _acquire_slot(self) -> None:
        if self._running >= self._available_slots() or self._waiting:
            waiter = asyncio.get_running_loop().create_future()
            self._waiting.append(waiter)
            longest = max(self._counts["longest_queue"], len(self._waiting))
            self._counts["longest_queue"] = longest
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter in self._waiting:
                    self._waiting.remove(waiter)
                elif not waiter.cancelled():
                    # The slot was granted just before the cancellation.
                    self._release_slot()
                raise
        else:
            self._running += 1
        self._record_load()

    def _release_slot(self) -> None:
        self._running -= 1
        self._record_load()
        self._grant_slots()

    def _grant_slots(self) -> None:
        while self._waiting and self._running < self._available_slots():
            waiter = self._waiting.pop(0)
            if not waiter.done():
                self._running += 1
                waiter.set_result(None)

    def _record_load(self) -> None:
        now = asyncio.get_running_loop().time()
        self._load_history.append((now, self._running + len(self._waiting)))
        if len(self._load_history) > 10_000:
            del self._load_history[:5_000]

    def _service_time(self) -> float:
        mean = self._behaviour["mean_ms"] / 1000 * self._behaviour["slow_factor"]
        if self._behaviour["distribution"] == "exponential":
            return self._random.expovariate(1 / mean)
        if self._behaviour["distribution"] == "lognormal":
            # Sigma 1 gives a p99 of about 6 times the mean.
            return mean * self._random.lognormvariate(-0.5, 1.0)
        return mean

    def _load_headers(self) -> dict[str, str]:
        in_flight = self._behaviour.get("reported_in_flight", self._delayed_load())
        draining = int(bool(self._behaviour.get("draining")))
        return {
            LOAD_HEADER: f"TEXT named_metrics.in_flight={in_flight},"
            f"named_metrics.slots={self._available_slots()},"
            f"named_metrics.draining={draining}"
        }

    def _delayed_load(self) -> int:
        lag = self._behaviour.get("report_lag_s", 0.0)
        if not lag:
            return self._running + len(self._waiting)
        limit = asyncio.get_running_loop().time() - lag
        for at, load in reversed(self._load_history):
            if at <= limit:
                return load
        return 0


async def _serve(parameters: dict) -> None:
    upstreams = [
        UpstreamStandIn(
            parameters.get("behaviour", {}), parameters.get("seed", 1) + index
        )
        for index in range(parameters.get("count", 1))
    ]
    for upstream in upstreams:
        await upstream.start()
    print(json.dumps({"addresses": [u.address for u in upstreams]}), flush=True)
    await asyncio.Event().wait()


def main() -> None:
    """Serve the upstreams that JSON on standard input describes."""
    try:
        asyncio.run(_serve(json.loads(sys.stdin.read() or "{}")))
    except KeyboardInterrupt:
        pass


if __name__ == "__main__":
    main()
