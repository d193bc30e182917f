"""Test that a request cut at any byte never reaches an upstream as a whole one."""

import asyncio
import unittest
from unittest import mock

from aiohttp import http_parser

from tests.lib.loopback_proxy import REQUEST_ID, SEAL, LoopbackProxy, build_response
from tests.lib.raw import TIMEOUT_S, reset_connection

CONCURRENT_CALLS = 32
LONG_CHUNK = b"11170\r\n" + b"x" * 70_000 + b"\r\n"


def build_request(request_id: str, *header_lines: str, body: bytes) -> bytes:
    """Build a write."""
    lines = (
        "POST /raw HTTP/1.1",
        "Host: example.test",
        f"{REQUEST_ID}: {request_id}",
        "X-Dogwoodshed-Deadline-Ms: 2000",
        *header_lines,
    )
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def build_requests(request_id: str) -> list[bytes]:
    """Build requests with all kinds of framing."""
    chunked = "Transfer-Encoding: chunked"
    return [
        build_request(request_id, "Content-Length: 12", body=b"twelve bytes"),
        build_request(
            request_id,
            chunked,
            body=b"4\r\ntwel\r\n8\r\nve bytes\r\n0\r\nX-Trailer: 1\r\n\r\n",
        ),
    ]


class CutRequestsTest(unittest.IsolatedAsyncioTestCase):
    parser = http_parser.HttpRequestParser

    async def asyncSetUp(self):
        patch = mock.patch("aiohttp.web_protocol.HttpRequestParser", self.parser)
        patch.start()
        self.addCleanup(patch.stop)
        # The debug mode of the test loop triples the time of many calls.
        asyncio.get_running_loop().set_debug(False)
        self.proxy = LoopbackProxy(1)
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.stop)

        async def respond(request, reader, writer):
            request_id = request.values(REQUEST_ID)[0]
            writer.write(build_response(200, request_id, SEAL, body=b"ok"))

        self.proxy.upstreams[0].script = respond

    async def send_cut(self, data: bytes, *, with_reset: bool) -> None:
        """Send the start of a request, then close or reset."""
        reader, writer = await self.proxy.connect()
        writer.write(data)
        try:
            # The gateway gets the bytes before it gets the end of the connection.
            await asyncio.sleep(0.02)
            if with_reset:
                reset_connection(writer)
            else:
                writer.write_eof()
                async with asyncio.timeout(TIMEOUT_S):
                    await reader.read()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def check_cuts(self, *, with_reset: bool):
        """Send each prefix of each request."""
        slots = asyncio.Semaphore(CONCURRENT_CALLS)

        async def send(data: bytes):
            async with slots:
                await self.send_cut(data, with_reset=with_reset)

        await asyncio.gather(
            *(
                send(request[:position])
                for request in build_requests("a")
                for position in range(len(request))
            )
        )
        await asyncio.sleep(0.1)
        self.assertEqual([r.body for r in self.proxy.upstreams[0].requests], [])

    async def test_closed_requests(self):
        """Guards against running a request whose caller closed before its end."""
        await self.check_cuts(with_reset=False)

    async def test_reset_requests(self):
        """Guards against running a request whose caller reset before its end."""
        await self.check_cuts(with_reset=True)

    async def test_long_request(self):
        """Guards against ending a body that is sent on while it arrives."""
        for header, body in (
            ("Content-Length: 70001", b"x" * 70_000),
            ("Transfer-Encoding: chunked", LONG_CHUNK),
            ("Transfer-Encoding: chunked", LONG_CHUNK + b"0"),
            ("Transfer-Encoding: chunked", LONG_CHUNK + b"0\r\n"),
            ("Transfer-Encoding: chunked", LONG_CHUNK + b"0\r\nX-T"),
            ("Transfer-Encoding: chunked", LONG_CHUNK + b"1\r\n"),
        ):
            for with_reset in (False, True):
                with self.subTest(header=header, end=body[-8:], with_reset=with_reset):
                    request = build_request("a", header, body=body)
                    await self.send_cut(request, with_reset=with_reset)
                    await asyncio.sleep(0.1)
                    self.assertEqual(self.proxy.upstreams[0].requests, [])

    async def test_whole_requests(self):
        """Guards against a check of cut requests that no request passes."""
        for request in build_requests("a"):
            await self.send_cut(request, with_reset=False)
        bodies = [request.body for request in self.proxy.upstreams[0].requests]
        self.assertEqual(bodies, [b"twelve bytes"] * 2)


class PureCutRequestsTest(CutRequestsTest):
    """The same with the parser that is used without aiohttp's C extension."""

    parser = http_parser.HttpRequestParserPy
