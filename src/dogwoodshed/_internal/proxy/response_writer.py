"""Write responses to callers as received from the upstream."""

import asyncio
import socket
import struct
from typing import NamedTuple

import aiohttp
from aiohttp import web

from dogwoodshed._internal.exceptions import CallError, ResponseTruncatedError
from dogwoodshed._internal.proxy.caller_responses import (
    BufferedResponse,
    StreamedResponse,
)
from dogwoodshed._internal.proxy.problems import problem_response
from dogwoodshed._internal.proxy.upstream_messages import UpstreamResponse
from dogwoodshed._internal.routing.base import OutcomeStatus

# A caller that accepts no byte for this long counts as disconnected, so that its
# response does not block a slot or a graceful stop forever. A radio link can pause for
# several seconds.
CALLER_STALL_TIMEOUT_S = 30.0
MAX_UNTIMED_RESPONSE_BYTES = 16_384
_LINGER_ZERO = struct.pack("ii", 1, 0)


class StreamLimits(NamedTuple):
    """How long an upstream may take to send a response body, and how many bytes."""

    # Longest time without a byte, in seconds.
    progress_timeout: float
    max_bytes: int
    # Seconds until the deadline of the call. Time in which the gateway waits for the
    # caller is added to it if the length of the body is known.
    time_left: float


async def send_problem(
    request: web.BaseRequest, error: CallError, *, close: bool
) -> web.StreamResponse:
    """Send the problem response for a failed call."""
    response = problem_response(error)
    if close or not request.content.is_eof():
        response.force_close()
    await _write_buffered(request, response)
    return response


async def send_response(
    request: web.BaseRequest,
    upstream_response: UpstreamResponse,
    limits: StreamLimits,
    *,
    close: bool,
) -> tuple[web.StreamResponse, OutcomeStatus]:
    """Send an upstream's response to the caller and return the outcome."""
    if upstream_response.body is None:
        return await _stream(request, upstream_response, limits, close=close)
    response = BufferedResponse(
        status=upstream_response.status,
        reason=upstream_response.reason,
        headers=upstream_response.headers,
        body=upstream_response.body,
    )
    if close:
        response.force_close()
    written = await _write_buffered(request, response)
    return response, OutcomeStatus.ANSWERED if written else OutcomeStatus.CANCELLED


async def _write_buffered(request: web.BaseRequest, response: web.Response) -> bool:
    try:
        if _needs_no_timeout(request, response):
            await response.prepare(request)
            await response.write_eof()
            return True
        async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
            await response.prepare(request)
            await response.write_eof()
    except (ConnectionError, TimeoutError):
        _reset_connection(request)
        return False
    return True


def _needs_no_timeout(request: web.BaseRequest, response: web.Response) -> bool:
    # A write waits only if more than the transport's limit of 64 KB is unsent, so a
    # small response on a connection with an empty write buffer needs no timer.
    transport = request.transport
    return (
        transport is not None
        and transport.get_write_buffer_size() == 0
        and len(response.body or b"") <= MAX_UNTIMED_RESPONSE_BYTES
    )


async def _stream(
    request: web.BaseRequest,
    upstream_response: UpstreamResponse,
    limits: StreamLimits,
    *,
    close: bool,
) -> tuple[web.StreamResponse, OutcomeStatus]:
    response = StreamedResponse(
        status=upstream_response.status,
        reason=upstream_response.reason,
        headers=upstream_response.headers,
    )
    if close:
        response.force_close()
    status = OutcomeStatus.CANCELLED
    is_complete = False
    chunks = _LimitedChunks(upstream_response, limits)
    try:
        await response.prepare(request)
        if upstream_response.prefix:
            await response.write(upstream_response.prefix)
        while True:
            chunk = await chunks.read()
            if not chunk:
                break
            started_at = chunks.now()
            async with asyncio.timeout(CALLER_STALL_TIMEOUT_S):
                await response.write(chunk)
            chunks.record_write(chunks.now() - started_at)
        await response.write_eof()
        is_complete = True
        status = OutcomeStatus.ANSWERED
        if upstream_response.status >= 500:
            status = OutcomeStatus.FAILED
    except ResponseTruncatedError:
        # The caller must be able to detect a truncated response.
        status = (
            OutcomeStatus.TIMED_OUT
            if upstream_response.silent
            else OutcomeStatus.FAILED
        )
        _reset_connection(request)
    except (ConnectionError, TimeoutError):
        _reset_connection(request)
    except asyncio.CancelledError:
        # An orderly close would end a response without a length as if it were whole.
        _reset_connection(request)
        raise
    finally:
        if not is_complete:
            upstream_response.client_response.close()
        await upstream_response.finish(status)
    return response, status


class _LimitedChunks:
    """Read the chunks of a body whose upstream may never end it."""

    def __init__(
        self, upstream_response: UpstreamResponse, limits: StreamLimits
    ) -> None:
        self._response = upstream_response
        self._content = upstream_response.client_response.content
        self._limits = limits
        self.now = asyncio.get_running_loop().time
        self._has_length = upstream_response.client_response.content_length is not None
        self._ends_at = self.now() + limits.time_left
        self._size = len(upstream_response.prefix)

    async def read(self) -> bytes:
        """Return the next chunk, empty at the end; raises ResponseTruncatedError."""
        time_left = self._ends_at - self.now()
        timeout = min(self._limits.progress_timeout, time_left)
        try:
            async with asyncio.timeout(timeout):
                chunk = await self._content.readany()
        except TimeoutError:
            if timeout < time_left:
                self._response.mark_silent()
            raise ResponseTruncatedError("no progress") from None
        except (aiohttp.ClientError, OSError) as error:
            raise ResponseTruncatedError(type(error).__name__) from error
        self._size += len(chunk)
        if chunk and time_left <= 0 and not self._has_length:
            raise ResponseTruncatedError("deadline passed")
        if self._size > self._limits.max_bytes:
            raise ResponseTruncatedError("response too long")
        return chunk

    def record_write(self, seconds: float) -> None:
        """Record how long the gateway waited for the caller to take a chunk."""
        if self._has_length:
            self._ends_at += seconds


def _reset_connection(request: web.BaseRequest) -> None:
    transport = request.transport
    if transport is None:
        return
    # After an orderly close, a response without a length would seem to be complete.
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
    transport.abort()
