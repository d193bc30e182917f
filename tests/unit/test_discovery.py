"""Test what the host list changes, and that a faulty one changes nothing."""

import json
import unittest

from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.discovery.host_list import read_host_list
from dogwoodshed._internal.discovery.store import HostListStore
from dogwoodshed._internal.metrics import Metrics
from tests.lib import builders


def hosts_text(*upstreams, gateways=()):
    """Build a host list from pairs of address and state."""
    entries = [
        {"address": address, "service": "profiles", "state": state}
        for address, state in upstreams
    ]
    return json.dumps({"gateways": list(gateways), "upstreams": entries})


class DiscoveryTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.hosts = HostListStore(read_host_list, self.metrics)
        self.lists = []
        self.hosts.subscribe(lambda hosts, _: self.lists.append(hosts))

    def test_reads_gateways_and_upstreams(self):
        """Guards against a leaving host that is taken for a live one."""
        gateway = {"id": "g1", "address": "127.0.0.1:7", "state": "leaving", "x": 1}
        text = hosts_text(("127.0.0.1:1", "live"), ("127.0.0.1:2", "leaving"))
        text = json.dumps({**json.loads(text), "gateways": [gateway]})
        hosts = read_host_list(text, "test")
        self.assertTrue(hosts.gateways[0].leaving)
        self.assertEqual(hosts.leaving, {"127.0.0.1:2"})
        self.assertEqual(len(hosts.upstreams["profiles"]), 2)

    def test_faulty_empty_and_older_lists_change_nothing(self):
        """Guards against a fleet that loses all upstreams to one bad list."""
        good = hosts_text(("127.0.0.1:1", "live"))
        self.assertTrue(self.hosts.offer(good, 5, "platform"))
        state = hosts_text(("127.0.0.1:1", "gone"))
        faulty = ("", "{", "[]", "{}", "null", hosts_text(), state, "NaN", "1e999")
        faulty += ("[" * 100_000, "1" * 5000)
        for revision, text in enumerate(faulty, 6):
            self.assertFalse(self.hosts.offer(text, revision, "platform"), text)
        self.assertFalse(self.hosts.offer(hosts_text(("127.0.0.1:2", "live")), 4, "x"))
        self.assertEqual(len(self.lists), 1)
        self.assertEqual((self.hosts.revision, self.hosts.text), (5, good))

    def test_services_with_discover_use_the_listed_upstreams(self):
        """Guards against a service that keeps no upstream, or loses its last ones."""
        store = ConfigurationStore(self.metrics)
        seen = []
        store.subscribe(seen.append)
        hosts = read_host_list(hosts_text(("127.0.0.1:1", "live")), "test")
        store.apply_discovered_upstreams(hosts.upstreams)
        service = builders.service_entry(upstreams=[], discover="profiles")
        text = json.dumps(builders.configuration_document(service))
        store.offer(text, 3, "platform")
        store.apply_discovered_upstreams({"other": ()})
        store.apply_discovered_upstreams(hosts.upstreams)
        self.assertEqual(len(seen), 1)
        self.assertEqual(seen[0].services[0].upstreams, hosts.upstreams["profiles"])
        store.offer(text.replace('"test"', '"next"'), 4, "platform")
        self.assertEqual(len(store.current.services[0].upstreams), 1)


if __name__ == "__main__":
    unittest.main()
