"""Test the bounds on moves, repeats and hedges."""

import random
import unittest

from dogwoodshed._internal.proxy.call import Call
from dogwoodshed._internal.retries.budget import Budget
from dogwoodshed._internal.retries.hedges import HedgePolicy, RunningQuantile
from dogwoodshed._internal.retries.policy import (
    MOVE_RESERVE,
    REPEAT_RESERVE,
    REPEAT_SHARE,
    RetryPolicy,
)
from tests.lib import builders

CALLS = 1000
SERVICE = builders.configuration().services[0]


def build_call(kind: int = 0, **changes) -> Call:
    """Build a call that arrives at 0 and must end at 1."""
    service = SERVICE
    return Call(
        service,
        service.kinds[kind],
        **{"caller": "c", "arrived_at": 0.0, "deadline": 1.0, **changes},
    )


class BudgetTest(unittest.TestCase):
    def test_idle_time_does_not_fill_it_without_bound(self):
        """Guards against a quiet hour that pays for a storm of repeats."""
        budget = Budget(0.5, 3)
        for _ in range(CALLS):
            budget.deposit()
        taken = sum(budget.try_withdraw() for _ in range(CALLS))
        self.assertEqual(taken, 3)


class RetryPolicyTest(unittest.TestCase):
    def test_repeats_stay_in_budget_when_everything_fails(self):
        """Guards against repeats that add to the load of a failing fleet."""
        policy = RetryPolicy()
        repeats = 0
        for _ in range(CALLS):
            policy.record_call(build_call())
            repeats += policy.allow_repeat(build_call(), 0, 0.0)
        self.assertLessEqual(repeats, CALLS * REPEAT_SHARE + REPEAT_RESERVE)
        self.assertGreater(repeats, CALLS * REPEAT_SHARE / 2)

    def test_nested_calls_pay_for_no_repeats(self):
        """Guards against a deep tree that buys repeats at its top."""
        policy = RetryPolicy()
        for _ in range(REPEAT_RESERVE):
            self.assertTrue(policy.allow_repeat(build_call(), 0, 0.0))
        for _ in range(CALLS):
            policy.record_call(build_call(depth=1))
        self.assertFalse(policy.allow_repeat(build_call(), 0, 0.0))

    def test_moves_stay_in_budget_when_everything_refuses(self):
        """Guards against asking every upstream for each call that none takes."""
        policy = RetryPolicy()
        moves = 0
        for _ in range(CALLS):
            policy.record_call(build_call())
            moved = 0
            while moved < 20 and policy.allow_move(build_call(), moved, 0.0):
                moved += 1
            moves += moved
        self.assertLessEqual(moves, 2 * CALLS + MOVE_RESERVE)
        self.assertGreaterEqual(moves, CALLS)

    def test_only_safe_calls_are_repeated(self):
        """Guards against a second run of a write, of a nested or of a late call."""
        policy = RetryPolicy()
        self.assertTrue(policy.allow_repeat(build_call(), 0, 0.5))
        self.assertFalse(policy.allow_repeat(build_call(kind=1), 0, 0.5))
        self.assertFalse(policy.allow_repeat(build_call(depth=1), 0, 0.5))
        self.assertFalse(policy.allow_repeat(build_call(), 0, 1.0))
        self.assertFalse(policy.allow_move(build_call(), 0, 1.0))


class HedgesTest(unittest.TestCase):
    def test_quantile_follows_a_change(self):
        """Guards against hedging by a latency that is long out of date."""
        source = random.Random(3)
        quantile = RunningQuantile()
        for mean in (0.01, 0.1, 0.01):
            samples = [source.expovariate(1 / mean) for _ in range(5000)]
            for sample in samples:
                quantile.observe(sample)
            above = sum(sample > quantile.estimate for sample in samples)
            self.assertAlmostEqual(above / len(samples), 0.05, delta=0.03)

    def test_hedges_stay_in_budget(self):
        """Guards against hedges that double the load of a fleet that got slow."""
        policy = HedgePolicy()
        hedges = 0
        for _ in range(CALLS):
            policy.record_call(build_call())
            hedges += policy.allow_hedge(build_call())
        self.assertLessEqual(hedges, CALLS * 0.02 + 5)

    def test_no_hedge_for_a_write_or_without_samples(self):
        """Guards against hedging a write, or by a guess."""
        policy = HedgePolicy()
        self.assertIsNone(policy.delay(build_call()))
        for _ in range(100):
            policy.observe(build_call(), 0.02)
            policy.observe(build_call(kind=1), 0.02)
        self.assertAlmostEqual(policy.delay(build_call()), 0.02, delta=0.01)
        self.assertIsNone(policy.delay(build_call(kind=1)))


if __name__ == "__main__":
    unittest.main()
