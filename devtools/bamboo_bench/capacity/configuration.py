"""How a configuration spreads over a fleet of platform nodes, and what it costs."""

import asyncio
from collections.abc import Callable

from loguru import logger

from bamboo_bench.capacity.slopes import Point, Slope
from bamboo_bench.state.configuration import (
    PropagationFigures,
    measure_all_watchers_cut,
    measure_calm,
    measure_losses,
    measure_watchers_cut,
    measure_watchers_killed,
)
from bamboo_standins.paused_clock import run_with_paused_clock

COMMAND = "bamboo-bench capacity --part configuration"
NODE_COUNTS = (13, 195, 954)
TARGET_NODES = 954
SEED = 1
LAG_P99_SECONDS_MAX = 1.5
LAG_SECONDS_MAX = 2.5
# The control traffic of a node, 2 KB a second, for the 2,100 edits of a day.
BYTES_PER_EDIT_MAX = 2_000 * 86_400 / 2_100
SLOW_CALLBACK_SECONDS = 60.0
MEASURE_BY_CONDITION = {
    "calm": measure_calm,
    "the watchers of a data centre killed": measure_watchers_killed,
    "the watchers of a data centre cut from the store": measure_watchers_cut,
    "2.5% of messages lost, store refuses a third": measure_losses,
}


def measure() -> list[Slope]:
    """Return the slopes of the lags in each condition, and of the calm fleet's traffic."""
    logger.disable("bamboojunction")
    figures_by_condition = {
        condition: [run_with_paused_clock(_measure_fleet(run, nodes)) for nodes in NODE_COUNTS]
        for condition, run in MEASURE_BY_CONDITION.items()
    }
    lags = [
        slope
        for condition, figures in figures_by_condition.items()
        for slope in (
            _slope(f"p99 lag, {condition}", "s", figures, _lag_p99, LAG_P99_SECONDS_MAX),
            _slope(f"longest lag, {condition}", "s", figures, _lag_max, LAG_SECONDS_MAX),
        )
    ]
    calm = figures_by_condition["calm"]
    # No node reads in time then, so only the longest lag has a bound.
    all_cut = [
        run_with_paused_clock(_measure_fleet(measure_all_watchers_cut, nodes))
        for nodes in NODE_COUNTS
    ]
    return [
        *lags,
        _slope(
            "longest lag, all watchers cut from the store", "s", all_cut, _lag_max, LAG_SECONDS_MAX
        ),
        _slope("bytes of an edit for each node", "bytes", calm, _bytes, BYTES_PER_EDIT_MAX),
        _slope("price of an edit for each node", "calls", calm, _store_price, None),
    ]


async def _measure_fleet(run, nodes: int) -> PropagationFigures:
    asyncio.get_running_loop().slow_callback_duration = SLOW_CALLBACK_SECONDS
    return await run(nodes, SEED)


def _slope(
    name: str,
    unit: str,
    figures: list[PropagationFigures],
    metric: Callable[[PropagationFigures], float],
    limit: float | None,
) -> Slope:
    points = tuple(Point(each.nodes, metric(each)) for each in figures)
    return Slope(name, unit, "node", points, TARGET_NODES, limit, COMMAND)


def _lag_p99(figures: PropagationFigures) -> float:
    return figures.lag_p99


def _lag_max(figures: PropagationFigures) -> float:
    return figures.lag_max


def _bytes(figures: PropagationFigures) -> float:
    return figures.bytes_per_node


def _store_price(figures: PropagationFigures) -> float:
    return figures.store_price_per_node
