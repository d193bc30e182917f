"""Define the headers that the gateway reads and writes."""

from typing import NamedTuple

from multidict import CIMultiDict, CIMultiDictProxy, istr

# Remaining time in milliseconds instead of a time of day, so that the clocks of hosts
# need not be synchronized.
TIMEOUT_MS = istr("X-Request-Timeout-Ms")
RANK = istr("X-Request-Rank")
DEPTH = istr("X-Call-Depth")
CALLER = istr("X-Caller")
IDEMPOTENCY_KEY = istr("Idempotency-Key")
RAN = istr("X-Request-Ran")


class HeaderNames(NamedTuple):
    """Names of the headers exchanged between callers, gateways and upstreams."""

    timeout_ms: str = TIMEOUT_MS
    caller: str = CALLER
    # None if the deployment has no such header.
    rank: str | None = RANK
    depth: str | None = DEPTH
    idempotency_key: str | None = IDEMPOTENCY_KEY
    # Echoed by upstreams, so that a late response to another request is recognized.
    request_id: str | None = None
    # Names the instance that a request is meant for; any other instance refuses it.
    expected_instance: str | None = None
    # A successful response without this header does not come from the upstream.
    response_seal: str | None = None


DEFAULT_NAMES = HeaderNames()

# Only the gateway states whether a request ran. An upstream that passes on the response
# to its own nested call would otherwise make a statement about the outer call.
_GATEWAY_ONLY = frozenset({"x-request-ran"})
# RFC 9110, section 7.6.1, and older names that are still in use.
_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# aiohttp's client adds these headers if they are missing.
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


# The gateway handles `Expect` itself and requests the body from the caller.
_DROPPED_FROM_REQUESTS = _HOP_BY_HOP | {"expect"}
_DROPPED_FROM_RESPONSES = _HOP_BY_HOP | _GATEWAY_ONLY


def for_upstream(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Copy the headers of a request without those of a single connection."""
    return _copy_without(headers, _DROPPED_FROM_REQUESTS)


def for_caller(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Copy the headers of a response without those of a single connection.

    Headers that only the gateway may set are left out too.
    """
    return _copy_without(headers, _DROPPED_FROM_RESPONSES)


def _copy_without(
    headers: CIMultiDictProxy[str], dropped: frozenset[str]
) -> CIMultiDict[str]:
    if "Connection" in headers:
        tokens = ",".join(headers.getall("Connection")).split(",")
        dropped = dropped | {token.strip().lower() for token in tokens}
    return CIMultiDict(
        [
            (name, value)
            for name, value in headers.items()
            if name.lower() not in dropped
        ]
    )
