"""Tests that the checker reports requests that cost more than they may."""

from bamboo_bench.soak.invariants import RunEnd
from bamboo_bench.soak.invariants.bounds import (
    ATTEMPTS_EXCEEDED_MAX,
    CRASHES_KNOWN,
    CRASHES_MAX,
    CRASHING_RETRIES_MAX,
    LATE_RUNS_MAX,
    REPEAT_RATIO,
    REPEAT_SLACK,
)
from tests.soak.base import NODE, OTHER_NODE, CheckerTestCase


class RepeatTests(CheckerTestCase):
    def test_repeats_beyond_the_limit_of_a_window(self):
        allowed = int(REPEAT_SLACK + REPEAT_RATIO * 100)
        for number in range(100):
            self.send(f"r{number}", is_at_most_once=False)
            self.checker.record_sent("pay", 105.0)
            self.run_once(f"r{number}", now=105.0)
        for number in range(allowed):
            self.run_once(f"r{number}", now=106.0)
        self.assertEqual(self.finish(), [])
        self.run_once("r99", now=107.0)
        self.assertEqual(self.finish(), ["budget"])

    def test_repeats_of_windows_apart_are_not_summed(self):
        for start in (100.0, 200.0):
            for number in range(REPEAT_SLACK):
                self.send(f"{start}-{number}", is_at_most_once=False, sent_at=start)
                for _ in range(2):
                    self.run_once(f"{start}-{number}", now=start + 5.0)
        self.assertEqual(self.finish(), [])

    def test_arrivals_that_an_upstream_rejects(self):
        self.send("a")
        self.run_once()
        for _ in range(REPEAT_SLACK):
            self.checker.record_arrival("a", "pay", 105.0)
        self.assertEqual(self.finish(), [])
        self.checker.record_arrival("a", "pay", 105.0)
        self.assertEqual(self.finish(), ["budget"])

    def test_calls_that_repeated_runs_make(self):
        self.send("a", is_at_most_once=False, deadline=200.0)
        first = self.run_once()
        for number in range(REPEAT_SLACK + 1):
            self.send(f"a.{number}", parent=first)
            self.run_once(f"a.{number}", now=105.0)
        self.assertEqual(self.finish(), [])
        repeat = self.run_once(now=120.0)
        self.send("a.r", is_at_most_once=False, deadline=200.0, parent=repeat)
        call_run = self.run_once("a.r", now=121.0)
        self.assertTrue(call_run.is_repeat)
        for number in range(REPEAT_SLACK):
            # A call of a call is a repeat, too.
            self.send(f"a.r.{number}", deadline=200.0, parent=call_run)
            self.run_once(f"a.r.{number}", now=122.0)
        self.assertEqual(self.finish(), ["budget"])


class AttemptTests(CheckerTestCase):
    def run_at(self, instances: int, end: RunEnd | None = None) -> None:
        for number in range(ATTEMPTS_EXCEEDED_MAX + 1):
            self.send(str(number), is_at_most_once=False, attempts=2, sent_at=100.0 + number)
            for instance in range(instances):
                run = self.run_once(str(number), instance=f"i-{instance}")
                if end is not None:
                    run.finish(101.5, end)

    def test_requests_on_more_upstreams_than_their_attempts(self):
        self.run_at(2)
        self.assertEqual(self.finish(), [])
        self.run_at(3)
        self.assertEqual(self.finish(), ["attempts"])

    def test_upstreams_that_lost_their_answers_count(self):
        self.run_at(3, RunEnd.BROKEN_OFF)
        self.assertEqual(self.finish(), ["attempts"])

    def test_upstreams_that_crashed_or_were_cut_off(self):
        self.run_at(3, RunEnd.CRASHED)
        self.assertEqual(self.finish(), [])
        self.create_checker()
        self.run_at(3)
        self.timeline.begin(OTHER_NODE, 101.0)
        self.assertEqual(self.finish(), [])


class TimeHandedOnTests(CheckerTestCase):
    def run_many(self, count: int, now: float, **values) -> None:
        for number in range(count):
            self.send(f"{now}-{number}", is_at_most_once=False)
            self.run_once(f"{now}-{number}", now=now, **values)

    def test_upstreams_that_are_handed_too_much_time(self):
        self.run_many(LATE_RUNS_MAX, now=109.9)
        self.assertEqual(self.finish(), [])
        self.run_many(1, now=109.8)
        self.assertEqual(self.finish(), ["deadline"])

    def test_upstreams_that_are_told_no_time(self):
        self.run_many(LATE_RUNS_MAX + 1, now=101.0, remaining=None)
        self.assertEqual(self.finish(), ["deadline"])

    def test_share_of_all_runs(self):
        self.run_many(LATE_RUNS_MAX + 1, now=109.9)
        self.run_many(4 * (LATE_RUNS_MAX + 1), now=101.0)
        self.assertEqual(self.finish(), [])

    def test_late_repeats_are_a_share_of_their_own(self):
        self.run_many(1000, now=101.0)
        for number in range(LATE_RUNS_MAX + 1):
            self.send(f"r{number}", is_at_most_once=False)
            self.run_once(f"r{number}", now=101.0)
            self.run_once(f"r{number}", now=101.4, remaining=9.2)
        self.assertEqual(self.finish(), [])
        for number in range(LATE_RUNS_MAX + 1):
            self.run_once(f"r{number}", now=101.6, remaining=9.0)
        self.assertEqual(self.finish(), ["deadline"])

    def test_node_that_was_not_in_touch(self):
        self.run_many(LATE_RUNS_MAX + 1, now=109.9)
        self.timeline.begin(NODE, 90.0).ended_at = 107.0
        self.assertEqual(self.finish(), [])


class CrashingRequestTests(CheckerTestCase):
    PATH = "/menu/crashing/1"

    def crash(self, count: int, now: float) -> None:
        for number in range(count):
            self.send(f"{now}-{number}", path=self.PATH, sent_at=now)
            self.run_once(f"{now}-{number}", path=self.PATH, now=now)
            self.checker.record_crash(self.PATH, now)

    def test_request_that_crashes_more_upstreams_than_allowed(self):
        self.crash(CRASHES_MAX, 101.0)
        self.assertEqual(self.finish(), [])
        self.crash(1, 102.0)
        self.assertEqual(self.finish(), ["poison"])

    def test_request_that_reaches_upstreams_long_after_it_is_known(self):
        self.crash(CRASHES_KNOWN, 101.0)
        for number in range(CRASHING_RETRIES_MAX + 1):
            self.send(f"b{number}", path=self.PATH)
            self.run_once(f"b{number}", path=self.PATH, now=103.9)
        self.assertEqual(self.finish(), [])
        for number in range(CRASHING_RETRIES_MAX + 1):
            self.send(f"c{number}", path=self.PATH)
            self.run_once(f"c{number}", path=self.PATH, now=104.1)
        self.assertEqual(self.finish(), ["poison"])
