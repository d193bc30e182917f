"""Test which attempts a call makes and what its caller is told."""

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
from dogwoodshed._internal.proxy.upstream_messages import Answer, OutboundRequest
from dogwoodshed._internal.retries.hedges import HedgePolicy
from dogwoodshed._internal.retries.policy import RetryPolicy
from dogwoodshed._internal.routing.base import Slot
from dogwoodshed._internal.routing.baselines import RoundRobinRouter
from tests.lib import builders

ADDRESSES = tuple(f"127.0.0.1:{port}" for port in (1, 2, 3))


class ScriptedSender:
    """Give the next scripted end to each attempt."""

    def __init__(self, *script) -> None:
        self.script = list(script)
        self.addresses: list[str] = []
        self.cancelled: list[str] = []

    async def send(self, call, request, slot: Slot, patience, may_give_up) -> Answer:
        """Answer with a status, raise an error, or wait until cancelled."""
        call.dispatched = True
        self.addresses.append(slot.upstream.address)
        end = self.script.pop(0)
        if isinstance(end, CallError):
            raise end
        if end is None:
            try:
                await asyncio.Event().wait()
            finally:
                self.cancelled.append(slot.upstream.address)
        return Answer(None, end, CIMultiDict(), b"")


class RelayTest(unittest.IsolatedAsyncioTestCase):
    def relay(self, *script) -> RetryingForwarder:
        """Build a relay whose attempts end as scripted."""
        self.sender = ScriptedSender(*script)
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

    def call(self, kind: int = 0) -> Call:
        """Build a call of a service with three upstreams."""
        service = builders.configuration(
            builders.service_entry(addresses=ADDRESSES)
        ).services[0]
        now = SystemClock().monotonic()
        return Call(
            service, service.kinds[kind], caller="c", arrived_at=now, deadline=now + 60
        )

    async def forward(self, relay: RetryingForwarder, kind: int = 0) -> Answer:
        """Send one call without a body."""
        request = OutboundRequest("GET", "/", CIMultiDict(), RequestBody(b"", None, 1))
        return await relay.forward(self.call(kind), request)

    async def test_refused_write_moves(self):
        """Guards against giving up a call that another upstream would run."""
        relay = self.relay(UpstreamRefusedError("a"), UpstreamRefusedError("b"), 200)
        answer = await self.forward(relay, kind=1)
        self.assertEqual(answer.status, 200)
        self.assertEqual(sorted(self.sender.addresses), sorted(ADDRESSES))

    async def test_write_that_may_have_run_is_not_repeated(self):
        """Guards against a second run of a write."""
        relay = self.relay(UpstreamDisconnectedError("a"), 200)
        with self.assertRaises(UpstreamDisconnectedError):
            await self.forward(relay, kind=1)

    async def test_refusal_after_a_possible_run_is_unknown(self):
        """Guards against telling 'not run' of a call whose first attempt may have."""
        refused = [UpstreamRefusedError("b"), UpstreamRefusedError("c")]
        relay = self.relay(UpstreamDisconnectedError("a"), *refused)
        with self.assertRaises(CallError) as raised:
            await self.forward(relay)
        self.assertEqual(raised.exception.ran, "unknown")

    async def test_refused_repeat_returns_the_first_answer(self):
        """Guards against losing an upstream's own failure to a later refusal."""
        relay = self.relay(500, UpstreamRefusedError("b"), UpstreamRefusedError("c"))
        answer = await self.forward(relay)
        self.assertEqual(answer.status, 500)
        self.assertEqual(len(set(self.sender.addresses)), 3)

    async def test_refusal_by_the_router_after_a_run_is_unknown(self):
        """Guards against 'not run' from the queue when a repeat waits in it."""
        relay = self.relay(UpstreamDisconnectedError("a"))
        acquire = self.router.acquire

        async def once(call, *, exclude=frozenset()):
            if exclude:
                raise DeadlineUnreachableError("full")
            return await acquire(call)

        self.router.acquire = once
        with self.assertRaises(UpstreamDisconnectedError):
            await self.forward(relay)

    def learn_latency(self) -> None:
        """Make the hedge delay known and short."""
        call = self.call()
        for _ in range(100):
            self.hedges.observe(call, 0.001)

    async def test_hedge_wins_and_the_first_attempt_is_cancelled(self):
        """Guards against a loser that goes on working at its upstream."""
        relay = self.relay(None, 200)
        self.learn_latency()
        answer = await asyncio.wait_for(self.forward(relay), 5)
        self.assertEqual(answer.status, 200)
        first, second = self.sender.addresses
        self.assertNotEqual(first, second)
        self.assertEqual(self.sender.cancelled, [first])
        self.assertEqual(asyncio.current_task().cancelling(), 0)

    async def test_caller_that_leaves_cancels_both_attempts(self):
        """Guards against a hedge that outlives its caller."""
        relay = self.relay(None, None)
        self.learn_latency()
        task = asyncio.ensure_future(self.forward(relay))
        async with asyncio.timeout(5):
            while len(self.sender.addresses) < 2:
                await asyncio.sleep(0)
            task.cancel()
            while len(self.sender.cancelled) < 2:
                await asyncio.sleep(0)
        self.assertTrue(task.cancelled())


if __name__ == "__main__":
    unittest.main()
