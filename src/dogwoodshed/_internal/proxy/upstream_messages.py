"""Hold what is sent to an upstream and what it answers."""

from collections.abc import Callable
from typing import NamedTuple

import aiohttp
from multidict import CIMultiDict

from dogwoodshed._internal.proxy.body import RequestBody
from dogwoodshed._internal.routing.base import OutcomeStatus


class OutboundRequest(NamedTuple):
    """What is sent to an upstream, apart from its address."""

    method: str
    target: str
    headers: CIMultiDict[str]
    body: RequestBody


class Answer:
    """An upstream's answer, whole or still streaming."""

    __slots__ = (
        "_finish",
        "_on_silent",
        "body",
        "head",
        "headers",
        "reason",
        "response",
        "silent",
        "status",
    )

    def __init__(
        self,
        response: aiohttp.ClientResponse | None,
        status: int,
        answer_headers: CIMultiDict[str],
        body: bytes | None,
        *,
        reason: str | None = None,
        head: bytes = b"",
    ) -> None:
        self.response = response
        self.status = status
        self.headers = answer_headers
        self.body = body
        # What was read of a streaming answer before its length was known.
        self.head = head
        self.reason = reason
        self.silent = False
        self._finish: Callable[[OutcomeStatus], None] | None = None
        self._on_silent: Callable[[], None] | None = None

    def attach(
        self,
        finish: Callable[[OutcomeStatus], None],
        on_silent: Callable[[], None],
    ) -> None:
        """Set what to call at the end of a streaming answer."""
        self._finish = finish
        self._on_silent = on_silent

    def note_silent(self) -> None:
        """Report that the connection of a streaming answer went silent."""
        self.silent = True
        if self._on_silent is not None:
            self._on_silent()

    async def finish(self, status: OutcomeStatus) -> None:
        """Report the end of a streaming answer."""
        self.end(status)

    def end(self, status: OutcomeStatus) -> None:
        """Report the end of a streaming answer, once."""
        if self._finish is not None:
            finish, self._finish = self._finish, None
            finish(status)

    def discard(self) -> None:
        """Give up an answer that nobody will read."""
        if self.response is not None:
            self.response.close()
        self.end(OutcomeStatus.CANCELLED)
