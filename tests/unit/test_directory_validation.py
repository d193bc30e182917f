"""Test that entries of other writers reach neither calls nor other gateways."""

import asyncio
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dogwoodshed._internal.directory.model import DirectoryChanges
from dogwoodshed._internal.directory.validation import MAX_NUMBER
from dogwoodshed._internal.mesh.codec import Decoder, encode
from dogwoodshed._internal.mesh.fleet_messages import GatewayUpdate, UpdateBatch
from tests.lib.fleet_builders import FakeClock, directory_view, entry, revision

# Reproducible in CI.
REPRODUCIBLE = settings(derandomize=True, deadline=None, max_examples=300)
HALF_CHARACTER = "ballroom-\ud83d"
INVALID_FIELDS = (
    {"service": HALF_CHARACTER},
    {"service": "x" * 100_000},
    {"data_centre": HALF_CHARACTER},
    {"slots": 2**64},
    {"slots": -1},
    {"started_ms": 2**64},
    {"cold_ms": 2**64},
    {"address": "10.0.0.1:0"},
    {"address": "10.0.0.1:65536"},
    {"address": "10.0.0.256:80"},
    {"address": "10.0.0.1:80\n"},
    {"address": "10.0.0.1:\u0668\u0660"},
    {"address": f"10.0.0.1:{'8' * 5000}"},
    {"address": HALF_CHARACTER},
)
INVALID_IDS = (HALF_CHARACTER, "i-\u00e9", "i-1\r\nX-Other: 1", "i 1", "")
TEXTS = st.text(st.characters(codec=None), max_size=12)
NUMBERS = st.integers(-(2**80), 2**80)


class DirectoryValidationTest(unittest.IsolatedAsyncioTestCase):
    def read(self, *entries):
        """Let a view read entries; return it and what it sends to peers."""
        self.usable = {}
        view = directory_view(FakeClock(), on_upstreams=self.record_usable)
        changes = DirectoryChanges(revision(9), entries, complete=True)
        view.apply_changes(changes)
        return view

    def record_usable(self, upstreams):
        self.usable = {upstream.entry.id for upstream in upstreams}

    def encoded_messages(self, view):
        update = GatewayUpdate("g0", 1, 1, **view.compose_update())
        return [encode(UpdateBatch((update,))), encode(view.snapshot())]

    async def test_invalid_fields(self):
        """Guards against an entry that ends the exchange between gateways."""
        for fields in INVALID_FIELDS:
            with self.subTest(fields=str(fields)[:60]):
                view = self.read(entry("i-1", 1), entry("i-2", 2, **fields))
                self.assertEqual(self.usable, {"i-1"})
                for data in self.encoded_messages(view):
                    self.assertEqual(len(list(Decoder().feed(data))), 1)

    async def test_invalid_ids(self):
        """Guards against an id that breaks the request whose header contains it."""
        for upstream_id in INVALID_IDS:
            with self.subTest(upstream_id=upstream_id):
                view = self.read(entry("i-1", 1), entry(upstream_id, 2))
                self.assertEqual(self.usable, {"i-1"})
                self.encoded_messages(view)

    async def test_invalid_entry_replaces_a_valid_one(self):
        """Guards against calls to an upstream whose entry names none any more."""
        view = self.read(entry("i-1", 1), entry("i-2", 2))
        changed = entry("i-1", 10, service=HALF_CHARACTER)
        view.apply_changes(DirectoryChanges(revision(10), (changed,)))
        update = view.compose_update()
        listed = {e.id: e.listed for e in update["entries"] if e.revision == 10}
        self.assertEqual(listed, {"i-1": False})

    async def test_revision_beyond_64_bits(self):
        """Guards against a revision that no message can contain."""
        self.read(entry("i-1", 1), entry("i-2", MAX_NUMBER + 1))
        self.assertEqual(self.usable, {"i-1"})

    @REPRODUCIBLE
    @given(TEXTS, TEXTS, TEXTS, NUMBERS, NUMBERS, NUMBERS, NUMBERS)
    def test_any_entry(
        self, upstream_id, service, zone, slots, started_ms, cold_ms, number
    ):
        """Guards against any other entry that cannot be sent."""
        odd = entry(
            upstream_id,
            number,
            service=service,
            data_centre=zone,
            slots=slots,
            started_ms=started_ms,
            cold_ms=cold_ms,
        )

        async def exchange():
            self.encoded_messages(self.read(entry("i-1", 1), odd))

        asyncio.run(exchange())
