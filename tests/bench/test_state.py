"""Tests of the state benchmark: a small fleet meets the targets in every phase."""

import unittest

from loguru import logger

from bamboo_bench.state.command import (
    CONTROL_BYTES_PER_SECOND_MAX,
    IN_FORCE_SECONDS_MAX,
    READS_PER_SECOND_MAX,
    WRITES_PER_SECOND_MAX,
)
from bamboo_bench.state.measure import FleetMeasurement
from bamboo_bench.state.regression import Line
from bamboo_standins.paused_clock import run_with_paused_clock


class StateBenchTests(unittest.TestCase):
    def test_small_fleet_meets_the_targets(self):
        logger.disable("bamboojunction")
        self.addCleanup(logger.enable, "bamboojunction")

        async def measure():
            return await FleetMeasurement(nodes=8, table_rows=10, seed=1).run()

        figures = run_with_paused_clock(measure())
        self.assertLessEqual(figures.in_force_max_seconds, IN_FORCE_SECONDS_MAX)
        self.assertLessEqual(figures.in_force_half_cut_max_seconds, IN_FORCE_SECONDS_MAX)
        self.assertLessEqual(figures.steady_bytes_per_second, CONTROL_BYTES_PER_SECOND_MAX)
        self.assertGreater(figures.steady_bytes_per_second, 0)
        for calls in (figures.start_calls, figures.return_calls, figures.restart_calls):
            self.assertLessEqual(calls.reads_peak, READS_PER_SECOND_MAX)
            self.assertLessEqual(calls.writes_peak, WRITES_PER_SECOND_MAX)
        # The nodes restart within 60 seconds, in which there is at least one write per node.
        self.assertGreaterEqual(figures.restart_calls.writes_mean * 60, 8)

    def test_line_goes_through_its_points(self):
        line = Line.fit([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)])
        self.assertAlmostEqual(line.value_at(10.0), 21.0)
