"""Test how gateways share directory data, and how lost updates are detected."""

import unittest

from dogwoodshed._internal.directory.model import (
    ConfigurationText,
    DirectoryChanges,
)
from dogwoodshed._internal.directory.table import ABSENCE_GRACE_S
from dogwoodshed._internal.directory.view import GAP_TIMEOUT_S
from dogwoodshed._internal.mesh.fleet_messages import (
    GatewayUpdate,
)
from tests.lib.fleet_builders import (
    FakeClock,
    directory_view,
    entry,
    revision,
)


class DirectoryViewTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.reader = self.view()
        self.other = self.view()

    def view(self):
        return directory_view(self.clock)

    def watched_view(self):
        """Build a view; return it and a dictionary that has the usable upstreams."""
        usable = {}

        def record(upstreams):
            usable.clear()
            usable.update((upstream.entry.id, upstream) for upstream in upstreams)

        return directory_view(self.clock, on_upstreams=record), usable

    def read_entry(self, number):
        """Let the reader read one more entry; return its update."""
        entries = (entry(f"i-{number}", number),)
        self.reader.apply_changes(DirectoryChanges(revision(number), entries))
        return GatewayUpdate("reader", 1, number, **self.reader.compose_update())

    def advance_beyond_gap_timeout(self):
        self.clock.now += GAP_TIMEOUT_S + 0.1

    async def test_lost_update_is_detected_as_a_gap(self):
        """Guards against an entry or configuration that a gateway never gets."""
        self.other.apply_update(self.read_entry(1))
        self.read_entry(2)
        self.other.apply_update(self.read_entry(3))
        self.advance_beyond_gap_timeout()
        self.assertTrue(self.other.has_gap)
        self.other.apply_snapshot(self.reader.snapshot(), announce=False)
        self.assertFalse(self.other.has_gap)

    async def test_change_known_from_an_update_after_a_gap_is_announced(self):
        """Guards against a revision that is announced without one of its changes.

        A gateway has a change from an update after a gap, and reads it from the
        directory afterwards, so that it is not new; a third gateway lacks it.
        """
        third = self.view()
        update = self.read_entry(1)
        self.other.apply_update(update)
        third.apply_update(update)
        self.read_entry(2)
        self.other.apply_update(self.read_entry(3))
        entries = (entry("i-2", 2), entry("i-3", 3))
        self.other.apply_changes(DirectoryChanges(revision(3), entries))
        third.apply_update(GatewayUpdate("other", 1, 1, **self.other.compose_update()))
        self.assertEqual(third.revision, revision(3))
        known = {sent.id for sent in third.snapshot().entries}
        self.assertEqual(known, {"i-1", "i-2", "i-3"})

    async def test_configuration_known_from_an_update_after_a_gap_is_announced(self):
        """Guards against the same for a configuration."""
        third = self.view()
        update = self.read_entry(1)
        self.other.apply_update(update)
        third.apply_update(update)
        self.read_entry(2)
        text = ConfigurationText(3, "text 3", 3)
        changes = DirectoryChanges(revision(3), (), text)
        self.reader.apply_changes(changes)
        update = GatewayUpdate("reader", 1, 3, **self.reader.compose_update())
        self.other.apply_update(update)
        changes = DirectoryChanges(revision(3), (entry("i-2", 2),), text)
        self.other.apply_changes(changes)
        third.apply_update(GatewayUpdate("other", 1, 1, **self.other.compose_update()))
        self.assertEqual(third.revision, revision(3))
        self.assertEqual(third.snapshot().configuration, "text 3")

    async def test_no_gap_after_consecutive_updates(self):
        """Guards against snapshots that are requested without need."""
        for number in range(1, 4):
            self.other.apply_update(self.read_entry(number))
        self.advance_beyond_gap_timeout()
        self.assertFalse(self.other.has_gap)
        self.assertEqual(self.other.directory_progress()["directory_revision"], 3)

    async def test_peer_that_is_also_behind_does_not_close_the_gap(self):
        """Guards against closing a gap because of a hub that lacks the same updates."""
        self.other.apply_update(self.read_entry(1))
        self.other.record_peer_progress(revision(5), 0)
        self.advance_beyond_gap_timeout()
        self.other.record_peer_progress(revision(1), 0)
        self.assertTrue(self.other.has_gap)

    async def remove_entry_late(self, send):
        """Read a removal 0.9 s after it; return the other gateway's view and usable.

        `send` passes it on from the reader to the other gateway.
        """
        other, usable = self.watched_view()
        other.apply_update(self.read_entry(1))
        self.assertIn("i-1", usable)
        self.clock.now += 5.0
        removed = entry("i-1", 2, listed=False)
        changes = DirectoryChanges(revision(2), (removed,))
        self.reader.apply_changes(changes, self.clock.now - 0.9)
        self.clock.now += 0.1
        send(other)
        return usable

    async def test_update_has_the_rest_of_the_grace(self):
        """Guards against a grace that begins anew at each gateway."""

        def send(other):
            update = GatewayUpdate("reader", 1, 2, **self.reader.compose_update())
            (sent,) = update.entries
            self.assertAlmostEqual(sent.usable_ms, (ABSENCE_GRACE_S - 1.0) * 1000, 0)
            other.apply_update(update)

        usable = await self.remove_entry_late(send)
        self.assertTrue(usable["i-1"].absent)

    async def test_update_after_the_end_of_the_grace(self):
        """Guards against calls to an upstream that left long ago."""

        def send(other):
            self.clock.now += ABSENCE_GRACE_S
            fields = self.reader.compose_update()
            other.apply_update(GatewayUpdate("reader", 1, 2, **fields))

        self.assertEqual(await self.remove_entry_late(send), {})

    async def test_update_with_more_than_the_grace(self):
        """Guards against a peer that extends the use of an upstream that has left."""

        def send(other):
            update = GatewayUpdate("reader", 1, 2, **self.reader.compose_update())
            (sent,) = update.entries
            sent = sent._replace(usable_ms=60_000)
            other.apply_update(update._replace(entries=(sent,)))
            self.clock.now += ABSENCE_GRACE_S
            other._apply_table()

        self.assertEqual(await self.remove_entry_late(send), {})

    async def test_snapshot_after_the_end_of_the_grace(self):
        """Guards against the same where the removal comes with a snapshot."""

        def send(other):
            self.clock.now += ABSENCE_GRACE_S
            other.apply_snapshot(self.reader.snapshot(), announce=False)

        self.assertEqual(await self.remove_entry_late(send), {})

    async def test_changes_that_the_peers_read_are_not_announced(self):
        """Guards against one update of each gateway while their hub is silent."""
        view = directory_view(self.clock, peers_read=lambda: True)
        entries = (entry("i-1", 1),)
        view.apply_changes(DirectoryChanges(revision(1), entries))
        self.assertIsNone(view.compose_update())
        self.assertEqual(view.revision, revision(1))

    async def test_updates_of_others_are_not_announced_again(self):
        """Guards against changes that every gateway announces to every other."""
        self.other.apply_update(self.read_entry(1))
        self.assertIsNone(self.other.compose_update())

    async def test_hub_announces_the_snapshot_of_a_peer(self):
        """Guards against gateways that miss data which their hub got in a snapshot."""
        self.read_entry(1)
        self.other.apply_snapshot(self.reader.snapshot(), announce=True)
        self.assertEqual(len(self.other.compose_update()["entries"]), 1)

    async def test_snapshot_removes_an_upstream_that_left(self):
        """Guards against a server in use although no peer knows it any more.

        The peers were restarted after it had left, so that they have no removed entry.
        """
        self.other.apply_update(self.read_entry(1))
        restarted = self.view()
        listing = DirectoryChanges(revision(9), (entry("i-5", 5),), complete=True)
        restarted.apply_changes(listing)
        self.other.apply_snapshot(restarted.snapshot(), announce=False)
        listed = {e.id for e in self.other._table.entries(self.clock.now) if e.listed}
        self.assertEqual(listed, {"i-5"})

    async def test_snapshot_of_a_peer_that_is_behind_restores_nothing(self):
        """Guards against a server that is in use again after a restart.

        The restarted gateway read the store itself, and then got the snapshot of a peer
        that had been cut off from the store before the server left.
        """
        self.read_entry(1)
        restarted = self.view()
        listing = DirectoryChanges(revision(9), (entry("i-5", 5),), complete=True)
        restarted.apply_changes(listing)
        restarted.apply_snapshot(self.reader.snapshot(), announce=True)
        listed = {e.id for e in restarted._table.entries(self.clock.now) if e.listed}
        self.assertEqual(listed, {"i-5"})
        self.assertEqual(restarted.revision, revision(9))

    async def test_snapshot_is_not_announced_by_other_gateways(self):
        """Guards against a starting fleet in which every gateway announces all data.

        On pareja-gw-grown scale-1 97 gateways did so at the start and after a kill.
        """
        self.read_entry(1)
        self.other.apply_snapshot(self.reader.snapshot(), announce=False)
        self.assertIsNone(self.other.compose_update())
