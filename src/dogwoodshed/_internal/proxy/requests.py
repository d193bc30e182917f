"""Parse the requests of callers and reject those that cannot be forwarded."""

import asyncio

import aiohttp
from aiohttp import web
from aiohttp.http import HttpVersion11
from aiohttp.http_exceptions import HttpProcessingError

from dogwoodshed._internal.exceptions import (
    ExpectationFailedError,
    MalformedRequestError,
    NoConfigurationError,
    NoRouteError,
    RequestTimeoutError,
    UnsupportedRequestError,
)
from dogwoodshed._internal.proxy.body import RequestBody
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.headers import DEFAULT_NAMES, HeaderNames
from dogwoodshed._internal.proxy.routes import Routes
from dogwoodshed._internal.settings import LimitSettings

MAX_KEY_LENGTH = 255
MAX_CALL_DEPTH = 100
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


def check_request(request: web.BaseRequest) -> None:
    """Reject a request that cannot be forwarded; raises NotRunError."""
    request_headers = request.headers
    if request.method == "CONNECT" or "Upgrade" in request_headers:
        raise UnsupportedRequestError(request.method)
    # A target in absolute or asterisk form has no path under the upstream's address.
    target = request.raw_path
    if not target.startswith("/") or "#" in target:
        raise MalformedRequestError("request target")
    host_count = len(request_headers.getall("Host", ()))
    # RFC 9112, section 3.2: a wrong number of Host headers must be rejected.
    if host_count > 1 or (host_count == 0 and request.version >= HttpVersion11):
        raise MalformedRequestError(f"{host_count} Host headers")


def parse_call(
    request: web.BaseRequest,
    routes: Routes,
    arrived_at: float,
    names: HeaderNames = DEFAULT_NAMES,
) -> Call:
    """Find the service and kind of a request; raises NotRunError."""
    if routes.configuration is None:
        # Not 404, which would mean that the configuration has no such route.
        raise NoConfigurationError("starting")
    # As it is sent on: upstreams see the encoded path.
    path = request.raw_path.partition("?")[0]
    destination = routes.resolve(request.host, request.method, path)
    if destination is None:
        raise NoRouteError(path)
    service, kind = destination
    time_limit = _numeric_header(request, names.timeout_ms, kind.deadline * 1000) / 1000
    rank = int(_numeric_header(request, names.rank, kind.rank.position))
    key = request.headers.get(names.idempotency_key) if names.idempotency_key else None
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise MalformedRequestError(f"{names.idempotency_key}: length")
    call = Call(
        service,
        kind,
        request_id=request.headers.get(names.request_id, "")
        if names.request_id
        else "",
        caller=request.headers.get(names.caller) or request.remote or "",
        arrived_at=arrived_at,
        deadline=arrived_at + min(time_limit, kind.deadline),
        # A nested call is never more urgent than its outer call.
        rank=min(max(rank, kind.rank.position), len(routes.configuration.ranks) - 1),
        depth=min(MAX_CALL_DEPTH, int(_numeric_header(request, names.depth, 0))),
        key=key,
    )
    call.set_prior_wait(routes.estimate_prior_wait(kind, time_limit))
    return call


async def read_body(
    request: web.BaseRequest, limits: LimitSettings, timeout: float
) -> RequestBody:
    """Read the body, or the start of a large one; raises NotRunError."""
    expectation = request.headers.get("Expect")
    if expectation is not None and request.version >= HttpVersion11:
        if expectation.lower() != "100-continue":
            raise ExpectationFailedError(f"{expectation:.40}")
        await request.writer.write(_CONTINUE_RESPONSE)
        # aiohttp would otherwise take these bytes for the start of the response.
        request.writer.output_size = 0
    body = RequestBody.from_request(
        request,
        replay_bytes=limits.replay_body_bytes,
        max_bytes=limits.max_body_bytes,
    )
    try:
        if request.content.is_eof():
            return await body
        async with asyncio.timeout(max(0.0, timeout)):
            return await body
    except TimeoutError:
        raise RequestTimeoutError("request body") from None
    except (web.RequestPayloadError, HttpProcessingError, aiohttp.ClientError) as error:
        raise MalformedRequestError("request body") from error


def _numeric_header(
    request: web.BaseRequest, name: str | None, default: float
) -> float:
    text = request.headers.get(name) if name is not None else None
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        raise MalformedRequestError(f"{name}: {text!r:.40}") from None
    if not 0 <= value < 1e12:
        raise MalformedRequestError(f"{name}: {text!r:.40}")
    return value
