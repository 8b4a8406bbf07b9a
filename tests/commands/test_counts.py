"""The plugin that lets known failures through uses hooks that the test runner calls."""

import unittest

from nose2.events import Plugin, PluginInterface, ResultSuccessEvent

from tests.counts import Counts


class CountsTests(unittest.TestCase):
    def test_every_hook_of_the_plugin_is_one_of_the_runner(self):
        hooks = [name for name in vars(Counts) if not name.startswith("_")]
        own = [name for name in hooks if callable(getattr(Counts, name))]
        unknown = set(own) - set(PluginInterface.methods) - set(vars(Plugin))
        self.assertEqual(unknown, set())

    def test_only_listed_failures_are_let_through(self):
        counts = Counts.__new__(Counts)
        counts.known_red = {"listed"}
        counts.passed = 3
        for failed, expected in ((set(), None), ({"listed"}, True), ({"listed", "new"}, None)):
            with self.subTest(failed=failed):
                counts.failed_ids = failed
                event = ResultSuccessEvent(None, None)
                counts.wasSuccessful(event)
                self.assertEqual(event.success, expected)
