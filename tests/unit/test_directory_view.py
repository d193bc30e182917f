"""Test what gateways tell each other of the directory, and how gaps are found."""

import unittest

from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.directory.model import DirectoryChanges
from dogwoodshed._internal.directory.view import GAP_AFTER_S, DirectoryView
from dogwoodshed._internal.mesh.messages import GatewayUpdate
from tests.lib.fleet_builders import CountingMetrics, ManualClock, entry


class _Follower:
    failing = False
    age = 0.0

    def record_peer_progress(self, revision, age):
        pass


class DirectoryViewTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.reader = self.view()
        self.other = self.view()

    def view(self):
        metrics = CountingMetrics()
        store = ConfigurationStore(metrics, lambda *_: None)
        view = DirectoryView(store, lambda _: None, lambda: None, self.clock, metrics)
        view.attach(_Follower())
        return view

    def read(self, revision):
        """Let the reader read one more entry; return its news."""
        changes = DirectoryChanges(revision, (entry(f"i-{revision}", revision),))
        self.reader.apply_changes(changes)
        return GatewayUpdate("reader", 1, revision, **self.reader.compose_update())

    def pass_time(self):
        self.clock.now += GAP_AFTER_S + 0.1

    async def test_lost_news_show_as_a_gap(self):
        """Guards against an entry or configuration that a gateway misses for ever."""
        self.other.apply_update(self.read(1))
        self.read(2)
        self.other.apply_update(self.read(3))
        self.pass_time()
        self.assertTrue(self.other.has_gap)
        self.other.apply_snapshot(self.reader.snapshot(), announce=False)
        self.assertFalse(self.other.has_gap)

    async def test_news_without_a_gap_are_enough(self):
        """Guards against tables that are asked for without need."""
        for revision in range(1, 4):
            self.other.apply_update(self.read(revision))
        self.pass_time()
        self.assertFalse(self.other.has_gap)
        self.assertEqual(self.other.directory_progress()["directory_revision"], 3)

    async def test_peer_that_is_behind_too_does_not_close_the_gap(self):
        """Guards against two relays, one behind, between which the gap stays open."""
        self.other.apply_update(self.read(1))
        self.other.record_peer_progress(5, 0)
        self.pass_time()
        self.other.record_peer_progress(1, 0)
        self.assertTrue(self.other.has_gap)

    async def test_news_of_others_are_not_told_again(self):
        """Guards against each change that every gateway tells every other."""
        self.other.apply_update(self.read(1))
        self.assertIsNone(self.other.compose_update())

    async def test_relay_tells_the_table_of_a_peer(self):
        """Guards against gateways behind a relay that only heard a table."""
        self.read(1)
        self.other.apply_snapshot(self.reader.snapshot(), announce=True)
        self.assertEqual(len(self.other.compose_update()["entries"]), 1)

    async def test_table_is_not_told_by_every_gateway_that_gets_it(self):
        """Guards against a starting fleet in which each tells all what all know.

        On pareja-gw-grown scale-1 97 gateways did so at the start and after a kill.
        """
        self.read(1)
        self.other.apply_snapshot(self.reader.snapshot(), announce=False)
        self.assertIsNone(self.other.compose_update())
