"""The command ``bamboo-bench state``."""

import asyncio
import json
import sys
from collections.abc import Callable
from dataclasses import asdict

from cleo.commands.command import Command
from cleo.helpers import option
from loguru import logger

from bamboo_bench.state.measure import FleetFigures, FleetMeasurement
from bamboo_bench.state.regression import Line
from bamboo_standins.paused_clock import run_with_paused_clock

DEFAULT_SIZES = "13,50,150,300"
ROW_COUNTS = (10, 100, 400)
NODES_FOR_ROW_COUNTS = 50
DEFAULT_ROWS = 40
TARGET_NODES = 950
TARGET_EDITS_PER_DAY = 2_100
DAY_SECONDS = 86_400
CONTROL_BYTES_PER_SECOND_MAX = 2_000
READS_PER_SECOND_MAX = 1_000
# The platform takes several hundred writes per second, read here as 300, the least that "several"
# means. The fleet may use half of them.
WRITES_PER_SECOND_MAX = 150
IN_FORCE_SECONDS_MAX = 3.0

Metric = Callable[[FleetFigures], float]
METRICS: dict[str, tuple[Metric, float]] = {
    "start_reads_peak": (lambda figures: figures.start_calls.reads_peak, READS_PER_SECOND_MAX),
    "start_writes_peak": (lambda figures: figures.start_calls.writes_peak, WRITES_PER_SECOND_MAX),
    "steady_reads_mean": (lambda figures: figures.steady_calls.reads_mean, READS_PER_SECOND_MAX),
    "steady_reads_peak": (lambda figures: figures.steady_calls.reads_peak, READS_PER_SECOND_MAX),
    "return_reads_peak": (lambda figures: figures.return_calls.reads_peak, READS_PER_SECOND_MAX),
    "return_writes_peak": (lambda figures: figures.return_calls.writes_peak, WRITES_PER_SECOND_MAX),
    "restart_reads_peak": (lambda figures: figures.restart_calls.reads_peak, READS_PER_SECOND_MAX),
    "restart_writes_peak": (
        lambda figures: figures.restart_calls.writes_peak,
        WRITES_PER_SECOND_MAX,
    ),
    "control_bytes_per_second": (
        lambda figures: _control_bytes_per_second(figures),
        CONTROL_BYTES_PER_SECOND_MAX,
    ),
    "restart_bytes_per_second": (
        lambda figures: figures.restart_bytes_per_second,
        CONTROL_BYTES_PER_SECOND_MAX,
    ),
    "in_force_max_seconds": (lambda figures: figures.in_force_max_seconds, IN_FORCE_SECONDS_MAX),
    "in_force_half_cut_max_seconds": (
        lambda figures: figures.in_force_half_cut_max_seconds,
        IN_FORCE_SECONDS_MAX,
    ),
}


class StateCommand(Command):
    """The command that measures control traffic against the numbers of nodes and table rows."""

    name = "state"
    description = "Measure control traffic, platform calls and the time until an edit is in force"
    options = [
        option("json", None, "Print JSON", flag=True),
        option(
            "sizes",
            None,
            "Numbers of nodes, separated by commas",
            flag=False,
            default=DEFAULT_SIZES,
        ),
        option("seed", None, "Seed of the measurement", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Measure every fleet and print the figures."""
        logger.remove()
        logger.add(sys.stderr, level="ERROR")
        seed = int(self.option("seed"))
        sizes = [int(size) for size in self.option("sizes").split(",")]
        by_size = [_measure_fleet(size, DEFAULT_ROWS, seed) for size in sizes]
        by_rows = [_measure_fleet(NODES_FOR_ROW_COUNTS, rows, seed) for rows in ROW_COUNTS]
        report = _report(by_size, by_rows)
        self.line(json.dumps(report, indent=2) if self.option("json") else _format_report(report))
        return 0


def _measure_fleet(nodes: int, rows: int, seed: int) -> FleetFigures:
    async def measure() -> FleetFigures:
        asyncio.get_running_loop().slow_callback_duration = 60.0
        return await FleetMeasurement(nodes, rows, seed).run()

    return run_with_paused_clock(measure())


def _report(by_size: list[FleetFigures], by_rows: list[FleetFigures]) -> dict:
    estimates = {
        name: _extrapolate(by_size, metric, target) for name, (metric, target) in METRICS.items()
    }
    line_by_rows = Line.fit([(figures.table_rows, figures.bytes_per_edit) for figures in by_rows])
    return {
        "nodes": [asdict(figures) for figures in by_size],
        "table_rows": [asdict(figures) for figures in by_rows],
        "bytes_per_edit_per_row": line_by_rows.slope,
        "at_950_nodes": estimates,
    }


def _extrapolate(by_size: list[FleetFigures], metric: Metric, target: float) -> dict:
    line = Line.fit([(figures.nodes, metric(figures)) for figures in by_size])
    value = line.value_at(TARGET_NODES)
    return {"slope": line.slope, "value": value, "target": target, "met": value <= target}


def _control_bytes_per_second(figures: FleetFigures) -> float:
    edits = figures.bytes_per_edit * TARGET_EDITS_PER_DAY / DAY_SECONDS
    return figures.steady_bytes_per_second + edits


def _format_report(report: dict) -> str:
    lines = (
        f"{name:32} {estimate['value']:10.2f} target {estimate['target']:8.1f} "
        f"{'met' if estimate['met'] else 'NOT MET'}"
        for name, estimate in report["at_950_nodes"].items()
    )
    return "\n".join(lines)
