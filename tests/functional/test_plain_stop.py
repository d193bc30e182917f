"""Test the planned stop of a gateway without a linger."""

import asyncio
import signal

from tests.lib.raw import RawHttpTestCase, run_on_class_loop

BODY = b"x" * 100_000


class StopDuringStreamTest(RawHttpTestCase):
    settings = {"stop_timeout_s": 1.0}

    @run_on_class_loop
    async def test_cut_response_without_length_is_reset(self):
        """Guards against a response that the stop cuts and that looks complete."""

        async def script(request, reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + BODY)
            await writer.drain()
            await asyncio.sleep(10.0)

        self.upstream.script = script
        reader, writer = await self.connect()
        writer.write(b"GET /raw HTTP/1.0\r\nHost: example.test\r\n\r\n")
        await reader.readuntil(b"\r\n\r\n")
        self.gateway.send_signal(signal.SIGTERM)
        async with asyncio.timeout(4.0):
            with self.assertRaises(ConnectionError):
                await reader.read()


class StopOfKeyedCallTest(RawHttpTestCase):
    settings = {"stop_timeout_s": 1.0}

    @run_on_class_loop
    async def test_repeat_of_a_running_call_is_not_reported_as_not_run(self):
        """Guards against "not run" for a key whose first call is at an upstream."""

        async def script(request, reader, writer):
            await asyncio.sleep(10.0)

        self.upstream.script = script
        lines = ("Idempotency-Key: k1", "Content-Length: 1")
        first = asyncio.ensure_future(self.call("POST /raw", *lines, body=b"a"))
        await self.wait_until(lambda: self.upstream.requests)
        second = asyncio.ensure_future(self.call("POST /raw", *lines, body=b"a"))
        await asyncio.sleep(0.3)
        self.gateway.send_signal(signal.SIGTERM)
        answers = await asyncio.gather(first, second)
        self.assertNotIn(b'"ran": "no"', answers[1])


class StopWithKeptConnectionTest(RawHttpTestCase):
    settings = {"stop_timeout_s": 3.0}

    @run_on_class_loop
    async def test_quick_request_on_a_kept_connection(self):
        """Guards against refusing what ends in milliseconds, with seconds left."""
        reader, writer = await self.connect()
        request = b"GET /raw HTTP/1.1\r\nHost: example.test\r\n\r\n"
        writer.write(request)
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(2)
        self.gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        writer.write(request)
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertTrue(head.startswith(b"HTTP/1.1 200"), head)
