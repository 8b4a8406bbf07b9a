"""The test runner's plugin that tolerates the known failures."""

import unittest

from nose2.events import Plugin, PluginInterface, ResultSuccessEvent

from tests.counts import Counts, split_entry


class CountsTests(unittest.TestCase):
    def test_plugin_defines_only_hooks_of_the_runner(self):
        hooks = [name for name in vars(Counts) if not name.startswith("_")]
        own = [name for name in hooks if callable(getattr(Counts, name))]
        unknown = set(own) - set(PluginInterface.methods) - set(vars(Plugin))
        self.assertEqual(unknown, set())

    def test_entry_may_include_the_error(self):
        test_id = "setUpClass (tests.x.Y)"
        self.assertEqual(split_entry(f"{test_id} [TimeoutError]"), (test_id, "TimeoutError"))
        self.assertEqual(split_entry(test_id), (test_id, ""))

    def test_only_listed_failures_are_tolerated(self):
        counts = Counts.__new__(Counts)
        counts.known_red = {"listed": "AssertionError", "any": ""}
        counts.passed = 3
        cases = (
            ({}, None),
            ({"listed": "AssertionError"}, True),
            ({"any": "TimeoutError"}, True),
            ({"listed": "TimeoutError"}, None),
            ({"listed": "AssertionError", "new": "AssertionError"}, None),
        )
        for failed, expected in cases:
            with self.subTest(failed=failed):
                counts.error_by_failed_id = failed
                event = ResultSuccessEvent(None, None)
                counts.wasSuccessful(event)
                self.assertEqual(event.success, expected)
