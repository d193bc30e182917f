"""Test that a refusal is believed only if it belongs to the request in flight."""

import asyncio
import itertools
import unittest

from tests.lib.loopback_proxy import (
    NOT_RUN,
    REQUEST_ID,
    SEAL,
    LoopbackProxy,
    build_response,
    status,
)

# Refusals that upstreams send; 421 needs no further header.
REFUSALS = ((503, NOT_RUN), (429, NOT_RUN), (400, NOT_RUN), (421, NOT_RUN), (421, b""))
# Whether the refusal echoes the id of its request, and whether its copy does.
ECHOES = ((True, True), (False, False), (True, False))
LONG_BODY = b"x" * 300_000
SHORT_DEADLINE_MS = 300


class RepeatingUpstream:
    """Refuse the first request on a connection and repeat the refusal during others."""

    def __init__(
        self, code: int, header: bytes, echoes: tuple[bool, bool], own_after_s: float
    ) -> None:
        self._refusal = (code, header)
        self._echoes = echoes
        # Negative: the repeated refusal comes instead of the response.
        self._own_after_s = own_after_s
        self._earlier_ids: dict[int, str] = {}
        # How many bytes of the copy are sent before the rest of it.
        self.cut = 0
        self.ran: list[str] = []

    async def __call__(self, request, reader, writer):
        request_id = request.values(REQUEST_ID)[0]
        earlier_id = self._earlier_ids.setdefault(request.connection, request_id)
        if earlier_id == request_id and not request_id.startswith("b"):
            writer.write(self._build(earlier_id, self._echoes[0]))
            return
        self.ran.append(request_id)
        if earlier_id != request_id:
            copy = self._build(earlier_id, self._echoes[1])
            writer.write(copy[: self.cut])
            await asyncio.sleep(0.01 if self.cut else 0)
            writer.write(copy[self.cut :])
        if self._own_after_s < 0:
            await reader.read()
            return
        await asyncio.sleep(self._own_after_s)
        writer.write(build_response(200, request_id, SEAL, body=b"own"))

    def _build(self, request_id: str, echo: bool) -> bytes:
        code, header = self._refusal
        return build_response(code, request_id if echo else None, header, body=b"full")


async def run_here(request, reader, writer):
    """Respond with a success."""
    request_id = request.values(REQUEST_ID)[0]
    writer.write(build_response(200, request_id, SEAL, body=b"other"))


class RefusalsTestCase(unittest.IsolatedAsyncioTestCase):
    async def start(self, upstreams: int = 2) -> LoopbackProxy:
        """Start a proxy; all upstreams but the first run each request."""
        proxy = LoopbackProxy(upstreams)
        await proxy.start()
        self.addAsyncCleanup(proxy.stop)
        for upstream in proxy.upstreams[1:]:
            upstream.script = run_here
        return proxy


class LateRefusalsTest(RefusalsTestCase):
    async def check_copy(self, upstream: RepeatingUpstream, method: str, **options):
        """Refuse a request; repeat the refusal while another one is in flight."""
        proxy = await self.start()
        proxy.upstreams[0].script = upstream
        refused = await proxy.call("a")
        self.assertEqual((status(refused), refused[-5:]), (200, b"other"))
        response = await proxy.call("b", method, **options)
        ran_first = upstream.ran.count("b")
        moved = sum(index > 0 for index, _ in proxy.arrivals("b"))
        self.assertEqual(ran_first, 1)
        self.assertIn(status(response), (200, 502, 504), response)
        if method == "POST":
            self.assertEqual(moved, 0, response)
            self.assertNotIn(b"X-Request-Ran: no", response)
        if status(response) == 200:
            self.assertTrue(response.endswith((b"own", b"other")), response)

    async def test_repeated_refusal_is_not_that_of_the_next_request(self):
        """Guards against "not run" for a write that runs, and against its second run.

        A faulty upstream writes an earlier refusal once more on a kept connection.
        """
        for refusal, echoes, own_after_s in itertools.product(
            REFUSALS, ECHOES, (0.0, 0.03, -1.0)
        ):
            with self.subTest(refusal=refusal, echoes=echoes, own_after_s=own_after_s):
                await self.check_copy(
                    RepeatingUpstream(*refusal, echoes, own_after_s),
                    "POST",
                    deadline_ms=SHORT_DEADLINE_MS if own_after_s < 0 else 2000,
                )

    async def test_repeated_refusal_during_a_read(self):
        """Guards against a repeated refusal that is the outcome of a read."""
        for echoes, own_after_s in itertools.product(ECHOES, (0.03, -1.0)):
            with self.subTest(echoes=echoes, own_after_s=own_after_s):
                upstream = RepeatingUpstream(503, NOT_RUN, echoes, own_after_s)
                await self.check_copy(upstream, "GET")

    async def test_repeated_refusal_in_two_parts(self):
        """Guards against a repeated refusal whose bytes arrive in several reads."""
        for cut in (1, 12, 30, 50, 70):
            for echoes in ECHOES:
                with self.subTest(cut=cut, echoes=echoes):
                    upstream = RepeatingUpstream(503, NOT_RUN, echoes, 0.03)
                    upstream.cut = cut
                    await self.check_copy(upstream, "POST")

    async def test_repeated_refusal_while_a_body_is_sent(self):
        """Guards against a repeated refusal that looks like an early one."""
        for echoes in ECHOES:
            with self.subTest(echoes=echoes):
                upstream = RepeatingUpstream(503, NOT_RUN, echoes, 0.03)
                proxy = await self.start()

                async def before_the_body(request, reader, writer, upstream=upstream):
                    await upstream(request, reader, writer)
                    length = int(request.values("Content-Length")[0])
                    await reader.readexactly(length)

                proxy.upstreams[0].read_bodies = False
                proxy.upstreams[0].script = before_the_body
                self.assertEqual(status(await proxy.call("a")), 200)
                response = await proxy.call("b", body=LONG_BODY)
                self.assertIn(status(response), (200, 502, 504), response)
                self.assertEqual([i for i, _ in proxy.arrivals("b")], [0])

    async def test_repeated_refusal_on_an_idle_connection(self):
        """Guards against taking bytes that arrived before the request was sent."""
        for echo in (True, False):
            with self.subTest(echo=echo):
                proxy = await self.start()
                ran = []

                async def refuse_twice(request, reader, writer, echo=echo, ran=ran):
                    request_id = request.values(REQUEST_ID)[0]
                    if request_id == "b":
                        ran.append("b")
                        return await run_here(request, reader, writer)
                    refusal = build_response(503, request_id if echo else None, NOT_RUN)
                    writer.write(refusal)
                    await asyncio.sleep(0.01)
                    writer.write(refusal)

                proxy.upstreams[0].script = refuse_twice
                self.assertEqual(status(await proxy.call("a")), 200)
                await asyncio.sleep(0.03)
                self.assertEqual(status(await proxy.call("b")), 200)
                self.assertEqual(ran, ["b"])

    async def test_error_of_an_earlier_request_is_not_returned(self):
        """Guards against a repeated error that becomes the response to another call."""
        for echoes in ECHOES:
            with self.subTest(echoes=echoes):
                proxy = await self.start(1)
                proxy.upstreams[0].script = RepeatingUpstream(404, b"", echoes, 0.03)
                self.assertEqual(status(await proxy.call("a")), 404)
                response = await proxy.call("b")
                self.assertIn(status(response), (200, 502), response)
                self.assertNotIn(b"full", response)

    async def test_response_with_an_id_to_a_request_without_one(self):
        """Guards against a repeated refusal during a request that has no id."""
        proxy = await self.start()
        ran = []

        async def script(request, reader, writer):
            refusal = build_response(503, "a", NOT_RUN)
            writer.write(refusal)
            if not request.values(REQUEST_ID):
                ran.append(request.connection)
                await asyncio.sleep(0.03)
                writer.write(build_response(200, None, SEAL, body=b"own"))

        proxy.upstreams[0].script = script
        self.assertEqual(status(await proxy.call("a")), 200)
        response = await proxy.call(None)
        self.assertIn(status(response), (200, 502), response)
        self.assertEqual(len(ran), 1)
        self.assertEqual(len(proxy.upstreams[1].requests), 1)


class OwnRefusalsTest(RefusalsTestCase):
    """A refusal of the request in flight stays a refusal."""

    async def check_refusals(self, code: int, header: bytes, echo: bool, **options):
        """Refuse every second request; return the connections that were used."""
        proxy = await self.start()
        connections = set()

        async def script(request, reader, writer):
            request_id = request.values(REQUEST_ID)[0]
            connections.add(request.connection)
            if request_id.startswith("run"):
                writer.write(build_response(200, request_id, SEAL, body=b"own"))
            else:
                writer.write(build_response(code, request_id if echo else None, header))

        proxy.upstreams[0].script = script
        for number in range(4):
            response = await proxy.call(f"run{number}")
            self.assertTrue(response.endswith(b"own"), response)
            response = await proxy.call(f"full{number}", **options)
            self.assertTrue(response.endswith(b"other"), response)
        return connections

    async def test_refused_writes_are_sent_elsewhere(self):
        """Guards against "unknown" for a write that an upstream refused."""
        for refusal, echo in itertools.product(REFUSALS, (True, False)):
            with self.subTest(refusal=refusal, echo=echo):
                await self.check_refusals(*refusal, echo)

    async def test_connection_is_kept_after_an_identified_refusal(self):
        """Guards against a new connection for each refusal of a full upstream."""
        connections = await self.check_refusals(503, NOT_RUN, True)
        self.assertEqual(connections, {1})

    async def test_write_refused_by_all_is_not_run(self):
        """Guards against "unknown" for a write that all upstreams refused."""
        for echo in (True, False):
            with self.subTest(echo=echo):
                proxy = await self.start()
                for upstream in proxy.upstreams:

                    async def script(request, reader, writer, echo=echo):
                        request_id = request.values(REQUEST_ID)[0]
                        if request_id == "run":
                            return await run_here(request, reader, writer)
                        refused_id = request_id if echo else None
                        writer.write(build_response(503, refused_id, NOT_RUN))

                    upstream.script = script
                await proxy.call("run")
                for request_id in ("a", "b", "c"):
                    response = await proxy.call(request_id)
                    self.assertEqual(status(response), 503)
                    self.assertIn(b"X-Request-Ran: no", response)

    async def test_early_refusal_while_a_body_is_sent(self):
        """Guards against "unknown" for a write refused before its body was read."""
        for echo in (True, False):
            with self.subTest(echo=echo):
                proxy = await self.start(1)

                async def script(request, reader, writer, echo=echo):
                    request_id = request.values(REQUEST_ID)[0]
                    if request_id == "run":
                        return await run_here(request, reader, writer)
                    refused_id = request_id if echo else None
                    writer.write(build_response(503, refused_id, NOT_RUN))
                    await reader.read()

                proxy.upstreams[0].read_bodies = False
                proxy.upstreams[0].script = script
                await proxy.call("run")
                response = await proxy.call("a", body=LONG_BODY)
                self.assertEqual(status(response), 503)
                self.assertIn(b"X-Request-Ran: no", response)
