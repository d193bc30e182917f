"""Make nested calls from an upstream stand-in for the calls that it serves."""

import aiohttp
from aiohttp import web

# Headers that a well-behaved server forwards on the calls that it makes.
FORWARDED_HEADERS = (
    "X-Request-Id",
    "X-Caller",
    "X-Call-Depth",
    "X-Request-Rank",
    "X-Request-Timeout-Ms",
)


class NestedCalls:
    """Send calls to a gateway on behalf of the calls being served."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def call_succeeds(self, url: str, request: web.Request) -> bool:
        """Call a URL; return whether it responded, and not with a server error."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                connector=aiohttp.TCPConnector(limit=0),
            )
            self._session._retry_connection = False
        headers = {
            name: request.headers[name]
            for name in FORWARDED_HEADERS
            if name in request.headers
        }
        try:
            async with self._session.get(url, headers=headers) as response:
                await response.read()
                return response.status < 500
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def close(self) -> None:
        """Close the connections to gateways."""
        if self._session is not None:
            await self._session.close()
