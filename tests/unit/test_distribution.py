"""Test that gateways pass texts on and that revisions only rise."""

import asyncio
import json
import unittest

from dogwoodshed._internal.configuration.document_replicator import DocumentReplicator
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.discovery.host_list import read_host_list
from dogwoodshed._internal.discovery.store import HostListStore
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import TextReply, TextRequest
from dogwoodshed._internal.metrics import Metrics
from tests.lib import builders
from tests.lib.mesh_fakes import (
    FakeMesh,
    ManualClock,
    gateway_settings,
    heartbeat,
    hello,
)

TEXT = json.dumps(builders.configuration_document())
NEXT_TEXT = json.dumps(builders.configuration_document(fleet="next"))


class DistributionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.metrics = Metrics()
        self.store = ConfigurationStore(self.metrics)
        self.hosts = HostListStore(read_host_list, self.metrics)
        self.membership = Membership(gateway_settings(), self.clock)
        self.mesh = FakeMesh(self.membership)
        self.replicator = DocumentReplicator(
            self.store,
            self.hosts,
            self.mesh,
            self.membership,
            self.clock,
            self.metrics,
            seed=1,
        )
        for peer in ("g1", "g2"):
            self.membership.record_hello(hello(peer))

    async def beat(self, peer_id, *fields):
        answer = self.mesh.receive(peer_id, heartbeat(*fields))
        if answer is not None:
            await answer

    async def test_fetches_a_newer_text_from_the_peer_that_has_it(self):
        """Guards against a gateway that stays behind while the platform is down."""
        self.store.offer(TEXT, 3, "platform")
        self.mesh.replies["g1"] = TextReply(5, NEXT_TEXT)
        await self.beat("g1", 5, "x")
        self.assertEqual(self.store.revision, 5)
        self.assertEqual(self.store.current.fleet, "next")

    async def test_asks_no_peer_that_has_no_newer_text(self):
        """Guards against an older text, and against needless traffic."""
        self.store.offer(TEXT, 3, "platform")
        await self.beat("g1", 2, "x")
        await self.beat("g1", 3, self.store.current.digest)
        self.assertEqual(self.mesh.requests, [])

    async def test_a_failed_request_is_repeated_with_the_next_heartbeat(self):
        """Guards against one lost peer that blocks all later requests."""
        await self.beat("g1", 5, "x")
        self.mesh.replies["g2"] = TextReply(5, TEXT)
        await self.beat("g2", 5, "x")
        self.assertEqual(self.store.revision, 5)

    async def test_a_rejected_text_is_asked_for_once(self):
        """Guards against fetching a faulty text with every heartbeat."""
        self.store.offer(TEXT, 3, "platform")
        self.mesh.replies["g1"] = TextReply(5, "{}")
        await self.beat("g1", 5, "x")
        await self.beat("g1", 5, "x")
        self.assertEqual(len(self.mesh.requests), 1)
        self.assertEqual(self.store.revision, 3)

    async def test_another_text_of_the_same_revision_is_kept_out_and_counted(self):
        """Guards against two gateways that take turns in replacing a text."""
        self.store.offer(TEXT, 3, "platform")
        await self.beat("g1", 3, "other")
        self.store.offer(NEXT_TEXT, 3, "platform")
        self.assertEqual(self.store.text, TEXT)
        self.assertEqual(self.metrics.counters["configuration.conflict"], 2)

    async def test_gives_its_text(self):
        """Guards against a peer that is behind and gets nothing."""
        self.store.offer(TEXT, 3, "platform")
        reply = self.mesh.receive("g1", TextRequest())
        self.assertEqual(reply, TextReply(3, TEXT))

    async def test_joins_only_with_the_newest_text_of_all_peers(self):
        """Guards against serving by the old text of a stale platform."""
        self.store.offer(TEXT, 3, "platform")
        joining = asyncio.ensure_future(self.replicator.synchronize(3.0))
        await self.beat("g1", 3, self.store.current.digest)
        await asyncio.sleep(0)
        self.assertFalse(joining.done())
        await self.beat("g2", 5, "x")
        self.clock.now += 60
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(joining.done(), "a live peer has a newer text")
        self.mesh.replies["g2"] = TextReply(5, NEXT_TEXT)
        await self.beat("g2", 5, "x")
        await joining
        self.assertEqual(self.store.revision, 5)

    async def test_joins_at_once_when_no_peer_runs(self):
        """Guards against a first gateway that waits for peers nobody started."""
        self.membership.record_refusal("g1")
        self.membership.record_refusal("g2")
        self.store.offer(TEXT, 3, "platform")
        await asyncio.wait_for(self.replicator.synchronize(3.0), 1.0)


if __name__ == "__main__":
    unittest.main()
