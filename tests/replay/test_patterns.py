"""Patterns are checked when they are loaded, and scale with the fleet."""

import tempfile
import unittest
from pathlib import Path

import msgspec

from bamboo_bench.replay.pattern import Conditions, Slowdown, load_pattern, pattern_names


class PatternTests(unittest.TestCase):
    def test_every_pattern_names_existing_kinds_and_services(self):
        self.assertTrue(pattern_names())
        for name in pattern_names():
            with self.subTest(name):
                pattern = load_pattern(name)
                services = {service.name for service in pattern.services}
                kinds = {kind.name for kind in pattern.kinds}
                self.assertLessEqual({kind.service for kind in pattern.kinds}, services)
                called = {child.kind for kind in pattern.kinds for child in kind.calls}
                self.assertLessEqual(called, kinds)
                for change in pattern.changes:
                    self.assertIn(getattr(change, "kind", None) or change.service, kinds | services)

    def test_malformed_pattern_is_rejected(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "wrong.toml"
            path.write_text('title = "wrong"\nseconds = "long"\n')
            with self.assertRaises(msgspec.ValidationError):
                load_pattern(str(path))

    def test_scaled_pattern_keeps_the_load_of_each_instance(self):
        pattern = load_pattern("chain-burst")
        scaled = pattern.scaled(3)
        for small, large in zip(pattern.services, scaled.services, strict=True):
            self.assertEqual(large.instances, 3 * small.instances)
        for small, large in zip(pattern.kinds, scaled.kinds, strict=True):
            self.assertEqual(large.rate, 3 * small.rate)

    def test_slowdown_ends_on_the_instances_on_which_it_began(self):
        conditions = Conditions.usual()
        slowdown = Slowdown(at=0.0, seconds=1.0, service="log", share=0.5, factor=4.0)
        instances_by_service = {"log": ["log-0", "log-1"]}
        conditions.begin(slowdown, instances_by_service)
        self.assertEqual(conditions.slowness_by_instance, {"log-0": 4.0})
        conditions.end(slowdown, instances_by_service)
        self.assertEqual(conditions.slowness_by_instance, {"log-0": 1.0})
