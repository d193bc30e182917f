"""Test how the era of the store is read and compared."""

import asyncio
import unittest
from typing import Any

from dogwoodshed._internal.exceptions import HistoryLostError, PlatformError
from tests.lib import adapter
from tests.lib.fleet_builders import item, revision, target_value


class _ScriptedStore(adapter.store.StoreDirectory):
    """Directory whose store gives prepared responses, each with its era."""

    def __init__(self, *responses: tuple[int, dict[str, Any]]) -> None:
        super().__init__("127.0.0.1:1")
        self._responses = list(responses)

    async def _get(self, path: str, query: dict[str, str], timeout: float) -> Any:
        return adapter.store._Response(*self._responses.pop(0))


class _Headers:
    """Response with headers only."""

    def __init__(self, **headers: str) -> None:
        self.headers = {name.replace("_", "-"): text for name, text in headers.items()}


def page(number, *keys, has_more=False):
    items = [item(f"servers/{key}", target_value(), number) for key in keys]
    return {"store_revision": number, "items": items, "has_more": has_more}


class EraTest(unittest.TestCase):
    def test_entries_have_the_era_of_their_response(self):
        """Guards against entries of two eras that are compared by number."""
        changes = asyncio.run(_ScriptedStore((3, page(7, "i-1"))).load())
        self.assertEqual(changes.revision, revision(7, 3))
        self.assertEqual(changes.entries[0].revision, revision(7, 3))

    def test_restore_between_two_pages(self):
        """Guards against a listing that mixes the states before and after."""
        store = _ScriptedStore((3, page(7, "i-1", has_more=True)), (4, page(5, "i-2")))
        with self.assertRaises(HistoryLostError):
            asyncio.run(store.load())

    def test_watch_from_a_revision_that_was_assigned_again(self):
        """Guards against changes of a later era taken as those after a revision."""
        events = {"store_revision": 9, "events": []}
        with self.assertRaises(HistoryLostError):
            asyncio.run(_ScriptedStore((4, events)).watch(revision(7, 3), 0.1))
        with self.assertRaises(PlatformError):
            asyncio.run(_ScriptedStore((2, events)).watch(revision(7, 3), 0.1))

    def test_era_header(self):
        """Guards against a store without eras, or a malformed one, that ends reads."""
        self.assertEqual(adapter.store._read_era(_Headers()), 0)
        self.assertEqual(adapter.store._read_era(_Headers(Store_Era="12")), 12)
        for text in ("", "-1", "1.5", "x", "¹", "9" * 30, "9" * 5000):
            with self.subTest(text=text), self.assertRaises(PlatformError):
                adapter.store._read_era(_Headers(Store_Era=text))

    def test_configuration_is_ordered_by_the_version_of_the_operator(self):
        """Guards against an order by revisions, which go back with a restore."""
        text = {"version": "0000000c"}
        response = {
            "store_revision": 7,
            "items": [item("op/config", text, 5)],
            "has_more": False,
        }
        changes = asyncio.run(_ScriptedStore((3, response)).load())
        self.assertEqual(changes.configuration.version, 12)

    def test_numbers_beyond_64_bits(self):
        """Guards against numbers that cannot be sent to the other gateways."""
        with self.assertRaises(PlatformError):
            asyncio.run(_ScriptedStore((3, page(2**63, "i-1"))).load())
        response = page(7, "i-1")
        response["items"].append(item("servers/i-2", target_value(), 2**63))
        version = {"version": "8000000000000000"}
        response["items"].append(item("op/config", version, 6))
        changes = asyncio.run(_ScriptedStore((3, response)).load())
        self.assertEqual([entry.id for entry in changes.entries], ["i-1"])
        self.assertIsNone(changes.configuration)
