"""Test the order in which queued calls are served."""

import random
import unittest
from collections import Counter

from dogwoodshed._internal.admission.ranked_queue import RankedQueue, Waiter
from tests.lib import builders

KIND_BY_RANK = ("write", "read", "export")
FLOORS = (0.2, 0.2, 0.1)


class QueueTest(unittest.TestCase):
    def setUp(self):
        self.configuration = builders.configuration()
        self.service = self.configuration.services[0]
        self.queue = RankedQueue(self.configuration.ranks, 100_000)

    def push(self, rank, **changes):
        call = builders.call(self.service, KIND_BY_RANK[rank], **changes)
        waiter = Waiter(call, None, frozenset())
        return waiter, self.queue.push(waiter)

    def test_flood_of_any_rank_leaves_every_other_rank_its_floor(self):
        """Guards against starvation by strict priority and against unmet floors."""
        for flooded in range(3):
            for rank in range(3):
                for _ in range(3000 if rank == flooded else 1000):
                    self.push(rank)
            served = Counter(self.queue.pop().call.rank for _ in range(1000))
            for rank in range(3):
                self.assertGreaterEqual(served[rank], 1000 * FLOORS[rank] - 2)
            self.assertEqual(served.most_common(1)[0][0], 0)
            while self.queue.pop():
                pass

    def test_one_callers_flood_does_not_delay_another(self):
        """Guards against a burst of one caller that delays all other callers."""
        for _ in range(500):
            self.push(1, caller="flood")
        quiet, _ = self.push(1, caller="quiet", time_left=20.0)
        order = [self.queue.pop() for _ in range(3)]
        self.assertIn(quiet, order)

    def test_calls_of_equal_callers_are_served_by_deadline(self):
        """Guards against serving a call before another that expires sooner."""
        later, _ = self.push(1, caller="a", time_left=9.0)
        sooner, _ = self.push(1, caller="b", time_left=1.0)
        self.assertEqual([self.queue.pop(), self.queue.pop()], [sooner, later])

    def test_full_queue_refuses_the_least_urgent_with_the_latest_deadline(self):
        """Guards against a full queue that refuses urgent calls."""
        self.queue = RankedQueue(self.configuration.ranks, 2)
        self.push(2, time_left=1.0)
        expected, _ = self.push(2, time_left=5.0)
        _, refused = self.push(0)
        self.assertIs(refused, expected)
        self.assertEqual(self.queue.lengths, (1, 0, 1))

    def test_counts_are_correct_after_random_pushes_pops_and_removals(self):
        """Guards against counts that drift and make all estimates wrong (seed 5)."""
        rng = random.Random(5)
        waiting = []
        for _ in range(3000):
            action = rng.random()
            if action < 0.5:
                waiter, _ = self.push(rng.randrange(3), caller=rng.choice("abc"))
                waiting.append(waiter)
            elif action < 0.8 and waiting:
                waiting.remove(self.queue.pop())
            elif waiting:
                waiter = waiting.pop(rng.randrange(len(waiting)))
                self.queue.remove(waiter)
                self.queue.remove(waiter)
            self.assertEqual(len(self.queue), len(waiting))
            self.assertEqual(sum(self.queue.lengths), len(waiting))


if __name__ == "__main__":
    unittest.main()
