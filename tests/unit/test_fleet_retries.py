"""Test the fleet's budget for arrivals beyond the first."""

import unittest

from dogwoodshed._internal.retries.fleet import (
    FleetHedgePolicy,
    FleetRetryBudget,
    FleetRetryPolicy,
)
from dogwoodshed._internal.settings import RetrySettings
from tests.lib import fleet_builders as builders

RATIO, RESERVE, WINDOW_S = 0.2, 64, 10.0


class FleetRetriesTest(unittest.TestCase):
    def setUp(self):
        self.clock = builders.ManualClock()
        self.budget = self.fleet_budget()
        self.retries = FleetRetryPolicy(self.budget, lambda _: 0.1)
        self.pressed = False
        self.hedges = FleetHedgePolicy(
            self.budget, lambda _: 0.1, lambda _: self.pressed
        )

    def fleet_budget(self):
        settings = RetrySettings(ratio=RATIO, reserve=RESERVE, window_s=WINDOW_S)
        return FleetRetryBudget(settings, self.clock)

    def call(self, **changes):
        return builders.call(self.clock, **changes)

    def test_a_fleet_stays_within_the_users_budget(self):
        """Guards against gateways that each spend the budget of all."""
        fleet = 19
        spent = 0
        for _ in range(fleet):
            budget = self.fleet_budget()
            budget.set_fleet_size(fleet)
            policy = FleetRetryPolicy(budget, lambda _: 0.1)
            for _ in range(50):
                call = self.call()
                policy.record_call(call)
                spent += policy.allow_repeat(call, 0, self.clock.now)
                spent += policy.allow_move(call, 0, self.clock.now)
        self.assertGreater(spent, 0)
        self.assertLessEqual(spent, RATIO * fleet * 50 + RESERVE)

    def test_quiet_seconds_pay_for_a_burst_of_failures(self):
        """Guards against repeats that are refused while the window has room.

        The load is a gateway with few calls: a bucket of one token let it repeat one
        call of a burst, though the window allowed several.
        """
        self.budget.set_fleet_size(107)
        for _ in range(40):
            self.clock.now += 0.2
            self.retries.record_call(self.call())
        taken = [self.budget.try_withdraw(self.call()) for _ in range(20)]
        self.assertGreaterEqual(sum(taken), 5)
        self.assertLessEqual(sum(taken), RATIO * 40 + RESERVE / 107)

    def test_what_was_spent_counts_for_the_whole_window(self):
        """Guards against a budget that is spent twice within one window."""
        self.budget.set_fleet_size(107)
        for _ in range(40):
            self.retries.record_call(self.call())
        returning = self.call()
        returning.set_prior_wait(0.1)
        while self.budget.try_withdraw(returning):
            pass
        self.clock.now += WINDOW_S * 0.9
        self.assertFalse(self.budget.try_withdraw(returning))

    def test_returning_callers_find_budget_that_first_tries_left(self):
        """Guards against first tries that spend what a last try needs.

        The load is a service of which every upstream refuses half of its calls
        (deploy/days/service-sheds.toml). A caller that is told to come back at once
        brings another first arrival; one that came back before is lost.
        """
        for _ in range(100):
            self.retries.record_call(self.call())
        first = 0
        while self.budget.try_withdraw(self.call()):
            first += 1
        returning = self.call()
        returning.set_prior_wait(0.1)
        later = 0
        while self.budget.try_withdraw(returning):
            later += 1
        self.assertGreater(first, 0)
        self.assertGreaterEqual(later, first / 4)
        self.assertLessEqual(first + later, RATIO * 100 + RESERVE)

    def test_a_large_fleet_spends_no_more_than_the_reserve_without_calls(self):
        """Guards against one free repeat for each of hundreds of gateways."""
        self.budget.set_fleet_size(300)
        self.assertFalse(self.budget.try_withdraw(self.call()))

    def test_attempts_of_one_call_are_bounded(self):
        """Guards against a call that reaches more targets than its route allows."""
        call = self.call()
        call.attempts = call.kind.max_attempts
        now = self.clock.now
        self.assertFalse(self.retries.allow_move(call, 0, now))
        self.assertFalse(self.retries.allow_repeat(call, 0, now))
        self.assertFalse(self.hedges.allow_hedge(call))
        self.assertIsNone(self.hedges.delay(call))

    def test_what_never_arrived_is_free(self):
        """Guards against a budget spent on connections that were refused."""
        call = self.call()
        now = self.clock.now
        self.assertTrue(
            all(
                self.retries.allow_move(call, n, now, arrived=False) for n in range(200)
            )
        )

    def test_non_idempotent_call_is_neither_repeated_nor_hedged(self):
        """Guards against a charge that runs twice."""
        call = self.call()
        call.kind = builders.kind(idempotent=False)
        self.assertFalse(self.retries.allow_repeat(call, 0, self.clock.now))
        self.assertIsNone(self.hedges.delay(call))

    def test_no_repeat_without_time(self):
        """Guards against work that nobody waits for."""
        call = self.call(deadline=self.clock.now + 0.05)
        self.assertFalse(self.retries.allow_repeat(call, 0, self.clock.now))

    def test_no_hedge_while_others_wait(self):
        """Guards against hedges that make a service at its limit worse."""
        self.pressed = True
        self.assertFalse(self.hedges.allow_hedge(self.call()))

    def test_hedge_comes_early_enough_for_the_aim(self):
        """Guards against hedges whose answers are late."""
        call = self.call()
        call.kind = builders.kind(time_limit=0.25)
        self.assertLessEqual(self.hedges.delay(call), 0.125)
        call.kind = builders.kind(time_limit=2.0)
        self.assertAlmostEqual(self.hedges.delay(call), 0.145)
