"""Model the requests sent to upstreams and their responses."""

from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict

from dogwoodshed._internal.proxy.body import RequestBody
from dogwoodshed._internal.routing.base import OutcomeStatus


class OutboundRequest(NamedTuple):
    """Request to an upstream, without the upstream's address."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: RequestBody


class UpstreamResponse:
    """Response of an upstream, either buffered or still streaming."""

    __slots__ = (
        "_finish",
        "_on_silent",
        "body",
        "client_response",
        "headers",
        "prefix",
        "reason",
        "silent",
        "status",
    )

    def __init__(
        self,
        client_response: aiohttp.ClientResponse | None,
        status: int,
        response_headers: CIMultiDict[str],
        body: bytes | None,
        *,
        reason: str | None = None,
        prefix: bytes = b"",
    ) -> None:
        # None if the body is buffered; `body` is None if it is still streaming.
        self.client_response = client_response
        self.status = status
        self.headers = response_headers
        self.body = body
        # Start of a streaming body that was read to find out whether it is short.
        self.prefix = prefix
        self.reason = reason
        self.silent = False
        self._finish: Callable[[OutcomeStatus], None] | None = None
        self._on_silent: Callable[[], None] | None = None

    def attach(
        self,
        finish: Callable[[OutcomeStatus], None],
        on_silent: Callable[[], None],
    ) -> None:
        """Set the callbacks of a streaming response."""
        self._finish = finish
        self._on_silent = on_silent

    def mark_silent(self) -> None:
        """Report that no more bytes arrive for a streaming response."""
        self.silent = True
        if self._on_silent is not None:
            self._on_silent()

    async def finish(self, status: OutcomeStatus) -> None:
        """Report the end of a streaming response."""
        self._report_end(status)

    def _report_end(self, status: OutcomeStatus) -> None:
        """Call the callback for the end of a streaming response, at most once."""
        if self._finish is not None:
            finish, self._finish = self._finish, None
            finish(status)

    def discard(self) -> None:
        """Close a response that will not be read."""
        if self.client_response is not None:
            self.client_response.close()
        self._report_end(OutcomeStatus.CANCELLED)
