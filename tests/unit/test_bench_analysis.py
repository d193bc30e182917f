"""Test how the benchmark of routing policies checks its targets."""

import math
import unittest

from bench.analysis import check_targets, percentile, summarise
from bench.cases import FLOOD, User
from bench.measure import CallRow, Run

USER = User("test", 1, 1, 100.0)


def summary(policy, case, rows, most_probes=0):
    """Summarise a run with these calls."""
    run = Run(policy, case, rows, 0.1, 0.1, 0.1, 0.1, most_probes, 10.0, None, (), 1.0)
    return summarise(run, USER, 10.0)


def rows(rank, count, elapsed, flow=None, ran="yes"):
    """Build identical calls of a rank."""
    return [CallRow(flow or rank, rank, ran, elapsed, 5.0, 200)] * count


class AnalysisTest(unittest.TestCase):
    def check_target(self, prefix, *summaries):
        """Return whether the one target whose text starts with a prefix is met."""
        runs = {(s.run["policy"], s.run["case"]): s for s in summaries}
        found = [r.met for r in check_targets(runs) if r.target.startswith(prefix)]
        self.assertEqual(len(found), 1)
        return found[0]

    def test_percentile_covers_the_share(self):
        """Guards against an index that is off by one at the ends."""
        ordered = list(range(1, 1001))
        self.assertEqual(percentile(ordered, 0.5), 500)
        self.assertEqual(percentile(ordered, 0.999), 999)
        self.assertEqual(percentile([7], 0.99), 7)

    def test_unanswered_call_has_infinite_latency(self):
        """Guards against a policy that looks fast because it rejects slow calls."""
        calls = rows("urgent", 98, 0.1) + rows("urgent", 2, 0.001, ran="no")
        result = summary("slices", "base", calls).ranks["urgent"]
        self.assertEqual(result.p99_ms, math.inf)
        self.assertEqual(result.in_time, 0.98)

    def test_exceeded_bound_is_a_miss(self):
        """Guards against counting a missed or missing comparison as passed."""
        case, prefix = "noisy-neighbour", "noisy neighbour at 0.8: all"
        baseline = summary("least_in_flight", case, rows("urgent", 100, 0.100))
        good = summary("slices", case, rows("urgent", 100, 0.069))
        bad = summary("slices", case, rows("urgent", 100, 0.071))
        self.assertTrue(self.check_target(prefix, baseline, good))
        self.assertIs(self.check_target(prefix, baseline, bad), False)
        self.assertIsNone(self.check_target(prefix, good))

    def test_floor_is_a_share_of_all_answered_calls(self):
        """Guards against a share computed without the calls of the flood itself."""
        prefix, case = "flood of urgent: normal", "flood-urgent"
        not_run = rows("normal", 100, 0.1, ran="no")
        served = rows("normal", 20, 0.1) + not_run
        flood = rows("urgent", 80, 0.1, flow=FLOOD)
        larger_flood = rows("urgent", 81, 0.1, flow=FLOOD)
        self.assertTrue(
            self.check_target(prefix, summary("slices", case, served + flood))
        )
        self.assertIs(
            self.check_target(prefix, summary("slices", case, served + larger_flood)),
            False,
        )

    def test_probes_over_budget_are_a_miss(self):
        """Guards against a probe budget that any probe rate would meet."""
        prefix = "probes"
        within = summary("slices", "base", rows("urgent", 1, 0.1), most_probes=3)
        over = summary("slices", "base", rows("urgent", 1, 0.1), most_probes=4)
        self.assertTrue(self.check_target(prefix, within))
        self.assertIs(self.check_target(prefix, over), False)


if __name__ == "__main__":
    unittest.main()
