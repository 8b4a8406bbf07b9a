"""A fleet whose upstreams lose answers keeps its repeats, and the calls they make, in the limit."""

import unittest

import msgspec

from bamboo_bench.replay.arrivals import Arrivals
from bamboo_bench.replay.pattern import LostAnswers, load_pattern
from bamboo_bench.replay.runner import replay
from bamboojunction.core.retries.fleet_budget import RetryLimit

RETRY_LIMIT = RetryLimit(ratio=0.2, slack=3.0, window=10.0)
SEED = 1


def lost_answers(share, *services):
    return tuple(LostAnswers(2.0, 11.0, service, share) for service in services)


class ArrivalsTests(unittest.TestCase):
    def test_repeats_and_the_calls_below_them_count_in_any_window(self):
        arrivals = Arrivals()
        self.assertFalse(arrivals.record_arrival("log", "r1", 1.0))
        arrivals.record_call_of_repeat("r1.0")
        for action in ("r1", "r1.0"):
            self.assertTrue(arrivals.record_arrival("log", action, 9.5))
        for now in (18.0, 18.5, 19.0):
            self.assertTrue(arrivals.record_arrival("log", "r1", now))
        window = arrivals.busiest_window("log", RETRY_LIMIT)
        self.assertEqual((window.repeats, window.excess), (5, 2.0))

    def test_requests_of_the_window_before_raise_the_limit(self):
        arrivals = Arrivals()
        for now in range(10):
            arrivals.record_request("log", float(now))
        for _ in range(6):
            arrivals.record_arrival("log", "r1", 19.0)
        window = arrivals.busiest_window("log", RETRY_LIMIT)
        self.assertEqual((window.repeats, window.limit), (5, 5.0))


class ChainRepeatTests(unittest.TestCase):
    def assert_repeats_within_limit(self, *changes):
        pattern = msgspec.structs.replace(load_pattern("lost-answers"), changes=changes)
        for service, window in replay(pattern, SEED).busiest_windows.items():
            with self.subTest(service):
                self.assertLessEqual(window.repeats, window.limit)

    def test_calls_of_repeated_runs_stay_within_the_limit_of_the_services_called(self):
        """Repeats at the top of chains overran the limit of each service below."""
        self.assert_repeats_within_limit(*lost_answers(0.3, "finder"))

    def test_repeats_at_every_depth_of_a_chain_stay_within_the_limit(self):
        """The calls of repeated runs were not charged, on top of the repeats of these calls."""
        services = ("finder", "booking", "payment", "log")
        self.assert_repeats_within_limit(*lost_answers(0.25, *services))
