"""Hold the connections of callers."""

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dogwoodshed._internal.exceptions import MalformedRequestError
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.problems import problem_response


class CallerConnection(RequestHandler):
    """One connection of a caller."""

    __slots__ = ("metrics",)

    @property
    def idle(self) -> bool:
        waiter = self._waiter
        return waiter is not None and not waiter.done()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer input that is not HTTP; count it, since anyone may send it."""
        self.metrics.increment("requests.malformed")
        if request.writer.output_size > 0:
            raise ConnectionResetError("answer already started")
        response = problem_response(MalformedRequestError("not an HTTP request"))
        response.force_close()
        return response


class CallerConnections(web.Server):
    """Create and hold the connections of callers."""

    def __init__(self, handler, metrics: Metrics, **options) -> None:
        super().__init__(handler, **options)
        self._metrics = metrics

    def __call__(self) -> CallerConnection:
        """Create the protocol of a new connection."""
        connection = CallerConnection(self, loop=self._loop, **self._kwargs)
        connection.metrics = self._metrics
        return connection

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in self.connections:
            if connection.idle:
                connection.force_close()
