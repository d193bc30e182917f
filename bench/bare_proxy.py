"""Forward HTTP with the library of the gateway and nothing else, as a baseline."""

import asyncio
import sys

import aiohttp
from aiohttp import web

HOP_BY_HOP_HEADERS = frozenset({"connection", "keep-alive", "transfer-encoding"})


def end_to_end_headers(headers) -> list[tuple[str, str]]:
    """Return the headers without those of a single connection."""
    return [(k, v) for k, v in headers.items() if k.lower() not in HOP_BY_HOP_HEADERS]


async def serve(port: int, upstream: str) -> None:
    """Forward every request to one upstream."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=250),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        async with session.request(
            request.method,
            f"http://{upstream}{request.raw_path}",
            headers=end_to_end_headers(request.headers),
            data=await request.read() or None,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            headers = end_to_end_headers(response.headers)
            return web.Response(status=response.status, headers=headers, body=body)

    server = web.Server(handle, access_log=None, auto_decompress=False)
    loop = asyncio.get_running_loop()
    await loop.create_server(server, "127.0.0.1", port, backlog=1024)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(serve(int(sys.argv[1]), sys.argv[2]))
