"""Control traffic and platform calls of real protocol objects under a paused clock."""

import asyncio

from loguru import logger

from bamboo_bench.capacity.slopes import Point, Slope
from bamboo_bench.state.measure import FleetFigures, FleetMeasurement
from bamboo_standins.paused_clock import run_with_paused_clock

COMMAND = "bamboo-bench capacity --part control"
NODE_COUNTS = (13, 50, 100)
TARGET_NODES = 950
TABLE_ROWS = 40
SEED = 1
DAY_SECONDS = 86_400
EDITS_PER_DAY = 2_100
CONTROL_BYTES_PER_SECOND_MAX = 2_000.0
READS_PER_SECOND_MAX = 1_000.0
WRITES_PER_SECOND_MAX = 150.0
SLOW_CALLBACK_SECONDS = 60.0


def measure() -> list[Slope]:
    """Return the slopes of the control bytes of a node and of the calls to the store."""
    # Each of hundreds of nodes would log every edit of the table.
    logger.disable("bamboojunction")
    figures = [run_with_paused_clock(_measure_fleet(node_count)) for node_count in NODE_COUNTS]
    return [
        _slope(
            "control for each node",
            "bytes/s",
            figures,
            _control_bytes_per_second,
            CONTROL_BYTES_PER_SECOND_MAX,
        ),
        _slope("store reads, steady", "calls/s", figures, _steady_reads_peak, READS_PER_SECOND_MAX),
        _slope(
            "store reads, after an outage",
            "calls/s",
            figures,
            _return_reads_peak,
            READS_PER_SECOND_MAX,
        ),
        _slope(
            "store writes, all restart",
            "calls/s",
            figures,
            _restart_writes_peak,
            WRITES_PER_SECOND_MAX,
        ),
    ]


async def _measure_fleet(nodes: int) -> FleetFigures:
    asyncio.get_running_loop().slow_callback_duration = SLOW_CALLBACK_SECONDS
    return await FleetMeasurement(nodes, TABLE_ROWS, SEED).run()


def _slope(name: str, unit: str, figures: list[FleetFigures], metric, limit: float) -> Slope:
    points = tuple(Point(each.nodes, metric(each)) for each in figures)
    return Slope(name, unit, "node", points, TARGET_NODES, limit, COMMAND)


def _control_bytes_per_second(figures: FleetFigures) -> float:
    edits = figures.bytes_per_edit * EDITS_PER_DAY / DAY_SECONDS
    return figures.steady_bytes_per_second + edits


def _steady_reads_peak(figures: FleetFigures) -> float:
    return figures.steady_calls.reads_peak


def _return_reads_peak(figures: FleetFigures) -> float:
    return figures.return_calls.reads_peak


def _restart_writes_peak(figures: FleetFigures) -> float:
    return figures.restart_calls.writes_peak
