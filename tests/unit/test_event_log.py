"""Test the limits of the event log."""

import json
import os
import unittest

from dogwoodshed._internal.event_log import MAX_LINES_PER_S, EventLog
from dogwoodshed._internal.metrics import Metrics

# The test may run over the end of a second, in which the limit starts anew.
MAX_SECONDS = 2


class EventLogTest(unittest.TestCase):
    def setUp(self):
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        self.addCleanup(os.close, writer)
        os.set_blocking(reader, False)
        self.reader = reader
        self.log = EventLog("g1", Metrics(), writer)

    def written(self):
        lines = os.read(self.reader, 1 << 20).decode().splitlines()
        return [json.loads(line)["event"] for line in lines]

    def test_changes_of_state_beside_many_calls(self):
        """Guards against calls that crowd the stop of a gateway out of its log."""
        for number in range(5 * MAX_LINES_PER_S):
            self.log.write("call", id=number)
        self.log.write("state", message="gateway stopping")
        events = self.written()
        self.assertEqual(events[-1], "state")
        self.assertLessEqual(events.count("call"), MAX_SECONDS * MAX_LINES_PER_S)

    def test_changes_of_state_are_limited(self):
        """Guards against a log without bound because of entries that change."""
        for number in range(5 * MAX_LINES_PER_S):
            self.log.write("state", message=f"entry {number}")
        self.assertLessEqual(len(self.written()), MAX_SECONDS * MAX_LINES_PER_S)


if __name__ == "__main__":
    unittest.main()
