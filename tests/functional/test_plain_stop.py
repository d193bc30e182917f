"""Test the planned stop of a gateway without a linger."""

import asyncio
import signal

from tests.lib.raw import OK, RawHttpTestCase, run_on_class_loop

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


class StopWithWaitingCallTest(RawHttpTestCase):
    """The stop passes calls on for 1.5 s, and ends those at an upstream at 2.1 s."""

    routing = "slices"
    settings = {"stop_timeout_s": 1.5}
    service = {"slots_per_upstream": 1}
    service_time_s = 1.2
    # Until when the second call could still be finished, and some time for the answer.
    refused_within_s = 0.9 + 0.4

    @run_on_class_loop
    async def test_call_that_waits_and_cannot_be_finished(self):
        """Guards against a call that is passed on late in a stop and then cut off."""
        loop = asyncio.get_running_loop()

        async def script(request, reader, writer):
            await asyncio.sleep(self.service_time_s)
            writer.write(OK)

        self.upstream.script = script
        await self.call()
        first = asyncio.ensure_future(self.call())
        await self.wait_until(lambda: len(self.upstream.requests) == 2)
        second = asyncio.ensure_future(self.call())
        await asyncio.sleep(0.1)
        self.gateway.send_signal(signal.SIGTERM)
        stopped_at = loop.time()
        answer = await second
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertLess(loop.time() - stopped_at, self.refused_within_s)
        self.assertTrue((await first).startswith(b"HTTP/1.1 200"))
        self.assertEqual(len(self.upstream.requests), 2)
