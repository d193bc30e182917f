"""Let an upstream stand-in make a call of its own for each call that it serves."""

import aiohttp
from aiohttp import web

# What a well-behaved server passes on to the calls that it makes.
PASSED_ON = (
    "X-Request-Id",
    "X-Caller",
    "X-Call-Depth",
    "X-Request-Rank",
    "X-Request-Timeout-Ms",
)


class NestedCalls:
    """Send calls to a gateway on behalf of the calls that are served."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def succeed(self, url: str, request: web.Request) -> bool:
        """Call a URL; tell whether it answered without a failure."""
        if self._session is None:
            self._session = aiohttp.ClientSession(
                cookie_jar=aiohttp.DummyCookieJar(),
                connector=aiohttp.TCPConnector(limit=0),
            )
            self._session._retry_connection = False
        passed = {
            name: request.headers[name] for name in PASSED_ON if name in request.headers
        }
        try:
            async with self._session.get(url, headers=passed) as response:
                await response.read()
                return response.status < 500
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def close(self) -> None:
        """Close the connections to gateways."""
        if self._session is not None:
            await self._session.close()
