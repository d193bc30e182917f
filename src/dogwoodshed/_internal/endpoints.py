"""Serve readiness and metrics over HTTP."""

from collections.abc import Callable

from aiohttp import web
from mode import Service

from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.settings import EndpointSettings, split_address

READY_PATH = "/ready"
METRICS_PATH = "/metrics"


class EndpointServer(Service):
    """Serve readiness to balancers and metrics to collectors."""

    mundane_level = "debug"

    def __init__(
        self, settings: EndpointSettings, ready: Callable[[], bool], metrics: Metrics
    ) -> None:
        super().__init__()
        self._settings = settings
        self._ready = ready
        self._metrics = metrics
        self._runners: list[web.ServerRunner] = []

    async def on_start(self) -> None:
        """Listen on the configured addresses."""
        addresses = {self._settings.readiness, self._settings.metrics} - {None}
        for address in sorted(addresses):
            runner = web.ServerRunner(web.Server(self._handle, access_log=None))
            await runner.setup()
            await web.TCPSite(runner, *split_address(address)).start()
            self._runners.append(runner)

    async def on_stop(self) -> None:
        """Close the listening sockets."""
        for runner in self._runners:
            await runner.cleanup()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        if request.path == READY_PATH:
            return web.Response(status=200 if self._ready() else 503)
        if request.path == METRICS_PATH:
            return web.Response(text=self._metrics.render())
        return web.Response(status=404)
