"""Test that answers reach only the request that they answer."""

import asyncio
import socket
import struct
import unittest

import aiohttp

from dogwoodshed._internal.proxy.connections import UpstreamPool
from dogwoodshed._internal.proxy.headers import HeaderNames
from dogwoodshed._internal.settings import LimitSettings

RESET = struct.pack("ii", 1, 0)


def answer(request_id: str, body: bytes, head: str = "") -> bytes:
    """Build an answer that echoes a request id."""
    length = head or f"Content-Length: {len(body)}\r\n"
    return f"HTTP/1.1 200 OK\r\nX-Id: {request_id}\r\n{length}\r\n".encode() + body


class LateAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f"http://127.0.0.1:{port}/"
        names = HeaderNames(request_id="X-Id")
        self.pool = UpstreamPool(
            f"127.0.0.1:{port}", 1, LimitSettings(), lambda _: None, names
        )
        self.script = []
        self.connections = 0

    async def asyncTearDown(self):
        await self.pool.close()
        self.server.close()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while self.script:
                await reader.readuntil(b"\r\n\r\n")
                await self.script.pop(0)(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def reply(self, *parts, after=0.0, reset=False):
        async def play(writer):
            writer.write(parts[0])
            for part in parts[1:]:
                await asyncio.sleep(after)
                writer.write(part)
            if reset:
                await asyncio.sleep(0.02)
                # Without this a close is orderly and ends the answer as complete.
                connection = writer.get_extra_info("socket")
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                writer.transport.abort()

        self.script.append(play)

    async def get(self, request_id):
        headers = {"X-Id": request_id}
        async with self.pool.session.get(self.url, headers=headers) as response:
            return await response.read()

    async def test_second_answer_in_front_of_the_next_is_passed_over(self):
        """Guards against the answer to the previous request at the next one."""
        self.reply(answer("a", b"first"))
        self.reply(answer("a", b"first") + answer("b", b"second"))
        self.assertEqual(await self.get("a"), b"first")
        self.assertEqual(await self.get("b"), b"second")

    async def test_connection_with_a_second_answer_is_not_used_again(self):
        """Guards against an idle connection that holds bytes of an old answer."""
        self.reply(answer("a", b"first"), answer("a", b"first"), after=0.01)
        self.reply(answer("b", b"second"))
        self.assertEqual(await self.get("a"), b"first")
        await asyncio.sleep(0.05)
        self.assertEqual(await self.get("b"), b"second")
        self.assertEqual(self.connections, 2)

    async def test_reset_answer_without_length_is_broken(self):
        """Guards against a shorter answer that looks complete."""
        self.reply(answer("a", b"part", "Connection: close\r\n"), reset=True)
        with self.assertRaises(aiohttp.ClientError):
            await self.get("a")
