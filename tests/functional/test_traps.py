"""Test the traps of HTTP clients and servers (docs/design.md, section 5.10)."""

import asyncio
import re
from pathlib import Path

from tests.lib.raw import BOUND_S, OK, RawCase, on_loop, reply

LARGE_BYTES = 200 * 1024 * 1024
BODY_LIMIT = LARGE_BYTES + 1
# Buffers of one connection and the allocator's slack, far below the body's 200 MB.
MEMORY_GROWTH_KB = 24 * 1024
PART = b"x" * 65_536


def status(answer: bytes) -> int:
    """Return the status of an answer."""
    return int(answer.split(b" ", 2)[1])


def header_lines(answer: bytes) -> list[str]:
    """Return the sorted header names of an answer."""
    head = answer.split(b"\r\n\r\n")[0].decode().split("\r\n")[1:]
    return sorted(line.split(":")[0].lower() for line in head)


class TrapsTest(RawCase):
    settings = {"limits": {"max_body_bytes": BODY_LIMIT}}

    def resident_kb(self) -> int:
        """Return the resident memory of the gateway."""
        text = Path(f"/proc/{self.gateway.pid}/status").read_text(encoding="utf-8")
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1])

    def peak_kb(self) -> int:
        """Return the highest resident memory of the gateway so far."""
        text = Path(f"/proc/{self.gateway.pid}/status").read_text(encoding="utf-8")
        return int(re.search(r"VmHWM:\s+(\d+)", text)[1])

    @on_loop
    async def test_redirect_is_passed_on(self):
        """Guards against a client that follows a redirect on the caller's behalf."""
        self.upstream.script = reply(
            b"HTTP/1.1 302 Moved On\r\nLocation: /raw/other\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        answer = await self.call()
        self.assertTrue(answer.startswith(b"HTTP/1.1 302 Moved On\r\n"), answer)
        self.assertIn(b"Location: /raw/other", answer)
        self.assertEqual(len(self.upstream.requests), 1)

    @on_loop
    async def test_stale_connection_is_not_repeated(self):
        """Guards against a GET that the client library sends twice by itself."""

        async def script(request, reader, writer):
            used = [r.connection for r in self.upstream.requests]
            if used.count(request.connection) > 1:
                writer.close()
            else:
                writer.write(OK)

        self.upstream.script = script
        await self.call()
        # A call below another one is not repeated by the gateway's own policy either.
        answer = await self.call("GET /raw", "X-Call-Depth: 1")
        used = [request.connection for request in self.upstream.requests]
        self.assertEqual(used, [used[0], used[0]])
        self.assertEqual(status(answer), 502)
        self.assertIn(b"X-Request-Ran: unknown", answer)

    @on_loop
    async def test_cookies_are_not_kept(self):
        """Guards against one caller's cookie being sent for another caller."""
        self.upstream.script = reply(
            b"HTTP/1.1 200 OK\r\nSet-Cookie: a=1; Path=/\r\nSet-Cookie: b=2\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        answer = await self.call()
        self.assertEqual(header_lines(answer).count("set-cookie"), 2)
        await self.call()
        self.assertEqual(self.upstream.requests[1].values("Cookie"), [])

    @on_loop
    async def test_bodies_are_not_decompressed(self):
        """Guards against decoding a coded body, which also breaks its length."""
        coded = b"\x1f\x8b not really gzip"
        length = f"Content-Length: {len(coded)}"
        self.upstream.script = reply(
            b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n"
            + length.encode()
            + b"\r\n\r\n"
            + coded
        )
        answer = await self.call(
            "PUT /raw", "Content-Encoding: gzip", length, body=coded
        )
        self.assertTrue(answer.endswith(b"\r\n\r\n" + coded), answer)
        self.assertIn(b"Content-Encoding: gzip", answer)
        self.assertEqual(self.upstream.requests[0].body, coded)
        self.assertEqual(self.upstream.requests[0].values("Content-Encoding"), ["gzip"])

    @on_loop
    async def test_request_headers_are_kept(self):
        """Guards against headers that the gateway adds, merges or rewrites."""
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

    @on_loop
    async def test_answer_headers_are_kept(self):
        """Guards against headers of the library in place of the upstream's own."""
        answer = await self.call()
        expected = ["connection", "content-length", "date"]
        self.assertEqual(header_lines(answer), expected)

    @on_loop
    async def test_upstream_cannot_speak_of_the_outer_call(self):
        """Guards against a nested refusal that reads as a refusal of this call."""
        self.upstream.script = reply(
            b"HTTP/1.1 500 Oops\r\nX-Request-Ran: no\r\nContent-Length: 0\r\n\r\n"
        )
        answer = await self.call("POST /raw", "Content-Length: 0")
        self.assertEqual(status(answer), 500)
        self.assertNotIn(b"X-Request-Ran", answer)

    @on_loop
    async def test_raw_target_is_kept(self):
        """Guards against decoding, sorting or cleaning of the path and query."""
        targets = [
            "/raw/a%2Fb//c/./%41?x=%20+&&y=&z?#".rstrip("#"),
            "/raw?",
            "/raw/%7e",
        ]
        for target in targets:
            await self.call(f"GET {target}")
        lines = [request.line for request in self.upstream.requests]
        self.assertEqual(lines, [f"GET {target} HTTP/1.1" for target in targets])

    @on_loop
    async def test_answers_without_a_body(self):
        """Guards against a wait for a body that HEAD, 204 and 304 do not have."""
        for request_line, data in (
            ("HEAD /raw", b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\n\r\n"),
            ("HEAD /raw", b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"),
            ("HEAD /raw", b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
            ("GET /raw", b"HTTP/1.1 204 No Content\r\n\r\n"),
            ("GET /raw", b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\n\r\n'),
            ("GET /raw", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n"),
        ):
            with self.subTest(data=data, line=request_line):
                self.upstream.script = reply(data)
                answer = await self.call(request_line)
                self.assertEqual(status(answer), status(data))
                self.assertTrue(answer.endswith(b"\r\n\r\n"), answer)
                length = re.search(rb"Content-Length: \d+", data)
                # A server may leave the length out of a 304 (RFC 9110, section 8.6).
                if length is not None and status(data) != 304:
                    self.assertIn(length[0], answer)

    @on_loop
    async def test_expect_continue(self):
        """Guards against a caller that waits for `100 Continue` until its deadline."""
        reader, writer = await self.connect()
        writer.write(
            b"PUT /raw HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
            b"Connection: close\r\nContent-Length: 3\r\n\r\n"
        )
        async with asyncio.timeout(BOUND_S):
            first = await reader.readuntil(b"\r\n\r\n")
            self.assertEqual(first, b"HTTP/1.1 100 Continue\r\n\r\n")
            writer.write(b"abc")
            answer = await reader.read()
        writer.close()
        self.assertEqual(status(answer), 200)
        self.assertEqual(self.upstream.requests[0].body, b"abc")
        self.assertEqual(self.upstream.requests[0].values("Expect"), [])
        other = await self.call("GET /raw", "Expect: tea")
        self.assertEqual(status(other), 417)

    @on_loop
    async def test_upgrades_and_tunnels_are_refused(self):
        """Guards against bytes of another protocol being relayed as HTTP."""
        upgrade = await self.call("GET /raw", "Upgrade: websocket")
        tunnel = await self.call("CONNECT example.test:443")
        self.assertEqual([status(upgrade), status(tunnel)], [501, 501])
        self.assertIn(b"X-Request-Ran: no", upgrade)
        self.assertEqual(self.upstream.requests, [])

    @on_loop
    async def test_malformed_requests_are_refused(self):
        """Guards against input that two servers may understand in two ways."""
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
                answer = await self.exchange(
                    data.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
                )
                self.assertIn(status(answer), range(400, 500))
                self.assertIn(b"X-Request-Ran: no", answer)
        self.assertEqual(self.upstream.requests, [])

    @on_loop
    async def test_limits(self):
        """Guards against memory that a single request can take."""
        long = await self.call("GET /raw", "X-A: " + "x" * 20_000)
        many = await self.call("GET /raw", *(f"X-{n}: 1" for n in range(1000)))
        target = await self.call("GET /raw/" + "x" * 20_000)
        large = await self.call("PUT /raw", f"Content-Length: {BODY_LIMIT + 1}")
        for answer in (long, many, target, large):
            self.assertIn(status(answer), range(400, 500))
        self.assertEqual(status(large), 413)
        self.assertEqual(self.upstream.requests, [])

    @on_loop
    async def test_slow_body_is_bounded(self):
        """Guards against a body that never comes and holds its call for ever."""
        answer = await self.call(
            "PUT /raw", "X-Request-Timeout-Ms: 100", "Content-Length: 5", body=b"abc"
        )
        self.assertEqual(status(answer), 408)
        self.assertIn(b"X-Request-Ran: no", answer)

    @on_loop
    async def test_large_answer_is_streamed(self):
        """Guards against holding a large answer while its reader is slow."""

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
            # A slow reader is what this tests; no event tells when buffers are full.
            await asyncio.sleep(0.1)
            size += len(await reader.readexactly(100_000))
        while part := await reader.read(1 << 20):
            size += len(part)
        writer.close()
        self.assertEqual(size, LARGE_BYTES, head)
        self.assertLess(self.peak_kb() - before, MEMORY_GROWTH_KB)

    @on_loop
    async def test_large_body_is_streamed(self):
        """Guards against holding a large request body while its upstream is slow."""
        received = 0

        async def script(request, reader, writer):
            nonlocal received
            # A slow upstream is what this tests, see above.
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
        answer = await reader.readuntil(b"ok")
        writer.close()
        self.assertEqual(status(answer), 200)
        self.assertEqual(received, LARGE_BYTES)
        self.assertLess(self.peak_kb() - before, MEMORY_GROWTH_KB)

    @on_loop
    async def test_streamed_body_over_the_limit(self):
        """Guards against a body without a length that passes the limit."""

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
        answer = await reader.readuntil(b"\r\n\r\n")
        writer.close()
        self.assertEqual(status(answer), 413)
        self.assertIn(b"X-Request-Ran: unknown", answer)

    @on_loop
    async def test_cut_answer_is_broken(self):
        """Guards against a cut answer that the caller takes for a whole one."""
        head = b"HTTP/1.1 200 OK\r\n"
        part = b"\r\n" + b"x" * 100
        chunk = b"Transfer-Encoding: chunked\r\n\r\n64\r\n" + b"x" * 100 + b"\r\n"

        def cut(data):
            async def script(request, reader, writer):
                writer.write(data)
                writer.close()

            return script

        self.upstream.script = cut(head + b"Content-Length: 200\r\n" + part)
        answer = await self.call("GET /raw", "X-Call-Depth: 1")
        self.assertEqual(status(answer), 502)
        for data, request in (
            (b"Content-Length: 200000\r\n" + part, b"GET /raw HTTP/1.1"),
            (chunk, b"GET /raw HTTP/1.1"),
            # This caller knows no chunks: only a reset shows it that bytes lack.
            (chunk, b"GET /raw HTTP/1.0"),
        ):
            with self.subTest(data=data, request=request):
                self.upstream.script = cut(head + data)
                with self.assertRaises(ConnectionResetError):
                    await self.exchange(request + b"\r\nHost: h\r\n\r\n")

    async def _leave_during_call(self, method: str) -> bool:
        """Leave while the upstream works; tell whether the upstream noticed."""
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
        async with asyncio.timeout(BOUND_S):
            await started.wait()
            writer.transport.abort()
            await ended.wait()
        return noticed

    @on_loop
    async def test_caller_that_leaves_cancels_idempotent_work(self):
        """Guards against work that goes on although nobody waits for it."""
        self.assertTrue(await self._leave_during_call("GET"))

    @on_loop
    async def test_caller_that_leaves_does_not_cancel_a_write(self):
        """Guards against a write that is cancelled half way."""
        self.assertFalse(await self._leave_during_call("POST"))

    @on_loop
    async def test_deadline_is_lowered(self):
        """Guards against an upstream that works longer than its caller waits."""
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

    @on_loop
    async def test_trailers_are_dropped(self):
        """Guards against trailers that become headers or bytes of the next message."""
        self.upstream.script = reply(
            b"HTTP/1.1 200 OK\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nX-T: 1\r\n\r\n"
        )
        answer = await self.call(
            "PUT /raw",
            "Trailer: X-T",
            "Transfer-Encoding: chunked",
            body=b"3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
        )
        self.assertTrue(answer.endswith(b"2\r\nok\r\n0\r\n\r\n"), answer)
        self.assertNotIn(b"X-T", answer)
        self.assertEqual(self.upstream.requests[0].body, b"abc")
        names = [name.lower() for name, _ in self.upstream.requests[0].headers]
        self.assertNotIn("trailer", names)
        self.assertNotIn("x-t", names)
