"""Control bytes and platform calls of real protocol objects under a paused clock."""

import asyncio

from loguru import logger

from bamboo_bench.capacity.slopes import Point, Slope
from bamboo_bench.state.measure import FleetFigures, FleetMeasurement
from bamboo_standins.paused_clock import run_paused

COMMAND = "bamboo-bench capacity --part control"
SIZES = (13, 50, 100)
NODES = 950
ROWS = 40
SEED = 1
DAY_SECONDS = 86_400
EDITS_PER_DAY = 2_100
BYTES_MAX = 2_000.0
READS_MAX = 1_000.0
WRITES_MAX = 150.0
SLOW_CALLBACK_SECONDS = 60.0


def measure() -> list[Slope]:
    """Return the slopes of bytes for each node and of the store's rates."""
    # Hundreds of nodes log each edit of the table.
    logger.disable("bamboojunction")
    figures = [run_paused(_measure(size)) for size in SIZES]
    return [
        _slope("control for each node", "bytes/s", figures, _control_bytes, BYTES_MAX),
        _slope("store reads, steady", "calls/s", figures, _steady_reads, READS_MAX),
        _slope("store reads, after an outage", "calls/s", figures, _return_reads, READS_MAX),
        _slope("store writes, all restart", "calls/s", figures, _restart_writes, WRITES_MAX),
    ]


async def _measure(nodes: int) -> FleetFigures:
    asyncio.get_running_loop().slow_callback_duration = SLOW_CALLBACK_SECONDS
    return await FleetMeasurement(nodes, ROWS, SEED).run()


def _slope(name: str, unit: str, figures: list[FleetFigures], metric, limit: float) -> Slope:
    points = tuple(Point(each.nodes, metric(each)) for each in figures)
    return Slope(name, unit, "node", points, NODES, limit, COMMAND)


def _control_bytes(figures: FleetFigures) -> float:
    edits = figures.bytes_per_edit * EDITS_PER_DAY / DAY_SECONDS
    return figures.steady_bytes_per_second + edits


def _steady_reads(figures: FleetFigures) -> float:
    return figures.steady_calls.reads_peak


def _return_reads(figures: FleetFigures) -> float:
    return figures.return_calls.reads_peak


def _restart_writes(figures: FleetFigures) -> float:
    return figures.restart_calls.writes_peak
