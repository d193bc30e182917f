"""Test that the work of one gateway does not grow with the size of its fleet.

Each test guards against a gateway that spends its processor on the number of hosts: on
312 hosts, gateways without any call used up to half of a core.
"""

import itertools
import unittest

from dogwoodshed._internal.mesh.fleet_messages import (
    DataCentreLoad,
    FleetLoad,
)
from dogwoodshed._internal.mesh.load_exchange import LoadExchange
from dogwoodshed._internal.mesh.messages import (
    Hello,
)
from dogwoodshed._internal.mesh.roster import FleetRoster
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.probing.prober import Prober
from tests.lib.fleet_builders import FakeClock, member, router
from tests.lib.work import count_instructions

DATA_CENTRES = ("lima-a", "lima-b", "lima-c", "lima-d", "lima-e")
SMALL, LARGE = 30, 300
# Allows for sorting, whose work grows slightly faster than the number of items.
LINEAR = 1.3 * LARGE / SMALL
CONSTANT = 1.1
UPSTREAMS = tuple(f"i-{number}" for number in range(40))


class _Delegate:
    """Accept the loads of other gateways."""

    directory_failing = False

    def apply_load(self, load):
        """Ignore a load."""

    def switch_hub(self, hub):
        """Ignore a new hub."""


class Gateway:
    """The parts of a gateway that know the other members; it is not a hub."""

    def __init__(self, fleet_size):
        self.clock = FakeClock()
        self.own = member("own", DATA_CENTRES[0], incarnation=100_000)
        self.roster = FleetRoster(self.own, self.clock)
        names = zip(
            itertools.count(1), itertools.cycle(DATA_CENTRES), range(fleet_size)
        )
        self.others = tuple(
            member(f"g{number}", data_centre, incarnation=number)
            for number, data_centre, _ in names
        )
        self.sequence = itertools.count(1)
        self.exchange = LoadExchange(
            Hello(1, "own", 100_000, DATA_CENTRES[0]), self.roster, self.clock
        )
        self.exchange.attach(_Delegate())

    def receive_load(self, members=()):
        """Receive a load from the hub, with members if they changed."""
        load = DataCentreLoad("g1", 1, next(self.sequence), members=members)
        self.exchange.handle_fleet_load("g1", FleetLoad((load,)))

    def join(self):
        """Learn all members from the hub."""
        self.receive_load(self.others)
        return self


class FleetCostTest(unittest.TestCase):
    def assert_growth(self, measure, limit):
        """Compare the work that `measure` counts in a small and a large fleet."""
        small, large = measure(SMALL), measure(LARGE)
        self.assertGreater(small, 0)
        self.assertLess(large / small, limit, (small, large))

    def test_poll_for_probes(self):
        """Guards against a search for the hub of each upstream at each poll."""

        def measure(size):
            gateway = Gateway(size).join()
            context_router = router(gateway.clock, *UPSTREAMS)
            context_router._context = context_router._context._replace(
                probes_data_centre=lambda data_centre: (
                    gateway.roster.is_hub
                    and not gateway.roster.has_live_gateway(data_centre)
                )
            )
            prober = Prober(
                context_router,
                gateway.roster,
                lambda _: None,
                lambda target, outcome: None,
                gateway.clock,
                Metrics(),
            )
            return count_instructions(lambda: prober.pop_due(gateway.clock.now))

        self.assert_growth(measure, CONSTANT)

    def test_reader_rank(self):
        """Guards against sorting all members at each check for a due read."""

        def measure(size):
            roster = Gateway(size).join().roster
            # Computed once after a change of the members.
            self.assertEqual(roster.reader_rank, size)
            return count_instructions(lambda: roster.reader_rank)

        self.assert_growth(measure, CONSTANT)

    def test_load_without_changes(self):
        """Guards against visiting all members for each load that arrives."""

        def measure(size):
            gateway = Gateway(size).join()
            return count_instructions(gateway.receive_load)

        self.assert_growth(measure, CONSTANT)

    def test_join(self):
        """Guards against a refresh of all members for each member that is learned."""

        def measure(size):
            gateway = Gateway(size)
            return count_instructions(gateway.join)

        self.assert_growth(measure, LINEAR)

    def test_maintenance(self):
        """Guards against visiting all members at each maintenance round."""

        def measure(size):
            roster = Gateway(size).join().roster
            return count_instructions(roster.refresh)

        self.assert_growth(measure, CONSTANT)
