"""The measurement of one fleet: start, steady state, table edits, platform outage and restart."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from bamboo_standins.simulated_fleet import (
    SimulatedFleet,
    SimulatedNode,
    render_uniform_table,
    replace_weight,
)

DATA_CENTRES = ("east-1", "east-2", "east-3", "west-1", "west-2")
NODES_PER_SERVICE = 6
START_SECONDS = 60.0
SETTLE_SECONDS = 20.0
STEADY_SECONDS = 30.0
EDIT_COUNT = 10
EDIT_SPACING_SECONDS = 3.0
OUTAGE_SECONDS = 60.0
RETURN_SECONDS = 45.0
POLL_SECONDS = 0.01
IN_FORCE_TIMEOUT_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class CallRates:
    """The platform calls per second of the whole fleet; a pending watch counts as one read."""

    reads_mean: float
    reads_peak: float
    writes_mean: float
    writes_peak: float


@dataclass(slots=True, frozen=True)
class FleetFigures:
    """The figures of one fleet.

    A node's bytes are those that it sends to peers, with frame and TCP/IP headers, and the bodies
    that it reads from the platform. A table edit is in force at a node once the node has applied
    it. The ``half_cut`` figure is for an edit while half of the nodes cannot reach the platform.
    """

    nodes: int
    table_rows: int
    start_calls: CallRates
    start_bytes_per_second: float
    steady_calls: CallRates
    steady_bytes_per_second: float
    bytes_per_edit: float
    in_force_p50_seconds: float
    in_force_p99_seconds: float
    in_force_max_seconds: float
    in_force_half_cut_max_seconds: float
    return_calls: CallRates
    restart_calls: CallRates
    restart_bytes_per_second: float
    restart_converge_seconds: float


class FleetMeasurement:
    """A fleet that runs through every phase of the measurement once."""

    def __init__(self, nodes: int, table_rows: int, seed: int):
        self._nodes = nodes
        self._table_text = render_uniform_table(table_rows)
        self._table_rows = table_rows
        self._random = random.Random(seed)
        self._fleet = SimulatedFleet()
        self._all_nodes: list[SimulatedNode] = []
        self._loop = asyncio.get_running_loop()

    async def run(self) -> FleetFigures:
        """Run every phase and return the figures."""
        start_calls, start_bytes = await self._measure(self._start_nodes())
        await asyncio.sleep(SETTLE_SECONDS)
        steady_calls, steady_bytes = await self._measure(asyncio.sleep(STEADY_SECONDS))
        _, edit_bytes = await self._measure(self._measure_edits(delays := []))
        bytes_per_edit = max(0.0, edit_bytes - steady_bytes) * EDIT_SPACING_SECONDS
        half_cut_seconds = await self._measure_edit_with_half_cut()
        return_calls = await self._measure_return_after_outage()
        restart_calls, restart_bytes = await self._measure(self._restart_nodes())
        converge_seconds = await self._fleet.wait_until(self._fleet.views_converged, 120)
        await self._fleet.close()
        sorted_delays = sorted(delays)
        return FleetFigures(
            nodes=self._nodes,
            table_rows=self._table_rows,
            start_calls=start_calls,
            start_bytes_per_second=start_bytes,
            steady_calls=steady_calls,
            steady_bytes_per_second=steady_bytes,
            bytes_per_edit=bytes_per_edit,
            in_force_p50_seconds=sorted_delays[len(sorted_delays) // 2],
            in_force_p99_seconds=sorted_delays[int(len(sorted_delays) * 0.99)],
            in_force_max_seconds=sorted_delays[-1],
            in_force_half_cut_max_seconds=half_cut_seconds,
            return_calls=return_calls,
            restart_calls=restart_calls,
            restart_bytes_per_second=restart_bytes,
            restart_converge_seconds=converge_seconds,
        )

    async def _measure(self, phase) -> tuple[CallRates, float]:
        """Run a phase and return its call rates and the mean bytes per second of a node."""
        started_at = self._loop.time()
        first_call = len(self._fleet.platform.timed_calls)
        bytes_before = self._transferred_bytes()
        await phase
        seconds = self._loop.time() - started_at
        transferred = self._transferred_bytes() - bytes_before
        calls = self._fleet.platform.timed_calls[first_call:]
        return _call_rates(calls, seconds), transferred / seconds / self._nodes

    def _transferred_bytes(self) -> int:
        return sum(node.sent_bytes + node.client.received_bytes for node in self._all_nodes)

    async def _start_nodes(self) -> None:
        self._fleet.write_table(self._table_text)
        for number in range(self._nodes):
            self._add_node(
                f"upstream-{number:04}", DATA_CENTRES[number % len(DATA_CENTRES)], number
            )
            await asyncio.sleep(START_SECONDS / self._nodes)

    def _add_node(self, instance: str, data_centre: str, number: int) -> SimulatedNode:
        node = self._fleet.start_node(
            instance, data_centre, f"service-{number // NODES_PER_SERVICE:03}"
        )
        self._all_nodes.append(node)
        return node

    async def _measure_edits(self, delays: list[float]) -> None:
        for number in range(EDIT_COUNT):
            started_at = self._loop.time()
            delays += await self._measure_edit(20 + number)
            await asyncio.sleep(started_at + EDIT_SPACING_SECONDS - self._loop.time())

    async def _measure_edit(self, weight: int) -> list[float]:
        """Edit one row and return the seconds until the edit was in force at each node."""
        text = replace_weight(self._table_text, "kind-3", weight)
        version = self._fleet.write_table(text, f"edit-{weight}")
        started_at = self._loop.time()
        pending = self._fleet.running_nodes
        delays: list[float] = []
        while pending:
            elapsed = self._loop.time() - started_at
            still_pending = [node for node in pending if node.current_table.table.version < version]
            delays += [elapsed] * (len(pending) - len(still_pending))
            pending = still_pending
            if elapsed > IN_FORCE_TIMEOUT_SECONDS:
                raise AssertionError(
                    f"{len(pending)} nodes have not applied table version {version}"
                )
            await asyncio.sleep(POLL_SECONDS)
        return delays

    async def _measure_edit_with_half_cut(self) -> float:
        disconnected = self._random.sample(self._fleet.running_nodes, self._nodes // 2)
        for node in disconnected:
            node.client.faults.down = True
        self._fleet.platform.wake_watches()
        await asyncio.sleep(SETTLE_SECONDS)
        delays = await self._measure_edit(90)
        for node in disconnected:
            node.client.faults.down = False
        return max(delays)

    async def _measure_return_after_outage(self) -> CallRates:
        for node in self._fleet.running_nodes:
            node.client.faults.down = True
        await asyncio.sleep(OUTAGE_SECONDS)
        for node in self._fleet.running_nodes:
            node.client.faults.down = False
        calls, _ = await self._measure(asyncio.sleep(RETURN_SECONDS))
        return calls

    async def _restart_nodes(self) -> None:
        for number, old in enumerate(self._fleet.running_nodes):
            await old.kill()
            self._add_node(old.instance, old.announcement.data_centre, number)
            await asyncio.sleep(START_SECONDS / self._nodes)


def _call_rates(calls: list[tuple[float, str]], seconds: float) -> CallRates:
    writes = [time for time, kind in calls if kind == "writes"]
    reads = [time for time, kind in calls if kind != "writes"]
    return CallRates(
        reads_mean=len(reads) / seconds,
        reads_peak=_peak_rate(reads),
        writes_mean=len(writes) / seconds,
        writes_peak=_peak_rate(writes),
    )


def _peak_rate(times: list[float]) -> float:
    """Return the maximum number of calls within one second of the clock."""
    return float(max(Counter(int(time) for time in times).values(), default=0))
