"""Test which news a gateway takes and passes on."""

import unittest

from dogwoodshed._internal.mesh.messages import GatewayUpdate, Hello
from dogwoodshed._internal.mesh.update_flood import UpdateFlood


class NewsFloodTest(unittest.TestCase):
    def setUp(self):
        self.flood = UpdateFlood(Hello(1, "own", 1, "dc"), lambda peer: peer == "far")
        for peer in ("near", "far", "other-far"):
            self.flood.add_peer(peer)

    def take(self, incarnation, sequence, peer="near"):
        return self.flood.take(peer, GatewayUpdate("origin", incarnation, sequence))

    def pending(self):
        return {peer: len(bundle.updates) for peer, bundle in self.flood.take_pending()}

    def test_news_pass_once(self):
        """Guards against news that go round between relays."""
        self.assertTrue(self.take(1, 1))
        self.assertFalse(self.take(1, 1, "far"))
        self.assertEqual(self.pending(), {"far": 1, "other-far": 1})

    def test_news_of_a_restart_after_the_clock_went_back_pass(self):
        """Guards against a restarted reader whose changes nobody takes."""
        self.take(8, 40)
        self.assertTrue(self.take(2, 1))
        self.assertFalse(self.take(2, 1))

    def test_own_news_do_not_come_back(self):
        """Guards against a gateway that takes its own news for those of another."""
        self.assertFalse(self.flood.take("near", GatewayUpdate("own", 1, 1)))
