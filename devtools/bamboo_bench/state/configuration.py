"""How fast a configuration reaches a simulated fleet of platform nodes, under a paused clock."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from bamboo_standins.configuration_fleet import DATA_CENTRES, ConfigurationFleet

EDIT_COUNT = 5
EDIT_SPACING_SECONDS = 5.0
POLL_SECONDS = 0.01
LOSS_PROBABILITY = 0.025
APPLY_TIMEOUT_SECONDS = 60.0
# The price of a call whose answer may be stale, in calls.
STALE_CALL_PRICE = 0.1


@dataclass(slots=True, frozen=True)
class PropagationFigures:
    """How several versions reached a fleet.

    Lags are in seconds from the write to the store until a running node applied the version.
    ``store_price_per_node`` counts each call as one and each that may be stale as a tenth, for one
    version; ``bytes_per_node`` are those that a node sent to peers for one version.
    """

    nodes: int
    lag_p50: float
    lag_p99: float
    lag_max: float
    bytes_per_node: float
    store_price_per_node: float


async def measure_propagation(fleet: ConfigurationFleet) -> PropagationFigures:
    """Write several versions to a started fleet, and return how they reached its nodes."""
    lags: list[float] = []
    sent_before = sum(node.sent_bytes for node in fleet.nodes)
    calls_before = fleet.platform.call_counts.copy()
    for _ in range(EDIT_COUNT):
        lags += await _lags_of_next_version(fleet)
        await asyncio.sleep(EDIT_SPACING_SECONDS)
    calls = fleet.platform.call_counts - calls_before
    price = sum(
        count * (STALE_CALL_PRICE if "stale" in kind else 1.0) for kind, count in calls.items()
    )
    sent_bytes = sum(node.sent_bytes for node in fleet.nodes) - sent_before
    lags.sort()
    return PropagationFigures(
        nodes=len(fleet.nodes),
        lag_p50=lags[len(lags) // 2],
        lag_p99=lags[int(len(lags) * 0.99)],
        lag_max=lags[-1],
        bytes_per_node=sent_bytes / EDIT_COUNT / len(fleet.nodes),
        store_price_per_node=price / EDIT_COUNT / len(fleet.nodes),
    )


async def _lags_of_next_version(fleet: ConfigurationFleet) -> list[float]:
    loop = asyncio.get_running_loop()
    written_at = loop.time()
    version = fleet.write_configuration()
    waiting = fleet.running_nodes
    lags: list[float] = []
    while waiting:
        await asyncio.sleep(POLL_SECONDS)
        lag = loop.time() - written_at
        if lag > APPLY_TIMEOUT_SECONDS:
            raise AssertionError(f"{len(waiting)} nodes did not apply version {version}")
        applied = [node for node in waiting if node.current_routes.routes.version >= version]
        lags += [lag] * len(applied)
        waiting = [node for node in waiting if node not in applied]
    return lags


async def measure_calm(nodes: int, seed: int) -> PropagationFigures:
    """Measure a fleet without faults."""
    return await _measure(nodes, seed, _leave_alone)


async def measure_watchers_killed(nodes: int, seed: int) -> PropagationFigures:
    """Measure a fleet whose store watchers in one data centre were all killed just before."""

    async def kill(fleet: ConfigurationFleet) -> None:
        for node in fleet.running_nodes:
            if node.is_store_watcher and node.data_centre == DATA_CENTRES[0]:
                await node.kill()

    return await _measure(nodes, seed, kill)


async def measure_watchers_cut(nodes: int, seed: int) -> PropagationFigures:
    """Measure a fleet whose store watchers in one data centre do not reach the store."""

    async def cut(fleet: ConfigurationFleet) -> None:
        for node in fleet.running_nodes:
            is_cut = node.is_store_watcher and node.data_centre == DATA_CENTRES[0]
            node.client.faults.down = is_cut

    return await _measure(nodes, seed, cut)


async def measure_all_watchers_cut(nodes: int, seed: int) -> PropagationFigures:
    """Measure a fleet none of whose store watchers reaches the store."""

    async def cut(fleet: ConfigurationFleet) -> None:
        for node in fleet.running_nodes:
            node.client.faults.down = node.is_store_watcher

    return await _measure(nodes, seed, cut)


async def measure_losses(nodes: int, seed: int) -> PropagationFigures:
    """Measure a fleet that loses 2.5% of the messages and whose store refuses a third of it."""

    async def disturb(fleet: ConfigurationFleet) -> None:
        fleet.network.loss_probability = LOSS_PROBABILITY
        for node in random.Random(seed).sample(fleet.nodes, nodes // 3):
            node.client.faults.refuse_status = 503

    return await _measure(nodes, seed, disturb)


async def _leave_alone(fleet: ConfigurationFleet) -> None:
    """Inject no fault."""


async def _measure(
    nodes: int, seed: int, disturb: Callable[[ConfigurationFleet], Awaitable[None]]
) -> PropagationFigures:
    fleet = ConfigurationFleet(nodes, seed)
    await fleet.start()
    await disturb(fleet)
    try:
        return await measure_propagation(fleet)
    finally:
        await fleet.close()
