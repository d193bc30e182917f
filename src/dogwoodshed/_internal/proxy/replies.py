"""Write answers to callers as the upstream gave them."""

import asyncio
import socket
import struct

import aiohttp
from aiohttp import web

from dogwoodshed._internal.exceptions import CallError, ResponseTruncatedError
from dogwoodshed._internal.proxy.problems import problem_response
from dogwoodshed._internal.proxy.responses import StreamedResponse, WholeResponse
from dogwoodshed._internal.proxy.upstream_messages import Answer
from dogwoodshed._internal.routing.base import OutcomeStatus

# A caller that takes no byte for this long has gone; its answer must not hold a slot
# or a graceful stop for ever. A radio link can pause for several seconds.
CALLER_STALL_S = 30.0
SMALL_ANSWER_BYTES = 16_384
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def send_problem(
    request: web.BaseRequest, error: CallError, *, close: bool
) -> web.StreamResponse:
    """Tell the caller how its call failed."""
    response = problem_response(error)
    if close or not request.content.is_eof():
        response.force_close()
    await _write_whole(request, response)
    return response


async def send_answer(
    request: web.BaseRequest, answer: Answer, progress_timeout: float, *, close: bool
) -> tuple[web.StreamResponse, OutcomeStatus]:
    """Pass an answer on and tell how that ended."""
    if answer.body is None:
        return await _stream(request, answer, progress_timeout, close=close)
    response = WholeResponse(
        status=answer.status,
        reason=answer.reason,
        headers=answer.headers,
        body=answer.body,
    )
    if close:
        response.force_close()
    written = await _write_whole(request, response)
    return response, OutcomeStatus.ANSWERED if written else OutcomeStatus.CANCELLED


async def _write_whole(request: web.BaseRequest, response: web.Response) -> bool:
    try:
        if _fits_buffer(request, response):
            await response.prepare(request)
            await response.write_eof()
            return True
        async with asyncio.timeout(CALLER_STALL_S):
            await response.prepare(request)
            await response.write_eof()
    except (ConnectionError, TimeoutError):
        _abort(request)
        return False
    return True


def _fits_buffer(request: web.BaseRequest, response: web.Response) -> bool:
    # A write waits only above the transport's limit of 64 KB, so that a small answer on
    # a connection with nothing unsent needs no timer.
    transport = request.transport
    return (
        transport is not None
        and transport.get_write_buffer_size() == 0
        and len(response.body or b"") <= SMALL_ANSWER_BYTES
    )


async def _stream(
    request: web.BaseRequest, answer: Answer, progress_timeout: float, *, close: bool
) -> tuple[web.StreamResponse, OutcomeStatus]:
    response = StreamedResponse(
        status=answer.status, reason=answer.reason, headers=answer.headers
    )
    if close:
        response.force_close()
    status = OutcomeStatus.CANCELLED
    complete = False
    parts = answer.response.content.iter_any()
    try:
        await response.prepare(request)
        if answer.head:
            await response.write(answer.head)
        while True:
            part = await _next_part(parts, answer, progress_timeout)
            if part is None:
                break
            async with asyncio.timeout(CALLER_STALL_S):
                await response.write(part)
        await response.write_eof()
        complete = True
        status = OutcomeStatus.ANSWERED
        if answer.status >= 500:
            status = OutcomeStatus.FAILED
    except ResponseTruncatedError:
        # A cut answer must reach the caller as a broken one, never as a whole.
        status = OutcomeStatus.TIMED_OUT if answer.silent else OutcomeStatus.FAILED
        _abort(request)
    except (ConnectionError, TimeoutError):
        _abort(request)
    finally:
        if not complete:
            answer.response.close()
        await answer.finish(status)
    return response, status


async def _next_part(parts, answer: Answer, progress_timeout: float) -> bytes | None:
    try:
        async with asyncio.timeout(progress_timeout):
            return await anext(parts, None)
    except TimeoutError:
        answer.note_silent()
        raise ResponseTruncatedError("no progress") from None
    except (aiohttp.ClientError, OSError) as error:
        raise ResponseTruncatedError(type(error).__name__) from error


def _abort(request: web.BaseRequest) -> None:
    transport = request.transport
    if transport is None:
        return
    # An orderly close would end an answer without a length as if it were whole.
    connection = transport.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
