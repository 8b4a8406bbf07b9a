"""Tests of the straight-line fits on the capacity page."""

import unittest

from bamboo_bench.capacity.slopes import Point, Slope


def slope(*values: float, limit: float | None = None) -> Slope:
    points = tuple(Point(size, value) for size, value in zip((10, 20, 30), values, strict=True))
    return Slope("name", "kB", "node", points, 100, limit, "command")


class SlopeTests(unittest.TestCase):
    def test_increasing_line_is_extrapolated(self):
        self.assertAlmostEqual(slope(1.0, 2.0, 3.0).value_at_target, 10.0)

    def test_decreasing_line_is_not_extrapolated(self):
        self.assertAlmostEqual(slope(3.0, 2.0, 1.0).value_at_target, 1.0)

    def test_value_over_the_limit_is_missed(self):
        self.assertFalse(slope(1.0, 2.0, 3.0, limit=9.0).is_met)
        self.assertIn("MISSED", slope(1.0, 2.0, 3.0, limit=9.0).to_table_row())
