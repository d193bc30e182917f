"""Test what follows from what upstreams say in their responses."""

import asyncio
import unittest

from dogwoodshed._internal.exceptions import HeldOffError, NoUpstreamError
from dogwoodshed._internal.proxy.load_reports import report_of_response
from dogwoodshed._internal.proxy.problems import problem_response
from dogwoodshed._internal.routing.base import LoadReport, Outcome, OutcomeStatus
from dogwoodshed._internal.routing.notices import (
    LAST_RESORT_S,
    MAX_NOTICES,
    RETURN_SPREAD,
    NoticeBoard,
)
from dogwoodshed._internal.routing.shared_pool import SHED_BACKOFF_INITIAL_S
from tests.lib import fleet_builders as builders
from tests.lib.adapter import headers
from tests.lib.placement_fleet import PlacementFleet

LEAVING = LoadReport(draining=True)
HOLD_OFF_S = 2.0
HOLD_OFF = LoadReport(hold_off=HOLD_OFF_S)
LOAD_HEADER = {"X-Dogwoodshed-Server-Load": "1,0,2"}
REFUSED = Outcome(OutcomeStatus.REFUSED, 0.01)
ANSWERED = Outcome(OutcomeStatus.ANSWERED, 0.01)
CANCELLED = Outcome(OutcomeStatus.CANCELLED, 0.0)


class DecodeTest(unittest.TestCase):
    def test_leaving(self):
        """Guards against an odd value that takes an upstream out of use."""
        for value, leaving in (
            ("1", True),
            ("0", False),
            ("", False),
            ("true", False),
            ("1, 1", False),
            ("\u0661", False),
            ("1" * 10_000, False),
        ):
            with self.subTest(value=value[:10]):
                report = headers.read_load({**LOAD_HEADER, "Server-Leaving": value})
                self.assertEqual(report.draining, leaving)
        self.assertTrue(headers.read_load({"Server-Leaving": "1"}).draining)

    def test_hold_off(self):
        """Guards against an odd value that fails a call or holds off for ever."""
        for value, seconds in (
            ("3", 3.0),
            ("0.25", 0.25),
            ("0", 0.0),
            ("-1", None),
            ("", None),
            ("nan", None),
            ("inf", None),
            ("1e9", None),
            ("9" * 5000, None),
            ("\u0663", None),
            ("Sat, 05 Dec 2026 19:00:00 GMT", None),
        ):
            with self.subTest(value=value[:10]):
                report = headers.read_load({**LOAD_HEADER, "Retry-After": value})
                self.assertEqual(report.hold_off, seconds)

    def test_hold_off_counts_only_with_its_status(self):
        """Guards against a hold-off because of a header of another response."""
        answer = {**LOAD_HEADER, "Retry-After": "3"}
        for status, seconds in ((503, 3.0), (200, None), (429, None)):
            report = report_of_response(headers.read_load, status, answer)
            self.assertEqual(report.hold_off, seconds)

    def test_response_without_any_report(self):
        """Guards against a report that was never made."""
        self.assertIsNone(headers.read_load({"Content-Length": "0"}))


class RouterNoticesTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = builders.FakeClock()
        self.router = builders.router(self.clock, "i-1", "i-2")

    async def acquire(self, **changes):
        return await self.router.acquire(builders.call(self.clock, **changes))

    async def chosen(self, count=40, router=None):
        router = router or self.router
        ids = set()
        for _ in range(count):
            slot = await router.acquire(builders.call(self.clock))
            router.release(slot, CANCELLED)
            ids.add(slot.upstream.id)
        return ids

    async def say(self, report, *upstream_ids):
        """Let upstreams answer one call each with a report."""
        for upstream_id in upstream_ids:
            slot = None
            while slot is None or slot.upstream.id != upstream_id:
                slot = await self.acquire()
                self.router.release(slot, CANCELLED)
            slot = await self.acquire_at(upstream_id)
            self.router.record_notice(slot, report)
            self.router.release(slot, REFUSED if report.hold_off else ANSWERED)

    async def acquire_at(self, upstream_id):
        others = {
            state.upstream.address
            for key, state in self.router._states.items()
            if key != upstream_id
        }
        call = builders.call(self.clock)
        return await self.router.acquire(call, exclude=frozenset(others))

    async def test_leaving_upstream_gets_no_calls(self):
        """Guards against calls to an upstream whose entry does not say it leaves."""
        await self.say(LEAVING, "i-1")
        self.assertEqual(await self.chosen(), {"i-2"})
        # Its entry is removed, and another gateway's late news returns it.
        upstreams = [builders.usable_upstream(f"i-{number}") for number in (1, 2)]
        self.router.apply_upstreams(upstreams[1:])
        self.router.apply_upstreams(upstreams)
        self.assertEqual(await self.chosen(), {"i-2"})

    async def test_next_run_of_a_leaving_upstream_gets_calls(self):
        """Guards against a notice that outlives the process that gave it."""
        await self.say(LEAVING, "i-1")
        self.router.apply_upstreams(
            [
                builders.usable_upstream("i-1", started_ms=9),
                builders.usable_upstream("i-2"),
            ]
        )
        self.assertEqual(await self.chosen(), {"i-1", "i-2"})

    async def test_leaving_upstream_is_told_to_peers_once(self):
        """Guards against gateways that send calls until they get an answer themselves.

        What came from a peer is not told again, and a hold-off is told to nobody.
        """
        self.assertEqual(self.router.take_leaving_upstreams(), ())
        await self.say(HOLD_OFF, "i-2")
        await self.say(LEAVING, "i-1")
        await self.say(LEAVING, "i-1")
        (run,) = self.router.take_leaving_upstreams()
        self.assertEqual(run, builders.upstream_run("i-1"))
        self.assertEqual(self.router.take_leaving_upstreams(), ())
        peer = builders.router(self.clock, "i-1", "i-2")
        peer.record_leaving_at_peer(run)
        self.assertEqual(await self.chosen(router=peer), {"i-2"})
        self.assertEqual(peer.take_leaving_upstreams(), ())

    async def test_leaving_upstream_that_a_peer_has_told(self):
        """Guards against as many updates as gateways when an upstream leaves."""
        await self.say(LEAVING, "i-1")
        self.router.record_leaving_at_peer(builders.upstream_run("i-1"))
        self.assertEqual(self.router.take_leaving_upstreams(), ())
        self.assertEqual(await self.chosen(), {"i-2"})

    async def test_run_that_leaves_before_the_directory_lists_it(self):
        """Guards against a late directory that returns an upstream that has left."""
        self.router.record_leaving_at_peer(builders.upstream_run("i-3"))
        self.router.record_leaving_at_peer(builders.upstream_run("i-1", started_ms=9))
        upstreams = [builders.usable_upstream(f"i-{number}") for number in (1, 2, 3)]
        self.router.apply_upstreams(upstreams)
        self.assertEqual(await self.chosen(), {"i-1", "i-2"})
        upstreams[0] = builders.usable_upstream("i-1", started_ms=9)
        self.router.apply_upstreams(upstreams)
        self.assertEqual(await self.chosen(), {"i-2"})

    async def test_last_upstreams_that_leave(self):
        """Guards against refusals while the last upstreams still serve, and after."""
        await self.say(LEAVING, "i-1", "i-2")
        self.assertEqual(await self.chosen(), {"i-1", "i-2"})
        self.clock.now += LAST_RESORT_S
        with self.assertRaises(NoUpstreamError):
            await self.acquire()
        self.assertEqual(self.router.probe_targets(), ())

    async def test_upstream_that_holds_calls_off(self):
        """Guards against calls that an upstream has asked not to get."""
        await self.say(HOLD_OFF, "i-1")
        self.assertEqual(await self.chosen(), {"i-2"})
        targets = {target.address for target in self.router.probe_targets()}
        self.assertEqual(len(targets), 1)
        self.clock.now += HOLD_OFF_S * (1 + RETURN_SPREAD)
        self.assertEqual((await self.acquire_at("i-1")).upstream.id, "i-1")

    async def test_return_after_a_hold_off(self):
        """Guards against all waiting calls at once to an upstream that returns."""
        await self.say(HOLD_OFF, "i-1")
        self.clock.now += HOLD_OFF_S * (1 + RETURN_SPREAD)
        trial = await self.acquire_at("i-1")
        self.assertEqual(await self.chosen(), {"i-2"})
        self.router.release(trial, ANSWERED)
        slots = [await self.acquire_at("i-1") for _ in range(2)]
        self.assertEqual({slot.upstream.id for slot in slots}, {"i-1"})

    async def test_refused_trial_extends_the_hold_off(self):
        """Guards against a hold-off that ends although it was stated again."""
        await self.say(HOLD_OFF, "i-1")
        self.clock.now += HOLD_OFF_S * (1 + RETURN_SPREAD)
        trial = await self.acquire_at("i-1")
        self.router.record_notice(trial, HOLD_OFF)
        self.router.release(trial, REFUSED)
        self.clock.now += HOLD_OFF_S / 2
        self.assertEqual(await self.chosen(), {"i-2"})

    async def test_all_upstreams_hold_calls_off(self):
        """Guards against tries that cannot succeed, and a delay past the deadline."""
        await self.say(HOLD_OFF, "i-1", "i-2")
        with self.assertRaises(HeldOffError) as raised:
            await self.acquire(deadline=self.clock.now + 9.0)
        self.assertGreaterEqual(raised.exception.retry_after, HOLD_OFF_S)
        with self.assertRaises(HeldOffError) as raised:
            await self.acquire(deadline=self.clock.now + 0.5)
        self.assertAlmostEqual(raised.exception.retry_after, 0.5)
        response = problem_response(raised.exception)
        self.assertEqual(response.status, 503)
        self.assertGreaterEqual(float(response.headers["Retry-After"]), 0.5)

    async def test_waiting_calls_are_rejected_when_all_hold_off(self):
        """Guards against calls that wait for upstreams until their deadline."""
        slots = [await self.acquire() for _ in range(4)]
        waiting = asyncio.ensure_future(self.acquire())
        await asyncio.sleep(0)
        for slot in slots:
            self.router.record_notice(slot, HOLD_OFF)
        await asyncio.sleep(0)
        with self.assertRaises(HeldOffError):
            await waiting

    async def test_log_names_what_was_left_out(self):
        """Guards against logs that hide why an upstream got no calls."""
        self.assertNotIn("without", (await self.acquire()).describe_choice())
        ids = [f"i-{number}" for number in range(1, 8)]
        self.router = builders.router(self.clock, *ids)
        await self.say(LEAVING, "i-1")
        await self.say(HOLD_OFF, "i-2")
        text = (await self.acquire_at("i-3")).describe_choice()
        self.assertIn("without i-1 leaving by answer, i-2 held off for 2.", text)
        await self.say(LEAVING, "i-4", "i-5", "i-6")
        text = (await self.acquire_at("i-3")).describe_choice()
        self.assertTrue(text.endswith("i-4 leaving by answer and 2 more"), text)

    async def test_long_hold_off_is_bounded(self):
        """Guards against an upstream that is never used again."""
        await self.say(LoadReport(hold_off=1e8), "i-1")
        max_hold_off = self.router._context.max_hold_off
        self.clock.now += max_hold_off * (1 + RETURN_SPREAD)
        self.assertEqual((await self.acquire_at("i-1")).upstream.id, "i-1")


class HubNoticesTest(unittest.IsolatedAsyncioTestCase):
    async def test_hub_does_not_place_calls_where_a_gateway_is_unwanted(self):
        """Guards against a hub that sends a gateway's calls where it is held off."""
        for report in (LEAVING, HOLD_OFF):
            with self.subTest(report=report):
                fleet = PlacementFleet(2, 2)
                gateway = fleet.gateways["g0"]
                slot = await gateway.acquire(fleet.call())
                gateway.record_notice(slot, report)
                gateway.release(slot, REFUSED)
                for _ in range(20):
                    placed = await gateway.acquire(fleet.call())
                    self.assertNotEqual(placed.upstream.id, slot.upstream.id)
                    gateway.release(placed, CANCELLED)
                # The refusal closes the upstream for a moment to all gateways.
                await asyncio.sleep(SHED_BACKOFF_INITIAL_S + 0.01)
                others = [
                    await fleet.gateways["g1"].acquire(fleet.call()) for _ in range(4)
                ]
                self.assertIn(slot.upstream.id, {other.upstream.id for other in others})


class NoticeBoardTest(unittest.TestCase):
    def test_earliest_notices_are_forgotten(self):
        """Guards against memory that grows with each upstream that ever left."""
        board = NoticeBoard()
        runs = [builders.upstream_run(f"i-{n}") for n in range(MAX_NOTICES + 1)]
        for run in runs:
            notice = board.notice_of(run)
            notice.record_leaving(1.0)
            board.keep(run, notice)
        self.assertIsNone(board.notice_of(runs[0]).leaving_since)
        self.assertEqual(board.notice_of(runs[-1]).leaving_since, 1.0)
