"""Test that probes stay within the budget during failures and changes of the fleet."""

import unittest

from dogwoodshed._internal.membership import Members
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.probing.prober import Prober
from dogwoodshed._internal.routing.base import ProbeTarget
from tests.lib.mesh_fakes import ManualClock

BUDGET_PER_S = 0.5
FLEET = tuple(f"g{number:02d}" for number in range(16))


class FakeMembership:
    def __init__(self, own_id, live):
        self.members = Members(own_id, live, FLEET)


class FakeRouter:
    """A router with one upstream to probe, which has no samples by default."""

    def __init__(self, last_sample_at=float("-inf")):
        self.last_sample_at = last_sample_at

    def probe_targets(self):
        return (
            ProbeTarget(
                "profiles", "127.0.0.1:1", "/load", BUDGET_PER_S, self.last_sample_at
            ),
        )


def count_probes(live, seconds, step=0.1, gap=(0.0, 0.0), router=None):
    """Return the number of probes of one gateway that is paused during a gap."""
    prober = Prober(
        router or FakeRouter(),
        FakeMembership(live[0], live),
        lambda _: None,
        lambda target, outcome: None,
        ManualClock(),
        Metrics(),
    )
    count, now = 0, 0.0
    while now < seconds:
        if not gap[0] <= now < gap[1]:
            count += len(prober.pop_due(now))
        now += step
    return count


class ProberTest(unittest.TestCase):
    def test_both_sides_of_a_partition_stay_within_the_budget_together(self):
        """Guards against each side of a partition using the whole budget."""
        for size in (1, 4, 8, 15):
            total = count_probes(FLEET[:size], 600) + count_probes(FLEET[size:], 600)
            self.assertLessEqual(total, BUDGET_PER_S * 600)
            self.assertGreater(total, 0)

    def test_probes_missed_in_a_pause_are_not_caught_up(self):
        """Guards against a burst of probes when a process resumes."""
        paused = count_probes(FLEET, 600, gap=(100.0, 500.0))
        self.assertLessEqual(paused, BUDGET_PER_S * 200)

    def test_new_owner_first_waits_an_interval(self):
        """Guards against extra probes at every restart or change of owner."""
        self.assertEqual(count_probes(FLEET, 1 / BUDGET_PER_S), 0)

    def test_upstream_with_recent_samples_is_not_probed(self):
        """Guards against probes of upstreams whose load is already known."""
        router = FakeRouter(last_sample_at=float("inf"))
        self.assertEqual(count_probes(FLEET, 600, router=router), 0)


if __name__ == "__main__":
    unittest.main()
