"""Name the headers that the gateway reads and writes."""

from typing import NamedTuple

from multidict import CIMultiDict, CIMultiDictProxy, istr

# Remaining time in milliseconds, so that hosts need no common clock.
TIMEOUT_MS = istr("X-Request-Timeout-Ms")
RANK = istr("X-Request-Rank")
DEPTH = istr("X-Call-Depth")
CALLER = istr("X-Caller")
IDEMPOTENCY_KEY = istr("Idempotency-Key")
RAN = istr("X-Request-Ran")


class HeaderNames(NamedTuple):
    """The headers by which callers, gateways and upstreams understand each other."""

    timeout_ms: str = TIMEOUT_MS
    caller: str = CALLER
    # None where the deployment knows no such header.
    rank: str | None = RANK
    depth: str | None = DEPTH
    idempotency_key: str | None = IDEMPOTENCY_KEY
    # Echoed by upstreams, so that a late answer to another request is recognised.
    request_id: str | None = None
    # Names the instance that a request is meant for; any other refuses it.
    expected_instance: str | None = None
    # A successful answer without this header is not the upstream's.
    response_seal: str | None = None


DEFAULT_NAMES = HeaderNames()

# Only the gateway itself tells whether a request ran. An upstream that passes on the
# answer of a call that it made would otherwise speak for the outer call.
_GATEWAY_ONLY = frozenset({"x-request-ran"})
# RFC 9110, section 7.6.1, and the older names that proxies still meet.
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
# The library's own client adds these when they are missing.
AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


# The gateway itself asks for the body.
_REQUEST_DROPPED = _HOP_BY_HOP | {"expect"}
_ANSWER_DROPPED = _HOP_BY_HOP | _GATEWAY_ONLY


def for_upstream(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Copy a caller's headers without those that concern a single connection."""
    return _copy_without(headers, _REQUEST_DROPPED)


def for_caller(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Copy an upstream's headers without those that concern a single connection."""
    return _copy_without(headers, _ANSWER_DROPPED)


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
