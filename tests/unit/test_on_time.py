"""Test which calls are queued, served first or refused."""

import unittest

from dogwoodshed._internal.admission.on_time import (
    Backlog,
    OnTimeQueue,
    should_refuse,
)
from dogwoodshed._internal.admission.ranked_queue import Waiter
from tests.lib import fleet_builders as builders

SERVICE_TIME_S = 0.1


def service_time_of(_):
    """Return the same service time for every call."""
    return SERVICE_TIME_S


class OnTimeTest(unittest.TestCase):
    def setUp(self):
        self.clock = builders.FakeClock()
        self.queue = OnTimeQueue(3, 100)

    def push(self, call):
        waiter = Waiter(call, None, frozenset())
        self.queue.push(waiter)
        return waiter

    def first_in_order(self):
        return self.queue.ordered(service_time_of, self.clock.now)[0]

    def test_more_urgent_call_goes_first(self):
        """Guards against urgent calls queued behind a flood of less urgent ones."""
        self.push(builders.call(self.clock, 2))
        urgent = self.push(builders.call(self.clock, 0))
        self.assertIs(self.first_in_order(), urgent)

    def test_late_calls_do_not_make_others_late(self):
        """Guards against a first-come queue, in which all calls are late at the limit.

        Found on corrib-gw trouble-1: after one burst, half of the responses were late
        for the rest of the day although the service had enough capacity.
        """
        late = self.push(builders.call(self.clock, 1))
        self.clock.now += 0.3
        fresh = self.push(builders.call(self.clock, 1))
        self.assertIs(self.first_in_order(), fresh)
        self.assertEqual(
            self.queue.evict_unservable(service_time_of, self.clock.now), [late]
        )

    def test_late_call_keeps_waiting_when_no_other_call_waits(self):
        """Guards against a refusal while there is spare capacity."""
        self.push(builders.call(self.clock, 1))
        self.clock.now += 0.5
        self.assertEqual(
            self.queue.evict_unservable(service_time_of, self.clock.now), []
        )

    def test_call_that_cannot_meet_its_deadline_is_evicted(self):
        """Guards against calls that wait in vain until their deadline."""
        waiter = self.push(builders.call(self.clock, 1))
        self.clock.now += 1.15
        self.assertEqual(
            self.queue.evict_unservable(service_time_of, self.clock.now), [waiter]
        )
        self.assertEqual(len(self.queue), 0)

    def test_full_queue_refuses_the_least_urgent(self):
        """Guards against a queue of unbounded length."""
        queue = OnTimeQueue(3, 1)
        kept = Waiter(builders.call(self.clock, 0), None, frozenset())
        evicted = Waiter(builders.call(self.clock, 2), None, frozenset())
        queue.push(evicted)
        self.assertIs(queue.push(kept), evicted)

    def test_call_behind_a_long_backlog_is_refused_on_arrival(self):
        """Guards against queueing a call that would be refused later."""
        call = builders.call(self.clock)
        for calls_ahead, refused in ((0, False), (5, False), (40, True), (150, True)):
            backlog = Backlog(calls_ahead, 100.0)
            found = should_refuse(call, SERVICE_TIME_S, backlog, self.clock.now)
            self.assertEqual(found, refused, calls_ahead)

    def test_retry_of_a_caller_is_queued_for_longer(self):
        """Guards against a second refusal of a caller that will not try again."""
        call = builders.call(self.clock, deadline=self.clock.now + 0.8)
        call.set_prior_wait(0.4)
        now = self.clock.now
        self.assertFalse(should_refuse(call, SERVICE_TIME_S, Backlog(10, 100.0), now))
        self.assertTrue(should_refuse(call, SERVICE_TIME_S, Backlog(60, 100.0), now))

    def test_service_without_capacity_refuses_calls(self):
        """Guards against waiting when no upstream accepts calls."""
        call = builders.call(self.clock)
        self.assertTrue(
            should_refuse(call, SERVICE_TIME_S, Backlog(1, 0.0), self.clock.now)
        )
