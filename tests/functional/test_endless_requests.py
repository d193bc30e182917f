"""Test callers that send bytes without end, or too slowly."""

import asyncio

from tests.lib import builders
from tests.lib.raw import OK, RawHttpTestCase, respond_with, run_on_class_loop

DEADLINE_S = 1.0
# Time after the limit in which a connection must have ended. After an early answer the
# gateway reads on for 2 s, so that the caller gets the answer and no reset.
LATE_S = 1.0
READ_ON_S = 2.0
HEAD_TIMEOUT_S = 1.0
MAX_MEMORY_GROWTH_KB = 16 * 1024
HEAD = b"PUT /raw HTTP/1.1\r\nHost: example.test\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessRequestsTest(RawHttpTestCase):
    settings = {"limits": {"head_timeout_s": HEAD_TIMEOUT_S}}

    @classmethod
    def kinds(cls):
        return [
            builders.kind_entry(
                method="*",
                path="/raw",
                time_limit_ms=DEADLINE_S * 1000,
                deadline_ms=int(DEADLINE_S * 1000),
            )
        ]

    async def send_until_closed(
        self, start: bytes, part: bytes, *, pause: float = 0.0, timeout: float
    ) -> bytes:
        """Send `start`, and `part` until the gateway closes; return its answer."""
        reader, writer = await self.connect()
        answer = b""

        async def send():
            writer.write(start)
            while True:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(pause)

        task = asyncio.create_task(send())
        try:
            async with asyncio.timeout(timeout):
                while received := await reader.read(65_536):
                    answer += received
        except ConnectionError:
            pass
        finally:
            task.cancel()
            writer.close()
        return answer

    async def assert_gateway_serves(self):
        self.upstream.script = respond_with(OK)
        response = await self.call("PUT /raw", "Content-Length: 0")
        self.assertTrue(response.endswith(b"ok"), response)

    @run_on_class_loop
    async def test_fast_bytes_without_end(self):
        """Guards against reading a head, trailer or chunk extension without a limit."""
        before = self.peak_kb()
        for start, part in (
            (HEAD, b"X-A: 1\r\n" * 1000),
            (HEAD + b"X-A: ", b"a" * 65_536),
            (CHUNKED + b"5;e=", b"e" * 65_536),
            (CHUNKED + b"5\r\nwhole\r\n0\r\n", b"X-T: 1\r\n" * 1000),
            (b"PUT /", b"r" * 65_536),
        ):
            with self.subTest(start=start):
                answer = await self.send_until_closed(
                    start, part, timeout=DEADLINE_S + READ_ON_S + LATE_S
                )
                self.assertNotIn(b"HTTP/1.1 200", answer)
                await self.assert_gateway_serves()
        self.assertLess(self.peak_kb() - before, MAX_MEMORY_GROWTH_KB)

    @run_on_class_loop
    async def test_slow_head(self):
        """Guards against connections that are held by heads that never end."""
        for start in (b"", HEAD):
            with self.subTest(start=start):
                answer = await self.send_until_closed(
                    start + b"X-A: ", b"a", pause=0.02, timeout=HEAD_TIMEOUT_S + LATE_S
                )
                self.assertNotIn(b"HTTP/1.1 200", answer)

    @run_on_class_loop
    async def test_slow_body(self):
        """Guards against a body that arrives until long after the deadline."""
        for start, part in (
            (CHUNKED, b"1\r\na\r\n"),
            (HEAD + b"Content-Length: 99999\r\n\r\n", b"a"),
            (CHUNKED + b"5;e=", b"e"),
        ):
            with self.subTest(start=start):
                answer = await self.send_until_closed(
                    start, part, pause=0.02, timeout=DEADLINE_S + READ_ON_S + LATE_S
                )
                self.assertTrue(answer.startswith(b"HTTP/1.1 408"), answer[:100])
                self.assertIn(b"X-Request-Ran: no", answer)
