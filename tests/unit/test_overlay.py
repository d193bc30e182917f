"""Test how loads and news pass between gateways, over loopback connections."""

import asyncio
import socket
import unittest

from dogwoodshed._internal.clock import SystemClock
from dogwoodshed._internal.mesh.messages import DirectorySnapshot, InFlightCalls
from dogwoodshed._internal.mesh.overlay import Overlay
from dogwoodshed._internal.mesh.roster import DEAD_AFTER_S
from dogwoodshed._internal.settings import Settings
from tests.lib.fleet_builders import CountingMetrics

BOUND_S = 10.0


class Source:
    """Tell a number of calls, and sum up what the others tell."""

    def __init__(self, name):
        self.name = name
        self.calls = 0
        self.news = None
        self.heard = []
        self.others = {}
        self.counted = 0
        self.told = {}
        self.hub = None
        self.directory_failing = False
        self.directory_revision = 0
        self.tables_given = 0

    def compose_load(self, sequence):
        self.told[sequence] = self.calls
        return {"in_flight": (InFlightCalls("u", self.calls),) if self.calls else ()}

    def switch_hub(self, hub):
        self.hub, self.counted = hub, 0
        self.told.clear()

    def record_acknowledgement(self, hub, sequence):
        if hub == self.hub:
            self.counted = self.told.get(sequence, self.counted)

    def apply_load(self, load):
        if load.full:
            self.others.pop(load.hub, None)
        for item in load.in_flight:
            self.others[load.hub] = item.calls

    def directory_progress(self):
        return {"directory_revision": self.directory_revision, "directory_age_ms": 0}

    def record_peer_progress(self, revision, age_ms):
        pass

    def compose_update(self):
        news, self.news = self.news, None
        return news

    def apply_update(self, news):
        self.heard.append((news.origin, news.configuration))

    def snapshot(self):
        self.tables_given += 1
        return DirectorySnapshot((), 0, "", self.directory_revision, 0)

    def apply_snapshot(self, snapshot, *, announce):
        self.directory_revision = max(
            self.directory_revision, snapshot.directory_revision
        )

    @property
    def elsewhere(self):
        return sum(self.others.values()) - self.counted


def free_address():
    """Return an address that nobody listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class OverlayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.overlays = {}
        self.sources = {}
        self.seeds = [free_address()]
        for number in range(6):
            await self.start(f"g{number}", f"dc{number % 2}", number == 0)

    async def asyncTearDown(self):
        await asyncio.gather(*(overlay.stop() for overlay in self.overlays.values()))

    async def start(self, name, data_centre, is_seed=False):
        settings = Settings.from_value(
            {
                "id": name,
                "host": name,
                "data_centre": data_centre,
                "listen": "127.0.0.1:0",
                "mesh": {
                    "listen": self.seeds[0] if is_seed else free_address(),
                    "seeds": self.seeds,
                },
            }
        )
        overlay = Overlay(settings, SystemClock(), CountingMetrics())
        source = self.sources[name] = Source(name)
        overlay.attach(source)
        await overlay.start()
        self.overlays[name] = overlay

    async def until(self, condition):
        async with asyncio.timeout(BOUND_S):
            while not condition():
                await asyncio.sleep(0.02)

    async def joined(self):
        count = len(self.overlays)
        await self.until(
            lambda: all(len(o.roster.live) == count for o in self.overlays.values())
        )

    def set_calls(self, name, calls):
        self.sources[name].calls = calls
        self.overlays[name].publish()

    def all_see(self, total):
        return all(s.elsewhere + s.calls == total for s in self.sources.values())

    async def test_every_gateway_knows_the_load_of_all_others(self):
        """Guards against gateways that do not see the calls of another data centre."""
        await self.joined()
        for number, name in enumerate(self.sources):
            self.set_calls(name, number + 1)
        await self.until(lambda: self.all_see(21))
        self.set_calls("g5", 0)
        await self.until(lambda: self.all_see(15))

    async def test_quiet_fleet_keeps_its_members(self):
        """Guards against gateways that count as dead while nothing changes.

        Found in the log of pareja-gw trouble-1: relays heard of their gateways only
        when these joined, and counted them as silent every few seconds.
        """
        await self.joined()
        changes = []
        for name, overlay in self.overlays.items():
            overlay.roster.subscribe(lambda name=name: changes.append(name))
        await asyncio.sleep(2 * DEAD_AFTER_S)
        self.assertEqual(changes, [])

    async def test_load_survives_the_loss_of_a_relay(self):
        """Guards against sums that hold a lost relay, or miss its gateways."""
        await self.joined()
        for name in self.sources:
            self.set_calls(name, 1)
        await self.until(lambda: self.all_see(6))
        lost = self.overlays["g0"].roster.hub("dc0").id
        await self.overlays.pop(lost).stop()
        del self.sources[lost]
        for source in self.sources.values():
            source.others.pop(lost, None)
        await self.until(lambda: self.all_see(5))

    async def test_news_reach_every_gateway_once(self):
        """Guards against a configuration that some gateways never hear of."""
        await self.joined()
        self.sources["g3"].news = {"configuration": "text"}
        self.overlays["g3"].publish()
        others = [s for name, s in self.sources.items() if name != "g3"]
        await self.until(lambda: all(s.heard for s in others))
        await asyncio.sleep(0.3)
        for source in others:
            self.assertEqual(source.heard, [("g3", "text")], source.name)

    async def test_late_starter_knows_who_cannot_read_the_directory(self):
        """Guards against two gateways that each leave the reading to the other."""
        await self.joined()
        self.sources["g1"].directory_failing = True
        self.overlays["g1"].publish()
        await self.start("g9", "dc0")
        overlays = self.overlays.values()
        await self.until(
            lambda: all("g1" in o.roster.failing_readers for o in overlays)
        )
        self.sources["g1"].directory_failing = False
        self.overlays["g1"].publish()
        await self.until(lambda: not any(o.roster.failing_readers for o in overlays))

    async def test_late_starter_gets_one_table_from_its_relay(self):
        """Guards against a table from each first contact, and against none.

        Those of another data centre cost 0.108 GB on a day of pareja-gw-grown.
        """
        await self.joined()
        for source in self.sources.values():
            source.directory_revision = 7
        hub = self.overlays["g1"].roster.hub("dc1").id
        await self.start("g9", "dc1")
        await self.until(lambda: self.sources["g9"].directory_revision == 7)
        await self.joined()
        given = {n: s.tables_given for n, s in self.sources.items() if s.tables_given}
        self.assertEqual(given, {hub: 1})

    async def test_one_connection_for_each_gateway_but_the_relays(self):
        """Guards against connections that grow with the square of the fleet."""
        await self.joined()
        relays = {self.overlays["g0"].roster.hub(f"dc{n}").id for n in range(2)}
        # Connections to first contacts last until they are not wanted any more.
        await self.until(
            lambda: all(
                len(overlay.connected) == 1
                for name, overlay in self.overlays.items()
                if name not in relays
            )
        )

    async def test_leaving_gateway_is_not_counted_any_more(self):
        """Guards against a stopping host that stays the relay."""
        await self.joined()
        await self.overlays["g0"].announce_leaving()
        others = [o for name, o in self.overlays.items() if name != "g0"]
        await self.until(lambda: all(len(o.roster.live) == 5 for o in others))
        for overlay in others:
            self.assertNotEqual(overlay.roster.hub("dc0").id, "g0")
