"""Test the recording, storage and merging of minute summaries."""

import random
import unittest

from dogwoodshed._internal.exceptions import ProtocolError
from dogwoodshed._internal.metrics import Metrics
from dogwoodshed._internal.reporting.merge import merge_day
from dogwoodshed._internal.reporting.recorder import MinuteRecorder
from dogwoodshed._internal.reporting.store import SummaryStore
from dogwoodshed._internal.reporting.summary import SummaryBlock, run_to_completion
from tests.lib import builders

KEY = ("profiles", "read", 1)


def totals(day):
    """Return everything that a merge must preserve."""
    return {
        key: (stats.calls, stats.in_time, dict(stats.histogram))
        for key, stats in day.counts.call_stats.items()
    }


class MergeTest(unittest.TestCase):
    def setUp(self):
        source = random.Random(11)
        self.blocks = [
            builders.summary_block(
                [
                    builders.call_record(elapsed=source.expovariate(20))
                    for _ in range(source.randrange(1, 40))
                ],
                gateway=f"g{gateway:02d}",
                minute=minute,
                final=minute == 129,
            )
            for gateway in range(3)
            for minute in range(130)
        ]

    def test_counts_a_duplicate_summary_once_in_any_order(self):
        """Guards against counting a minute again for each peer that stores it."""
        expected = run_to_completion(merge_day(self.blocks, 0, 200))
        duplicates = self.blocks * 3
        for seed in range(5):
            random.Random(seed).shuffle(duplicates)
            merged = run_to_completion(merge_day(duplicates, 0, 200))
            self.assertEqual(totals(merged), totals(expected))
            self.assertEqual(merged.incarnations, expected.incarnations)

    def test_counts_incarnations_of_a_gateway_separately(self):
        """Guards against dropping the counts of a process restarted within a minute."""
        first = builders.summary_block([builders.call_record()], incarnation=1)
        second = builders.summary_block([builders.call_record()], incarnation=2)
        day = run_to_completion(merge_day([first, second], 0, 1))
        self.assertEqual(day.counts.call_stats[KEY].calls, 2)

    def test_counts_minutes_once_that_holders_merged_differently(self):
        """Guards against adding a merged block to the minutes that it contains."""
        stored_blocks = []
        for limit, seed in ((30_000, 1), (60_000, 2), (10**9, 3)):
            store = SummaryStore(limit, Metrics())
            arrivals = list(self.blocks)
            random.Random(seed).shuffle(arrivals)
            for block in arrivals:
                store.add(block)
            run_to_completion(store.compact())
            self.assertLessEqual(store.stored_bytes, limit)
            stored_blocks += store
        self.assertIn(60, {block.span for block in stored_blocks})
        merged = run_to_completion(merge_day(stored_blocks, 0, 200))
        expected = run_to_completion(merge_day(self.blocks, 0, 200))
        self.assertEqual(merged.incarnations, expected.incarnations)
        stats, exact = merged.counts.call_stats[KEY], expected.counts.call_stats[KEY]
        self.assertEqual(
            (stats.calls, stats.in_time, sum(stats.histogram.values())),
            (exact.calls, exact.in_time, sum(exact.histogram.values())),
        )
        for coarse, fine in zip(
            stats.percentiles_ms(50, 99), exact.percentiles_ms(50, 99), strict=True
        ):
            self.assertAlmostEqual(coarse, fine, delta=0.04 * fine)

    def test_merges_minutes_outside_the_short_windows(self):
        """Guards against a report that must merge every single minute of the day."""
        store = SummaryStore(10**9, Metrics())
        for block in self.blocks:
            store.add(block)
        run_to_completion(store.compact())
        single_minutes = [block.start for block in store if block.span == 1]
        self.assertEqual(min(single_minutes), 60)
        self.assertEqual(sum(len(block.covered) for block in store), 390)

    def test_drops_minutes_when_merging_is_not_enough(self):
        """Guards against a store that exceeds its limit or hides dropped minutes."""
        store = SummaryStore(5_000, Metrics())
        for block in self.blocks:
            store.add(block)
        run_to_completion(store.compact())
        self.assertLessEqual(store.stored_bytes, 5_000)
        self.assertLess(sum(len(block.covered) for block in store), 390)

    def test_drops_copies_of_live_gateways_before_its_own(self):
        """Guards against losing the only copy of a minute before redundant ones."""
        store = SummaryStore(12_000, Metrics())
        for block in self.blocks:
            store.add(block)
        run_to_completion(store.compact(live_incarnations={("g01", 1), ("g02", 1)}))
        own = [block for block in store if block.gateway == "g00"]
        self.assertEqual(sum(len(block.covered) for block in own), 130)

    def test_decodes_what_it_encoded(self):
        """Guards against a summary that another gateway decodes differently."""
        block = self.blocks[0]
        self.assertEqual(SummaryBlock.from_bytes(block.encode()), block)
        for data in (b"", b"\xc0", block._replace(minutes=4).encode()):
            with self.assertRaises(ProtocolError):
                SummaryBlock.from_bytes(data)

    def test_a_malformed_body_covers_nothing(self):
        """Guards against a corrupt summary that breaks the report or hides its hole."""
        malformed = self.blocks[0]._replace(body=b"broken")
        day = run_to_completion(merge_day([malformed, self.blocks[1]], 0, 200))
        self.assertEqual(
            [reported.minutes for reported in day.incarnations], [frozenset({1})]
        )


class SettableClock:
    """Wall clock whose time a test sets."""

    def __init__(self):
        self.now = 600.0

    def wall(self):
        """Return the time set by the test."""
        return self.now


class RecorderTest(unittest.TestCase):
    def test_reuses_no_minute_when_the_clock_is_set_back(self):
        """Guards against two summaries with one key, one of which would be lost."""
        clock = SettableClock()
        recorder = MinuteRecorder(60.0, clock)
        recorder.record(builders.call_record())
        clock.now = 660.0
        self.assertEqual(recorder.take_closed_minute().minute, 10)
        clock.now = 610.0
        self.assertIsNone(recorder.take_closed_minute())
        recorder.record(builders.call_record())
        clock.now = 720.0
        closed = recorder.take_closed_minute()
        self.assertEqual(closed.minute, 11)
        self.assertEqual(closed.counts.call_stats[KEY].calls, 1)

    def test_call_of_the_next_minute_before_a_late_timer(self):
        """Guards against calls in the summary of a minute in which none of them ran."""
        clock = SettableClock()
        recorder = MinuteRecorder(60.0, clock)
        recorder.record(builders.call_record())
        clock.now = 660.01
        recorder.record(builders.call_record())
        recorder.count_probe("s1")
        first = recorder.take_closed_minute()
        self.assertEqual((first.minute, first.counts.call_stats[KEY].calls), (10, 1))
        self.assertFalse(first.counts.probes)
        self.assertIsNone(recorder.take_closed_minute())
        clock.now = 720.01
        recorder.record(builders.call_record())
        clock.now = 780.01
        closed = [recorder.take_closed_minute() for _ in range(2)]
        counts = [(c.minute, c.counts.call_stats[KEY].calls) for c in closed]
        self.assertEqual(counts, [(11, 1), (12, 1)])
        self.assertIsNone(recorder.take_closed_minute())

    def test_percentiles_are_exact_to_two_digits(self):
        """Guards against a histogram that is inaccurate in the tail."""
        recorder = MinuteRecorder(60.0, SettableClock())
        for milliseconds in range(1, 1001):
            recorder.record(builders.call_record(elapsed=milliseconds / 1000))
        stats = recorder.close_now().counts.call_stats[KEY]
        p50, p99 = stats.percentiles_ms(50, 99)
        self.assertAlmostEqual(p50, 500, delta=5)
        self.assertAlmostEqual(p99, 990, delta=10)


if __name__ == "__main__":
    unittest.main()
