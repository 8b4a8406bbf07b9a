"""Tests that the soak test's checker reports each violated invariant of a single request."""

from tests.soak.base import CheckerTestCase


class InvariantCheckerTests(CheckerTestCase):
    def setUp(self):
        super().setUp()
        self.send("a")

    def test_valid_requests_report_no_violation(self):
        self.run_once(drained_at=100.0)
        self.checker.check_answer("a", 200, b"whole", b"whole")
        self.checker.check_answer("a", 502, b"", None)
        self.send("b", is_at_most_once=False)
        self.run_once("b")
        self.run_once("b")
        self.checker.check_answer("b", 503, b"", None)
        self.checker.check_recovery("n", "/pay/x", True)
        self.assertEqual(self.finish(), [])

    def test_process_beyond_its_memory(self):
        self.checker.check_memory("n", 100, 100)
        self.assertEqual(self.violated(), [])
        self.checker.check_memory("n", 101, 100)
        self.checker.check_memory("n", 102, 100)
        self.checker.check_memory("m", 102, 100)
        self.assertEqual(self.violated(), ["memory", "memory"])

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
        self.run_once(drained_at=98.5)
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
