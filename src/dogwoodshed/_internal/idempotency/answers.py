"""Identify keyed calls and code their answers for storage."""

from collections.abc import AsyncIterator
from hashlib import blake2b

import aiohttp
import msgpack
from multidict import CIMultiDict, istr

from dogwoodshed._internal.exceptions import UpstreamDisconnectedError
from dogwoodshed._internal.idempotency.records import MAX_ANSWER_BYTES
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.forwarder import Answer, OutboundRequest
from dogwoodshed._internal.proxy.headers import CALLER
from dogwoodshed._internal.routing.base import OutcomeStatus

REPLAYED = istr("Idempotent-Replayed")
_DIGEST_BYTES = 16


def scoped_key(call: Call, request: OutboundRequest) -> bytes:
    """Return a digest of the key within its service and the caller that it names.

    The network address of a caller does not count, because it changes when a mobile
    caller reconnects and repeats.
    """
    caller = request.headers.get(CALLER, "")
    return _digest(call.service.name.encode(), caller.encode(), call.key.encode())


def fingerprint(request: OutboundRequest) -> bytes:
    """Return a digest of method, target and body.

    Of a body that is too large to be held, its start and its stated length count.
    """
    length = "" if request.body.whole else request.headers.get("Content-Length", "")
    return _digest(
        request.method.encode(),
        request.target.encode(),
        length.encode(),
        request.body.head,
    )


def encode_answer(answer: Answer) -> bytes:
    """Return the bytes that are stored of a whole answer."""
    return msgpack.packb([answer.status, list(answer.headers.items()), answer.body])


def decode_answer(data: bytes) -> Answer:
    """Return a stored answer, marked as a replay."""
    status, pairs, body = msgpack.unpackb(data, use_list=False)
    headers = CIMultiDict(pairs)
    headers[REPLAYED] = "true"
    return Answer(None, status, headers, body)


async def read_whole(answer: Answer) -> Answer:
    """Read a streaming answer up to the bound; raises UpstreamDisconnectedError.

    A longer answer is returned as a stream that starts with what was read.
    """
    response = answer.response
    if response is None:
        return answer
    parts: list[bytes] = []
    size = 0
    status = OutcomeStatus.CANCELLED
    try:
        async for part in response.content.iter_any():
            parts.append(part)
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                status = None
                answer.response = _ResumedResponse(b"".join(parts), response)
                return answer
        status = OutcomeStatus.ANSWERED
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        status = OutcomeStatus.FAILED
        raise UpstreamDisconnectedError(type(error).__name__) from error
    finally:
        if status is not None:
            if status is not OutcomeStatus.ANSWERED:
                response.close()
            await answer.finish(status)
    answer.response, answer.body = None, b"".join(parts)
    return answer


class _ResumedResponse:
    """Stream a response whose first bytes were already read."""

    def __init__(self, head: bytes, response: aiohttp.ClientResponse) -> None:
        self._head = head
        self._response = response

    @property
    def content(self) -> "_ResumedResponse":
        return self

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield the bytes already read, then the rest."""
        yield self._head
        async for part in self._response.content.iter_any():
            yield part

    def close(self) -> None:
        """Close the connection to the upstream."""
        self._response.close()


def _digest(*parts: bytes) -> bytes:
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in parts:
        # The lengths keep ("ab", "c") apart from ("a", "bc").
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()
