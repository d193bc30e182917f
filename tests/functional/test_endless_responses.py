"""Test upstreams that send bytes without end, until the gateway closes."""

import asyncio

from tests.lib import builders
from tests.lib.raw import (
    OK,
    RawHttpTestCase,
    RawServer,
    respond_with,
    run_on_class_loop,
)

TIME_LIMIT_MS = 400
DEADLINE_S = 1.2
# Time after the deadline in which a caller must have the end of its response.
LATE_S = 0.5
# Deadline of the calls of other callers, which an endless response must not delay.
OTHER_CALLER_DEADLINE_S = 0.3
MAX_RESPONSE_BYTES = 4 * 1024 * 1024
MAX_MEMORY_GROWTH_KB = 16 * 1024
PART = b"x" * 65_536
CHUNK = f"{len(PART):x}\r\n".encode() + PART + b"\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2000


def repeat_forever(head: bytes, part: bytes):
    """Return a script that sends `head`, and then `part` until it is cut off."""

    async def script(request, reader, writer):
        writer.write(head)
        while not writer.is_closing():
            writer.write(part)
            await writer.drain()

    return script


class EndlessResponsesTest(RawHttpTestCase):
    settings = {"limits": {"max_response_bytes": MAX_RESPONSE_BYTES}}

    @classmethod
    async def _start(cls):
        cls.other = RawServer()
        await cls.other.start()
        await super()._start()

    @classmethod
    def services(cls):
        kind = builders.kind_entry(
            method="*", path="/other", time_limit_ms=OTHER_CALLER_DEADLINE_S * 1000
        )
        return (
            *super().services(),
            builders.service_entry("other", (cls.other.address,), kinds=[kind]),
        )

    @classmethod
    def kinds(cls):
        return [
            builders.kind_entry(
                method="*",
                path="/raw",
                time_limit_ms=TIME_LIMIT_MS,
                deadline_ms=int(DEADLINE_S * 1000),
            )
        ]

    async def call_beside_others(self) -> tuple[bytes | None, float, list[float]]:
        """Call the endless upstream while another caller calls another service.

        Returns the response, or None if its connection was reset, the time that it
        took, and the times of the other caller's calls.
        """
        other_times = []

        async def call_repeatedly():
            while True:
                started = asyncio.get_running_loop().time()
                response = await self.call("GET /other")
                self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
                other_times.append(asyncio.get_running_loop().time() - started)
                await asyncio.sleep(0.01)

        task = asyncio.create_task(call_repeatedly())
        started = asyncio.get_running_loop().time()
        response: bytes | None
        try:
            response = await self.call("GET /raw", "X-Call-Depth: 1")
        except ConnectionError:
            response = None
        elapsed = asyncio.get_running_loop().time() - started
        await asyncio.sleep(0.1)
        if task.done():
            await task
        task.cancel()
        return response, elapsed, other_times

    def assert_others_unharmed(self, other_times: list[float]):
        self.assertGreater(len(other_times), 3)
        self.assertLess(max(other_times), OTHER_CALLER_DEADLINE_S)

    @run_on_class_loop
    async def test_interim_responses_without_end(self):
        """Guards against reading interim responses until the upstream stops."""
        await self.call("GET /other")
        before = self.peak_kb()
        self.upstream.script = repeat_forever(b"", INTERIM)
        response, elapsed, other_times = await self.call_beside_others()
        self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)
        self.assertIn(b"X-Request-Ran: unknown", response)
        self.assertLess(elapsed, DEADLINE_S)
        self.assert_others_unharmed(other_times)
        self.assertLess(self.peak_kb() - before, MAX_MEMORY_GROWTH_KB)

    @run_on_class_loop
    async def test_few_interim_responses_are_skipped(self):
        """Guards against an error after interim responses that end."""
        self.upstream.script = respond_with(
            b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" * 3 + OK
        )
        response = await self.call()
        self.assertTrue(response.startswith(b"HTTP/1.1 200 OK\r\n"), response)

    @run_on_class_loop
    async def test_slow_body_without_end(self):
        """Guards against a body that goes on after the deadline of its call."""

        def drip(head: bytes, part: bytes):
            async def script(request, reader, writer):
                writer.write(head)
                while not writer.is_closing():
                    writer.write(part)
                    await asyncio.sleep(0.02)

            return script

        head = b"HTTP/1.1 200 OK\r\n"
        chunk = b"1000\r\n" + PART[:4096] + b"\r\n"
        for script in (
            drip(head + b"Transfer-Encoding: chunked\r\n\r\n", chunk),
            drip(head + b"Connection: close\r\n\r\n", PART[:4096]),
            drip(
                head + f"Content-Length: {MAX_RESPONSE_BYTES}\r\n\r\n".encode(),
                PART[:4096],
            ),
        ):
            self.upstream.script = script
            response, elapsed, other_times = await self.call_beside_others()
            self.assertIsNone(response)
            self.assertLess(elapsed, DEADLINE_S + LATE_S)
            self.assert_others_unharmed(other_times)

    @run_on_class_loop
    async def test_fast_body_without_end(self):
        """Guards against forwarding any number of bytes as one response."""
        head = b"HTTP/1.1 200 OK\r\n"
        for script in (
            repeat_forever(head + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
            repeat_forever(head + b"Connection: close\r\n\r\n", PART),
        ):
            self.upstream.script = script
            received = await self.count_received_until_reset()
            self.assertLess(received, MAX_RESPONSE_BYTES + 1024 * 1024)

    async def count_received_until_reset(self) -> int:
        """Return how many bytes a caller receives before its connection is reset."""
        reader, writer = await self.connect()
        writer.write(b"GET /raw HTTP/1.1\r\nHost: h\r\n\r\n")
        received = 0
        try:
            async with asyncio.timeout(DEADLINE_S + LATE_S):
                while part := await reader.read(1 << 16):
                    received += len(part)
            self.fail(f"the response looks complete after {received} bytes")
        except ConnectionError:
            return received
        finally:
            writer.close()

    @run_on_class_loop
    async def test_announced_length_over_the_limit(self):
        """Guards against starting a response whose announced length is too large."""
        length = f"Content-Length: {MAX_RESPONSE_BYTES + 1}\r\n\r\n".encode()
        self.upstream.script = repeat_forever(b"HTTP/1.1 200 OK\r\n" + length, PART)
        response, elapsed, _ = await self.call_beside_others()
        self.assertTrue(response.startswith(b"HTTP/1.1 502"), response)
        self.assertIn(b"X-Request-Ran: unknown", response)
        self.assertLess(elapsed, DEADLINE_S)

    @run_on_class_loop
    async def test_bytes_on_an_idle_connection(self):
        """Guards against reading responses without end between two requests."""
        ended = asyncio.Event()

        async def script(request, reader, writer):
            writer.write(OK)
            await writer.drain()
            await asyncio.sleep(0.05)
            try:
                while not writer.is_closing():
                    writer.write(OK * 1000)
                    await writer.drain()
            finally:
                ended.set()

        self.upstream.script = script
        before = self.peak_kb()
        response = await self.call()
        self.assertTrue(response.endswith(b"ok"), response)
        # Well before the gateway closes idle connections by itself.
        async with asyncio.timeout(1.0):
            await ended.wait()
        self.assertLess(self.peak_kb() - before, MAX_MEMORY_GROWTH_KB)
        self.upstream.script = respond_with(OK)
        response = await self.call()
        self.assertTrue(response.endswith(b"\r\n\r\nok"), response)
        used = [request.connection for request in self.upstream.requests]
        self.assertNotEqual(used[0], used[1])
