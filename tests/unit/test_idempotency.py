"""Check that keyed calls run at most once."""

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
from dogwoodshed._internal.idempotency.answers import REPLAYED, read_whole
from dogwoodshed._internal.idempotency.holders import HolderView, holder_set_digest
from dogwoodshed._internal.idempotency.records import (
    MAX_ANSWER_BYTES,
    ClaimId,
    Record,
    RecordTable,
    State,
)
from dogwoodshed._internal.mesh.messages import KeyRecordsRequest
from dogwoodshed._internal.proxy.forwarder import Answer
from dogwoodshed._internal.routing.base import OutcomeStatus
from tests.lib.key_fleet import READ, KeyFleet
from tests.lib.virtual_loop import VirtualTimeLoop, run_in_virtual_time


def with_fleet(count):
    """Run a test's coroutine with a settled fleet on a virtual clock."""

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
    async def check_all(self, fleet, told, runs=1, **options):
        """Repeat key k through every gateway."""
        for gateway in fleet.listed:
            self.assertIsInstance(await fleet.call(gateway, "k", **options), told)
        self.assertEqual(fleet.runs["k"], runs)


class RepeatTest(_KeyTest):
    """Calls that repeat a key."""

    @with_fleet(5)
    async def test_later_repeat(self, fleet):
        """A repeat through another gateway that runs again, or loses the answer."""
        first = await fleet.call("g0", "k")
        repeat = await fleet.call("g1", "k")
        self.assertEqual((repeat.status, repeat.body), (first.status, first.body))
        self.assertEqual((repeat.headers["X-Order"], fleet.runs), ("7", {"k": 1}))
        self.assertEqual(repeat.headers[REPLAYED], "true")
        self.assertNotIn(REPLAYED, first.headers)

    @with_fleet(5)
    async def test_concurrent_repeats(self, fleet):
        """Repeats at the same moment that run twice or do not get the one answer."""
        answers = await asyncio.gather(
            *(fleet.call(f"g{n % 5}", "k", limit=5.0) for n in range(10))
        )
        self.assertEqual({answer.body for answer in answers}, {b"k/1"})
        self.assertEqual(fleet.runs, {"k": 1})

    @with_fleet(1)
    async def test_fleet_of_one(self, fleet):
        """A single gateway that waits for others, or runs a repeat."""
        await fleet.call("g0", "k")
        repeat = await fleet.call("g0", "k")
        self.assertEqual((repeat.body, fleet.runs), (b"k/1", {"k": 1}))

    @with_fleet(3)
    async def test_conflict(self, fleet):
        """The answer to one request handed out for a different one."""
        await fleet.call("g0", "k", body=b"one")
        await self.check_all(fleet, IdempotencyKeyReusedError, body=b"two")

    @with_fleet(3)
    async def test_scope(self, fleet):
        """A key shared by named callers, or lost when a network address changes."""
        await self.check_all(fleet, Answer)
        for caller in ("van", "desk", "van"):
            await fleet.call("g0", "k", caller=caller)
        self.assertEqual(fleet.runs, {"k": 3})

    @with_fleet(3)
    async def test_release(self, fleet):
        """A key that stays taken by a call that did not run."""
        fleet.unreachable_share = 1.0
        self.assertIsInstance(await fleet.call("g0", "k"), NotRunError)
        fleet.unreachable_share = 0.0
        self.assertIsInstance(await fleet.call("g1", "k"), Answer)

    @with_fleet(3)
    async def test_idempotent_calls_make_no_claim(self, fleet):
        """Calls that may run twice pay for claims."""
        sent = fleet.gateways["g0"].sent
        await fleet.call("g0", "k", kind=READ)
        await fleet.call("g0", "k", kind=READ)
        self.assertEqual((fleet.gateways["g0"].sent, fleet.runs["k"]), (sent, 2))

    @with_fleet(3)
    async def test_cut_call(self, fleet):
        """A repeat of a call of unknown outcome that runs it again."""
        fleet.cut_share = 1.0
        self.assertIsInstance(await fleet.call("g0", "k"), OutcomeUnknownError)
        await self.check_all(fleet, FirstCallOutcomeUnknownError)


class FailureTest(_KeyTest):
    """Gateways that stop, restart or lose sight of each other."""

    @with_fleet(5)
    async def test_dispatcher_killed(self, fleet):
        """A repeat that runs again because the first dispatcher died."""
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
        """A side without a majority that runs calls, or says that they may have run."""
        fleet.side = {"g0", "g1"}
        for number in range(20):
            await asyncio.gather(
                fleet.call("g0", f"k{number}"), fleet.call("g4", f"k{number}")
            )
        self.assertEqual(set(fleet.runs.values()), {1})
        self.assertEqual(len(fleet.runs), 20)
        fleet.side = {"g0"}
        errors = [await fleet.call("g0", f"m{number}") for number in range(20)]
        self.assertEqual(
            {type(error) for error in errors}, {IdempotencyKeyUnavailableError}
        )

    @with_fleet(2)
    async def test_two_listed_need_both(self, fleet):
        """Either half of a split pair runs a call."""
        fleet.side = {"g0"}
        await self.check_all(fleet, IdempotencyKeyUnavailableError, runs=0)

    @with_fleet(3)
    async def test_restarted_holder_without_peers(self, fleet):
        """A holder without memory votes before it has asked or waited."""
        await fleet.call("g0", "k")
        await asyncio.sleep(0.1)
        fleet.kill("g2")
        fleet.side = {"g1"}
        fleet.start("g0", incarnation=2)
        fleet.start("g2", incarnation=2)
        await asyncio.sleep(300.0)
        # g0 and g2 see each other and forgot the key; only g1 knows it.
        self.assertIsInstance(
            await fleet.call("g2", "k"), IdempotencyKeyUnavailableError
        )
        fleet.side = set()
        await asyncio.sleep(5.0)
        self.assertEqual((await fleet.call("g2", "k")).body, b"k/1")
        self.assertEqual(fleet.runs, {"k": 1})

    @with_fleet(5)
    async def test_new_holder_learns(self, fleet):
        """A change of the list that moves keys to holders that know nothing."""
        keys = [f"k{number}" for number in range(30)]
        await asyncio.gather(*(fleet.call("g0", key, limit=5.0) for key in keys))
        await asyncio.sleep(0.1)
        fleet.kill("g0")
        fleet.kill("g1")
        fleet.list_only("g2", "g3", "g4")
        await asyncio.sleep(1.0)
        for key in keys:
            answer = await fleet.call("g3", key)
            self.assertEqual((answer.body, answer.headers[REPLAYED]), _first(key))
        self.assertEqual(set(fleet.runs.values()), {1})

    @with_fleet(3)
    async def test_planned_stop_hands_over(self, fleet):
        """Answers that are lost with the gateways that stop one after the other."""
        await fleet.call("g0", "k")
        for number in (0, 1):
            leaving = fleet.gateways[f"g{number}"].keys
            leaving.stop_voting()
            fleet.list_only(*fleet.listed[1:])
            await asyncio.sleep(0.01)
            await leaving.hand_over_records()
            fleet.kill(f"g{number}")
        await asyncio.sleep(1.0)
        answer = await fleet.call("g2", "k")
        self.assertEqual((answer.body, answer.headers[REPLAYED]), _first("k"))


class InterleavingTest(unittest.TestCase):
    """Random repeats, partitions, restarts and changes of the list."""

    def test_seeds(self):
        """Any order of events in which a key runs twice."""
        answered = 0
        for seed in range(60):
            with self.subTest(seed=seed):
                runs, count = run_in_virtual_time(
                    lambda loop, s=seed: self._run(loop, s)
                )
                self.assertLessEqual(max(runs.values(), default=0), 1, runs)
                answered += count
        # The test would say nothing if most calls were refused.
        self.assertGreater(answered, 60 * 20)

    async def _run(self, loop, seed):
        fleet = KeyFleet(loop, 5, seed)
        fleet.unreachable_share = fleet.cut_share = 0.1
        source = fleet.random
        await asyncio.sleep(1.0)
        calls = []
        trouble = loop.create_task(self._make_trouble(fleet))
        for _ in range(120):
            gateway = source.choice(sorted(fleet.gateways))
            key = f"k{source.randrange(30)}"
            calls.append(loop.create_task(fleet.call(gateway, key)))
            await asyncio.sleep(source.expovariate(20.0))
        results = await asyncio.gather(*calls)
        trouble.cancel()
        return fleet.runs, sum(isinstance(r, Answer) for r in results)

    async def _make_trouble(self, fleet):
        """Cut links at any time, but take one memory away at a time.

        A record outlives the loss of one memory, and the next once it was copied; more
        is named as what remains.
        """
        source, everyone = fleet.random, fleet.listed
        incarnation = 1
        while True:
            await asyncio.sleep(source.uniform(0.1, 1.0))
            event = source.choice(("cut", "restart", "list", "mend", "mend"))
            if event == "mend":
                fleet.side = set()
            elif event == "cut":
                fleet.side = set(source.sample(everyone, source.randrange(1, 4)))
            elif not fleet.synchronized:
                continue
            elif event == "restart":
                incarnation += 1
                fleet.start(source.choice(everyone), incarnation)
            else:
                listed = source.sample(everyone, source.choice((4, 5)))
                fleet.list_only(*sorted(listed), spread=0.5)
                await asyncio.sleep(0.5)


class HolderViewTest(unittest.TestCase):
    """When a gateway may vote while the list of gateways changes."""

    OLD, NEW = ("a", "b", "c", "d"), ("b", "c", "d", "e")

    def setUp(self):
        clock = VirtualTimeLoop()
        self.addCleanup(clock.close)
        self.view = HolderView("b", self.OLD, clock, forgotten_for=1200.0)

    def votes(self):
        digests = {
            key: holder_set_digest(self.view.holders(key))
            for key in (str(number).encode() for number in range(200))
        }
        return {key for key in digests if self.view.may_vote(key, digests[key])}

    def test_changed_holders_wait(self):
        """A vote before the old holders of a key were asked."""
        self.assertEqual(self.votes(), set())
        self.view.confirm(self.view.generation)
        before = self.votes()
        self.view.apply(self.NEW)
        unsettled = self.votes()
        self.assertTrue(set() < unsettled < before)
        self.view.confirm(self.view.generation - 1)
        self.assertEqual(self.votes(), unsettled)
        self.view.confirm(self.view.generation)
        self.assertTrue(self.votes() > unsettled)

    def test_list_that_changes_back(self):
        """A vote by the old list when others may have voted by the new one."""
        self.view.confirm(self.view.generation)
        before = self.votes()
        self.view.apply(self.NEW)
        self.view.apply(self.OLD)
        self.assertLess(self.votes(), before)

    def test_dispatcher_with_another_list(self):
        """A vote for a claim that counts votes of other holders."""
        self.view.confirm(self.view.generation)
        key = self.votes().pop()
        self.assertFalse(self.view.may_vote(key, holder_set_digest(("a", "b"))))

    @with_fleet(3)
    async def test_records_for_the_same_list_only(self, fleet):
        """A gateway counted as asked while it still votes by an older list."""
        mesh = fleet.gateways["g0"]
        for listed, complete in ((fleet.listed, True), (("g0", "g1"), False)):
            view = HolderView("g0", listed, fleet.loop, 0.0)
            reply = await mesh.request("g1", KeyRecordsRequest(view.digest), 1.0)
            self.assertEqual(reply.complete, complete)


class _Response:
    """A streaming response of a few parts."""

    def __init__(self, *parts):
        self._parts, self.content, self.closed = iter(parts), self, False

    async def iter_any(self):
        for part in self._parts:
            if isinstance(part, Exception):
                raise part
            yield part

    def close(self):
        self.closed = True


class ReadWholeTest(unittest.TestCase):
    """Streaming answers of keyed calls."""

    def read(self, *parts):
        self.ends = ends = []

        class _Answer(Answer):
            async def finish(self, status):
                ends.append(status)

        async def read(loop):
            answer = _Answer(_Response(*parts), 200, CIMultiDict(), None)
            answer = await read_whole(answer)
            if answer.response is None:
                return answer.body
            return [part async for part in answer.response.content.iter_any()]

        return run_in_virtual_time(read)

    def test_short_answer(self):
        """A short stream that is not stored, or whose slot stays taken."""
        self.assertEqual(self.read(b"a", b"b"), b"ab")
        self.assertEqual(self.ends, [OutcomeStatus.ANSWERED])

    def test_long_answer(self):
        """A long stream that loses its first bytes, or whose slot is free too soon."""
        parts = [b"a" * MAX_ANSWER_BYTES, b"b", b"c"]
        self.assertEqual(b"".join(self.read(*parts)), b"".join(parts))
        self.assertEqual(self.ends, [])

    def test_cut_answer(self):
        """A cut stream that is stored and replayed as if it were whole."""
        with self.assertRaises(UpstreamDisconnectedError):
            self.read(b"a", aiohttp.ClientPayloadError())
        self.assertEqual(self.ends, [OutcomeStatus.FAILED])


class RecordTableTest(unittest.TestCase):
    """The bounds of the table."""

    def setUp(self):
        self.clock = VirtualTimeLoop()
        self.addCleanup(self.clock.close)
        self.table = RecordTable(self.clock, max_records=3, max_total_response_bytes=10)

    def put(self, key, answer=b"", state=State.ANSWERED):
        return self.table.put(key, Record(state, ClaimId("g", 1, 1), b"f", answer))

    def test_full_table_keeps_its_records(self):
        """A flood of keys pushes out a key that may still be repeated."""
        self.assertTrue(all(self.put(key) for key in (b"a", b"b", b"c")))
        self.assertFalse(self.put(b"d"))
        self.assertIsNotNone(self.table.get(b"a"))
        self.clock._virtual_selector.now += 600.0
        self.assertTrue(self.put(b"d"))
        self.assertIsNone(self.table.get(b"a"))

    def test_answers_make_room(self):
        """Answers that exceed the byte bound, or take their record with them."""
        self.put(b"a", b"1" * 6)
        self.put(b"b", b"2" * 6)
        self.assertEqual(self.table.get(b"a").answer, b"")
        self.assertEqual((self.table.response_bytes, len(self.table)), (6, 2))

    def test_pending_outlives_the_longest_call(self):
        """A record that expires while its call still runs."""
        self.put(b"a", state=State.PENDING)
        self.clock._virtual_selector.now += 640.0
        self.assertIsNotNone(self.table.get(b"a"))


def _first(key):
    return f"{key}/1".encode(), "true"
