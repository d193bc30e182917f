"""Test which calls a stopping gateway accepts."""

import asyncio
import unittest

from dogwoodshed._internal.exceptions import ShuttingDownError
from dogwoodshed._internal.proxy.planned_stop import PlannedStop
from tests.lib.fleet_builders import FakeClock, call

SERVICE_TIME_S = 0.7


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    """The stop starts no call after 4.6 s and ends all after 5.2 s."""

    def setUp(self):
        self.clock = FakeClock()
        self.stop = PlannedStop(self.clock, lambda _: SERVICE_TIME_S)
        self.stop.begin(4.6)

    def admit(self, time_left):
        deadline = self.clock.now + time_left
        task = asyncio.current_task()
        self.stop.admit(task, call(self.clock, deadline=deadline))

    async def test_call_whose_deadline_ends_it_in_time_is_accepted(self):
        """Guards against refusing a call that the stop cannot cut."""
        self.stop.end_acceptance()
        self.clock.now += 4.0
        # It ends at 5.0 s. The mean service time fits, twice it does not.
        self.admit(1.0)

    async def test_long_call_is_accepted_while_it_can_be_finished(self):
        """Guards against refusals while the balancer still sends requests here."""
        self.clock.now += 2.5
        self.admit(6.0)

    async def test_long_call_is_refused_after_the_acceptance(self):
        """Guards against a call that the end of the process cuts."""
        self.stop.end_acceptance()
        with self.assertRaises(ShuttingDownError):
            self.admit(6.0)

    async def test_long_call_without_the_time_for_it_is_refused(self):
        """Guards against the same where the acceptance does not end."""
        self.clock.now += 4.0
        with self.assertRaises(ShuttingDownError):
            self.admit(6.0)
