"""Buffer small request bodies, so that they can be resent, and stream large ones."""

from collections.abc import AsyncIterator

from aiohttp import StreamReader, web

from dogwoodshed._internal.exceptions import (
    RequestTooLargeError,
    StreamedBodyTooLargeError,
)


class RequestBody:
    """Request body that is either buffered completely or streamed once."""

    __slots__ = ("_consumed", "_limit", "_over_limit", "_prefix", "_rest")

    def __init__(self, prefix: bytes, rest: StreamReader | None, limit: int) -> None:
        self._prefix = prefix
        self._rest = rest
        self._limit = limit
        self._consumed = False
        self._over_limit = False

    @classmethod
    async def from_request(
        cls, request: web.BaseRequest, *, replay_bytes: int, max_bytes: int
    ) -> "RequestBody":
        """Buffer up to `replay_bytes` of a body; raises RequestTooLargeError."""
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
    def can_send(self) -> bool:
        """Return whether the body can still be sent."""
        return self._rest is None or not self._consumed

    @property
    def is_buffered(self) -> bool:
        """Return whether the body can be sent any number of times."""
        return self._rest is None

    @property
    def over_limit(self) -> bool:
        """Return whether a streamed body has exceeded the limit."""
        return self._over_limit

    @property
    def prefix(self) -> bytes:
        return self._prefix

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Return the body in a form that aiohttp's client accepts."""
        if self._rest is None:
            return self._prefix or None
        self._consumed = True
        return self._stream(self._rest)

    async def _stream(self, rest: StreamReader) -> AsyncIterator[bytes]:
        size = len(self._prefix)
        yield self._prefix
        async for part in rest.iter_any():
            size += len(part)
            if size > self._limit:
                self._over_limit = True
                raise StreamedBodyTooLargeError(f"over {self._limit} bytes")
            yield part
