"""Serve health, readiness, status, report and drains over HTTP."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from aiohttp import web
from mode import Service

from dogwoodshed._internal.administration.status import (
    GatewayStatus,
    StatusSources,
    collect_status,
)
from dogwoodshed._internal.administration.tokens import TokenVerifier
from dogwoodshed._internal.exceptions import UnknownUpstreamError
from dogwoodshed._internal.reporting.formats import RENDERERS, choose_format
from dogwoodshed._internal.reporting.report import ServiceLevelReport
from dogwoodshed._internal.settings import split_address

# The report contains only names and numbers, so it is forbidden to load or run
# anything.
CONTENT_POLICY = "default-src 'none'; style-src 'unsafe-inline'"
# Time for open requests to finish at a stop; a report takes about a second.
SHUTDOWN_TIMEOUT_S = 2.0
MAX_BODY_BYTES = 4096
# Paths that need no token: balancers check them and cannot always send one. The
# responses disclose only whether the gateway is healthy or ready.
PUBLIC_PATHS = frozenset({"/health", "/ready"})

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdministrationCallbacks(NamedTuple):
    """Callbacks of the API to its gateway."""

    ready: Callable[[], bool]
    # Starts (true) or ends (false) the drain of an address; raises
    # UnknownUpstreamError.
    drain: Callable[[str, bool], None]
    # None while no configuration is in effect.
    report: Callable[[], Awaitable[ServiceLevelReport | None]]


class AdministrationApi(Service):
    """Serve the administration API of one gateway."""

    mundane_level = "debug"

    def __init__(
        self, sources: StatusSources, callbacks: AdministrationCallbacks
    ) -> None:
        super().__init__()
        self._settings = sources.settings.administration
        self._sources = sources
        self._callbacks = callbacks
        self._token_verifier = TokenVerifier.from_settings(self._settings)
        self._drained = False
        self._runner: web.AppRunner | None = None

    @property
    def drained(self) -> bool:
        return self._drained

    @property
    def ready(self) -> bool:
        return self._callbacks.ready() and not self._drained

    @property
    def port(self) -> int:
        return self._runner.addresses[0][1]

    async def on_start(self) -> None:
        """Listen on the administration port."""
        application = web.Application(
            middlewares=[self._check_token], client_max_size=MAX_BODY_BYTES
        )
        application.router.add_get("/health", self._get_health)
        application.router.add_get("/ready", self._get_ready)
        application.router.add_get("/status", self._get_status)
        application.router.add_get("/report", self._get_report)
        application.router.add_post("/drain", self._post_drain)
        application.router.add_post("/undrain", self._post_undrain)
        self._runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT_S
        )
        await self._runner.setup()
        ip, port = split_address(self._settings.listen)
        await web.TCPSite(self._runner, ip, port, reuse_address=True).start()

    async def on_stop(self) -> None:
        """Close the administration port."""
        if self._runner is not None:
            await self._runner.cleanup()

    @web.middleware
    async def _check_token(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        authorization = request.headers.get("Authorization", "")
        if request.path not in PUBLIC_PATHS and not self._token_verifier.allows(
            authorization
        ):
            return _problem(
                401, "a bearer token is required", {"WWW-Authenticate": "Bearer"}
            )
        response = await handler(request)
        response.headers["Cache-Control"] = "no-store"
        return response

    async def _get_health(self, request: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def _get_ready(self, request: web.Request) -> web.Response:
        ready = self.ready
        return web.json_response({"ready": ready}, status=200 if ready else 503)

    async def _get_status(self, request: web.Request) -> web.Response:
        status: GatewayStatus = collect_status(
            self._sources, ready=self.ready, drained=self._drained
        )
        return web.json_response(status)

    async def _get_report(self, request: web.Request) -> web.Response:
        name = choose_format(
            request.query.get("format"), request.headers.get("Accept", "")
        )
        if name is None:
            return _problem(406, f"formats are {', '.join(RENDERERS)}")
        report = await self._callbacks.report()
        if report is None:
            return _problem(503, "no configuration is in effect yet")
        renderer = RENDERERS[name]
        return web.Response(
            text=renderer.render(report),
            content_type=renderer.content_type,
            charset="utf-8",
            headers={
                "Content-Security-Policy": CONTENT_POLICY,
                "X-Content-Type-Options": "nosniff",
            },
        )

    async def _post_drain(self, request: web.Request) -> web.Response:
        return await self._change_drain(request, draining=True)

    async def _post_undrain(self, request: web.Request) -> web.Response:
        return await self._change_drain(request, draining=False)

    async def _change_drain(
        self, request: web.Request, *, draining: bool
    ) -> web.Response:
        # A form on another site cannot send this type without a CORS preflight request.
        if request.content_type != "application/json":
            return _problem(415, "the body must be application/json")
        payload = _parse_drain_request(await request.read())
        if payload is None:
            return _problem(400, 'expected {"address": "IP:PORT"} or {"self": true}')
        if payload.get("self"):
            self._drained = draining
            return web.json_response({"self": True, "draining": draining})
        try:
            self._callbacks.drain(payload["address"], draining)
        except UnknownUpstreamError as error:
            return _problem(404, str(error))
        return web.json_response({"address": payload["address"], "draining": draining})


def _parse_drain_request(body: bytes) -> dict[str, Any] | None:
    try:
        payload = json.loads(body)
    except ValueError:
        return None
    if payload == {"self": True}:
        return payload
    if isinstance(payload, dict) and list(payload) == ["address"]:
        return payload if isinstance(payload["address"], str) else None
    return None


def _problem(
    status: int, title: str, headers: dict[str, str] | None = None
) -> web.Response:
    return web.json_response(
        {"type": "about:blank", "title": title, "status": status},
        status=status,
        headers=headers,
        content_type="application/problem+json",
    )
