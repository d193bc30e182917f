"""Test the effects of host lists, and that invalid ones have none."""

import json
import unittest

from dogwoodshed._internal.configuration.store import ConfigurationStore
from dogwoodshed._internal.discovery.host_list import read_host_list
from dogwoodshed._internal.discovery.store import HostListStore
from dogwoodshed._internal.metrics import Metrics
from tests.lib import builders


def hosts_text(*upstreams, gateways=()):
    """Build a host list from gateways and pairs of upstream address and state."""
    entries = [
        {"address": address, "service": "profiles", "state": state}
        for address, state in upstreams
    ]
    return json.dumps({"gateways": list(gateways), "upstreams": entries})


class DiscoveryTest(unittest.TestCase):
    def setUp(self):
        self.metrics = Metrics()
        self.hosts = HostListStore(read_host_list, self.metrics)
        self.accepted = []
        self.hosts.subscribe(lambda hosts, _: self.accepted.append(hosts))

    def test_reads_gateways_and_upstreams(self):
        """Guards against a leaving host that is treated as live."""
        gateway = {"id": "g1", "address": "127.0.0.1:7", "state": "leaving", "x": 1}
        text = hosts_text(("127.0.0.1:1", "live"), ("127.0.0.1:2", "leaving"))
        text = json.dumps({**json.loads(text), "gateways": [gateway]})
        hosts = read_host_list(text, "test")
        self.assertTrue(hosts.gateways[0].leaving)
        self.assertEqual(hosts.leaving, {"127.0.0.1:2"})
        self.assertEqual(len(hosts.upstreams["profiles"]), 2)

    def test_invalid_empty_and_older_lists_are_ignored(self):
        """Guards against an invalid list that removes all upstreams."""
        valid = hosts_text(("127.0.0.1:1", "live"))
        self.assertTrue(self.hosts.offer(valid, 5, "platform"))
        state = hosts_text(("127.0.0.1:1", "gone"))
        invalid = ("", "{", "[]", "{}", "null", hosts_text(), state, "NaN", "1e999")
        invalid += ("[" * 100_000, "1" * 5000)
        for revision, text in enumerate(invalid, 6):
            self.assertFalse(self.hosts.offer(text, revision, "platform"), text)
        self.assertFalse(self.hosts.offer(hosts_text(("127.0.0.1:2", "live")), 4, "x"))
        self.assertEqual(len(self.accepted), 1)
        self.assertEqual((self.hosts.revision, self.hosts.text), (5, valid))

    def test_services_with_discover_use_the_listed_upstreams(self):
        """Guards against a service that gets no upstreams or loses its last ones."""
        store = ConfigurationStore(self.metrics)
        applied = []
        store.subscribe(applied.append)
        hosts = read_host_list(hosts_text(("127.0.0.1:1", "live")), "test")
        store.apply_discovered_upstreams(hosts.upstreams)
        service = builders.service_entry(upstreams=[], discover="profiles")
        text = json.dumps(builders.configuration_document(service))
        store.offer(text, 3, "platform")
        store.apply_discovered_upstreams({"other": ()})
        store.apply_discovered_upstreams(hosts.upstreams)
        self.assertEqual(len(applied), 1)
        self.assertEqual(applied[0].services[0].upstreams, hosts.upstreams["profiles"])
        store.offer(text.replace('"test"', '"next"'), 4, "platform")
        self.assertEqual(len(store.current.services[0].upstreams), 1)


if __name__ == "__main__":
    unittest.main()
