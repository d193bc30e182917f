"""Test that pauses of the process are distinguished from overload."""

import unittest

from dogwoodshed._internal.clock import PauseDetector
from tests.lib.mesh_fakes import ManualClock


class PauseDetectorTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.detector = PauseDetector(self.clock, 1.0)

    def test_detects_a_gap_without_processor_use(self):
        """Guards against a process that does not detect that it was paused."""
        self.clock.now += 3.0
        self.assertEqual(self.detector.tick(), 3.0)
        self.assertEqual(self.detector.tick(), 0.0)

    def test_does_not_report_overload_as_a_pause(self):
        """Guards against closing all connections because the process is busy."""
        self.clock.now += 3.0
        self.clock.cpu_seconds += 2.8
        self.assertEqual(self.detector.tick(), 0.0)


if __name__ == "__main__":
    unittest.main()
