"""Manage the connections of callers."""

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from dogwoodshed._internal.exceptions import MalformedRequestError
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.problems import problem_response


class CallerConnection(RequestHandler):
    """Connection of a caller."""

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
        """Respond to input that is not valid HTTP.

        Such input is counted and not logged, because anyone can send it.
        """
        self.metrics.increment("requests.malformed")
        if request.writer.output_size > 0:
            raise ConnectionResetError("response already started")
        response = problem_response(MalformedRequestError("not an HTTP request"))
        response.force_close()
        return response


class CallerConnections(web.Server):
    """Server that creates and tracks the connections of callers."""

    def __init__(self, handler, metrics: Metrics, **options) -> None:
        super().__init__(handler, **options)
        self._metrics = metrics

    def __call__(self) -> CallerConnection:
        """Create the protocol instance of a new connection."""
        connection = CallerConnection(self, loop=self._loop, **self._kwargs)
        connection.metrics = self._metrics
        return connection

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in self.connections:
            if connection.idle:
                connection.force_close()
