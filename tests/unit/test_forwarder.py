"""Test the attempts of the forwarder and the outcome that the caller receives."""

import asyncio
import unittest

from multidict import CIMultiDict

from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.exceptions import (
    CallError,
    DeadlineUnreachableError,
    UpstreamDisconnectedError,
    UpstreamRefusedError,
)
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.proxy.body import RequestBody
from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.proxy.forwarder import RetryingForwarder
from dogwoodshed._internal.proxy.upstream_messages import (
    OutboundRequest,
    UpstreamResponse,
)
from dogwoodshed._internal.retries.hedges import HedgePolicy
from dogwoodshed._internal.retries.policy import RetryPolicy
from dogwoodshed._internal.routing.base import Slot
from dogwoodshed._internal.routing.baselines import RoundRobinRouter
from tests.lib import builders

ADDRESSES = tuple(f"127.0.0.1:{port}" for port in (1, 2, 3))


class ScriptedSender:
    """Sender whose attempts have scripted outcomes."""

    def __init__(self, *outcomes) -> None:
        self.outcomes = list(outcomes)
        self.addresses: list[str] = []
        self.cancelled: list[str] = []

    async def send(
        self, call, request, slot: Slot, stall_timeout, may_abandon
    ) -> UpstreamResponse:
        """Return a status, raise an error, or wait until cancelled."""
        call.dispatched = True
        self.addresses.append(slot.upstream.address)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, CallError):
            raise outcome
        if outcome is None:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.append(slot.upstream.address)
        return UpstreamResponse(None, outcome, CIMultiDict(), b"")


class RetryingForwarderTest(unittest.IsolatedAsyncioTestCase):
    def forwarder_with(self, *outcomes) -> RetryingForwarder:
        """Build a forwarder whose attempts have scripted outcomes."""
        self.sender = ScriptedSender(*outcomes)
        self.hedges = HedgePolicy()
        self.router = RoundRobinRouter(1)
        return RetryingForwarder(
            self.router,
            self.sender,
            RetryPolicy(),
            self.hedges,
            5.0,
            SystemClock(),
            Metrics(),
        )

    def build_call(self, kind: int = 0) -> Call:
        """Build a call of a service with three upstreams."""
        service = builders.configuration(
            builders.service_entry(addresses=ADDRESSES)
        ).services[0]
        now = SystemClock().monotonic()
        return Call(
            service, service.kinds[kind], caller="c", arrived_at=now, deadline=now + 60
        )

    async def forward(
        self, forwarder: RetryingForwarder, kind: int = 0
    ) -> UpstreamResponse:
        """Send one call without a body."""
        request = OutboundRequest("GET", "/", CIMultiDict(), RequestBody(b"", None, 1))
        return await forwarder.forward(self.build_call(kind), request)

    async def test_refused_write_moves_to_another_upstream(self):
        """Guards against failing a call that another upstream would run."""
        forwarder = self.forwarder_with(
            UpstreamRefusedError("a"), UpstreamRefusedError("b"), 200
        )
        response = await self.forward(forwarder, kind=1)
        self.assertEqual(response.status, 200)
        self.assertEqual(sorted(self.sender.addresses), sorted(ADDRESSES))

    async def test_write_that_may_have_run_is_not_repeated(self):
        """Guards against a second run of a write."""
        forwarder = self.forwarder_with(UpstreamDisconnectedError("a"), 200)
        with self.assertRaises(UpstreamDisconnectedError):
            await self.forward(forwarder, kind=1)

    async def test_refusal_after_a_possible_run_is_unknown(self):
        """Guards against reporting 'not run' if the first attempt may have run."""
        refused = [UpstreamRefusedError("b"), UpstreamRefusedError("c")]
        forwarder = self.forwarder_with(UpstreamDisconnectedError("a"), *refused)
        with self.assertRaises(CallError) as raised:
            await self.forward(forwarder)
        self.assertEqual(raised.exception.ran, "unknown")

    async def test_refused_repeat_returns_the_first_response(self):
        """Guards against replacing an upstream's error response by a later refusal."""
        forwarder = self.forwarder_with(
            500, UpstreamRefusedError("b"), UpstreamRefusedError("c")
        )
        response = await self.forward(forwarder)
        self.assertEqual(response.status, 500)
        self.assertEqual(len(set(self.sender.addresses)), 3)

    async def test_refusal_by_the_router_after_a_run_is_unknown(self):
        """Guards against reporting 'not run' when the queue refuses a repeat."""
        forwarder = self.forwarder_with(UpstreamDisconnectedError("a"))
        acquire = self.router.acquire

        async def acquire_once(call, *, exclude=frozenset()):
            if exclude:
                raise DeadlineUnreachableError("full")
            return await acquire(call)

        self.router.acquire = acquire_once
        with self.assertRaises(UpstreamDisconnectedError):
            await self.forward(forwarder)

    def observe_short_latencies(self) -> None:
        """Observe latencies that give a short hedge delay."""
        call = self.build_call()
        for _ in range(100):
            self.hedges.observe(call, 0.001)

    async def test_hedge_wins_and_the_first_attempt_is_cancelled(self):
        """Guards against a losing attempt that keeps running at its upstream."""
        forwarder = self.forwarder_with(None, 200)
        self.observe_short_latencies()
        response = await asyncio.wait_for(self.forward(forwarder), 5)
        self.assertEqual(response.status, 200)
        first, second = self.sender.addresses
        self.assertNotEqual(first, second)
        self.assertEqual(self.sender.cancelled, [first])
        self.assertEqual(asyncio.current_task().cancelling(), 0)

    async def test_disconnected_caller_cancels_both_attempts(self):
        """Guards against a hedge that runs on after its caller has disconnected."""
        forwarder = self.forwarder_with(None, None)
        self.observe_short_latencies()
        task = asyncio.ensure_future(self.forward(forwarder))
        async with asyncio.timeout(5):
            while len(self.sender.addresses) < 2:
                await asyncio.sleep(0)
            task.cancel()
            while len(self.sender.cancelled) < 2:
                await asyncio.sleep(0)
        self.assertTrue(task.cancelled())


if __name__ == "__main__":
    unittest.main()
