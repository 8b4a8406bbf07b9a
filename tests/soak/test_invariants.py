"""Tests that the soak test's checker reports each violated invariant."""

import unittest

from bamboo_bench.soak.invariants import (
    CRASHES_MAX,
    LATE_RUNS_MAX,
    REPEAT_RATIO,
    REPEAT_SLACK,
    InvariantChecker,
    Request,
)


class InvariantCheckerTests(unittest.TestCase):
    def setUp(self):
        self.checker = InvariantChecker()
        self.send("a")

    def send(self, request_id: str, is_at_most_once: bool = True) -> None:
        self.checker.record_request(request_id, Request("pay", is_at_most_once, "/pay/x", 10.0))

    def run_once(self, request_id: str = "a", service: str = "pay", path: str = "/pay/x", **more):
        self.checker.check_run(request_id, service, path, more.pop("now", 9.0), 1.0, **more)

    def violated(self) -> list[str]:
        return [text.partition(":")[0] for text in self.checker.violations]

    def test_valid_requests_report_no_violation(self):
        self.run_once(drained_at=8.0)
        self.checker.check_answer("a", 200, b"whole", b"whole")
        self.checker.check_answer("a", 502, b"", None)
        self.send("b", is_at_most_once=False)
        self.run_once("b")
        self.run_once("b")
        self.checker.check_answer("b", 503, b"", None)
        self.checker.check_recovery("n", "/pay/x", True)
        self.checker.finish()
        self.assertEqual(self.violated(), [])

    def test_repeats_beyond_the_limit_of_a_window(self):
        allowed = int(REPEAT_SLACK + REPEAT_RATIO * 100)
        for number in range(100):
            self.send(f"r{number}", is_at_most_once=False)
            self.checker.record_sent("pay", 5.0)
            self.run_once(f"r{number}", now=5.0)
        for number in range(allowed):
            self.run_once(f"r{number}", now=6.0)
        self.checker.finish()
        self.assertEqual(self.violated(), [])
        self.run_once("r99", now=7.0)
        self.checker.finish()
        self.assertEqual(self.violated(), ["budget"])

    def test_repeats_of_windows_apart_are_not_summed(self):
        for start in (-100.0, 0.0):
            for number in range(int(REPEAT_SLACK)):
                self.send(f"{start}-{number}", is_at_most_once=False)
                for _ in range(2):
                    self.run_once(f"{start}-{number}", now=start + 5.0)
        self.checker.finish()
        self.assertEqual(self.violated(), [])

    def test_request_that_crashes_more_upstreams_than_allowed(self):
        for _ in range(CRASHES_MAX):
            self.checker.record_crash("/menu/crashing/1")
        self.checker.finish()
        self.assertEqual(self.violated(), [])
        self.checker.record_crash("/menu/crashing/1")
        self.checker.finish()
        self.assertEqual(self.violated(), ["poison"])

    def test_process_beyond_its_memory(self):
        self.checker.check_memory("n", 100, 100)
        self.assertEqual(self.violated(), [])
        self.checker.check_memory("n", 101, 100)
        self.assertEqual(self.violated(), ["memory"])

    def test_request_that_is_cut_around_planned_work(self):
        self.checker.check_cut("a", "502", 5.0, 6.0, 4.0)
        self.assertEqual(self.violated(), [])
        self.run_once()
        # In the last sixth of the grace time, and past the deadline.
        self.checker.check_cut("a", "502", 3.0, 9.5, 4.0)
        self.checker.check_cut("a", "502", 3.0, 10.5, None)
        self.assertEqual(self.violated(), [])
        self.checker.check_cut("a", "502", 5.0, 6.0, 4.0)
        self.checker.check_cut("a", "ServerDisconnectedError", 7.5, 9.5, 4.0)
        self.assertEqual(self.violated(), ["lost", "lost"])

    def test_work_that_ran_twice(self):
        self.run_once()
        self.run_once()
        self.assertEqual(self.violated(), ["twice"])

    def test_refusal_of_work_that_ran(self):
        self.run_once()
        self.checker.check_answer("a", 503, b"", None)
        self.assertEqual(self.violated(), ["refused"])

    def test_work_that_runs_after_its_refusal(self):
        self.checker.check_answer("a", 429, b"", None)
        self.run_once()
        self.assertEqual(self.violated(), ["refused"])

    def test_answers_that_are_not_the_upstreams(self):
        self.checker.check_answer("a", 200, b"part", b"whole")
        self.checker.check_answer("a", 200, b"whole", None)
        self.assertEqual(self.violated(), ["mixed", "mixed"])

    def test_requests_that_nobody_sent_or_that_were_changed(self):
        self.run_once("other")
        self.run_once(path="/pay/y")
        self.assertEqual(self.violated(), ["unasked", "unasked"])

    def test_work_at_another_service(self):
        self.run_once(service="stock")
        self.assertEqual(self.violated(), ["route"])

    def test_work_long_after_the_acknowledgement_of_a_leave(self):
        self.run_once(drained_at=5.0)
        self.assertEqual(self.violated(), ["drain"])

    def test_route_that_is_denied(self):
        self.checker.check_answer("a", 404, b"", None)
        self.assertEqual(self.violated(), ["denied"])

    def test_node_that_does_not_serve_again(self):
        self.checker.check_recovery("n", "/pay/x", False)
        self.assertEqual(self.violated(), ["recover"])

    def test_node_that_ends_by_itself(self):
        self.checker.record_exit("n", -1)
        self.assertEqual(self.violated(), ["ended"])

    def test_upstreams_that_are_handed_too_much_time(self):
        for number in range(LATE_RUNS_MAX + 1):
            self.send(str(number), is_at_most_once=False)
            self.run_once(str(number), now=9.9)
        self.checker.finish()
        self.assertEqual(self.violated(), ["deadline"])
