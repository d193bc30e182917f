"""Test the shared budget of a fleet for arrivals beyond the first."""

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
        self.clock = builders.FakeClock()
        self.budget = self.fleet_budget()
        self.retries = FleetRetryPolicy(self.budget, lambda _: 0.1)
        self.calls_waiting = False
        self.hedges = FleetHedgePolicy(
            self.budget, lambda _: 0.1, lambda _: self.calls_waiting
        )

    def fleet_budget(self):
        settings = RetrySettings(ratio=RATIO, reserve=RESERVE, window_s=WINDOW_S)
        return FleetRetryBudget(settings, self.clock)

    def call(self, **changes):
        return builders.call(self.clock, **changes)

    def test_gateway_that_starts_without_contact(self):
        """Guards against a gateway that takes the reserve of others it has not met."""
        settings = RetrySettings(ratio=RATIO, reserve=RESERVE, window_s=WINDOW_S)
        budget = FleetRetryBudget(settings, self.clock, min_fleet_size=4)
        for known in (0, 1, 4):
            with self.subTest(known=known):
                budget.set_fleet_size(known)
                self.clock.now += 2 * WINDOW_S
                withdrawn = 0
                while budget.try_withdraw(self.call()):
                    withdrawn += 1
                self.assertLessEqual(withdrawn, RESERVE / 4)
                self.assertGreater(withdrawn, 0)

    def test_a_fleet_stays_within_its_budget(self):
        """Guards against gateways that each spend the budget of the whole fleet."""
        fleet_size = 19
        allowed = 0
        for _ in range(fleet_size):
            budget = self.fleet_budget()
            budget.set_fleet_size(fleet_size)
            policy = FleetRetryPolicy(budget, lambda _: 0.1)
            for _ in range(50):
                call = self.call()
                policy.record_call(call)
                allowed += policy.allow_repeat(call, 0, self.clock.now)
                allowed += policy.allow_move(call, 0, self.clock.now)
        self.assertGreater(allowed, 0)
        self.assertLessEqual(allowed, RATIO * fleet_size * 50 + RESERVE)

    def test_budget_of_idle_seconds_covers_a_burst_of_failures(self):
        """Guards against repeats that are refused while the window allows them.

        A gateway with few calls and a bucket of one token could repeat only one call
        of a burst, although the window allowed several.
        """
        self.budget.set_fleet_size(107)
        for _ in range(40):
            self.clock.now += 0.2
            self.retries.record_call(self.call())
        withdrawn = [self.budget.try_withdraw(self.call()) for _ in range(20)]
        self.assertGreaterEqual(sum(withdrawn), 5)
        self.assertLessEqual(sum(withdrawn), RATIO * 40 + RESERVE / 107)

    def test_arrivals_count_for_the_whole_window(self):
        """Guards against a budget that is spent twice within one window."""
        self.budget.set_fleet_size(107)
        for _ in range(40):
            self.retries.record_call(self.call())
        caller_retry = self.call()
        caller_retry.set_prior_wait(0.1)
        while self.budget.try_withdraw(caller_retry):
            pass
        self.clock.now += WINDOW_S * 0.9
        self.assertFalse(self.budget.try_withdraw(caller_retry))

    def test_budget_is_kept_for_callers_that_have_retried(self):
        """Guards against first tries that use up the budget of caller retries.

        Every upstream of the service refuses half of its calls
        (deploy/days/service-sheds.toml). A caller that is asked to retry at once
        causes another first arrival; a refused call of one that has retried is lost.
        """
        for _ in range(100):
            self.retries.record_call(self.call())
        first = 0
        while self.budget.try_withdraw(self.call()):
            first += 1
        caller_retry = self.call()
        caller_retry.set_prior_wait(0.1)
        later = 0
        while self.budget.try_withdraw(caller_retry):
            later += 1
        self.assertGreater(first, 0)
        self.assertGreaterEqual(later, first / 4)
        self.assertLessEqual(first + later, RATIO * 100 + RESERVE)

    def test_a_large_fleet_without_calls_stays_within_the_reserve(self):
        """Guards against one free repeat for each of hundreds of gateways."""
        self.budget.set_fleet_size(300)
        self.assertFalse(self.budget.try_withdraw(self.call()))

    def test_attempts_of_one_call_are_bounded(self):
        """Guards against a call that is sent to more targets than its route allows."""
        call = self.call()
        call.attempts = call.kind.max_attempts
        now = self.clock.now
        self.assertFalse(self.retries.allow_move(call, 0, now))
        self.assertFalse(self.retries.allow_repeat(call, 0, now))
        self.assertFalse(self.hedges.allow_hedge(call))
        self.assertIsNone(self.hedges.delay(call))

    def test_attempts_that_never_arrived_are_free(self):
        """Guards against a budget spent on connections that were refused."""
        call = self.call()
        now = self.clock.now
        self.assertTrue(
            all(
                self.retries.allow_move(call, n, now, arrived=False) for n in range(200)
            )
        )

    def test_non_idempotent_call_is_neither_repeated_nor_hedged(self):
        """Guards against a non-idempotent call that runs twice."""
        call = self.call()
        call.kind = builders.kind(idempotent=False)
        self.assertFalse(self.retries.allow_repeat(call, 0, self.clock.now))
        self.assertIsNone(self.hedges.delay(call))

    def test_no_repeat_without_time(self):
        """Guards against calls whose response would arrive after the deadline."""
        call = self.call(deadline=self.clock.now + 0.05)
        self.assertFalse(self.retries.allow_repeat(call, 0, self.clock.now))

    def test_no_hedge_while_others_wait(self):
        """Guards against hedges that add load to a service at its limit."""
        self.calls_waiting = True
        self.assertFalse(self.hedges.allow_hedge(self.call()))

    def test_hedge_starts_early_enough_to_respond_on_time(self):
        """Guards against hedges whose responses are late."""
        call = self.call()
        call.kind = builders.kind(time_limit=0.25)
        self.assertLessEqual(self.hedges.delay(call), 0.125)
        call.kind = builders.kind(time_limit=2.0)
        self.assertAlmostEqual(self.hedges.delay(call), 0.145)
