"""Test pitfalls of HTTP clients and servers (docs/design.md, section 5.10)."""

import asyncio
import re
from pathlib import Path

from tests.lib.raw import (
    OK,
    TIMEOUT_S,
    RawHttpTestCase,
    respond_with,
    run_on_class_loop,
)

LARGE_BYTES = 200 * 1024 * 1024
BODY_LIMIT = LARGE_BYTES + 1
# Allows for the buffers of one connection and overhead of the allocator, and is far
# below the 200 MB of the body.
MAX_MEMORY_GROWTH_KB = 24 * 1024
PART = b"x" * 65_536


def status(response: bytes) -> int:
    """Return the status of a response."""
    return int(response.split(b" ", 2)[1])


def header_lines(response: bytes) -> list[str]:
    """Return the sorted header names of a response."""
    head = response.split(b"\r\n\r\n")[0].decode().split("\r\n")[1:]
    return sorted(line.split(":")[0].lower() for line in head)


class HttpPitfallsTest(RawHttpTestCase):
    settings = {"limits": {"max_body_bytes": BODY_LIMIT}}

    def resident_kb(self) -> int:
        """Return the resident memory of the gateway."""
        text = Path(f"/proc/{self.gateway.pid}/status").read_text(encoding="utf-8")
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1])

    @run_on_class_loop
    async def test_redirect_is_forwarded(self):
        """Guards against a gateway that follows a redirect for the caller."""
        self.upstream.script = respond_with(
            b"HTTP/1.1 302 Moved On\r\nLocation: /raw/other\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        response = await self.call()
        self.assertTrue(response.startswith(b"HTTP/1.1 302 Moved On\r\n"), response)
        self.assertIn(b"Location: /raw/other", response)
        self.assertEqual(len(self.upstream.requests), 1)

    @run_on_class_loop
    async def test_request_on_a_stale_connection_is_not_repeated(self):
        """Guards against a GET that aiohttp sends twice by itself."""

        async def script(request, reader, writer):
            used = [r.connection for r in self.upstream.requests]
            if used.count(request.connection) > 1:
                writer.close()
            else:
                writer.write(OK)

        self.upstream.script = script
        await self.call()
        # A nested call is not repeated by the gateway's retry policy either.
        response = await self.call("GET /raw", "X-Call-Depth: 1")
        used = [request.connection for request in self.upstream.requests]
        self.assertEqual(used, [used[0], used[0]])
        self.assertEqual(status(response), 502)
        self.assertIn(b"X-Request-Ran: unknown", response)

    @run_on_class_loop
    async def test_cookies_are_not_stored(self):
        """Guards against sending the cookie of one caller for another."""
        self.upstream.script = respond_with(
            b"HTTP/1.1 200 OK\r\nSet-Cookie: a=1; Path=/\r\nSet-Cookie: b=2\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        response = await self.call()
        self.assertEqual(header_lines(response).count("set-cookie"), 2)
        await self.call()
        self.assertEqual(self.upstream.requests[1].values("Cookie"), [])

    @run_on_class_loop
    async def test_bodies_are_not_decompressed(self):
        """Guards against decompressing a body, which also makes its length wrong."""
        encoded = b"\x1f\x8b not really gzip"
        length = f"Content-Length: {len(encoded)}"
        self.upstream.script = respond_with(
            b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
            + length.encode()
            + b"\r\n\r\n"
            + encoded
        )
        response = await self.call(
            "PUT /raw", "Content-Encoding: gzip", length, body=encoded
        )
        self.assertTrue(response.endswith(b"\r\n\r\n" + encoded), response)
        self.assertIn(b"Content-Encoding: gzip", response)
        self.assertEqual(self.upstream.requests[0].body, encoded)
        self.assertEqual(self.upstream.requests[0].values("Content-Encoding"), ["gzip"])

    @run_on_class_loop
    async def test_request_headers_are_kept(self):
        """Guards against headers that are added, merged or rewritten."""
        await self.call(
            "GET /raw",
            "X-A: 1",
            "X-A: 2",
            "Keep-Alive: timeout=5",
            "TE: trailers",
            "X-Hop: 1",
            "Connection: x-hop",
        )
        request = self.upstream.requests[0]
        kept = sorted((k, v) for k, v in request.headers if k != "X-Request-Timeout-Ms")
        expected = [
            ("Host", "example.test"),
            ("X-A", "1"),
            ("X-A", "2"),
            ("X-Call-Depth", "1"),
            ("X-Request-Rank", "1"),
        ]
        self.assertEqual(kept, expected)

    @run_on_class_loop
    async def test_response_headers_are_kept(self):
        """Guards against aiohttp's headers in place of those of the upstream."""
        response = await self.call()
        expected = ["connection", "content-length", "date"]
        self.assertEqual(header_lines(response), expected)

    @run_on_class_loop
    async def test_upstream_cannot_set_x_request_ran(self):
        """Guards against a refused nested call that looks like a refused outer call."""
        self.upstream.script = respond_with(
            b"HTTP/1.1 500 Oops\r\nX-Request-Ran: no\r\nContent-Length: 0\r\n\r\n"
        )
        response = await self.call("POST /raw", "Content-Length: 0")
        self.assertEqual(status(response), 500)
        self.assertNotIn(b"X-Request-Ran", response)

    @run_on_class_loop
    async def test_raw_target_is_kept(self):
        """Guards against decoding, sorting or normalizing the path and query."""
        targets = [
            "/raw/a%2Fb//c/./%41?x=%20+&&y=&z?#".rstrip("#"),
            "/raw?",
            "/raw/%7e",
        ]
        for target in targets:
            await self.call(f"GET {target}")
        lines = [request.line for request in self.upstream.requests]
        self.assertEqual(lines, [f"GET {target} HTTP/1.1" for target in targets])

    @run_on_class_loop
    async def test_responses_without_a_body(self):
        """Guards against waiting for a body in responses to HEAD and in 204 and 304."""
        for request_line, data in (
            ("HEAD /raw", b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n"),
            ("HEAD /raw", b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"),
            ("HEAD /raw", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
            ("GET /raw", b"HTTP/1.1 204 No Content\r\n\r\n"),
            ("GET /raw", b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\n\r\n'),
            ("GET /raw", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"),
        ):
            with self.subTest(data=data, line=request_line):
                self.upstream.script = respond_with(data)
                response = await self.call(request_line)
                self.assertEqual(status(response), status(data))
                self.assertTrue(response.endswith(b"\r\n\r\n"), response)
                length = re.search(rb"Content-Length: \d+", data)
                # A server may omit the length in a 304 (RFC 9110, section 8.6).
                if length is not None and status(data) != 304:
                    self.assertIn(length[0], response)

    @run_on_class_loop
    async def test_expect_continue(self):
        """Guards against a caller that waits for `100 Continue` until its deadline."""
        reader, writer = await self.connect()
        writer.write(
            b"PUT /raw HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Connection: close\r\nContent-Length: 3\r\n\r\n"
        )
        async with asyncio.timeout(TIMEOUT_S):
            first = await reader.readuntil(b"\r\n\r\n")
            self.assertEqual(first, b"HTTP/1.1 100 Continue\r\n\r\n")
            writer.write(b"abc")
            response = await reader.read()
        writer.close()
        self.assertEqual(status(response), 200)
        self.assertEqual(self.upstream.requests[0].body, b"abc")
        self.assertEqual(self.upstream.requests[0].values("Expect"), [])
        other = await self.call("GET /raw", "Expect: tea")
        self.assertEqual(status(other), 417)

    @run_on_class_loop
    async def test_upgrades_and_tunnels_are_refused(self):
        """Guards against forwarding bytes of another protocol as HTTP."""
        upgrade = await self.call("GET /raw", "Upgrade: websocket")
        tunnel = await self.call("CONNECT example.test:443")
        self.assertEqual([status(upgrade), status(tunnel)], [501, 501])
        self.assertIn(b"X-Request-Ran: no", upgrade)
        self.assertEqual(self.upstream.requests, [])

    @run_on_class_loop
    async def test_malformed_requests_are_refused(self):
        """Guards against input that two servers may interpret differently."""
        for data in (
            b"rubbish\r\n\r\n",
            b"GET /raw HTTP/9.x\r\nHost: h\r\n\r\n",
            b"GET /raw HTTP/1.1\r\nHost: h\r\nbad header\r\n\r\n",
            b"GET /raw HTTP/1.1\r\nHost: h\r\nX-A : 1\r\n\r\n",
            b"GET /raw HTTP/1.1\r\n\r\n",
            b"GET /raw HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            b"GET http://other/raw HTTP/1.1\r\nHost: h\r\n\r\n",
            b"OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET /raw#part HTTP/1.1\r\nHost: h\r\n\r\n",
            b"GET /raw HTTP/1.1\r\nHost: h\r\nX-Request-Timeout-Ms: soon\r\n\r\n",
            b"GET /raw HTTP/1.1\r\nHost: h\r\nX-Call-Depth: -1\r\n\r\n",
            b"PUT /raw HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"PUT /raw HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            b"PUT /raw HTTP/1.1\r\nHost: h\r\nContent-Length: +3\r\n\r\nabc",
            b"PUT /raw HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n",
            b"PUT /raw HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        ):
            with self.subTest(data=data):
                response = await self.exchange(
                    data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
                )
                self.assertIn(status(response), range(400, 500))
                self.assertIn(b"X-Request-Ran: no", response)
        self.assertEqual(self.upstream.requests, [])

    @run_on_class_loop
    async def test_limits(self):
        """Guards against unbounded memory use by a single request."""
        long = await self.call("GET /raw", "X-A: " + "x" * 20_000)
        many = await self.call("GET /raw", *(f"X-{n}: 1" for n in range(1000)))
        target = await self.call("GET /raw/" + "x" * 20_000)
        large = await self.call("PUT /raw", f"Content-Length: {BODY_LIMIT + 1}")
        for response in (long, many, target, large):
            self.assertIn(status(response), range(400, 500))
        self.assertEqual(status(large), 413)
        self.assertEqual(self.upstream.requests, [])

    @run_on_class_loop
    async def test_slow_body_times_out(self):
        """Guards against a call that waits forever for its request body."""
        response = await self.call(
            "PUT /raw", "X-Request-Timeout-Ms: 100", "Content-Length: 5", body=b"abc"
        )
        self.assertEqual(status(response), 408)
        self.assertIn(b"X-Request-Ran: no", response)

    @run_on_class_loop
    async def test_large_response_is_streamed(self):
        """Guards against buffering a large response for a slow caller."""

        async def script(request, reader, writer):
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"
            writer.write(head.encode())
            for _ in range(LARGE_BYTES // len(PART)):
                writer.write(PART)
                await writer.drain()

        await self.call()
        before = self.peak_kb()
        self.upstream.script = script
        reader, writer = await self.connect()
        writer.write(b"GET /raw HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
        head = await reader.readuntil(b"\r\n\r\n")
        size = len(await reader.readexactly(1_000_000))
        for _ in range(5):
            # The reader must be slow, and no event shows when the buffers are full.
            await asyncio.sleep(0.1)
            size += len(await reader.readexactly(100_000))
        while part := await reader.read(1 << 20):
            size += len(part)
        writer.close()
        self.assertEqual(size, LARGE_BYTES, head)
        self.assertLess(self.peak_kb() - before, MAX_MEMORY_GROWTH_KB)

    @run_on_class_loop
    async def test_large_body_is_streamed(self):
        """Guards against buffering a large request body for a slow upstream."""
        received = 0

        async def script(request, reader, writer):
            nonlocal received
            # The upstream must be slow, and no event shows when the buffers are full.
            await asyncio.sleep(0.5)
            while received < LARGE_BYTES:
                received += len(await reader.read(1 << 20))
            writer.write(OK)

        await self.call()
        before = self.peak_kb()
        self.upstream.script = script
        self.upstream.read_bodies = False
        reader, writer = await self.connect()
        head = f"PUT /raw HTTP/1.1\r\nHost: h\r\nContent-Length: {LARGE_BYTES}\r\n\r\n"
        writer.write(head.encode())
        for _ in range(LARGE_BYTES // len(PART)):
            writer.write(PART)
            await writer.drain()
        response = await reader.readuntil(b"ok")
        writer.close()
        self.assertEqual(status(response), 200)
        self.assertEqual(received, LARGE_BYTES)
        self.assertLess(self.peak_kb() - before, MAX_MEMORY_GROWTH_KB)

    @run_on_class_loop
    async def test_streamed_body_over_the_limit(self):
        """Guards against accepting a body without a length that exceeds the limit."""

        async def script(request, reader, writer):
            while await reader.read(1 << 20):
                pass

        self.upstream.script = script
        self.upstream.read_bodies = False
        reader, writer = await self.connect()
        writer.write(b"PUT /raw HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n")
        writer.write(b"\r\n")
        chunk = f"{len(PART):x}\r\n".encode() + PART + b"\r\n"
        for _ in range(BODY_LIMIT // len(PART) + 1):
            writer.write(chunk)
            await writer.drain()
        response = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        self.assertEqual(status(response), 413)
        self.assertIn(b"X-Request-Ran: unknown", response)

    @run_on_class_loop
    async def test_truncated_response_is_detectable(self):
        """Guards against a truncated response that seems complete to the caller."""
        head = b"HTTP/1.1 200 OK\r\n"
        part = b"\r\n" + b"x" * 100
        chunk = b"Transfer-Encoding: chunked\r\n\r\n64\r\n" + b"x" * 100 + b"\r\n"

        def truncate_after(data):
            async def script(request, reader, writer):
                writer.write(data)
                writer.close()

            return script

        self.upstream.script = truncate_after(head + b"Content-Length: 200\r\n" + part)
        response = await self.call("GET /raw", "X-Call-Depth: 1")
        self.assertEqual(status(response), 502)
        for data, request in (
            (b"Content-Length: 200000\r\n" + part, b"GET /raw HTTP/1.1"),
            (chunk, b"GET /raw HTTP/1.1"),
            # HTTP/1.0 has no chunked coding: only a reset shows that bytes are missing.
            (chunk, b"GET /raw HTTP/1.0"),
        ):
            with self.subTest(data=data, request=request):
                self.upstream.script = truncate_after(head + data)
                with self.assertRaises(ConnectionResetError):
                    await self.exchange(request + b"\r\nHost: h\r\n\r\n")

    async def _disconnect_during_call(self, method: str) -> bool:
        """Disconnect during a call; return whether the upstream noticed."""
        started, ended = asyncio.Event(), asyncio.Event()
        noticed = False

        async def script(request, reader, writer):
            nonlocal noticed
            started.set()
            try:
                async with asyncio.timeout(0.5):
                    noticed = await reader.read(1) == b""
            except TimeoutError:
                writer.write(OK)
            ended.set()

        self.upstream.script = script
        _, writer = await self.connect()
        writer.write(
            f"{method} /raw HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(TIMEOUT_S):
            await started.wait()
            writer.transport.abort()
            await ended.wait()
        return noticed

    @run_on_class_loop
    async def test_disconnected_caller_cancels_an_idempotent_call(self):
        """Guards against calls that continue although no caller waits for them."""
        self.assertTrue(await self._disconnect_during_call("GET"))

    @run_on_class_loop
    async def test_disconnected_caller_does_not_cancel_a_write(self):
        """Guards against cancelling a write while it is running."""
        self.assertFalse(await self._disconnect_during_call("POST"))

    @run_on_class_loop
    async def test_deadline_is_lowered(self):
        """Guards against an upstream that runs a call longer than its caller waits."""
        await self.call("GET /raw", "X-Request-Timeout-Ms: 500")
        await self.call("GET /raw", "X-Request-Timeout-Ms: 99999999")
        low, high = (
            int(request.values("X-Request-Timeout-Ms")[0])
            for request in self.upstream.requests
        )
        self.assertIn(low, range(1, 501))
        self.assertIn(high, range(14_000, 15_001))
        late = await self.call("GET /raw", "X-Request-Timeout-Ms: 0")
        self.assertEqual(status(late), 504)
        self.assertIn(b"X-Request-Ran: no", late)
        self.assertEqual(len(self.upstream.requests), 2)

    @run_on_class_loop
    async def test_trailers_are_dropped(self):
        """Guards against trailers that become headers or bytes of the next message."""
        self.upstream.script = respond_with(
            b"HTTP/1.1 200 OK\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nX-T: 1\r\n\r\n"
        )
        response = await self.call(
            "PUT /raw",
            "Trailer: X-T",
            "Transfer-Encoding: chunked",
            body=b"3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
        )
        self.assertTrue(response.endswith(b"2\r\nok\r\n0\r\n\r\n"), response)
        self.assertNotIn(b"X-T", response)
        self.assertEqual(self.upstream.requests[0].body, b"abc")
        names = [name.lower() for name, _ in self.upstream.requests[0].headers]
        self.assertNotIn("trailer", names)
        self.assertNotIn("x-t", names)
