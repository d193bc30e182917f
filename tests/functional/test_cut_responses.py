"""Test that a response cut at any byte never looks complete to the caller."""

import asyncio
import unittest
from typing import NamedTuple
from unittest import mock

from aiohttp import http_parser

from tests.lib.loopback_proxy import (
    REQUEST_ID,
    SEAL,
    LoopbackProxy,
    build_response,
    status,
)
from tests.lib.raw import reset_connection

BODY = b"twelve bytes"
OTHER_BODY = b"of another upstream"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"4\r\ntwel\r\n8\r\nve bytes\r\n0\r\nX-Trailer: 1\r\n\r\n"
CLOSE = b"Connection: close\r\n"
# Longer than what is buffered before the head is sent to the caller.
LONG_BODY = b"x" * 70_000
CONCURRENT_CALLS = 32
# Head of an earlier complete message; the cut one follows it.
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


class Message(NamedTuple):
    """A response of an upstream, and where a cut leaves it complete."""

    data: bytes
    body: bytes = BODY
    # First number of bytes that are a complete response if the upstream closes.
    complete_at: int | None = None


def build_messages(request_id: str) -> dict[str, Message]:
    """Build responses with all kinds of framing."""

    def build(*lines: bytes, **changes) -> bytes:
        return build_response(200, request_id, SEAL, *lines, **changes)

    until_close = build(CLOSE, body=BODY, length=False)
    unframed = build(body=BODY, length=False)
    no_content = build_response(204, request_id, SEAL, length=False)
    return {
        "length": Message(build(body=BODY)),
        "length first": Message(
            build(b"Content-Length: 12\r\n", body=BODY, length=False)
        ),
        "length, close": Message(build(CLOSE, body=BODY)),
        "chunked": Message(build(CHUNKED, length=False) + CHUNKS),
        "chunked, close": Message(build(CHUNKED, CLOSE, length=False) + CHUNKS),
        "until close": Message(until_close, complete_at=len(until_close) - len(BODY)),
        "unframed": Message(unframed, complete_at=len(unframed) - len(BODY)),
        "empty": Message(build(), b""),
        "no content": Message(no_content, b""),
        "line feeds": Message(build(body=BODY).replace(b"\r\n", b"\n")),
        "after interim": Message(INTERIM + build(body=BODY)),
    }


def complete_body(response: bytes) -> bytes | None:
    """Return the body of a response, None if the caller can tell that it is cut."""
    head, found, body = response.partition(b"\r\n\r\n")
    lines = dict(
        line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:] if line
    )
    if not found:
        return None
    if b"content-length" in lines:
        return body if len(body) == int(lines[b"content-length"]) else None
    if lines.get(b"transfer-encoding") != b"chunked":
        return body
    parts = b""
    while body:
        size, _, body = body.partition(b"\r\n")
        length = int(size, 16)
        if length == 0:
            return parts if body == b"\r\n" else None
        parts += body[:length]
        body = body[length + 2 :]
    return None


class CutResponsesTest(unittest.IsolatedAsyncioTestCase):
    """Each test sends every prefix of a response and then closes or resets."""

    parser = http_parser.HttpResponseParser

    async def asyncSetUp(self):
        # The debug mode of the test loop triples the time of thousands of calls.
        asyncio.get_running_loop().set_debug(False)
        patch = mock.patch("aiohttp.client_proto.HttpResponseParser", self.parser)
        patch.start()
        self.addCleanup(patch.stop)

    async def start(self, **limits) -> LoopbackProxy:
        """Start a proxy; the first upstream cuts, the second one responds."""
        proxy = LoopbackProxy(2, **limits)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)

        async def respond(request, reader, writer):
            request_id = request.values(REQUEST_ID)[0]
            writer.write(build_response(200, request_id, SEAL, body=OTHER_BODY))

        proxy.upstreams[1].script = respond
        return proxy

    async def check_cuts(self, method: str, *, with_reset: bool, **limits) -> int:
        """Cut all messages at all positions; return the number of cuts."""
        proxy = await self.start(**limits)
        cuts: dict[str, bytes] = {}

        async def cut(request, reader, writer):
            writer.write(cuts[request.values(REQUEST_ID)[0]])
            if with_reset:
                await asyncio.sleep(0.01)
                reset_connection(writer)
            else:
                writer.close()

        proxy.upstreams[0].script = cut
        slots = asyncio.Semaphore(CONCURRENT_CALLS)

        async def call(number: int, name: str, position: int):
            request_id = f"{number:06}"
            message = build_messages(request_id)[name]
            cuts[request_id] = message.data[:position]
            async with slots:
                response = await proxy.call(request_id, method)
            return request_id, name, message, response

        calls = (
            (name, position)
            for name, message in build_messages("000000").items()
            for position in range(len(message.data))
        )
        ended = await asyncio.gather(
            *(call(number, *arguments) for number, arguments in enumerate(calls))
        )
        if method == "POST":
            # The requests of each upstream, which a second run would add to.
            arrivals = [len(upstream.requests) for upstream in proxy.upstreams]
            self.assertEqual(arrivals, [len(ended), 0])
        for request_id, name, message, response in ended:
            sent = cuts[request_id]
            with self.subTest(message=name, sent=sent, with_reset=with_reset):
                may_be_complete = (
                    not with_reset
                    and message.complete_at is not None
                    and len(sent) >= message.complete_at
                )
                self.check_response(method, message, response, may_be_complete)
        return len(ended)

    def check_response(self, method, message, response, may_be_complete):
        """Check one response to a call whose first upstream response was cut."""
        body = complete_body(response)
        if method == "POST":
            self.assertNotIn(b"X-Request-Ran: no", response)
        if status(response) == 502 or body is None:
            return
        # 408, 421, 429 and 503 would state that the call did not run.
        self.assertEqual(status(response), 200, response)
        if method != "POST" and body == OTHER_BODY:
            return
        self.assertTrue(may_be_complete, response)
        self.assertTrue(message.body.startswith(body), response)

    async def test_closed_write(self):
        """Guards against a success made of a cut head, and against a second run."""
        for hold_unsized in (False, True):
            cuts = await self.check_cuts(
                "POST", with_reset=False, hold_unsized=hold_unsized
            )
            self.assertGreater(cuts, 1000)

    async def test_reset_write(self):
        """Guards against a reset that looks like the end of a response."""
        for hold_unsized in (False, True):
            await self.check_cuts("POST", with_reset=True, hold_unsized=hold_unsized)

    async def test_closed_read(self):
        """Guards against a cut response to a read that another upstream can serve."""
        await self.check_cuts("GET", with_reset=False, hold_unsized=True)

    async def test_reset_read(self):
        """Guards against a reset response to a read that looks complete."""
        await self.check_cuts("GET", with_reset=True, hold_unsized=True)

    async def test_long_body(self):
        """Guards against a long body that is cut and looks complete."""
        proxy = await self.start(hold_unsized=True)
        chunk = b"%x\r\n" % len(LONG_BODY) + LONG_BODY + b"\r\n"
        for lines, body, with_reset in (
            ((b"Content-Length: 70001\r\n",), LONG_BODY, False),
            ((b"Content-Length: 70001\r\n",), LONG_BODY, True),
            ((CHUNKED,), chunk, False),
            ((CHUNKED,), chunk + b"0", False),
            ((CHUNKED,), chunk + b"0\r\n", False),
            ((CHUNKED,), chunk + b"0\r\nX-T", False),
            ((CHUNKED,), chunk + b"0\r\nX-T: 1\r\n", False),
            ((CHUNKED,), chunk + b"0\r\n\r", False),
            ((CHUNKED,), chunk + b"1", False),
            ((CHUNKED,), chunk + b"1\r\n", True),
            ((CLOSE,), LONG_BODY, True),
        ):
            with self.subTest(lines=lines, end=body[-12:], with_reset=with_reset):
                data = build_response(200, "a", SEAL, *lines, body=body, length=False)

                async def script(
                    request, reader, writer, data=data, with_reset=with_reset
                ):
                    writer.write(data)
                    await writer.drain()
                    if with_reset:
                        await asyncio.sleep(0.05)
                        reset_connection(writer)
                    else:
                        writer.close()

                proxy.upstreams[0].script = script
                response = await proxy.call("a")
                self.assertIsNone(complete_body(response), response[-200:])


class PureCutResponsesTest(CutResponsesTest):
    """The same with the parser that is used without aiohttp's C extension."""

    parser = http_parser.HttpResponseParserPy


class ParserTest(unittest.TestCase):
    def test_both_parsers_are_tested(self):
        """Guards against testing one parser twice, for lack of the C extension."""
        self.assertIsNot(CutResponsesTest.parser, PureCutResponsesTest.parser)
