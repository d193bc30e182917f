"""Test that nothing known before a restore of the directory is undone by its copy."""

import itertools
import unittest

from dogwoodshed._internal.directory.model import ConfigurationText, DirectoryChanges
from dogwoodshed._internal.directory.table import (
    ABSENCE_GRACE_S,
    RESTORED_ENTRY_INTERVALS,
    RETURN_GRACE_S,
)
from dogwoodshed._internal.directory.view import GAP_TIMEOUT_S
from dogwoodshed._internal.mesh.codec import Decoder, encode
from dogwoodshed._internal.mesh.fleet_messages import (
    DirectoryEntry,
    GatewayUpdate,
    UpdateBatch,
)
from tests.lib.fleet_builders import (
    ENTRY_INTERVAL_S,
    FakeClock,
    directory_view,
    entry,
    revision,
    table,
)

RESTORE_HOLD_S = RESTORED_ENTRY_INTERVALS * ENTRY_INTERVAL_S


class RestoredTableTest(unittest.TestCase):
    """Era 0 reaches revision 100; the copy of era 1 starts again at revision 90."""

    def setUp(self):
        self.table = table()

    def usable(self, now):
        return {upstream.entry.id: upstream for upstream in self.table.usable(now)}

    def test_change_with_a_reused_revision_is_applied(self):
        """Guards against a drain that is ignored since its revision is not new."""
        self.table.apply([entry("i-1", 100)], 0.0)
        self.table.apply([entry("i-1", 91, era=1, draining=True)], 1.0)
        self.assertEqual(self.usable(1.0), {})

    def test_copy_does_not_end_a_drain(self):
        """Guards against calls to a leaving upstream that the copy lists as ready."""
        self.table.apply([entry("i-1", 100, draining=True)], 0.0)
        self.table.apply_listing((entry("i-1", 80, era=1),), revision(90, 1), 1.0)
        self.assertEqual(self.usable(1.1), {})

    def test_copy_does_not_return_an_upstream_that_left(self):
        """Guards against calls to a removed upstream that the copy still lists."""
        self.table.apply([entry("i-1", 10)], 0.0)
        self.table.apply([entry("i-1", 100, listed=False)], 0.1)
        self.table.apply_listing((entry("i-1", 80, era=1),), revision(90, 1), 5.0)
        self.assertEqual(self.usable(5.1), {})
        self.table.apply([entry("i-1", 91, era=1, cold_ms=1)], 5.2)
        self.assertEqual(self.usable(5.3), {})

    def test_older_run_in_the_copy_is_not_used(self):
        """Guards against the address of a run that ended before the restore."""
        self.table.apply([entry("i-1", 100, started_ms=2)], 0.0)
        older_run = entry("i-1", 80, era=1, started_ms=1)
        self.table.apply_listing((older_run,), revision(90, 1), 1.0)
        self.assertEqual(self.usable(1.1)["i-1"].entry.started_ms, 2)
        self.assertEqual(self.usable(1.1 + RETURN_GRACE_S), {})
        self.table.apply([entry("i-1", 91, era=1, started_ms=2)], 3.4)
        self.assertEqual(self.usable(3.5)["i-1"].entry.started_ms, 2)

    def test_drain_of_a_newer_run_outlives_the_older_run_of_the_copy(self):
        """Guards against losing the drain of run 2 where the copy lists run 1."""
        drained = entry("i-1", 100, started_ms=2, draining=True)
        self.table.apply([drained], 0.0)
        older_run = entry("i-1", 80, era=1, started_ms=1)
        self.table.apply_listing((older_run,), revision(90, 1), 0.1)
        self.table.apply([entry("i-1", 91, era=1, started_ms=2)], 0.2)
        self.assertEqual(self.usable(0.3), {})

    def test_new_run_after_a_restore_is_usable(self):
        """Guards against an upstream that stays unused after it was started again."""
        self.table.apply([entry("i-1", 100, draining=True)], 0.0)
        self.table.apply_listing((entry("i-1", 80, era=1),), revision(90, 1), 1.0)
        self.table.apply([entry("i-1", 91, era=1, started_ms=2)], 1.1)
        self.assertEqual(set(self.usable(1.2)), {"i-1"})

    def test_upstream_that_stays_listed_is_usable_again(self):
        """Guards against losing an upstream that returned within the lost seconds.

        A removed entry is written again without a change if the copy contains it.
        """
        self.table.apply([entry("i-1", 10)], 0.0)
        self.table.apply([entry("i-1", 100, listed=False)], 0.1)
        self.table.apply_listing((entry("i-1", 10, era=1),), revision(90, 1), 5.0)
        self.assertEqual(self.usable(5.0 + RESTORE_HOLD_S - 0.1), {})
        self.assertEqual(self.table.next_expiry(5.1), 5.0 + RESTORE_HOLD_S)
        self.assertEqual(set(self.usable(5.0 + RESTORE_HOLD_S)), {"i-1"})

    def test_upstream_missing_in_the_copy_stays_usable_until_it_returns(self):
        """Guards against dropping upstreams that were added after the copy."""
        self.table.apply([entry("i-1", 10), entry("i-2", 100)], 0.0)
        listing = (entry("i-1", 10, era=1),)
        self.table.apply_listing(listing, revision(90, 1), 1.0)
        self.assertGreater(RETURN_GRACE_S, ABSENCE_GRACE_S)
        self.assertIn("i-2", self.usable(1.0 + RETURN_GRACE_S - 0.1))
        self.assertNotIn("i-2", self.usable(1.0 + RETURN_GRACE_S + 0.1))
        self.table.apply([entry("i-2", 91, era=1)], 2.0)
        self.assertFalse(self.usable(20.0)["i-2"].absent)

    def test_leaving_is_known_in_whatever_order_eras_arrive(self):
        """Guards against gateways that started later and know the new era only."""
        for earlier in (
            entry("i-1", 100, draining=True),
            entry("i-1", 100, listed=False),
        ):
            with self.subTest(earlier=earlier):
                self.table = table()
                listing = (entry("i-1", 80, era=1),)
                self.table.apply_listing(listing, revision(90, 1), 1.0)
                (changed,) = self.table.apply([earlier], 1.1)
                self.assertTrue(changed.left_before_restore)
                self.assertEqual(self.usable(1.2), {})

    def test_leaving_reaches_a_gateway_that_knows_the_new_era_only(self):
        """Guards against a snapshot that lacks what was known before the restore."""
        self.table.apply([entry("i-1", 100, draining=True)], 0.0)
        self.table.apply_listing((entry("i-1", 80, era=1),), revision(90, 1), 1.0)
        started = table()
        started.apply_listing((entry("i-1", 80, era=1),), revision(90, 1), 1.1)
        started.apply_listing(self.table.entries(1.2), revision(90, 1), 1.2)
        self.assertEqual(started.usable(1.3), [])

    def test_leaving_of_an_upstream_that_the_copy_lacks_is_kept(self):
        """Guards against a gateway that started after the restore and forgets a drain.

        Peers tell of the earlier era, or of both in one entry.
        """
        drained = entry("i-1", 100, draining=True)
        self.table.apply([drained], 0.0)
        self.table.apply_listing((), revision(90, 1), 0.0)
        for entries in ((drained,), self.table.entries(0.1)):
            with self.subTest(entries=entries):
                started = table()
                started.apply_listing((), revision(90, 1), 0.0)
                started.apply(entries, 0.1)
                started.apply([entry("i-1", 91, era=1)], 0.2)
                self.assertEqual(started.usable(0.3), [])

    def test_order_of_messages_does_not_decide_what_is_usable(self):
        """Guards against orders in which a drain or a removal is lost."""
        for leaving in ({"draining": True}, {"listed": False}):
            for copy in ((entry("i-1", 80, era=1),), ()):
                messages = {
                    "leaving": (entry("i-1", 100, **leaving),),
                    "listing": copy,
                    "written again": (entry("i-1", 91, era=1),),
                }
                for order in itertools.permutations(messages):
                    with self.subTest(leaving=leaving, copy=copy, order=order):
                        built = table()
                        for name in order:
                            if name == "listing":
                                built.apply_listing(copy, revision(90, 1), 0.0)
                            else:
                                built.apply(messages[name], 0.0)
                        self.assertEqual(built.usable(0.1), [])

    def test_entry_of_an_earlier_era_is_not_restored(self):
        """Guards against a peer that was paused over the restore."""
        self.table.apply_listing((entry("i-1", 80, era=1),), revision(90, 1), 1.0)
        self.table.apply([entry("i-2", 100)], 1.1)
        self.assertEqual(set(self.usable(1.2)), {"i-1"})

    def test_restored_entry_is_not_cold_again(self):
        """Guards against all upstreams that count as cold after a restore."""
        self.table.apply([entry("i-1", 10, cold_ms=3000)], 0.0)
        listing = (entry("i-1", 10, era=1, cold_ms=3000),)
        self.table.apply_listing(listing, revision(90, 1), 9.0)
        self.assertEqual(self.usable(9.1)["i-1"].cold_until, 3.0)

    def test_missing_in_a_first_copy_is_no_leaving_for_a_second(self):
        """Guards against holding live upstreams after two restores within seconds."""
        self.table.apply([entry("i-1", 100)], 0.0)
        self.table.apply_listing((), revision(90, 1), 0.1)
        self.assertIn("i-1", self.usable(0.2))
        listing = (entry("i-1", 95, era=2),)
        self.table.apply_listing(listing, revision(96, 2), 1.0)
        self.assertIn("i-1", self.usable(1.1))

    def test_upstreams_expired_in_an_outage_stay_usable_over_a_restore(self):
        """Guards against holding all upstreams after an outage and a restore."""
        self.table.record_directory_failure(0.0)
        self.table.apply([entry("i-1", 10)], 0.0)
        self.table.apply([entry("i-1", 50, listed=False)], 0.5)
        self.assertIn("i-1", self.usable(0.9))
        self.table.apply_listing((entry("i-1", 10, era=1),), revision(20, 1), 1.0)
        self.assertIn("i-1", self.usable(1.1))

    def test_drained_upstream_that_expired_in_an_outage_stays_unused(self):
        """Guards against a drain that an expired entry hides from the restore."""
        self.table.record_directory_failure(0.0)
        self.table.apply([entry("i-1", 10, draining=True)], 0.0)
        self.table.apply([entry("i-1", 50, listed=False)], 0.5)
        self.table.apply_listing((entry("i-1", 9, era=1),), revision(20, 1), 1.0)
        self.assertEqual(self.usable(1.1), {})

    def test_hold_that_ended_is_not_repeated(self):
        """Guards against holding an upstream that was used since the last restore.

        A second restore or a gateway that starts later must not hold it again.
        """
        self.table.apply([entry("i-1", 10), entry("i-1", 50, listed=False)], 0.0)
        self.table.apply_listing((entry("i-1", 10, era=1),), revision(20, 1), 2.0)
        self.assertIn("i-1", self.usable(60.0))
        started = table()
        started.apply_listing(self.table.entries(60.0), revision(20, 1), 60.0)
        self.assertEqual(len(started.usable(60.1)), 1)
        self.table.apply_listing((entry("i-1", 10, era=2),), revision(20, 2), 600.0)
        self.assertIn("i-1", self.usable(600.1))

    def test_outdated_removal_of_an_earlier_era_is_ignored(self):
        """Guards against a paused peer that missed the return of an expired entry."""
        self.table.apply([entry("i-1", 10), entry("i-1", 50, listed=False)], 0.0)
        self.table.apply([entry("i-1", 60)], 1.0)
        self.table.apply_listing((entry("i-1", 60, era=1),), revision(70, 1), 2.0)
        self.table.apply([entry("i-1", 50, listed=False)], 2.1)
        self.assertIn("i-1", self.usable(2.2))


class RestoredViewTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.loaded = []
        self.reader = self.view()
        self.other = self.view()

    def view(self):
        return directory_view(self.clock, lambda text, *_: self.loaded.append(text))

    def read(self, number, *entries, era=0, version=0, complete=False):
        """Let the reader apply changes; return its update as a peer decodes it."""
        text = ConfigurationText(version, f"text {version}") if version else None
        self.reader.apply_changes(
            DirectoryChanges(revision(number, era), entries, text, complete=complete)
        )
        update = GatewayUpdate("reader", 1, 1, **self.reader.compose_update())
        (envelope,) = Decoder().feed(encode(UpdateBatch((update,))))
        return envelope.message.updates[0]

    def listed(self, view):
        return {e.id for e in view._table.entries(self.clock.now) if e.listed}

    async def test_update_of_a_restore_replaces_all_entries(self):
        """Guards against entries that only this gateway had before the restore."""
        self.other.apply_update(self.read(100, entry("i-1", 100), complete=True))
        self.other._table.apply([entry("i-2", 99)], self.clock.now)
        update = self.read(90, entry("i-1", 80, era=1), era=1, complete=True)
        self.other.apply_update(update)
        self.assertEqual(self.listed(self.other), {"i-1"})
        self.assertEqual(self.other.revision, revision(90, 1))

    async def test_missed_restore_is_a_gap(self):
        """Guards against a gateway that keeps data of the era before a restore."""
        self.other.apply_update(self.read(100, entry("i-1", 100), complete=True))
        self.read(90, era=1, complete=True)
        self.other.apply_update(self.read(91, entry("i-3", 91, era=1), era=1))
        self.clock.now += GAP_TIMEOUT_S + 0.1
        self.assertTrue(self.other.has_gap)
        self.other.apply_snapshot(self.reader.snapshot(), announce=False)
        self.assertFalse(self.other.has_gap)
        self.assertEqual(self.listed(self.other), {"i-3"})

    async def test_peer_of_an_earlier_era_is_not_ahead(self):
        """Guards against a gateway that teaches others the revision it had before."""
        self.other.apply_update(self.read(90, era=1, complete=True))
        self.other.record_peer_progress(revision(100), 0)
        self.clock.now += GAP_TIMEOUT_S + 0.1
        self.assertFalse(self.other.has_gap)
        self.assertEqual(self.other.revision, revision(90, 1))

    async def test_update_that_spans_a_restore_contains_all_entries(self):
        """Guards against a gateway that counts as current without the listing.

        A reader has an unsent change of the earlier era when the listing of another
        reader reaches it; the update of the other one is lost on its way.
        """
        start = self.read(100, entry("i-1", 10), entry("i-2", 99), complete=True)
        second = self.view()
        for view in (second, self.other):
            view.apply_update(start)
        change = DirectoryChanges(revision(105), (entry("i-3", 105),))
        second.apply_changes(change)
        second.apply_update(self.read(90, entry("i-1", 10, 1), era=1, complete=True))
        update = GatewayUpdate("second", 1, 1, **second.compose_update())
        self.other.apply_update(update)
        self.assertEqual(self.listed(self.other), {"i-1"})
        self.assertEqual(self.other.revision, revision(90, 1))

    async def test_updates_of_others_are_not_announced_again(self):
        """Guards against gateways that all send everything at each flush."""
        self.other.apply_update(self.read(100, entry("i-1", 10, 1), era=1))
        self.assertIsNone(self.other.compose_update())
        self.other.apply_update(self.read(90, era=2, complete=True))
        self.assertIsNone(self.other.compose_update())
        self.assertIsNone(self.reader.compose_update())

    async def test_complete_update_contains_the_configuration(self):
        """Guards against a missed configuration that no gap tells of.

        A gateway that had missed its update kept the older one until the next change.
        """
        self.other.apply_update(self.read(100, version=17, complete=True))
        self.read(101, version=18)
        self.other.apply_update(self.read(90, era=1, version=17, complete=True))
        self.assertEqual(self.other.revision, revision(90, 1))
        self.assertEqual(self.other.snapshot().configuration, "text 18")

    async def test_configuration_of_an_earlier_release_does_not_block_later_ones(self):
        """Guards against a rolling upgrade in which no configuration is accepted.

        Earlier releases send the revision of the directory only.
        """
        self.other.apply_update(
            GatewayUpdate("old", 1, 1, (), 5321, "text 17", 0, 5400, 0)
        )
        self.other.apply_update(self.read(5410, era=1, version=18))
        self.assertEqual(self.loaded[0], "text 17")
        self.assertEqual(self.loaded[-1], "text 18")

    async def test_entries_of_an_earlier_release_are_of_the_current_era(self):
        """Guards against drains that are ignored while the fleet is upgraded."""
        self.other.apply_update(self.read(50, entry("i-1", 10, 1), era=1, version=1))
        self.clock.now += 60.0
        drained = entry("i-1", draining=True)
        old = DirectoryEntry(drained.id, 60, *drained[2:-1])
        self.other.apply_update(
            GatewayUpdate("old", 1, 1, (old,), 0, "", 50, 60, 0),
        )
        self.assertEqual(self.other._table.usable(self.clock.now), [])
        self.assertEqual(self.other.revision, revision(60, 1))

    async def test_older_configuration_of_the_copy_is_ignored(self):
        """Guards against a configuration in force that a restore takes back."""
        self.other.apply_update(self.read(100, version=17))
        self.other.apply_update(self.read(90, era=1, version=14, complete=True))
        self.other.apply_update(self.read(91, era=1, version=18))
        self.assertEqual(self.loaded, ["text 17"] * 2 + ["text 18"] * 2)
