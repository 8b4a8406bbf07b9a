"""The bench ``bamboo-bench state``."""

import asyncio
import json
import sys
from collections.abc import Callable
from dataclasses import asdict

from cleo.commands.command import Command
from cleo.helpers import option
from loguru import logger

from bamboo_bench.state.fit import Line
from bamboo_bench.state.measure import FleetFigures, FleetMeasurement
from bamboo_standins.paused_clock import run_paused

SIZES = "13,50,150,300"
TABLE_ROWS = (10, 100, 400)
TABLE_NODES = 50
ROWS = 40
TARGET_NODES = 950
TARGET_EDITS_PER_DAY = 2_100
DAY_SECONDS = 86_400
CONTROL_BYTES_PER_SECOND = 2_000
READS_PER_SECOND = 1_000
# Several hundred writes a second, of which half; three hundred is the least that "several" means.
WRITES_PER_SECOND = 150
IN_FORCE_SECONDS = 3.0

Metric = Callable[[FleetFigures], float]
METRICS: dict[str, tuple[Metric, float]] = {
    "start_reads_peak": (lambda figures: figures.start_calls.reads_peak, READS_PER_SECOND),
    "start_writes_peak": (lambda figures: figures.start_calls.writes_peak, WRITES_PER_SECOND),
    "steady_reads_mean": (lambda figures: figures.steady_calls.reads_mean, READS_PER_SECOND),
    "steady_reads_peak": (lambda figures: figures.steady_calls.reads_peak, READS_PER_SECOND),
    "return_reads_peak": (lambda figures: figures.return_calls.reads_peak, READS_PER_SECOND),
    "return_writes_peak": (lambda figures: figures.return_calls.writes_peak, WRITES_PER_SECOND),
    "restart_reads_peak": (lambda figures: figures.restart_calls.reads_peak, READS_PER_SECOND),
    "restart_writes_peak": (lambda figures: figures.restart_calls.writes_peak, WRITES_PER_SECOND),
    "control_bytes_per_second": (
        lambda figures: _control_bytes(figures),
        CONTROL_BYTES_PER_SECOND,
    ),
    "restart_bytes_per_second": (
        lambda figures: figures.restart_bytes_per_second,
        CONTROL_BYTES_PER_SECOND,
    ),
    "in_force_max_seconds": (lambda figures: figures.in_force_max_seconds, IN_FORCE_SECONDS),
    "in_force_half_cut_max_seconds": (
        lambda figures: figures.in_force_half_cut_max_seconds,
        IN_FORCE_SECONDS,
    ),
}


class StateCommand(Command):
    """Measure what control costs against the number of nodes and the table's size."""

    name = "state"
    description = "Measure control traffic, platform calls and time to in force"
    options = [
        option("json", None, "Print JSON", flag=True),
        option("sizes", None, "Numbers of nodes, separated by commas", flag=False, default=SIZES),
        option("seed", None, "Seed of the measurement", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run every fleet and print the figures."""
        logger.remove()
        logger.add(sys.stderr, level="ERROR")
        seed = int(self.option("seed"))
        sizes = [int(size) for size in self.option("sizes").split(",")]
        by_size = [_run(size, ROWS, seed) for size in sizes]
        by_rows = [_run(TABLE_NODES, rows, seed) for rows in TABLE_ROWS]
        report = _report(by_size, by_rows)
        self.line(json.dumps(report, indent=2) if self.option("json") else _text(report))
        return 0


def _run(nodes: int, rows: int, seed: int) -> FleetFigures:
    async def measure() -> FleetFigures:
        asyncio.get_running_loop().slow_callback_duration = 60.0
        return await FleetMeasurement(nodes, rows, seed).run()

    return run_paused(measure())


def _report(by_size: list[FleetFigures], by_rows: list[FleetFigures]) -> dict:
    fits = {name: _fit(by_size, metric, target) for name, (metric, target) in METRICS.items()}
    rows_line = Line.through([(each.table_rows, each.bytes_per_edit) for each in by_rows])
    return {
        "nodes": [asdict(figures) for figures in by_size],
        "table_rows": [asdict(figures) for figures in by_rows],
        "bytes_per_edit_per_row": rows_line.slope,
        "at_950_nodes": fits,
    }


def _fit(by_size: list[FleetFigures], metric: Metric, target: float) -> dict:
    line = Line.through([(figures.nodes, metric(figures)) for figures in by_size])
    value = line.at(TARGET_NODES)
    return {"slope": line.slope, "value": value, "target": target, "met": value <= target}


def _control_bytes(figures: FleetFigures) -> float:
    edits = figures.bytes_per_edit * TARGET_EDITS_PER_DAY / DAY_SECONDS
    return figures.steady_bytes_per_second + edits


def _text(report: dict) -> str:
    lines = (
        f"{name:32} {fit['value']:10.2f} target {fit['target']:8.1f} "
        f"{'met' if fit['met'] else 'NOT MET'}"
        for name, fit in report["at_950_nodes"].items()
    )
    return "\n".join(lines)
