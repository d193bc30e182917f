"""Test that damaged bytes on the sockets of callers and upstreams stay without effect.

Each test guards against one malformed message that ends the process, keeps a connection
hanging, or reaches a caller as the answer to another request.
"""

import asyncio
import random
import re

from tests.lib.raw import OK, RawHttpTestCase, respond_with, run_on_class_loop

CASES = 80
SEED = 20261204
REQUEST = (
    b"PUT /raw?x=1 HTTP/1.1\r\nHost: example.test\r\nConnection: close\r\n"
    b"Transfer-Encoding: chunked\r\nX-A: 1\r\n\r\n3;e=f\r\nabc\r\n0\r\nX-T: 1\r\n\r\n"
)
RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-B: 2\r\n\r\n"
    b"5;e=f\r\nwhole\r\n0\r\nX-T: 1\r\n\r\n"
)
# An answer or the end of the connection must come by then; the deadline is 15 s.
ANSWER_S = 8.0


def mutate(data: bytes, rng: random.Random) -> bytes:
    """Cut, repeat, replace or insert bytes at a random place."""
    start = rng.randrange(len(data))
    end = min(len(data), start + rng.randrange(1, 9))
    noise = bytes(rng.randrange(256) for _ in range(rng.randrange(1, 9)))
    return rng.choice(
        (
            data[:start],
            data[:start] + data[end:],
            data[:start] + noise + data[end:],
            data[:start] + noise + data[start:],
            data[:end] + data[start:],
            data[:start] + noise * 4000 + data[end:],
        )
    )


class MutatedBytesTest(RawHttpTestCase):
    async def assert_gateway_serves(self):
        self.upstream.script = respond_with(OK)
        response = await self.call()
        self.assertTrue(response.endswith(b"\r\n\r\nok"), response)

    async def send(self, data: bytes) -> bytes:
        """Send bytes as a caller that then closes its side; return the answer."""
        reader, writer = await self.connect()
        try:
            writer.write(data)
            writer.write_eof()
            async with asyncio.timeout(ANSWER_S):
                return await reader.read()
        except ConnectionError:
            return b""
        finally:
            writer.close()

    @run_on_class_loop
    async def test_requests(self):
        rng = random.Random(SEED)
        for number in range(CASES):
            data = mutate(REQUEST, rng)
            with self.subTest(number=number, data=data[:200]):
                answer = await self.send(data)
                if answer:
                    self.assertTrue(answer.startswith(b"HTTP/1."), answer[:80])
        await self.assert_gateway_serves()

    @run_on_class_loop
    async def test_responses(self):
        rng = random.Random(SEED)
        for number in range(CASES):
            data = mutate(RESPONSE, rng)

            async def script(request, reader, writer, data=data):
                writer.write(data)
                writer.close()

            self.upstream.script = script
            with self.subTest(number=number, data=data[:200]):
                try:
                    answer = await asyncio.wait_for(
                        self.call("POST /raw", "Content-Length: 0"), ANSWER_S
                    )
                except ConnectionError:
                    continue
                if answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"0\r\n\r\n"):
                    # A body is forwarded as complete only if the upstream ended it.
                    # A single LF also ends a line (RFC 9112, section 2.2).
                    body = re.split(rb"\r?\n\r?\n", data, maxsplit=1)[1]
                    self.assertIn(b"0\r\n", body)
        await self.assert_gateway_serves()
