"""Identify keyed calls and encode their responses for storage."""

from hashlib import blake2b

import aiohttp
import msgpack
from multidict import CIMultiDict, istr

from dogwoodshed._internal.exceptions import UpstreamDisconnectedError
from dogwoodshed._internal.idempotency.records import MAX_RESPONSE_BYTES
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.forwarder import OutboundRequest, UpstreamResponse
from dogwoodshed._internal.proxy.headers import CALLER
from dogwoodshed._internal.routing.base import OutcomeStatus

REPLAYED_HEADER = istr("Idempotent-Replayed")
_DIGEST_BYTES = 16


def scoped_key(call: Call, request: OutboundRequest) -> bytes:
    """Return a digest of the key, its service and the caller named in the request.

    The network address of the caller is not included, because it changes when a mobile
    caller reconnects and repeats its call.
    """
    caller = request.headers.get(CALLER, "")
    return _digest(call.service.name.encode(), caller.encode(), call.key.encode())


def fingerprint(request: OutboundRequest) -> bytes:
    """Return a digest of method, target and body.

    For a body that is too large to be buffered, its start and its stated length are
    used.
    """
    length = (
        "" if request.body.is_buffered else request.headers.get("Content-Length", "")
    )
    return _digest(
        request.method.encode(),
        request.target.encode(),
        length.encode(),
        request.body.prefix,
    )


def encode_response(response: UpstreamResponse) -> bytes:
    """Encode a buffered response for storage."""
    return msgpack.packb(
        [response.status, list(response.headers.items()), response.body]
    )


def decode_response(data: bytes) -> UpstreamResponse:
    """Decode a stored response and mark it as a replay."""
    status, pairs, body = msgpack.unpackb(data, use_list=False)
    headers = CIMultiDict(pairs)
    headers[REPLAYED_HEADER] = "true"
    return UpstreamResponse(None, status, headers, body)


async def buffer_response(response: UpstreamResponse) -> UpstreamResponse:
    """Buffer a streaming response up to a limit; raises UpstreamDisconnectedError.

    A longer response is returned as a stream that starts with the bytes already read.
    """
    client_response = response.client_response
    if client_response is None:
        return response
    parts = [response.prefix]
    size = len(response.prefix)
    status = OutcomeStatus.CANCELLED
    try:
        async for part in client_response.content.iter_any():
            parts.append(part)
            size += len(part)
            if size > MAX_RESPONSE_BYTES:
                status = None
                response.prefix = b"".join(parts)
                return response
        status = OutcomeStatus.ANSWERED
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        status = OutcomeStatus.FAILED
        raise UpstreamDisconnectedError(type(error).__name__) from error
    finally:
        if status is not None:
            if status is not OutcomeStatus.ANSWERED:
                client_response.close()
            await response.finish(status)
    response.client_response, response.body = None, b"".join(parts)
    return response


def _digest(*parts: bytes) -> bytes:
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        # Without the lengths, ("ab", "c") and ("a", "bc") would have the same digest.
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
