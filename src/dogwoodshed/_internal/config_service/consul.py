"""Read the configuration service with blocking queries of the Consul KV API."""

import base64
import binascii

import aiohttp

from dogwoodshed._internal import registry
from dogwoodshed._internal.config_service.base import PlatformClient, Snapshot, Value
from dogwoodshed._internal.exceptions import PlatformError

READ_TIMEOUT_S = 5.0
# The service responds within milliseconds after the wait has expired. A watch that
# takes longer has lost its connection.
WATCH_MARGIN_S = 1.0


@registry.register(registry.PLATFORM, "consul")
class ConsulClient(PlatformClient):
    """Read keys with `recurse` and watch them by index."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}/v1/kv/"
        self._session: aiohttp.ClientSession | None = None

    async def read(self, prefix: str) -> Snapshot:
        """Read all values below a prefix; raises PlatformError."""
        return await self._get(prefix, {}, READ_TIMEOUT_S)

    async def watch(self, prefix: str, revision: int, wait: float) -> Snapshot:
        """Wait for a higher revision, at most `wait` seconds; raises PlatformError."""
        query = {"index": str(revision), "wait": f"{int(wait * 1000)}ms"}
        # Consul adds up to a sixteenth of the wait as jitter.
        return await self._get(prefix, query, wait * 1.0625 + WATCH_MARGIN_S)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()

    async def _get(
        self, prefix: str, query: dict[str, str], timeout: float
    ) -> Snapshot:
        if self._session is None:
            self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        try:
            async with self._session.get(
                self._base + prefix,
                params={"recurse": "true", **query},
                timeout=aiohttp.ClientTimeout(total=timeout),
                allow_redirects=False,
            ) as response:
                if response.status == 404:
                    return Snapshot(_read_index(response), {})
                if response.status != 200:
                    raise PlatformError(f"status {response.status}")
                entries = await response.json()
                return Snapshot(
                    _read_index(response),
                    {entry["Key"]: _decode(entry) for entry in entries},
                )
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            raise PlatformError(f"{type(error).__name__}: {error}") from error
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"malformed response: {error!r}") from error


def _read_index(response: aiohttp.ClientResponse) -> int:
    return int(response.headers.get("X-Consul-Index", "0"))


def _decode(entry: dict) -> Value:
    try:
        text = base64.b64decode(entry["Value"] or "").decode()
    except (binascii.Error, UnicodeDecodeError) as error:
        raise PlatformError(f"value of {entry['Key']} is not text") from error
    return Value(text, int(entry["ModifyIndex"]))
