"""Client of the administration API, used by the commands."""

import asyncio
from typing import Any, NamedTuple

import aiohttp

from dogwoodshed._internal.exceptions import AdministrationError

TIMEOUT_S = 30.0


class AdministrationClient(NamedTuple):
    """Client with the address of an administration API and its token."""

    address: str
    token: str | None = None

    def get(self, path: str, **query: str) -> str:
        """Return the body of a resource; raises AdministrationError."""
        return asyncio.run(self._request("GET", path, params=query))

    def post(self, path: str, payload: dict[str, Any]) -> str:
        """Send a JSON payload and return the response; raises AdministrationError."""
        return asyncio.run(self._request("POST", path, json=payload))

    async def _request(self, method: str, path: str, **options: Any) -> str:
        headers = {"Authorization": f"Bearer {self.token}"} if self.token else {}
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
                session.request(
                    method,
                    f"http://{self.address}{path}",
                    allow_redirects=False,
                    **options,
                ) as response,
            ):
                text = await response.text()
                if response.status != 200:
                    raise AdministrationError(await _describe_refusal(response, text))
                return text
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise AdministrationError(f"gateway {self.address}: {reason}") from error


async def _describe_refusal(response: aiohttp.ClientResponse, text: str) -> str:
    if response.content_type == "application/problem+json":
        title = (await response.json(content_type=None))["title"]
        return f"refused with status {response.status}: {title}"
    return f"refused with status {response.status}: {text[:200]}"
