"""Name the headers that the gateway reads and writes."""

from collections.abc import Mapping

from multidict import CIMultiDict, istr

# Remaining time in milliseconds, so that hosts need no common clock.
TIMEOUT_MS = istr("X-Request-Timeout-Ms")
RANK = istr("X-Request-Rank")
DEPTH = istr("X-Call-Depth")
CALLER = istr("X-Caller")
IDEMPOTENCY_KEY = istr("Idempotency-Key")
RAN = istr("X-Request-Ran")

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


def end_to_end(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Copy headers without those that concern a single connection."""
    dropped = _HOP_BY_HOP
    connection = headers.get("Connection")
    if connection is not None:
        dropped = dropped | {token.strip().lower() for token in connection.split(",")}
    return CIMultiDict(
        [
            (name, value)
            for name, value in headers.items()
            if name.lower() not in dropped
        ]
    )
