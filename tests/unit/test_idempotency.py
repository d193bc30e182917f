"""Test that calls with an idempotency key run at most once."""

import asyncio
import unittest

import aiohttp
from multidict import CIMultiDict

from dogwoodshed._internal.exceptions import (
    FirstCallOutcomeUnknownError,
    IdempotencyKeyReusedError,
    IdempotencyKeyUnavailableError,
    NotRunError,
    OutcomeUnknownError,
    UpstreamDisconnectedError,
)
from dogwoodshed._internal.idempotency.holders import HolderView, holder_set_digest
from dogwoodshed._internal.idempotency.records import (
    MAX_RESPONSE_BYTES,
    ClaimId,
    Record,
    RecordTable,
    State,
)
from dogwoodshed._internal.idempotency.stored_responses import (
    REPLAYED_HEADER,
    buffer_response,
)
from dogwoodshed._internal.mesh.messages import (
    KeyRecordsRequest,
)
from dogwoodshed._internal.proxy.forwarder import UpstreamResponse
from dogwoodshed._internal.routing.base import OutcomeStatus
from tests.lib.key_fleet import READ, KeyFleet
from tests.lib.virtual_loop import VirtualTimeLoop, run_in_virtual_time


def with_fleet(count):
    """Run a test coroutine with a synchronized fleet in virtual time."""

    def decorate(test):
        def run(self):
            async def scenario(loop):
                fleet = KeyFleet(loop, count)
                await asyncio.sleep(1.0)
                await test(self, fleet)

            run_in_virtual_time(scenario)

        run.__doc__ = test.__doc__
        return run

    return decorate


class _KeyTest(unittest.TestCase):
    async def check_all(self, fleet, result_type, runs=1, **options):
        """Repeat key k through every gateway and check the results and the runs."""
        for gateway in fleet.listed:
            self.assertIsInstance(
                await fleet.call(gateway, "k", **options), result_type
            )
        self.assertEqual(fleet.runs["k"], runs)


class RepeatTest(_KeyTest):
    """Calls that repeat an idempotency key."""

    @with_fleet(5)
    async def test_later_repeat(self, fleet):
        """Guards against a repeat that runs again or gets another response."""
        first = await fleet.call("g0", "k")
        repeat = await fleet.call("g1", "k")
        self.assertEqual((repeat.status, repeat.body), (first.status, first.body))
        self.assertEqual((repeat.headers["X-Order"], fleet.runs), ("7", {"k": 1}))
        self.assertEqual(repeat.headers[REPLAYED_HEADER], "true")
        self.assertNotIn(REPLAYED_HEADER, first.headers)

    @with_fleet(5)
    async def test_concurrent_repeats(self, fleet):
        """Guards against simultaneous repeats that run twice or differ in response."""
        responses = await asyncio.gather(
            *(fleet.call(f"g{n % 5}", "k", limit=5.0) for n in range(10))
        )
        self.assertEqual({response.body for response in responses}, {b"k/1"})
        self.assertEqual(fleet.runs, {"k": 1})

    @with_fleet(1)
    async def test_fleet_of_one(self, fleet):
        """Guards against a single gateway that waits for others or runs a repeat."""
        await fleet.call("g0", "k")
        repeat = await fleet.call("g0", "k")
        self.assertEqual((repeat.body, fleet.runs), (b"k/1", {"k": 1}))

    @with_fleet(3)
    async def test_reused_key_conflicts(self, fleet):
        """Guards against returning the response to a different request."""
        await fleet.call("g0", "k", body=b"one")
        await self.check_all(fleet, IdempotencyKeyReusedError, body=b"two")

    @with_fleet(3)
    async def test_key_scope(self, fleet):
        """Guards against keys shared by callers or lost when an address changes."""
        await self.check_all(fleet, UpstreamResponse)
        for caller in ("van", "desk", "van"):
            await fleet.call("g0", "k", caller=caller)
        self.assertEqual(fleet.runs, {"k": 3})

    @with_fleet(3)
    async def test_key_is_released_if_the_call_did_not_run(self, fleet):
        """Guards against a key that stays claimed by a call that did not run."""
        fleet.unreachable_share = 1.0
        self.assertIsInstance(await fleet.call("g0", "k"), NotRunError)
        fleet.unreachable_share = 0.0
        self.assertIsInstance(await fleet.call("g1", "k"), UpstreamResponse)

    @with_fleet(3)
    async def test_idempotent_calls_make_no_claim(self, fleet):
        """Guards against the cost of claims for calls that may run more than once."""
        sent_before = fleet.gateways["g0"].sent_messages
        await fleet.call("g0", "k", kind=READ)
        await fleet.call("g0", "k", kind=READ)
        self.assertEqual(
            (fleet.gateways["g0"].sent_messages, fleet.runs["k"]), (sent_before, 2)
        )

    @with_fleet(3)
    async def test_call_with_unknown_outcome(self, fleet):
        """Guards against a repeat that runs a call of unknown outcome again."""
        fleet.lost_response_share = 1.0
        self.assertIsInstance(await fleet.call("g0", "k"), OutcomeUnknownError)
        await self.check_all(fleet, FirstCallOutcomeUnknownError)


class FailureTest(_KeyTest):
    """Gateways that stop, restart or are partitioned."""

    @with_fleet(5)
    async def test_dispatcher_killed(self, fleet):
        """Guards against a repeat that runs again after its dispatcher was killed."""
        fleet.loop.create_task(fleet.call("g0", "k"))
        while not fleet.runs:
            await asyncio.sleep(0.01)
        fleet.kill("g0")
        error = await fleet.call("g1", "k", limit=5.0)
        self.assertIsInstance(error, FirstCallOutcomeUnknownError)
        fleet.start("g0", incarnation=2)
        await asyncio.sleep(5.0)
        await self.check_all(fleet, FirstCallOutcomeUnknownError)

    @with_fleet(5)
    async def test_partition(self, fleet):
        """Guards against a minority that runs calls or reports unknown outcomes."""
        fleet.cut_off = {"g0", "g1"}
        for number in range(20):
            await asyncio.gather(
                fleet.call("g0", f"k{number}"), fleet.call("g4", f"k{number}")
            )
        self.assertEqual(set(fleet.runs.values()), {1})
        self.assertEqual(len(fleet.runs), 20)
        fleet.cut_off = {"g0"}
        errors = [await fleet.call("g0", f"m{number}") for number in range(20)]
        self.assertEqual(
            {type(error) for error in errors}, {IdempotencyKeyUnavailableError}
        )

    @with_fleet(2)
    async def test_two_listed_need_both(self, fleet):
        """Guards against a call that runs in one half of a partitioned pair."""
        fleet.cut_off = {"g0"}
        await self.check_all(fleet, IdempotencyKeyUnavailableError, runs=0)

    @with_fleet(3)
    async def test_restarted_holder_without_peers(self, fleet):
        """Guards against a restarted holder that votes before it has the records."""
        await fleet.call("g0", "k")
        await asyncio.sleep(0.1)
        fleet.kill("g2")
        fleet.cut_off = {"g1"}
        fleet.start("g0", incarnation=2)
        fleet.start("g2", incarnation=2)
        await asyncio.sleep(300.0)
        # g0 and g2 are connected but lost the key's record; only g1 has it.
        self.assertIsInstance(
            await fleet.call("g2", "k"), IdempotencyKeyUnavailableError
        )
        fleet.cut_off = set()
        await asyncio.sleep(5.0)
        self.assertEqual((await fleet.call("g2", "k")).body, b"k/1")
        self.assertEqual(fleet.runs, {"k": 1})

    @with_fleet(5)
    async def test_new_holder_fetches_records(self, fleet):
        """Guards against new holders of a key that vote without its record."""
        keys = [f"k{number}" for number in range(30)]
        await asyncio.gather(*(fleet.call("g0", key, limit=5.0) for key in keys))
        await asyncio.sleep(0.1)
        fleet.kill("g0")
        fleet.kill("g1")
        fleet.set_listed("g2", "g3", "g4")
        await asyncio.sleep(1.0)
        for key in keys:
            response = await fleet.call("g3", key)
            self.assertEqual(
                (response.body, response.headers[REPLAYED_HEADER]),
                _expected_replay(key),
            )
        self.assertEqual(set(fleet.runs.values()), {1})

    @with_fleet(3)
    async def test_planned_stop_hands_over(self, fleet):
        """Guards against responses that are lost when gateways stop one by one."""
        await fleet.call("g0", "k")
        for number in (0, 1):
            leaving = fleet.gateways[f"g{number}"].keys
            leaving.stop_voting()
            fleet.set_listed(*fleet.listed[1:])
            await asyncio.sleep(0.01)
            await leaving.hand_over_records()
            fleet.kill(f"g{number}")
        await asyncio.sleep(1.0)
        response = await fleet.call("g2", "k")
        self.assertEqual(
            (response.body, response.headers[REPLAYED_HEADER]), _expected_replay("k")
        )


class InterleavingTest(unittest.TestCase):
    """Random repeats, partitions, restarts and changes of the gateway list."""

    def test_seeds(self):
        """Guards against any order of events in which the call of a key runs twice."""
        answered = 0
        for seed in range(60):
            with self.subTest(seed=seed):
                runs, count = run_in_virtual_time(
                    lambda loop, s=seed: self._run(loop, s)
                )
                self.assertLessEqual(max(runs.values(), default=0), 1, runs)
                answered += count
        # The test would prove nothing if most calls were refused.
        self.assertGreater(answered, 60 * 20)

    async def _run(self, loop, seed):
        fleet = KeyFleet(loop, 5, seed)
        fleet.unreachable_share = fleet.lost_response_share = 0.1
        rng = fleet.random
        await asyncio.sleep(1.0)
        calls = []
        faults = loop.create_task(self._inject_faults(fleet))
        for _ in range(120):
            gateway = rng.choice(sorted(fleet.gateways))
            key = f"k{rng.randrange(30)}"
            calls.append(loop.create_task(fleet.call(gateway, key)))
            await asyncio.sleep(rng.expovariate(20.0))
        results = await asyncio.gather(*calls)
        faults.cancel()
        return fleet.runs, sum(isinstance(r, UpstreamResponse) for r in results)

    async def _inject_faults(self, fleet):
        """Cut links at any time, but restart only one gateway at a time.

        A record survives the loss of one gateway's memory, and the next loss after it
        has been copied. More losses are a documented remaining risk.
        """
        rng, all_gateways = fleet.random, fleet.listed
        incarnation = 1
        while True:
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            event = rng.choice(("cut", "restart", "list", "mend", "mend"))
            if event == "mend":
                fleet.cut_off = set()
            elif event == "cut":
                fleet.cut_off = set(rng.sample(all_gateways, rng.randrange(1, 4)))
            elif not fleet.synchronized:
                continue
            elif event == "restart":
                incarnation += 1
                fleet.start(rng.choice(all_gateways), incarnation)
            else:
                listed = rng.sample(all_gateways, rng.choice((4, 5)))
                fleet.set_listed(*sorted(listed), spread=0.5)
                await asyncio.sleep(0.5)


class HolderViewTest(unittest.TestCase):
    """Votes of a gateway while the list of gateways changes."""

    OLD, NEW = ("a", "b", "c", "d"), ("b", "c", "d", "e")

    def setUp(self):
        clock = VirtualTimeLoop()
        self.addCleanup(clock.close)
        self.view = HolderView("b", self.OLD, clock, max_record_lifetime=1200.0)

    def votes(self):
        digests = {
            key: holder_set_digest(self.view.holders(key))
            for key in (str(number).encode() for number in range(200))
        }
        return {key for key in digests if self.view.may_vote(key, digests[key])}

    def test_changed_holders_wait(self):
        """Guards against a vote before the old holders have sent their records."""
        self.assertEqual(self.votes(), set())
        self.view.mark_synchronized(self.view.generation)
        before = self.votes()
        self.view.apply_members(self.NEW)
        unsynchronized = self.votes()
        self.assertTrue(set() < unsynchronized < before)
        self.view.mark_synchronized(self.view.generation - 1)
        self.assertEqual(self.votes(), unsynchronized)
        self.view.mark_synchronized(self.view.generation)
        self.assertTrue(self.votes() > unsynchronized)

    def test_list_that_changes_back(self):
        """Guards against a vote by the old list after others used the new one."""
        self.view.mark_synchronized(self.view.generation)
        before = self.votes()
        self.view.apply_members(self.NEW)
        self.view.apply_members(self.OLD)
        self.assertLess(self.votes(), before)

    def test_dispatcher_with_another_list(self):
        """Guards against a vote for a claim that counts votes of other holders."""
        self.view.mark_synchronized(self.view.generation)
        key = self.votes().pop()
        self.assertFalse(self.view.may_vote(key, holder_set_digest(("a", "b"))))

    @with_fleet(3)
    async def test_records_are_complete_for_the_same_list_only(self, fleet):
        """Guards against counting records of a gateway that uses an older list."""
        mesh = fleet.gateways["g0"]
        for listed, complete in ((fleet.listed, True), (("g0", "g1"), False)):
            view = HolderView("g0", listed, fleet.loop, 0.0)
            reply = await mesh.request("g1", KeyRecordsRequest(view.digest), 1.0)
            self.assertEqual(reply.complete, complete)


class _Response:
    """Streaming response of a few parts."""

    def __init__(self, *parts):
        self._parts, self.content, self.closed = iter(parts), self, False

    async def iter_any(self):
        for part in self._parts:
            if isinstance(part, Exception):
                raise part
            yield part

    def close(self):
        self.closed = True


class BufferResponseTest(unittest.TestCase):
    """Streaming responses to calls with a key."""

    def read(self, *parts):
        self.outcomes = outcomes = []

        class _RecordingResponse(UpstreamResponse):
            async def finish(self, status):
                outcomes.append(status)

        async def read(loop):
            response = _RecordingResponse(_Response(*parts), 200, CIMultiDict(), None)
            response = await buffer_response(response)
            if response.client_response is None:
                return response.body
            rest = [part async for part in response.client_response.content.iter_any()]
            return [response.prefix, *rest]

        return run_in_virtual_time(read)

    def test_short_response(self):
        """Guards against a short stream that is not stored or keeps its slot."""
        self.assertEqual(self.read(b"a", b"b"), b"ab")
        self.assertEqual(self.outcomes, [OutcomeStatus.ANSWERED])

    def test_long_response(self):
        """Guards against a long stream that loses its start or frees its slot early."""
        parts = [b"a" * MAX_RESPONSE_BYTES, b"b", b"c"]
        self.assertEqual(b"".join(self.read(*parts)), b"".join(parts))
        self.assertEqual(self.outcomes, [])

    def test_truncated_response(self):
        """Guards against a truncated stream that is stored as if it were complete."""
        with self.assertRaises(UpstreamDisconnectedError):
            self.read(b"a", aiohttp.ClientPayloadError())
        self.assertEqual(self.outcomes, [OutcomeStatus.FAILED])


class RecordTableTest(unittest.TestCase):
    """Limits of the record table."""

    def setUp(self):
        self.clock = VirtualTimeLoop()
        self.addCleanup(self.clock.close)
        self.table = RecordTable(self.clock, max_records=3, max_total_response_bytes=10)

    def put(self, key, response=b"", state=State.ANSWERED):
        return self.table.put(key, Record(state, ClaimId("g", 1, 1), b"f", response))

    def test_full_table_keeps_its_records(self):
        """Guards against new keys that evict a key that may still be repeated."""
        self.assertTrue(all(self.put(key) for key in (b"a", b"b", b"c")))
        self.assertFalse(self.put(b"d"))
        self.assertIsNotNone(self.table.get(b"a"))
        self.clock._virtual_selector.now += 600.0
        self.assertTrue(self.put(b"d"))
        self.assertIsNone(self.table.get(b"a"))

    def test_oldest_responses_are_dropped(self):
        """Guards against keeping too many bytes, and against dropping records."""
        self.put(b"a", b"1" * 6)
        self.put(b"b", b"2" * 6)
        self.assertEqual(self.table.get(b"a").response, b"")
        self.assertEqual((self.table.response_bytes, len(self.table)), (6, 2))

    def test_pending_outlives_the_longest_call(self):
        """Guards against a record that expires while its call is still running."""
        self.put(b"a", state=State.PENDING)
        self.clock._virtual_selector.now += 640.0
        self.assertIsNotNone(self.table.get(b"a"))


def _expected_replay(key):
    return f"{key}/1".encode(), "true"
