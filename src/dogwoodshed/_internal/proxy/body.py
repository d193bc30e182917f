"""Hold the body of a request for sending, and for sending again if it is small."""

from collections.abc import AsyncIterator

from aiohttp import StreamReader

from dogwoodshed._internal.exceptions import (
    MalformedRequestError,
    RequestTooLargeError,
)


class RequestBody:
    """A body that is either buffered whole or streamed once."""

    __slots__ = ("_consumed", "_head", "_limit", "_rest")

    def __init__(self, head: bytes, rest: StreamReader | None, limit: int) -> None:
        self._head = head
        self._rest = rest
        self._limit = limit
        self._consumed = False

    @classmethod
    async def from_stream(
        cls, stream: StreamReader, *, replay_bytes: int, max_bytes: int
    ) -> "RequestBody":
        """Read as much as may be kept for another attempt."""
        parts: list[bytes] = []
        size = 0
        while size <= replay_bytes and not stream.at_eof():
            part = await stream.readany()
            parts.append(part)
            size += len(part)
        if size > max_bytes:
            raise RequestTooLargeError(f"over {max_bytes} bytes")
        return cls(b"".join(parts), None if stream.at_eof() else stream, max_bytes)

    @property
    def replayable(self) -> bool:
        """Tell whether the body can still be sent."""
        return self._rest is None or not self._consumed

    @property
    def whole(self) -> bool:
        """Tell whether the head is the whole body."""
        return self._rest is None

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
                raise MalformedRequestError(f"body over {self._limit} bytes")
            yield part
