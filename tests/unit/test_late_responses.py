"""Test that a response is only used for the request that it belongs to."""

import asyncio
import unittest

import aiohttp

from dogwoodshed._internal.proxy.connections import UpstreamPool
from dogwoodshed._internal.proxy.headers import HeaderNames
from dogwoodshed._internal.settings import LimitSettings
from tests.lib.raw import reset_connection


def build_response(request_id: str, body: bytes, length_header: str = "") -> bytes:
    """Build a response that echoes a request id."""
    length = length_header or f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\n{length}\r\n".encode() + body


class LateResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        names = HeaderNames(request_id="X-Id")
        self.pool = UpstreamPool(
            f"127.0.0.1:{port}", 1, LimitSettings(), lambda _: None, names
        )
        self.replies = []
        self.connections = 0

    async def asyncTearDown(self):
        await self.pool.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.replies:
                await reader.readuntil(b"\r\n\r\n")
                await self.replies.pop(0)(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def add_reply(self, *parts, delay=0.0, reset=False):
        async def write_reply(writer):
            writer.write(parts[0])
            for part in parts[1:]:
                await asyncio.sleep(delay)
                writer.write(part)
            if reset:
                await asyncio.sleep(0.02)
                # Without a reset, the response would end as if it were complete.
                reset_connection(writer)

        self.replies.append(write_reply)

    async def get(self, request_id):
        headers = {"X-Id": request_id}
        async with self.pool.session.get(self.url, headers=headers) as response:
            return await response.read()

    async def test_duplicate_before_the_next_response_is_skipped(self):
        """Guards against returning the previous response for the next request."""
        self.add_reply(build_response("a", b"first"))
        self.add_reply(build_response("a", b"first") + build_response("b", b"second"))
        self.assertEqual(await self.get("a"), b"first")
        self.assertEqual(await self.get("b"), b"second")

    async def test_connection_with_a_duplicate_response_is_not_reused(self):
        """Guards against reusing a connection with unread bytes of an old response."""
        self.add_reply(
            build_response("a", b"first"), build_response("a", b"first"), delay=0.01
        )
        self.add_reply(build_response("b", b"second"))
        self.assertEqual(await self.get("a"), b"first")
        await asyncio.sleep(0.05)
        self.assertEqual(await self.get("b"), b"second")
        self.assertEqual(self.connections, 2)

    async def test_success_without_the_request_id_is_an_error(self):
        """Guards against a late copy that does not say to which request it belongs."""
        self.add_reply(build_response("a", b"first"))
        copy = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
        self.add_reply(copy + build_response("b", b"second"))
        self.assertEqual(await self.get("a"), b"first")
        with self.assertRaises(aiohttp.ClientError):
            await self.get("b")

    async def test_late_copies_without_end(self):
        """Guards against reading copies of an earlier response until they end."""
        self.add_reply(build_response("a", b"first"))
        self.add_reply(build_response("a", b"first") * 50 + build_response("b", b"x"))
        self.assertEqual(await self.get("a"), b"first")
        with self.assertRaises(aiohttp.ClientError):
            await self.get("b")

    async def test_late_copy_on_a_connection_in_use_under_load(self):
        """Guards against a copy that arrives while the next response is expected.

        Each request gets its own response or an error, whatever the delay of the copy.
        """
        for number in range(60):
            earlier = build_response(f"r{number - 1}", b"%d" % (number - 1))
            own = build_response(f"r{number}", b"%d" % number)
            cut = (7 * number) % len(earlier)
            self.add_reply(earlier[:cut], earlier[cut:] + own, delay=0.001)
        errors = 0
        for number in range(60):
            try:
                body = await self.get(f"r{number}")
            except aiohttp.ClientError:
                errors += 1
            else:
                self.assertEqual(body, b"%d" % number)
        self.assertLess(errors, 60)

    async def test_reset_response_without_length_fails(self):
        """Guards against a truncated response that seems to be complete."""
        self.add_reply(
            build_response("a", b"part", "Connection: close\r\n"), reset=True
        )
        with self.assertRaises(aiohttp.ClientError):
            await self.get("a")
