"""Tests that the checker reports a node that serves nothing after its start."""

from bamboo_bench.soak.invariants import EndKind
from bamboo_bench.soak.invariants.bounds import START_SECONDS
from tests.soak.base import END_OF_TEST, NODE, CheckerTestCase


class LifeTests(CheckerTestCase):
    def test_node_that_never_serves(self):
        self.checker.lives.record_start(NODE, 100.0)
        self.assertEqual(self.finish(END_OF_TEST), ["start"])

    def test_node_that_only_refuses(self):
        self.checker.lives.record_start(NODE, 100.0)
        self.send("a")
        self.end("a", 101.0, EndKind.WHOLE, 503)
        self.assertEqual(self.finish(END_OF_TEST), ["start"])

    def test_node_that_serves_only_before_its_second_start(self):
        self.checker.lives.record_start(NODE, 100.0)
        self.send("a")
        self.end("a", 101.0, EndKind.WHOLE, 200)
        self.assertEqual(self.finish(END_OF_TEST), [])
        self.checker.lives.record_end(NODE, 150.0)
        self.checker.lives.record_start(NODE, 151.0)
        self.assertEqual(self.finish(END_OF_TEST), ["start"])

    def test_process_that_ended_soon(self):
        self.checker.lives.record_start(NODE, 100.0)
        self.checker.lives.record_end(NODE, 100.0 + START_SECONDS - 0.1)
        self.checker.lives.record_start(NODE, END_OF_TEST - START_SECONDS + 0.1)
        self.assertEqual(self.finish(END_OF_TEST), [])
