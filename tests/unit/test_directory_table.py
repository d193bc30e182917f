"""Test how entries that are added, changed and removed affect usable upstreams."""

import unittest

from dogwoodshed._internal.directory.table import (
    ABSENCE_GRACE_S,
    MAX_REMOVED_ENTRIES,
    RETURN_GRACE_S,
    RemovalTimes,
)
from tests.lib.fleet_builders import entry, revision, table

# Seconds after which a leaving upstream must get no new calls, as set by the users.
DRAIN_BOUND_S = 2.0


class TableTest(unittest.TestCase):
    def setUp(self):
        self.table = table()

    def usable(self, now):
        return {upstream.entry.id: upstream for upstream in self.table.usable(now)}

    def test_draining_upstream_is_unusable_at_once(self):
        """Guards against new calls to an upstream that announced its drain."""
        self.table.apply([entry("i-1", 1)], 0.0)
        self.table.apply([entry("i-1", 2, draining=True)], 1.0)
        self.assertEqual(self.usable(1.0), {})

    def test_outdated_update_does_not_restore_an_entry(self):
        """Guards against a slow peer that reverts a drain or a removal."""
        self.table.apply([entry("i-1", 5, listed=False)], 0.0)
        self.table.apply([entry("i-1", 4)], 0.1)
        self.assertEqual(self.usable(0.2), {})

    def test_removal_that_is_repeated_is_no_change(self):
        """Guards against a log line and an update for each write of another writer."""
        self.table.apply([entry("i-1", 1)], 0.0)
        self.assertEqual(len(self.table.apply([entry("i-1", 2, listed=False)], 1.0)), 1)
        self.assertEqual(self.table.apply([entry("i-1", 7, listed=False)], 2.0), ())
        self.table.apply([entry("i-1", 6)], 2.1)
        self.assertEqual(self.usable(2.0 + DRAIN_BOUND_S), {})
        self.assertEqual(len(self.table.apply([entry("i-1", 8)], 3.0)), 1)

    def test_upstream_with_removed_entry_is_unusable_in_time(self):
        """Guards against calls to an upstream that left without a drain."""
        self.table.apply([entry("i-1", 1)], 0.0)
        self.table.apply([entry("i-1", 2, listed=False)], 10.0)
        self.assertTrue(self.usable(10.0 + ABSENCE_GRACE_S / 2)["i-1"].absent)
        self.assertEqual(self.usable(10.0 + DRAIN_BOUND_S), {})
        self.assertLess(self.table.next_expiry(10.0), 10.0 + DRAIN_BOUND_S)

    def test_late_news_of_a_removal_shortens_its_grace(self):
        """Guards against a bound that is the sum of the delay and the grace."""
        self.table.apply([entry("i-1", 1), entry("i-2", 2)], 0.0)
        removed = [entry("i-1", 3, listed=False)]
        self.table.apply(removed, 10.8, RemovalTimes(since=10.0))
        self.assertIn("i-1", self.usable(10.0 + ABSENCE_GRACE_S - 0.01))
        self.assertNotIn("i-1", self.usable(10.0 + ABSENCE_GRACE_S))
        removed = [entry("i-2", 4, listed=False)]
        self.table.apply(removed, 20.0, RemovalTimes(since=20.0 - DRAIN_BOUND_S))
        self.assertEqual(self.usable(20.0), {})

    def test_end_of_use_that_another_gateway_decided(self):
        """Guards against gateways that each begin a grace of their own."""
        self.table.apply([entry("i-1", 1)], 0.0)
        self.table.apply(
            [entry("i-1", 2, listed=False)], 10.0, RemovalTimes(10.0, {"i-1": 10.3})
        )
        self.assertAlmostEqual(self.table.usable_for("i-1", 10.0), 0.3)
        self.assertEqual(self.usable(10.3), {})
        self.assertEqual(self.table.usable_for("i-1", 11.0), 0.0)

    def test_cut_watches_are_no_outage(self):
        """Guards against a target in use that is gone, since watches were cut."""
        self.table.apply([entry("i-1", 1)], 0.0)
        read_at = 10.0
        self.table.apply([entry("i-1", 2, listed=False)], read_at)
        for cut_at in (10.6, 11.4, 12.2):
            self.table.record_directory_failure(cut_at, read_at)
            read_at = cut_at + 0.2
            self.table.record_directory_response(read_at)
            for now in (cut_at, read_at, 10.0 + DRAIN_BOUND_S):
                if now >= 10.0 + ABSENCE_GRACE_S:
                    self.assertEqual(self.usable(now), {})

    def test_outage_that_a_single_failure_shows(self):
        """Guards against dropping live upstreams after one request that timed out."""
        self.table.apply([entry("i-1", 1)], 0.0)
        self.table.record_directory_failure(10.0, 9.0)
        self.table.record_directory_response(10.3)
        self.table.apply_listing((), revision(7), 10.3, RemovalTimes(9.0))
        self.assertIn("i-1", self.usable(10.3 + ABSENCE_GRACE_S))

    def test_failure_of_one_reader_is_no_outage(self):
        """Guards against a longer use at a gateway that alone cannot read."""
        self.table.apply([entry("i-1", 1)], 0.0)
        for failed_at in (9.0, 10.5, 12.0):
            self.table.record_directory_failure(failed_at, failed_at - 0.4)
        self.table.apply([entry("i-1", 2, listed=False)], 12.0)
        self.assertEqual(self.usable(12.0 + ABSENCE_GRACE_S), {})

    def test_entries_that_expire_in_an_outage_stay_usable(self):
        """Guards against dropping live upstreams whose entries expired in an outage."""
        self.table.apply([entry("i-1", 1), entry("i-2", 2)], 0.0)
        self.table.record_directory_failure(9.9)
        self.table.apply_listing((entry("i-2", 2),), revision(7), 10.0)
        self.assertIn("i-1", self.usable(10.0 + RETURN_GRACE_S - 0.2))
        self.assertNotIn("i-1", self.usable(10.0 + RETURN_GRACE_S + DRAIN_BOUND_S))
        self.table.apply([entry("i-1", 8)], 11.0)
        self.assertFalse(self.usable(20.0)["i-1"].absent)

    def test_outage_does_not_return_an_upstream_that_left_before(self):
        """Guards against calls to a removed upstream when the directory fails later.

        Every failed request extended the grace of all upstreams, also of those whose
        grace had ended.
        """
        self.table.apply([entry("i-1", 1)], 0.0)
        self.table.apply([entry("i-1", 2, listed=False)], 10.0)
        self.assertEqual(self.usable(10.0 + ABSENCE_GRACE_S), {})
        self.table.record_directory_failure(10.0 + ABSENCE_GRACE_S)
        self.assertEqual(self.usable(10.0 + ABSENCE_GRACE_S), {})
        self.table.record_directory_failure(11.0 + ABSENCE_GRACE_S)
        self.assertEqual(self.usable(11.0 + ABSENCE_GRACE_S), {})

    def test_listing_removes_only_older_entries(self):
        """Guards against a listing that drops an upstream added while it was read."""
        self.table.apply([entry("i-1", 3), entry("i-9", 9)], 0.0)
        new = self.table.apply_listing((), revision(5), 1.0)
        self.assertEqual([(e.id, e.listed) for e in new], [("i-1", False)])

    def test_entry_removed_before_the_listing_is_not_restored(self):
        """Guards against a server that left while this gateway was restarted.

        A peer that has not reached the store since then still sends its entry.
        """
        self.table.apply_listing((entry("i-1", 3),), revision(50), 0.0)
        changed = self.table.apply([entry("i-9", 30), entry("i-8", 51)], 0.1)
        self.assertEqual([e.id for e in changed], ["i-8"])
        self.assertEqual(set(self.usable(0.2)), {"i-1", "i-8"})

    def test_entry_that_returned_in_the_listing_is_usable(self):
        """Guards against dropping an entry whose removal was known before."""
        self.table.apply([entry("i-1", 4, listed=False)], 0.0)
        self.table.apply_listing((entry("i-1", 6),), revision(9), 0.1)
        self.assertEqual(set(self.usable(0.2)), {"i-1"})

    def test_removals_are_kept_beside_many_upstreams(self):
        """Guards against an upstream of a large fleet that is restored after it left.

        The limit on removed entries counted the listed ones as well.
        """
        count = MAX_REMOVED_ENTRIES + 100
        entries = [entry(f"i-{number}", number) for number in range(1, count)]
        self.table.apply([entry("i-0", 0), *entries], 0.0)
        self.table.apply([entry("i-0", count + 1, listed=False)], 1.0)
        self.table.apply([entry("new", count + 2), entry("i-0", 5)], 1.1)
        # Without the upstreams in the message of a failure.
        self.assertFalse("i-0" in self.usable(10.0))

    def test_earliest_removal_is_forgotten(self):
        """Guards against a table that grows with every upstream that ever left."""
        for number in range(1, MAX_REMOVED_ENTRIES + 11):
            upstream_id = f"i-{number}"
            self.table.apply([entry(upstream_id, 2 * number)], 0.0)
            self.table.apply([entry(upstream_id, 2 * number + 1, listed=False)], 0.0)
        self.assertEqual(len(self.table.entries(1.0)), MAX_REMOVED_ENTRIES)
        self.assertEqual(self.table.entries(1.0)[0].id, "i-11")

    def test_cold_time_counts_from_the_update(self):
        """Guards against an upstream that counts as cold for ever."""
        self.table.apply([entry("i-1", 1, cold_ms=3000)], 5.0)
        self.assertEqual(self.usable(6.0)["i-1"].cold_until, 8.0)
