"""Each promise that the soak checks is broken once on purpose, and found."""

import unittest

from bamboo_bench.soak.promises import LATE_RUNS_MAX, Promises, Request


class PromiseTests(unittest.TestCase):
    def setUp(self):
        self.promises = Promises()
        self.send("a")

    def send(self, request_id: str, is_once: bool = True) -> None:
        self.promises.sent(request_id, Request("pay", is_once, "/pay/x", 10.0))

    def run_once(self, request_id: str = "a", service: str = "pay", path: str = "/pay/x", **more):
        self.promises.ran(request_id, service, path, more.pop("now", 9.0), 1.0, **more)

    def broken(self) -> list[str]:
        return [text.partition(":")[0] for text in self.promises.broken]

    def test_kept_promises_are_not_reported(self):
        self.run_once(drained_at=8.0)
        self.promises.answered("a", 200, b"whole", b"whole")
        self.promises.answered("a", 502, b"", None)
        self.send("b", is_once=False)
        self.run_once("b")
        self.run_once("b")
        self.promises.answered("b", 503, b"", None)
        self.promises.recovered("n", "/pay/x", True)
        self.promises.finish()
        self.assertEqual(self.broken(), [])

    def test_work_that_ran_twice(self):
        self.run_once()
        self.run_once()
        self.assertEqual(self.broken(), ["twice"])

    def test_refusal_of_work_that_ran(self):
        self.run_once()
        self.promises.answered("a", 503, b"", None)
        self.assertEqual(self.broken(), ["refused"])

    def test_work_that_runs_after_its_refusal(self):
        self.promises.answered("a", 429, b"", None)
        self.run_once()
        self.assertEqual(self.broken(), ["refused"])

    def test_answers_that_are_not_the_upstreams(self):
        self.promises.answered("a", 200, b"part", b"whole")
        self.promises.answered("a", 200, b"whole", None)
        self.assertEqual(self.broken(), ["mixed", "mixed"])

    def test_requests_that_nobody_sent_or_that_were_changed(self):
        self.run_once("other")
        self.run_once(path="/pay/y")
        self.assertEqual(self.broken(), ["unasked", "unasked"])

    def test_work_at_another_service(self):
        self.run_once(service="stock")
        self.assertEqual(self.broken(), ["route"])

    def test_work_long_after_the_acknowledgement_of_a_leave(self):
        self.run_once(drained_at=5.0)
        self.assertEqual(self.broken(), ["drain"])

    def test_route_that_is_denied(self):
        self.promises.answered("a", 404, b"", None)
        self.assertEqual(self.broken(), ["denied"])

    def test_node_that_does_not_serve_again(self):
        self.promises.recovered("n", "/pay/x", False)
        self.assertEqual(self.broken(), ["recover"])

    def test_node_that_ends_by_itself(self):
        self.promises.ended("n", -1)
        self.assertEqual(self.broken(), ["ended"])

    def test_upstreams_that_are_handed_too_much_time(self):
        for number in range(LATE_RUNS_MAX + 1):
            self.send(str(number), is_once=False)
            self.run_once(str(number), now=9.9)
        self.promises.finish()
        self.assertEqual(self.broken(), ["deadline"])
