"""Test that pauses of the process are told from overload."""

import unittest

from dogwoodshed._internal.clock import PauseDetector
from tests.lib.mesh_fakes import ManualClock


class PauseDetectorTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.detector = PauseDetector(self.clock, 1.0)

    def test_finds_a_gap_without_work(self):
        """Guards against a process that wakes and does not notice."""
        self.clock.now += 3.0
        self.assertEqual(self.detector.tick(), 3.0)
        self.assertEqual(self.detector.tick(), 0.0)

    def test_does_not_take_overload_for_a_pause(self):
        """Guards against closing all connections because the process is busy."""
        self.clock.now += 3.0
        self.clock.cpu_seconds += 2.8
        self.assertEqual(self.detector.tick(), 0.0)


if __name__ == "__main__":
    unittest.main()
