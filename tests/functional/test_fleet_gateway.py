"""Test real gateway processes against stand-ins of the users' platform."""

import asyncio
import signal
import unittest

import aiohttp

from tests.lib.deployment import ROUTES, Deployment, route

BOUND_S = 60.0
# The users' bound between the store's answer and the use of a configuration.
CONFIGURATION_BOUND_S = 2.0


class FleetCase(unittest.IsolatedAsyncioTestCase):
    gateways = 1
    targets = 2

    async def asyncSetUp(self):
        self.fleet = Deployment(self.gateways, zones=min(2, self.gateways))
        try:
            async with asyncio.timeout(BOUND_S):
                await self.fleet.start(self.targets)
        except BaseException:
            await self.fleet.stop()
            raise

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def until(self, condition, bound=10.0):
        """Wait for a condition within a bound, in seconds."""
        async with asyncio.timeout(bound):
            while not condition():
                await asyncio.sleep(0.02)


class OneGatewayTest(FleetCase):
    async def test_call_reaches_the_named_instance(self):
        """Guards against work for whoever took over the address of a target."""
        reply = await self.fleet.call(request_id="a1")
        self.assertEqual(reply.status, 200)
        self.assertEqual(reply.headers["X-Dogwoodshed-Response-Seal"], "p")
        target = next(t for t in self.fleet.targets.values() if "a1" in t.runs)
        headers = target.headers[-1]
        self.assertEqual(headers["x-dogwoodshed-expect-instance"], target.id)
        self.assertLessEqual(int(headers["x-dogwoodshed-deadline-ms"]), 1000)

    async def test_call_during_a_start_is_answered(self):
        """Guards against callers that are reset while a gateway's imports run."""
        gateway = self.fleet.gateways[0]
        gateway.process.kill()
        await gateway.process.wait()
        await gateway.start()
        reply = None
        async with asyncio.timeout(BOUND_S):
            while reply is None:
                try:
                    reply = await self.fleet.call(request_id="s1")
                except aiohttp.ClientConnectorError:
                    # The interpreter itself has not started yet.
                    await asyncio.sleep(0.001)
        self.assertEqual(reply.status, 200)

    async def test_lost_answer_is_not_asked_for_again(self):
        """Guards against a charge that lands twice after a lost answer."""
        for target in self.fleet.targets.values():
            target.lose = 1
        reply = await self.fleet.call("/write/a", method="POST", request_id="w1")
        self.assertEqual(reply.status, 502)
        self.assertEqual(self.fleet.count_runs("w1"), 1)

    async def test_lost_answer_to_a_read_is_asked_for_again(self):
        """Guards against a read that fails though another target could answer it."""
        for target in self.fleet.targets.values():
            target.lose = 1
        await self.fleet.call(request_id="x")
        reply = await self.fleet.call(request_id="y")
        self.assertEqual(reply.status, 200)

    async def test_refusal_everywhere_is_told_truthfully(self):
        """Guards against "not run" for a request that ran, and the reverse."""
        for target in self.fleet.targets.values():
            target.refuse = True
        reply = await self.fleet.call("/write/a", method="POST", request_id="w2")
        self.assertEqual((reply.status, self.fleet.count_runs("w2")), (503, 0))
        self.assertLess(float(reply.headers["Retry-After"]), 1.0)

    async def test_success_without_proof_does_not_reach_the_caller(self):
        """Guards against an answer that is not the target's."""
        for target in self.fleet.targets.values():
            target.unproven = 1
        reply = await self.fleet.call("/write/a", method="POST", request_id="w3")
        self.assertEqual(reply.status, 502)

    async def test_late_second_answer_belongs_to_nobody(self):
        """Guards against one caller's answer that reaches another."""
        for target in self.fleet.targets.values():
            target.double = 50
        for number in range(20):
            name = f"d{number}"
            reply = await self.fleet.call(request_id=name)
            self.assertIn(f" {name} ".encode(), reply.body)
            await asyncio.sleep(0.006 * (number % 4))

    async def test_leaving_target_gets_no_new_work(self):
        """Guards against new work for a target that drains."""
        leaving = self.fleet.targets["i-0"]
        await self.fleet.store.put("servers/i-0", leaving.entry(state="draining"))
        await asyncio.sleep(2.0)
        before = len(leaving.runs)
        for number in range(12):
            await self.fleet.call(request_id=f"l{number}")
        self.assertEqual(len(leaving.runs), before)

    async def test_unknown_route_and_new_route(self):
        """Guards against a configuration that takes longer than 2 s."""
        self.assertEqual((await self.fleet.call("/new/a")).status, 404)
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(2.0)
        self.assertEqual((await self.fleet.call("/new/a")).status, 200)

    async def test_entries_of_other_writers_are_harmless(self):
        """Guards against a foreign entry that stops the news or draws calls."""
        for value in (b"\xff", b"[]", b'{"service": 3}'):
            await self.fleet.store.put("servers/foreign", value)
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(2.0)
        self.assertEqual((await self.fleet.call("/new/a")).status, 200)

    async def test_store_outage_keeps_what_is_known(self):
        """Guards against a fleet that forgets its targets when the store is away."""
        for mode in ("busy", "reset", "silent"):
            self.fleet.store.mode = mode
            await asyncio.sleep(1.0)
            reply = await self.fleet.call(request_id=f"o-{mode}")
            self.assertEqual(reply.status, 200)
        self.fleet.store.mode = "ok"
        await self.fleet.store.forget_history()
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(4.0)
        self.assertEqual((await self.fleet.call("/new/a")).status, 200)

    async def test_caller_that_leaves_ends_the_work(self):
        """Guards against targets that work for callers who are gone."""
        for target in self.fleet.targets.values():
            target.service_time_s = 3.0
        task = asyncio.ensure_future(self.fleet.call(request_id="g1"))
        await self.until(lambda: self.fleet.count_runs("g1"))
        task.cancel()
        targets = self.fleet.targets.values()
        await self.until(lambda: any("g1" in t.cancelled for t in targets), 1.0)

    async def test_answer_comes_by_the_routes_timeout(self):
        """Guards against a call that is held past the operator's bound."""
        for target in self.fleet.targets.values():
            target.service_time_s = 5.0
        started = asyncio.get_running_loop().time()
        reply = await self.fleet.call(
            "/write/a", method="POST", request_id="t1", time_ms=4000
        )
        self.assertEqual(reply.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.25)

    async def test_planned_stop_cuts_nothing(self):
        """Guards against a call that a stopping gateway breaks off."""
        for target in self.fleet.targets.values():
            target.service_time_s = 0.8
        calls = [
            asyncio.ensure_future(self.fleet.call(request_id=f"s{number}"))
            for number in range(4)
        ]
        await asyncio.sleep(0.2)
        gateway = self.fleet.gateways[0]
        gateway.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.1)
        self.assertFalse(await gateway.is_ready())
        replies = await asyncio.gather(*calls)
        self.assertEqual([reply.status for reply in replies], [200] * 4)
        async with asyncio.timeout(6.0):
            self.assertEqual(await gateway.process.wait(), 0)

    async def test_failed_call_is_found_by_its_id(self):
        """Guards against a failure that on-call engineers cannot trace."""
        # The age of a report is in the line once each target has told its load.
        before = (self.fleet.call(request_id=f"b{number}") for number in range(8))
        await asyncio.gather(*before)
        self.assertTrue(all(target.runs for target in self.fleet.targets.values()))
        for target in self.fleet.targets.values():
            target.lose = 1
        await self.fleet.call("/write/a", method="POST", request_id="find-me")
        line = next(
            line
            for line in self.fleet.gateways[0].log.splitlines()
            if "find-me" in line
        )
        for part in ('"status":502', "upstream disconnected", "failed", "ms-old"):
            self.assertIn(part, line)


class ColdStartTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_configuration_is_not_an_unknown_route(self):
        """Guards against 404 from a gateway that knows no configuration yet."""
        fleet = Deployment()
        try:
            await fleet.store.start()
            fleet.store.mode = "busy"
            gateway = fleet.gateways[0]
            gateway.configure(fleet.store.address, [])
            fleet.open_session()
            await gateway.start()
            reply = None
            async with asyncio.timeout(BOUND_S):
                while reply is None:
                    try:
                        reply = await fleet.call()
                    except OSError:
                        await asyncio.sleep(0.05)
            self.assertEqual(reply.status, 503)
            self.assertFalse(await gateway.is_ready())
        finally:
            await fleet.stop()


class ThreeGatewaysTest(FleetCase):
    gateways = 3

    async def test_news_reach_gateways_that_the_store_turns_away(self):
        """Guards against a gateway that serves on old news when it cannot read."""
        # All gateways have one address here, so the reader is told apart by its death.
        await self.fleet.gateways[0].stop()
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(3.0)
        for gateway in (1, 2):
            reply = await self.fleet.call("/new/a", gateway=gateway)
            self.assertEqual(reply.status, 200)

    async def test_few_gateways_read_the_store(self):
        """Guards against store calls that grow with the fleet."""
        await asyncio.sleep(2.5)
        before = self.fleet.store.calls
        await asyncio.sleep(3.0)
        # Two readers whose watches last a second each.
        self.assertLessEqual(self.fleet.store.calls - before, 2 * 4)

    async def test_restarted_gateway_knows_the_newest_configuration(self):
        """Guards against a restart that goes back to an older configuration."""
        gateway = self.fleet.gateways[2]
        await gateway.stop()
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        for peer in (0, 1):
            await self.until_new_route(peer)
        await gateway.start()
        await gateway.wait_ready()
        self.assertEqual((await self.fleet.call("/new/a", gateway=2)).status, 200)

    async def test_gateway_that_starts_beside_a_change_takes_it_in_time(self):
        """Guards against a start with a peer's older table that is never made up."""
        gateway = self.fleet.gateways[2]
        await gateway.stop()
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        changed_at = asyncio.get_running_loop().time()
        await gateway.start()
        await gateway.wait_ready()
        await self.until_new_route(2)
        took = asyncio.get_running_loop().time() - changed_at
        self.assertLessEqual(took, CONFIGURATION_BOUND_S)

    async def until_new_route(self, gateway):
        """Wait until a gateway serves the route that was added."""
        async with asyncio.timeout(BOUND_S):
            while (await self.fleet.call("/new/a", gateway=gateway)).status != 200:
                await asyncio.sleep(0.02)
