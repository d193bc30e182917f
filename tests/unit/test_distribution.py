"""Test the replication of configuration and host list between gateways."""

import asyncio
import json
import unittest

from dogwoodshed._internal.configuration.document_replicator import DocumentReplicator
from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.discovery.host_list import read_host_list
from dogwoodshed._internal.discovery.store import HostListStore
from dogwoodshed._internal.membership import Membership
from dogwoodshed._internal.mesh.messages import (
    DocumentReply,
    DocumentRequest,
)
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


class DocumentReplicatorTest(unittest.IsolatedAsyncioTestCase):
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

    async def receive_heartbeat(self, peer_id, *fields):
        pending = self.mesh.receive(peer_id, heartbeat(*fields))
        if pending is not None:
            await pending

    async def test_fetches_a_newer_text_from_the_peer_that_has_it(self):
        """Guards against a gateway with an old text while the platform is down."""
        self.store.offer(TEXT, 3, "platform")
        self.mesh.replies["g1"] = DocumentReply(5, NEXT_TEXT)
        await self.receive_heartbeat("g1", 5, "x")
        self.assertEqual(self.store.revision, 5)
        self.assertEqual(self.store.current.fleet, "next")

    async def test_sends_no_request_to_a_peer_without_a_newer_text(self):
        """Guards against fetching an older text, and against unnecessary requests."""
        self.store.offer(TEXT, 3, "platform")
        await self.receive_heartbeat("g1", 2, "x")
        await self.receive_heartbeat("g1", 3, self.store.current.digest)
        self.assertEqual(self.mesh.requests, [])

    async def test_a_failed_request_is_retried_at_the_next_heartbeat(self):
        """Guards against an unreachable peer that blocks all later requests."""
        await self.receive_heartbeat("g1", 5, "x")
        self.mesh.replies["g2"] = DocumentReply(5, TEXT)
        await self.receive_heartbeat("g2", 5, "x")
        self.assertEqual(self.store.revision, 5)

    async def test_a_rejected_text_is_fetched_only_once(self):
        """Guards against fetching an invalid text at every heartbeat."""
        self.store.offer(TEXT, 3, "platform")
        self.mesh.replies["g1"] = DocumentReply(5, "{}")
        await self.receive_heartbeat("g1", 5, "x")
        await self.receive_heartbeat("g1", 5, "x")
        self.assertEqual(len(self.mesh.requests), 1)
        self.assertEqual(self.store.revision, 3)

    async def test_a_different_text_of_the_same_revision_is_ignored_and_counted(self):
        """Guards against gateways that alternately replace each other's text."""
        self.store.offer(TEXT, 3, "platform")
        await self.receive_heartbeat("g1", 3, "other")
        self.store.offer(NEXT_TEXT, 3, "platform")
        self.assertEqual(self.store.text, TEXT)
        self.assertEqual(self.metrics.counters["configuration.conflict"], 2)

    async def test_returns_its_text_on_request(self):
        """Guards against a peer with an older text that receives no reply."""
        self.store.offer(TEXT, 3, "platform")
        reply = self.mesh.receive("g1", DocumentRequest())
        self.assertEqual(reply, DocumentReply(3, TEXT))

    async def test_synchronizes_only_with_the_newest_text_of_all_peers(self):
        """Guards against serving with the old text of a stale platform."""
        self.store.offer(TEXT, 3, "platform")
        synchronizing = asyncio.ensure_future(self.replicator.synchronize(3.0))
        await self.receive_heartbeat("g1", 3, self.store.current.digest)
        await asyncio.sleep(0)
        self.assertFalse(synchronizing.done())
        await self.receive_heartbeat("g2", 5, "x")
        self.clock.now += 60
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertFalse(synchronizing.done(), "a live peer has a newer text")
        self.mesh.replies["g2"] = DocumentReply(5, NEXT_TEXT)
        await self.receive_heartbeat("g2", 5, "x")
        await synchronizing
        self.assertEqual(self.store.revision, 5)

    async def test_synchronizes_immediately_if_no_peer_runs(self):
        """Guards against the first gateway waiting for peers that are not running."""
        self.membership.record_refusal("g1")
        self.membership.record_refusal("g2")
        self.store.offer(TEXT, 3, "platform")
        await asyncio.wait_for(self.replicator.synchronize(3.0), 1.0)


if __name__ == "__main__":
    unittest.main()
