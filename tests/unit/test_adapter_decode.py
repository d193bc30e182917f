"""Test the decoding of published targets, configurations and load reports."""

import json
import unittest

from dogwoodshed._internal.configuration.model import CallerLimits
from dogwoodshed._internal.exceptions import InvalidDocumentError
from tests.lib import fleet_builders as builders
from tests.lib.adapter import decode, headers

CONFIGURATION = {
    "version": "00000007",
    "routes": [
        {
            "name": "r",
            "host": "h.example",
            "prefix": "/a/",
            "route_type": "safe",
            "timeout_ms": 1200,
            "slo_ms": 400,
            "priority": 1,
            "traffic_split": [
                {"service": "x", "weight": 90},
                {"service": "y", "weight": 0},
            ],
            "max_attempts": 2,
        }
    ],
    "services": [
        {"name": name, "health_path": "/healthz", "max_connections": 260}
        for name in "xy"
    ],
}


class DecodeTest(unittest.TestCase):
    def test_decodes_target_entry(self):
        """Guards against a value that is decoded into the wrong field."""
        value = builders.target_value(state="draining", cold_left_ms=40)
        decoded = decode.decode_entry(builders.item("servers/i-7", value, 9), 2)
        self.assertEqual(
            (decoded.id, decoded.revision), ("i-7", builders.revision(9, 2))
        )
        self.assertTrue(decoded.listed and decoded.draining)
        self.assertEqual((decoded.started_ms, decoded.cold_ms), (5, 40))

    def test_texts_that_cannot_be_parsed(self):
        """Guards against an entry that ends the reading of all others."""
        nested = b"[" * 100_000 + b"]" * 100_000
        for text in (
            nested,
            b'{"slots":' + nested + b"}",
            b'{"slots": 1' + b"0" * 5000 + b"}",
            b"\xff\xfe{",
            b"",
        ):
            with self.subTest(text=text[:20]):
                item = builders.item("servers/a", text)
                self.assertFalse(decode.decode_entry(item, 0).listed)

    def test_invalid_entries_are_not_listed(self):
        """Guards against invalid entries that break a gateway or attract calls."""
        for changes in (
            {"state": "unheard-of"},
            {"slots": "2"},
            {"slots": True},
            {"address": "nowhere"},
            {"service": 5},
            {"zone": None},
            {"state": ["ready"]},
            {"slots": 10**400},
            {"slots": float("inf")},
            {"slots": float("nan")},
            {"address": "10.0.0.1:70000"},
            {"address": "10.0.0.1:0"},
            {"address": "300.0.0.1:80"},
        ):
            value = builders.target_value(**changes)
            with self.subTest(changes):
                self.assertFalse(
                    decode.decode_entry(builders.item("servers/a", value), 0).listed
                )
        for value in (b"\xff\xfe", b"{", [], None):
            self.assertFalse(
                decode.decode_entry(builders.item("servers/a", value), 0).listed
            )
        broken = {"key": "servers/a", "revision": 1, "value": "%%"}
        self.assertFalse(decode.decode_entry(broken, 0).listed)

    def test_removed_entry_is_not_listed(self):
        """Guards against calls to a target whose entry was removed."""
        removed = {"key": "servers/a", "revision": 4, "deleted": True}
        self.assertFalse(decode.decode_entry(removed, 0).listed)

    def test_decodes_configuration(self):
        """Guards against time limits and traffic shares that are ignored."""
        decoded = decode.decode_configuration(json.dumps(CONFIGURATION), 3)
        route = decoded.routes[0]
        self.assertEqual((route.kind.time_limit, route.kind.deadline), (0.4, 1.2))
        self.assertEqual([b.service.name for b in route.backends], ["x"])
        self.assertEqual(route.kind.max_attempts, 2)

    def test_decodes_limits(self):
        """Guards against limits that are ignored, and odd ones that reject a text."""
        for limits, expected in (
            (
                {
                    "max_header_bytes": 16384,
                    "max_body_bytes": 1000,
                    "header_timeout_ms": 3000,
                    "idle_timeout_ms": 15000,
                },
                CallerLimits(16384, 1000, 3.0, 15.0),
            ),
            ({"max_body_bytes": "9", "idle_timeout_ms": 10**400}, CallerLimits()),
            ({"max_header_bytes": 0, "header_timeout_ms": -1}, CallerLimits()),
            ({"max_body_bytes": True, "idle_timeout_ms": 1.5}, CallerLimits()),
            ([], CallerLimits()),
            (None, CallerLimits()),
        ):
            with self.subTest(limits):
                text = json.dumps({**CONFIGURATION, "limits": limits})
                decoded = decode.decode_configuration(text, 3)
                self.assertEqual(decoded.caller_limits, expected)

    def test_invalid_configuration_is_rejected(self):
        """Guards against an invalid configuration that removes all routes."""
        for text in ("", "{", "[]", json.dumps({**CONFIGURATION, "services": []})):
            with self.subTest(text), self.assertRaises(InvalidDocumentError):
                decode.decode_configuration(text, 1)

    def test_decodes_load_report(self):
        """Guards against calls that fail because of a malformed load report."""
        name = "X-Dogwoodshed-Server-Load"
        self.assertEqual(headers.read_load({name: "3,0,8,250"}).slowness, 2.5)
        self.assertIsNone(headers.read_load({name: "3,0,8"}).slowness)
        for text in ("", "a,b,c", "1,2", "1"):
            self.assertIsNone(headers.read_load({name: text}))
