"""Test targets that say in their answers that they leave or want no requests."""

import asyncio
import itertools
import time
import unittest
from collections import Counter

import aiohttp

from tests.lib.deployment import Deployment, route

TIMEOUT_S = 60.0
GATEWAYS = 4
TARGETS = 3
CALLERS = 8
# A request that its caller sends later than this after a gateway has passed on an
# answer of a leaving target must not reach that target from that gateway.
DRAIN_BOUND_S = 2.0
# A target that turned a gateway away gets at most two requests from this time on until
# the end of the time that it stated.
HOLD_OFF_SLACK_S = 0.5
MAX_HELD_OFF_ARRIVALS = 2
# Calls that cannot be served are refused without waiting for their deadline.
REFUSED_WITHIN_S = 0.5
# Gateways tell each other of a leaving target well within the bound.
TOLD_WITHIN_S = 0.5
ROUTES = (
    route("read", "/read/"),
    route("write", "/write/", route_type="unsafe", timeout_ms=1500),
)


class TargetNoticesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Deployment(GATEWAYS, zones=2)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.fleet.start(TARGETS, ROUTES)
        except BaseException:
            await self.fleet.stop()
            raise
        self.statuses = Counter()
        # By request id: when it was sent, and when it was answered.
        self.sent_at = {}
        self.answered_at = {}
        self.refusals = []
        self.stopped = asyncio.Event()
        self.callers = [
            asyncio.create_task(self.call_repeatedly(number))
            for number in range(CALLERS)
        ]
        await asyncio.sleep(1.0)

    async def asyncTearDown(self):
        self.stopped.set()
        await asyncio.gather(*self.callers, return_exceptions=True)
        await self.fleet.stop()

    async def call_repeatedly(self, caller):
        """Send requests to one gateway, whose index begins each request id."""
        gateway = caller % GATEWAYS
        for number in itertools.count():
            if self.stopped.is_set():
                return
            request_id = f"{gateway}-{caller}-{number}"
            self.sent_at[request_id] = time.monotonic()
            try:
                response = await self.fleet.call(
                    "/write/a" if number % 2 else "/read/a",
                    method="POST" if number % 2 else "GET",
                    request_id=request_id,
                    gateway=gateway,
                )
                status = response.status
            except (aiohttp.ClientError, OSError, TimeoutError) as error:
                status = type(error).__name__
            now = time.monotonic()
            self.answered_at[request_id] = now
            self.statuses[status] += 1
            if status == 503:
                elapsed = now - self.sent_at[request_id]
                delay = float(response.headers["Retry-After"])
                self.refusals.append((request_id, elapsed, delay))
                # Some callers return earlier than they are asked to.
                await asyncio.sleep(0.03)
            await asyncio.sleep(0.005)

    def late_at_leaving(self, target):
        """Return requests that reached a target although their gateway knew."""
        first = {}
        for exchange in target.exchanges:
            gateway = exchange.request_id[0]
            if exchange.leaving and exchange.request_id in self.answered_at:
                passed_on_at = self.answered_at[exchange.request_id]
                first[gateway] = min(first.get(gateway, passed_on_at), passed_on_at)
        return [
            (exchange.request_id, self.sent_at[exchange.request_id] - first[gateway])
            for exchange in target.exchanges
            if (gateway := exchange.request_id[0]) in first
            and self.sent_at[exchange.request_id] > first[gateway] + DRAIN_BOUND_S
        ]

    def check_refusals(self):
        for request_id, elapsed, delay in self.refusals:
            self.assertLess(elapsed, REFUSED_WITHIN_S, request_id)
            self.assertLessEqual(delay, 1.6, request_id)
            self.assertEqual(self.fleet.count_runs(request_id), 0, request_id)

    async def test_leaving_target_gets_no_more_requests(self):
        """Guards against requests to a target that leaves before its entry says so."""
        target = self.fleet.targets["i-0"]
        target.leaving = True
        await asyncio.sleep(DRAIN_BOUND_S)
        # The entry of the same run changes and says nothing of the leave.
        await self.fleet.write_target("i-0", version="v2", sequence=9)
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(2.0)
        self.assertEqual(self.late_at_leaving(target), [])
        self.assertGreater(len(target.exchanges), 10)
        self.assertEqual(set(self.statuses), {200})

    async def test_other_gateways_learn_that_a_target_leaves(self):
        """Guards against a late leave at gateways that got no answer of the target."""
        self.stopped.set()
        await asyncio.gather(*self.callers)
        target = self.fleet.targets["i-0"]
        # With probes, hubs learn it themselves.
        target.leaving, target.probes_say_leaving = True, False
        target.exchanges.clear()
        async with asyncio.timeout(5.0):
            while not target.exchanges:
                # One call at a time may go to the same target again and again.
                calls = [self.fleet.call("/read/a", gateway=0) for _ in range(CALLERS)]
                await asyncio.gather(*calls)
        await asyncio.sleep(TOLD_WITHIN_S)
        target.exchanges.clear()
        for number in range(20 * GATEWAYS):
            response = await self.fleet.call("/read/a", gateway=number % GATEWAYS)
            self.assertEqual(response.status, 200)
        self.assertEqual(target.exchanges, [])

    async def test_restarted_target_is_used_again(self):
        """Guards against a target that stays unused since its last run has left."""
        target = self.fleet.targets["i-0"]
        target.leaving = True
        await asyncio.sleep(0.5)
        target.leaving = False
        target.started_ms += 5
        target.exchanges.clear()
        await self.fleet.write_target("i-0")
        async with asyncio.timeout(5.0):
            while len(target.exchanges) < 20:
                await asyncio.sleep(0.05)

    async def test_all_targets_leave(self):
        """Guards against requests that wait for targets that have left."""
        for target in self.fleet.targets.values():
            target.leaving = True
        await asyncio.sleep(DRAIN_BOUND_S + 1.5)
        for target in self.fleet.targets.values():
            self.assertEqual(self.late_at_leaving(target), [])
        self.check_refusals()
        self.assertEqual(set(self.statuses), {200, 503})
        await self.fleet.add_target("i-new")
        async with asyncio.timeout(5.0):
            while not self.fleet.targets["i-new"].runs:
                await asyncio.sleep(0.05)

    def arrivals_while_held_off(self, target, seconds):
        """Return the numbers of arrivals in each time that a target has stated."""
        counts = []
        for exchange in target.exchanges:
            if exchange.status != 503:
                continue
            starts_at = exchange.answered_at + HOLD_OFF_SLACK_S
            ends_at = exchange.answered_at + seconds
            counts.append(
                sum(
                    starts_at < other.arrived_at < ends_at
                    for other in target.exchanges
                    if other.request_id[0] == exchange.request_id[0]
                )
            )
        return counts

    async def check_hold_off(self, *target_ids):
        targets = [self.fleet.targets[target_id] for target_id in target_ids]
        for target in targets:
            target.refuse, target.retry_after = True, "1.5"
        await asyncio.sleep(5.0)
        counts = [self.arrivals_while_held_off(target, 1.5) for target in targets]
        for target in targets:
            target.refuse, target.retry_after = False, ""
            target.exchanges.clear()
        for at_target in counts:
            self.assertGreater(len(at_target), 0)
            self.assertLessEqual(max(at_target), MAX_HELD_OFF_ARRIVALS)
        self.check_refusals()
        # The targets get their share again.
        async with asyncio.timeout(5.0):
            while any(len(target.exchanges) < 20 for target in targets):
                await asyncio.sleep(0.05)

    async def test_target_that_turns_requests_away(self):
        """Guards against requests to a target that wants none for a time."""
        await self.check_hold_off("i-0")
        self.assertEqual(set(self.statuses), {200})

    async def test_all_targets_turn_requests_away(self):
        """Guards against tries that cannot succeed, and callers that wait for them."""
        await self.check_hold_off(*self.fleet.targets)
        self.assertEqual(set(self.statuses), {200, 503})
