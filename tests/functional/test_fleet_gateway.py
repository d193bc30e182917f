"""Test gateway processes with stand-ins for the store and the targets."""

import asyncio
import signal
import unittest

import aiohttp

from tests.lib.deployment import ROUTES, Deployment, route

TIMEOUT_S = 60.0
# The users require that a configuration is in effect within this time after the store
# has returned it.
CONFIGURATION_BOUND_S = 2.0


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    gateways = 1
    targets = 2

    async def asyncSetUp(self):
        self.fleet = Deployment(self.gateways, zones=min(2, self.gateways))
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.fleet.start(self.targets)
        except BaseException:
            await self.fleet.stop()
            raise

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def wait_until(self, condition, timeout=10.0):
        """Wait until a condition holds."""
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(0.02)


class OneGatewayTest(FleetTestCase):
    async def test_call_is_addressed_to_the_listed_instance(self):
        """Guards against calls to another instance that took over an address."""
        response = await self.fleet.call(request_id="a1")
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers["X-Dogwoodshed-Response-Seal"], "p")
        target = next(t for t in self.fleet.targets.values() if "a1" in t.runs)
        headers = target.headers[-1]
        self.assertEqual(headers["x-dogwoodshed-expect-instance"], target.id)
        self.assertLessEqual(int(headers["x-dogwoodshed-deadline-ms"]), 1000)

    async def test_call_during_a_start_is_served(self):
        """Guards against reset connections while the imports of a gateway run."""
        gateway = self.fleet.gateways[0]
        gateway.process.kill()
        await gateway.process.wait()
        await gateway.start()
        response = None
        async with asyncio.timeout(TIMEOUT_S):
            while response is None:
                try:
                    response = await self.fleet.call(request_id="s1")
                except aiohttp.ClientConnectorError:
                    # The process does not listen yet.
                    await asyncio.sleep(0.001)
        self.assertEqual(response.status, 200)

    async def test_write_with_a_lost_response_is_not_retried(self):
        """Guards against a charge that runs twice after a lost response."""
        for target in self.fleet.targets.values():
            target.lose = 1
        response = await self.fleet.call("/write/a", method="POST", request_id="w1")
        self.assertEqual(response.status, 502)
        self.assertEqual(self.fleet.count_runs("w1"), 1)

    async def test_write_with_an_encoded_path_is_not_retried(self):
        """Guards against an order that runs twice because of its decoded path.

        The query and the path reach the target as they were sent.
        """
        await self.fleet.configure(*ROUTES, route("drafts", "/write/drafts/"))
        await asyncio.sleep(0.5)
        for number, path in enumerate(
            ("/write/drafts%2F17", "/write/drafts/%2E%2E/17?to=/read/")
        ):
            for target in self.fleet.targets.values():
                target.lose = 1
            request_id = f"e{number}"
            response = await self.fleet.call(path, method="POST", request_id=request_id)
            self.assertEqual(response.status, 502)
            self.assertEqual(self.fleet.count_runs(request_id), 1)

    async def test_read_with_a_lost_response_is_retried(self):
        """Guards against a read that fails although another target could serve it."""
        for target in self.fleet.targets.values():
            target.lose = 1
        await self.fleet.call(request_id="x")
        response = await self.fleet.call(request_id="y")
        self.assertEqual(response.status, 200)

    async def test_refusal_by_all_targets_is_reported_as_not_run(self):
        """Guards against reporting "not run" for a request that ran, or vice versa."""
        for target in self.fleet.targets.values():
            target.refuse = True
        response = await self.fleet.call("/write/a", method="POST", request_id="w2")
        self.assertEqual((response.status, self.fleet.count_runs("w2")), (503, 0))
        self.assertLess(float(response.headers["Retry-After"]), 1.0)

    async def test_success_without_seal_is_not_forwarded(self):
        """Guards against forwarding a response that is not from the target."""
        for target in self.fleet.targets.values():
            target.unproven = 1
        response = await self.fleet.call("/write/a", method="POST", request_id="w3")
        self.assertEqual(response.status, 502)

    async def test_late_second_response_is_discarded(self):
        """Guards against sending the response of one caller to another."""
        for target in self.fleet.targets.values():
            target.double = 50
        for number in range(20):
            request_id = f"d{number}"
            response = await self.fleet.call(request_id=request_id)
            self.assertIn(f" {request_id} ".encode(), response.body)
            await asyncio.sleep(0.006 * (number % 4))

    async def test_draining_target_gets_no_new_calls(self):
        """Guards against new calls to a target that is draining."""
        draining = self.fleet.targets["i-0"]
        await self.fleet.store.put("servers/i-0", draining.entry(state="draining"))
        await asyncio.sleep(2.0)
        before = len(draining.runs)
        for number in range(12):
            await self.fleet.call(request_id=f"l{number}")
        self.assertEqual(len(draining.runs), before)

    async def test_unknown_route_is_404_until_it_is_configured(self):
        """Guards against a configuration that takes effect after more than 2 s."""
        self.assertEqual((await self.fleet.call("/new/a")).status, 404)
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(2.0)
        self.assertEqual((await self.fleet.call("/new/a")).status, 200)

    async def test_invalid_entries_in_the_store_are_ignored(self):
        """Guards against an invalid entry that blocks updates or attracts calls."""
        for value in (b"\xff", b"[]", b'{"service": 3}'):
            await self.fleet.store.put("servers/foreign", value)
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(2.0)
        self.assertEqual((await self.fleet.call("/new/a")).status, 200)

    async def test_store_outage_does_not_affect_calls(self):
        """Guards against a fleet that drops its targets when the store is down."""
        for mode in ("busy", "reset", "silent"):
            self.fleet.store.mode = mode
            await asyncio.sleep(1.0)
            response = await self.fleet.call(request_id=f"o-{mode}")
            self.assertEqual(response.status, 200)
        self.fleet.store.mode = "ok"
        await self.fleet.store.compact_history()
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(4.0)
        self.assertEqual((await self.fleet.call("/new/a")).status, 200)

    async def test_caller_disconnect_cancels_the_call(self):
        """Guards against targets that work for callers that have disconnected."""
        for target in self.fleet.targets.values():
            target.service_time_s = 3.0
        task = asyncio.ensure_future(self.fleet.call(request_id="g1"))
        await self.wait_until(lambda: self.fleet.count_runs("g1"))
        task.cancel()
        targets = self.fleet.targets.values()
        await self.wait_until(lambda: any("g1" in t.cancelled for t in targets), 1.0)

    async def test_response_arrives_by_the_timeout_of_the_route(self):
        """Guards against a call that lasts longer than the operator configured."""
        for target in self.fleet.targets.values():
            target.service_time_s = 5.0
        started = asyncio.get_running_loop().time()
        response = await self.fleet.call(
            "/write/a", method="POST", request_id="t1", deadline_ms=4000
        )
        self.assertEqual(response.status, 504)
        self.assertLess(asyncio.get_running_loop().time() - started, 1.25)

    async def test_planned_stop_interrupts_no_call(self):
        """Guards against a gateway that aborts calls in flight when it stops."""
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
        responses = await asyncio.gather(*calls)
        self.assertEqual([response.status for response in responses], [200] * 4)
        async with asyncio.timeout(6.0):
            self.assertEqual(await gateway.process.wait(), 0)

    async def test_process_ends_with_its_gateway(self):
        """Guards against spending the grace period of a stop on sleeping.

        mode slept for over a second after the last service had stopped.
        """
        gateway = self.fleet.gateways[0]
        gateway.send_signal(signal.SIGTERM)
        # The linger of these tests is 0.5 s.
        async with asyncio.timeout(1.2):
            self.assertEqual(await gateway.process.wait(), 0)

    async def test_failed_call_is_logged_with_its_request_id(self):
        """Guards against a failure that on-call engineers cannot trace."""
        # The event contains the age of the load report once each target has sent one.
        calls = (self.fleet.call(request_id=f"b{number}") for number in range(8))
        await asyncio.gather(*calls)
        self.assertTrue(all(target.runs for target in self.fleet.targets.values()))
        for target in self.fleet.targets.values():
            target.lose = 1
        await self.fleet.call("/write/a", method="POST", request_id="find-me")
        line = next(
            line
            for line in self.fleet.gateways[0].log.splitlines()
            if "find-me" in line
        )
        for expected in ('"status":502', "upstream disconnected", "failed", "ms-old"):
            self.assertIn(expected, line)


class ColdStartTest(unittest.IsolatedAsyncioTestCase):
    async def test_without_configuration_calls_get_503(self):
        """Guards against 404 from a gateway that has no configuration yet."""
        fleet = Deployment()
        try:
            await fleet.store.start()
            fleet.store.mode = "busy"
            gateway = fleet.gateways[0]
            gateway.configure(fleet.store.address, [])
            fleet.open_session()
            await gateway.start()
            response = None
            async with asyncio.timeout(TIMEOUT_S):
                while response is None:
                    try:
                        response = await fleet.call()
                    except OSError:
                        await asyncio.sleep(0.05)
            self.assertEqual(response.status, 503)
            self.assertFalse(await gateway.is_ready())
        finally:
            await fleet.stop()


class ThreeGatewaysTest(FleetTestCase):
    gateways = 3

    async def test_updates_reach_gateways_after_the_reader_died(self):
        """Guards against a gateway with old data after the reader has stopped."""
        # The gateway that reads the store.
        await self.fleet.gateways[0].stop()
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        await asyncio.sleep(3.0)
        for gateway in (1, 2):
            response = await self.fleet.call("/new/a", gateway=gateway)
            self.assertEqual(response.status, 200)

    async def test_few_gateways_read_the_store(self):
        """Guards against a rate of store calls that grows with the fleet."""
        await asyncio.sleep(2.5)
        before = self.fleet.store.calls
        await asyncio.sleep(3.0)
        # Two readers, each with watches of one second.
        self.assertLessEqual(self.fleet.store.calls - before, 2 * 4)

    async def test_restarted_gateway_has_the_newest_configuration(self):
        """Guards against a restart that reverts to an older configuration."""
        gateway = self.fleet.gateways[2]
        await gateway.stop()
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        for peer in (0, 1):
            await self.wait_for_new_route(peer)
        await gateway.start()
        await gateway.wait_ready()
        self.assertEqual((await self.fleet.call("/new/a", gateway=2)).status, 200)

    async def test_gateway_that_starts_during_a_change_applies_it_in_time(self):
        """Guards against keeping an older snapshot of a peer after a start."""
        gateway = self.fleet.gateways[2]
        await gateway.stop()
        await self.fleet.configure(*ROUTES, route("new", "/new/"))
        changed_at = asyncio.get_running_loop().time()
        await gateway.start()
        await gateway.wait_ready()
        await self.wait_for_new_route(2)
        elapsed = asyncio.get_running_loop().time() - changed_at
        self.assertLessEqual(elapsed, CONFIGURATION_BOUND_S)

    async def wait_for_new_route(self, gateway):
        """Wait until a gateway serves the route that was added."""
        async with asyncio.timeout(TIMEOUT_S):
            while (await self.fleet.call("/new/a", gateway=gateway)).status != 200:
                await asyncio.sleep(0.02)
