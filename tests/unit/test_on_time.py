"""Test which calls wait, which go first and which are refused."""

import unittest

from dogwoodshed._internal.admission.on_time_queue import (
    OnTimeQueue,
    Pressure,
    should_refuse,
)
from dogwoodshed._internal.admission.ranked_queue import Waiter
from tests.lib import fleet_builders as builders

WORK_S = 0.1


def work_of(_):
    """Return the same work for every call."""
    return WORK_S


class OnTimeTest(unittest.TestCase):
    def setUp(self):
        self.clock = builders.ManualClock()
        self.queue = OnTimeQueue(3, 100)

    def push(self, call):
        waiter = Waiter(call, None, frozenset())
        self.queue.push(waiter)
        return waiter

    def next(self):
        return self.queue.ordered(work_of, self.clock.now)[0]

    def test_more_urgent_goes_first(self):
        """Guards against urgent calls behind a flood of others."""
        self.push(builders.call(self.clock, 2))
        urgent = self.push(builders.call(self.clock, 0))
        self.assertIs(self.next(), urgent)

    def test_late_calls_do_not_make_others_late(self):
        """Guards against a queue by arrival, in which at the limit all are late.

        Found on corrib-gw trouble-1: after one burst half of the answers were late for
        the rest of the day, though the service could do all the work.
        """
        late = self.push(builders.call(self.clock, 1))
        self.clock.now += 0.3
        fresh = self.push(builders.call(self.clock, 1))
        self.assertIs(self.next(), fresh)
        self.assertEqual(self.queue.take_hopeless(work_of, self.clock.now), [late])

    def test_late_call_waits_on_while_nobody_else_does(self):
        """Guards against a refusal while there is room."""
        self.push(builders.call(self.clock, 1))
        self.clock.now += 0.5
        self.assertEqual(self.queue.take_hopeless(work_of, self.clock.now), [])

    def test_call_without_time_is_given_up(self):
        """Guards against calls that are held until their deadline."""
        waiter = self.push(builders.call(self.clock, 1))
        self.clock.now += 1.15
        self.assertEqual(self.queue.take_hopeless(work_of, self.clock.now), [waiter])
        self.assertEqual(len(self.queue), 0)

    def test_full_queue_refuses_the_least_urgent(self):
        """Guards against a queue that grows without a bound."""
        queue = OnTimeQueue(3, 1)
        kept = Waiter(builders.call(self.clock, 0), None, frozenset())
        victim = Waiter(builders.call(self.clock, 2), None, frozenset())
        queue.push(victim)
        self.assertIs(queue.push(kept), victim)

    def test_refusal_at_arrival(self):
        """Guards against holding a call that will be refused in the end."""
        call = builders.call(self.clock)
        for ahead, refused in ((0, False), (5, False), (40, True), (150, True)):
            pressure = Pressure(ahead, 100.0)
            found = should_refuse(call, WORK_S, pressure, self.clock.now)
            self.assertEqual(found, refused, ahead)

    def test_returning_caller_has_its_place(self):
        """Guards against a second refusal of a caller that will not come again."""
        call = builders.call(self.clock, deadline=self.clock.now + 0.8)
        call.set_prior_wait(0.4)
        now = self.clock.now
        self.assertFalse(should_refuse(call, WORK_S, Pressure(10, 100.0), now))
        self.assertTrue(should_refuse(call, WORK_S, Pressure(60, 100.0), now))

    def test_service_without_capacity_refuses(self):
        """Guards against waiting for upstreams that are all closed."""
        call = builders.call(self.clock)
        self.assertTrue(should_refuse(call, WORK_S, Pressure(1, 0.0), self.clock.now))
