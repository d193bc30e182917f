"""Test gateway processes while the store comes back from an earlier copy."""

import asyncio
import itertools
import signal
import time
import unittest

from tests.lib.deployment import CONFIGURATION_KEY, ROUTES, Deployment, route

TIMEOUT_S = 60.0
GATEWAYS = 4
# One gateway of each zone reads the store; the others get its data from these.
ZONES = 2
ALL = frozenset(range(GATEWAYS))
# The users require that a change is in effect within 2 s after the store has returned
# it; the rest is for the jitter of the loopback interface.
BOUND_S = 2.5
# A gateway that missed the restore has to notice first that it is behind.
CATCH_UP_S = 5.0
# An entry that is missing for about 2 s after the return of the store is gone.
MISSING_S = 2.0
READ, WRITE = ROUTES
# Each of these services has one target at most, so a call shows whether it is used.
SOLO = route("solo", "/solo/", service="solo")
LEAVING = route("leaving", "/leaving/", service="leaving")
ADDED = route("added", "/added/")
NEW = route("new", "/new/")
BEFORE = (READ, WRITE, SOLO, LEAVING)
DEADLINE_MS = 300
# What a gateway does with calls of a path, unless it sends them to a named target.
SERVED = "served"
UNKNOWN = "unknown"
UNUSED = "unused"


def matches(expected, status, target):
    """Return whether the status of a call, and the target that ran it, fit."""
    if expected == SERVED:
        return status != 404
    if expected == UNKNOWN:
        return status == 404
    return target == (None if expected == UNUSED else expected)


class RestoredStoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Deployment(GATEWAYS, zones=ZONES)
        self.store = self.fleet.store
        self.numbers = itertools.count()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await self.fleet.start(2, BEFORE)
                await self.fleet.add_target("i-leaving", "leaving")
                self.readers = await self.find_readers()
        except BaseException:
            await self.fleet.stop()
            raise
        self.reader = min(self.readers)
        self.follower = min(ALL - self.readers)

    async def asyncTearDown(self):
        await self.fleet.stop()

    async def find_readers(self):
        """Wait until a gateway of each zone reads the store; return these gateways."""
        while True:
            waiting = self.store.waiting_addresses
            readers = {
                index
                for index, gateway in enumerate(self.fleet.gateways)
                if gateway.store_address in waiting
            }
            if len(readers) == ZONES:
                return readers
            await asyncio.sleep(0.02)

    async def call(self, path, gateway):
        """Return the status of a call and the target that ran it, if any."""
        request_id = f"r{next(self.numbers)}"
        response = await self.fleet.call(
            path, gateway=gateway, request_id=request_id, deadline_ms=DEADLINE_MS
        )
        ran = (t.id for t in self.fleet.targets.values() if request_id in t.runs)
        return response.status, next(ran, None)

    async def find_differences(self, gateways, expected):
        """Return which gateways do not do what is expected with calls of the paths."""

        async def check(gateway, path):
            status, target = await self.call(path, gateway)
            if matches(expected[path], status, target):
                return None
            return f"g{gateway} {path}: {status} by {target}, not {expected[path]}"

        results = await asyncio.gather(
            *(check(gateway, path) for gateway in gateways for path in expected)
        )
        return [result for result in results if result is not None]

    async def assert_reached(self, expected, within_s=BOUND_S, gateways=ALL):
        """Check that the gateways do what is expected in time."""
        started = time.monotonic()
        while differences := await self.find_differences(gateways, expected):
            elapsed = time.monotonic() - started
            if elapsed > within_s:
                self.fail(f"after {elapsed:.1f} s: {'; '.join(differences)}")
            await asyncio.sleep(0.05)

    async def assert_kept(self, expected, for_s, gateways=ALL):
        """Check that the gateways do what is expected all the time."""
        started = time.monotonic()
        while (elapsed := time.monotonic() - started) < for_s:
            differences = await self.find_differences(gateways, expected)
            if differences:
                self.fail(f"at {elapsed:.1f} s: {'; '.join(differences)}")
            await asyncio.sleep(0.05)

    async def advance(self, changes):
        """Raise the revision of the store, as targets do that write their entries."""
        for _ in range(changes):
            await self.fleet.write_target("i-0")

    async def restore(self, copy, away_s=0.3):
        """Take the store away and bring it back from the copy, still away."""
        self.store.mode = "reset"
        await asyncio.sleep(away_s)
        await self.store.restore(copy)

    async def return_restored(self, copy):
        """Take the store away and bring it back from the copy."""
        await self.restore(copy)
        self.store.mode = "ok"

    async def lose_changes(self):
        """Change what the gateways know after a copy; return the copy."""
        copy = self.store.copy()
        await self.advance(10)
        await self.fleet.configure(*BEFORE, ADDED)
        await self.fleet.write_target("i-leaving", version="v2")
        await self.advance(2)
        await self.assert_reached({"/added/a": SERVED, "/leaving/a": "i-leaving"})
        return copy

    async def change_again(self):
        """Write everything again, and change routes and targets."""
        await self.fleet.write_again(*self.fleet.written_keys)
        await self.fleet.configure(READ, SOLO, LEAVING, ADDED, NEW)
        await self.fleet.add_target("i-solo", "solo")
        await self.fleet.write_target("i-leaving", state="draining")

    # What `change_again` leads to.
    changed = {
        "/read/a": SERVED,
        "/added/a": SERVED,
        "/new/a": SERVED,
        "/write/a": UNKNOWN,
        "/solo/a": "i-solo",
        "/leaving/a": UNUSED,
    }

    async def test_configuration_after_a_restore_is_in_effect_in_time(self):
        """Guards against a configuration whose revision was given out before."""
        copy = await self.lose_changes()
        await self.return_restored(copy)
        await self.fleet.write_again(CONFIGURATION_KEY)
        await self.fleet.configure(READ, ADDED, NEW)
        await self.assert_reached(
            {"/added/a": SERVED, "/new/a": SERVED, "/write/a": UNKNOWN}
        )

    async def test_configuration_in_effect_does_not_go_back(self):
        """Guards against the older configuration that the restored store has."""
        newest = {"/read/a": SERVED, "/added/a": SERVED, "/write/a": UNKNOWN}
        copy = self.store.copy()
        await self.fleet.configure(READ, ADDED)
        await self.assert_reached(newest)
        await self.return_restored(copy)
        await self.assert_kept(newest, 1.0)
        # The revision passes the one of the lost configuration.
        await self.advance(3)
        await self.assert_kept(newest, 1.5)
        await self.fleet.write_again(CONFIGURATION_KEY)
        await self.assert_kept(newest, 0.5)

    async def test_target_that_was_leaving_stays_unused(self):
        """Guards against calls to targets that the copy lists as ready again."""
        left = {"/leaving/a": UNUSED, "/solo/a": UNUSED}
        await self.fleet.add_target("i-solo", "solo")
        await self.assert_reached({"/leaving/a": "i-leaving", "/solo/a": "i-solo"})
        copy = self.store.copy()
        await self.fleet.write_target("i-leaving", state="draining")
        await self.fleet.remove_target("i-solo")
        await self.assert_reached(left)
        await self.return_restored(copy)
        # The revision passes those of the lost changes.
        await self.advance(4)
        await self.assert_kept(left, 2.5)
        # New runs with the same ids.
        for name in ("i-leaving", "i-solo"):
            self.fleet.targets[name].started_ms = int(time.time() * 1000)
            await self.fleet.write_target(name)
        await self.assert_reached({"/leaving/a": "i-leaving", "/solo/a": "i-solo"})

    async def test_drain_after_a_restore_is_in_effect_in_time(self):
        """Guards against a drain whose revision was given out before."""
        copy = await self.lose_changes()
        await self.return_restored(copy)
        await self.fleet.write_target("i-leaving", state="draining")
        await self.assert_reached({"/leaving/a": UNUSED})

    async def test_target_that_the_copy_lacks_is_used_again(self):
        """Guards against dropping a new target that writes itself again in time."""
        copy = self.store.copy()
        await self.advance(3)
        await self.fleet.add_target("i-solo", "solo")
        await self.assert_reached({"/solo/a": "i-solo"})
        await self.return_restored(copy)
        await asyncio.sleep(1.5)
        await self.fleet.write_again("servers/i-solo")
        await self.assert_reached({"/solo/a": "i-solo"})
        await self.assert_kept({"/solo/a": "i-solo"}, BOUND_S)

    async def test_target_that_is_not_written_again_is_gone(self):
        """Guards against endless calls to a target that left during the restore."""
        copy = self.store.copy()
        await self.advance(3)
        await self.fleet.add_target("i-solo", "solo")
        await self.assert_reached({"/solo/a": "i-solo"})
        await self.return_restored(copy)
        await self.assert_reached({"/solo/a": UNUSED}, MISSING_S + BOUND_S)

    async def test_gateways_that_start_after_a_restore(self):
        """Guards against starting gateways that know only the new era."""
        started = (self.reader, self.follower)
        copy = await self.lose_changes()
        for index in started:
            await self.fleet.gateways[index].stop()
        await self.return_restored(copy)
        await self.change_again()
        await self.assert_reached(self.changed, gateways=ALL - {*started})
        for index in started:
            await self.fleet.gateways[index].start()
        for index in started:
            await self.fleet.gateways[index].wait_ready()
        await self.assert_reached(self.changed, 0.5)
        await self.assert_kept(self.changed, 0.5)

    async def test_gateways_that_are_paused_over_a_restore(self):
        """Guards against gateways that keep to the old era, or spread it, later."""
        paused = (self.reader, self.follower)
        copy = await self.lose_changes()
        for index in paused:
            self.fleet.gateways[index].send_signal(signal.SIGSTOP)
        await self.return_restored(copy)
        await self.change_again()
        await self.assert_reached(self.changed, CATCH_UP_S, ALL - {*paused})
        for index in paused:
            self.fleet.gateways[index].send_signal(signal.SIGCONT)
        await self.assert_reached(self.changed, CATCH_UP_S)
        await self.assert_kept(self.changed, 1.0)

    async def test_gateways_that_the_store_rejects_over_a_restore(self):
        """Guards against gateways that learn of the new era only from their peers."""
        copy = await self.lose_changes()
        for index in (self.reader, self.follower):
            address = self.fleet.gateways[index].store_address
            self.store.rejected_addresses.add(address)
        await self.return_restored(copy)
        await self.change_again()
        await self.assert_reached(self.changed, CATCH_UP_S)
        self.store.rejected_addresses.clear()
        await self.assert_kept(self.changed, 1.0)

    async def test_two_restores_within_two_seconds(self):
        """Guards against keeping the revisions of an era that was short."""
        first_copy = self.store.copy()
        second_copy = await self.lose_changes()
        await self.return_restored(second_copy)
        await self.advance(20)
        await self.fleet.write_again(*self.fleet.written_keys)
        await asyncio.sleep(0.7)
        await self.return_restored(first_copy)
        await self.change_again()
        await self.assert_reached(self.changed)
        await self.assert_kept(self.changed, 0.5)

    async def test_old_revision_is_passed_before_a_gateway_reads(self):
        """Guards against continuing in the new era from a revision of the old one.

        The watch from there returns other contents with status 200, and what was
        changed at lower revisions would never be read.
        """
        copy = await self.lose_changes()
        old_revision = self.store.revision
        await self.restore(copy)
        await self.change_again()
        self.assertLessEqual(self.store.revision, old_revision)
        await self.advance(old_revision + 1 - self.store.revision)
        self.store.mode = "ok"
        await self.assert_reached(self.changed)
        await self.assert_kept(self.changed, 0.5)
