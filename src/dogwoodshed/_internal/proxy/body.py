"""Hold the body of a request for sending, and for sending again if it is small."""

from collections.abc import AsyncIterator

from aiohttp import StreamReader, web

from dogwoodshed._internal.exceptions import (
    RequestTooLargeError,
    StreamedBodyTooLargeError,
)


class RequestBody:
    """A body that is either buffered whole or streamed once."""

    __slots__ = ("_consumed", "_head", "_limit", "_over_limit", "_rest")

    def __init__(self, head: bytes, rest: StreamReader | None, limit: int) -> None:
        self._head = head
        self._rest = rest
        self._limit = limit
        self._consumed = False
        self._over_limit = False

    @classmethod
    async def from_request(
        cls, request: web.BaseRequest, *, replay_bytes: int, max_bytes: int
    ) -> "RequestBody":
        """Read as much as may be kept for another attempt."""
        if (request.content_length or 0) > max_bytes:
            raise RequestTooLargeError(f"over {max_bytes} bytes")
        stream = request.content
        parts: list[bytes] = []
        size = 0
        while size <= replay_bytes and not stream.at_eof():
            part = await stream.readany()
            parts.append(part)
            size += len(part)
        if size > max_bytes:
            raise RequestTooLargeError(f"over {max_bytes} bytes")
        rest = None if stream.at_eof() else stream
        return cls(b"".join(parts), rest, max_bytes)

    @property
    def replayable(self) -> bool:
        """Tell whether the body can still be sent."""
        return self._rest is None or not self._consumed

    @property
    def whole(self) -> bool:
        """Tell whether the body can be sent any number of times."""
        return self._rest is None

    @property
    def over_limit(self) -> bool:
        """Tell whether a streamed body turned out to exceed the limit."""
        return self._over_limit

    @property
    def head(self) -> bytes:
        return self._head

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Return what the client library sends."""
        if self._rest is None:
            return self._head or None
        self._consumed = True
        return self._stream(self._rest)

    async def _stream(self, rest: StreamReader) -> AsyncIterator[bytes]:
        size = len(self._head)
        yield self._head
        async for part in rest.iter_any():
            size += len(part)
            if size > self._limit:
                self._over_limit = True
                raise StreamedBodyTooLargeError(f"over {self._limit} bytes")
            yield part
