"""The phases of a fleet's life that are measured."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass

from bamboo_standins.memory_fleet import MemoryFleet, MemoryNode, table_text, with_weight

CENTRES = ("east-1", "east-2", "east-3", "west-1", "west-2")
SERVICE_SIZE = 6
START_SECONDS = 60.0
SETTLE_SECONDS = 20.0
STEADY_SECONDS = 30.0
EDITS = 10
EDIT_SPACING_SECONDS = 3.0
OUTAGE_SECONDS = 60.0
RETURN_SECONDS = 45.0
SAMPLE_SECONDS = 0.01
IN_FORCE_LIMIT_SECONDS = 60.0


@dataclass(slots=True, frozen=True)
class Calls:
    """Hold platform calls of the whole fleet a second; a waiting watch counts as one read."""

    reads_mean: float
    reads_peak: float
    writes_mean: float
    writes_peak: float


@dataclass(slots=True, frozen=True)
class FleetFigures:
    """Hold the figures of one fleet.

    Bytes are those that a node sends to peers, with frame and TCP/IP headers, and the bodies that
    it reads from the platform.
    """

    nodes: int
    table_rows: int
    start_calls: Calls
    start_bytes_per_second: float
    steady_calls: Calls
    steady_bytes_per_second: float
    bytes_per_edit: float
    in_force_p50_seconds: float
    in_force_p99_seconds: float
    in_force_max_seconds: float
    in_force_half_cut_max_seconds: float
    return_calls: Calls
    restart_calls: Calls
    restart_bytes_per_second: float
    restart_converge_seconds: float


class FleetMeasurement:
    """Run one fleet through all phases."""

    def __init__(self, nodes: int, table_rows: int, seed: int):
        self._nodes = nodes
        self._text = table_text(table_rows)
        self._table_rows = table_rows
        self._random = random.Random(seed)
        self._fleet = MemoryFleet()
        self._all: list[MemoryNode] = []
        self._loop = asyncio.get_running_loop()

    async def run(self) -> FleetFigures:
        """Measure every phase."""
        start_calls, start_bytes = await self._measure(self._start())
        await asyncio.sleep(SETTLE_SECONDS)
        steady_calls, steady_bytes = await self._measure(asyncio.sleep(STEADY_SECONDS))
        _, edit_bytes = await self._measure(self._edits(delays := []))
        per_edit = max(0.0, edit_bytes - steady_bytes) * EDIT_SPACING_SECONDS
        half_cut = await self._edit_with_half_cut()
        return_calls = await self._outage_and_return()
        restart_calls, restart_bytes = await self._measure(self._restart_all())
        converge = await self._fleet.seconds_until(self._fleet.views_agree, 120)
        await self._fleet.close()
        ordered = sorted(delays)
        return FleetFigures(
            nodes=self._nodes,
            table_rows=self._table_rows,
            start_calls=start_calls,
            start_bytes_per_second=start_bytes,
            steady_calls=steady_calls,
            steady_bytes_per_second=steady_bytes,
            bytes_per_edit=per_edit,
            in_force_p50_seconds=ordered[len(ordered) // 2],
            in_force_p99_seconds=ordered[int(len(ordered) * 0.99)],
            in_force_max_seconds=ordered[-1],
            in_force_half_cut_max_seconds=half_cut,
            return_calls=return_calls,
            restart_calls=restart_calls,
            restart_bytes_per_second=restart_bytes,
            restart_converge_seconds=converge,
        )

    async def _measure(self, phase) -> tuple[Calls, float]:
        """Return the calls of a phase and the bytes that a node sends a second in it."""
        began = self._loop.time()
        first_call = len(self._fleet.platform.call_times)
        before = self._bytes()
        await phase
        seconds = self._loop.time() - began
        sent = self._bytes() - before
        calls = self._fleet.platform.call_times[first_call:]
        return _calls(calls, seconds), sent / seconds / self._nodes

    def _bytes(self) -> int:
        return sum(node.sent_bytes + node.client.received_bytes for node in self._all)

    async def _start(self) -> None:
        self._fleet.write_table(self._text)
        for number in range(self._nodes):
            self._add(f"upstream-{number:04}", CENTRES[number % len(CENTRES)], number)
            await asyncio.sleep(START_SECONDS / self._nodes)

    def _add(self, instance: str, centre: str, number: int) -> MemoryNode:
        node = self._fleet.add(instance, centre, f"service-{number // SERVICE_SIZE:03}")
        self._all.append(node)
        return node

    async def _edits(self, delays: list[float]) -> None:
        for number in range(EDITS):
            began = self._loop.time()
            delays += await self._edit(20 + number)
            await asyncio.sleep(began + EDIT_SPACING_SECONDS - self._loop.time())

    async def _edit(self, weight: int) -> list[float]:
        """Apply an edit of one row and return when it was in force at each node."""
        text = with_weight(self._text, "kind-3", weight)
        version = self._fleet.write_table(text, f"edit-{weight}")
        began = self._loop.time()
        waiting = self._fleet.running
        delays: list[float] = []
        while waiting:
            elapsed = self._loop.time() - began
            behind = [node for node in waiting if node.holder.table.version < version]
            delays += [elapsed] * (len(waiting) - len(behind))
            waiting = behind
            if elapsed > IN_FORCE_LIMIT_SECONDS:
                raise AssertionError(f"{len(waiting)} nodes miss version {version}")
            await asyncio.sleep(SAMPLE_SECONDS)
        return delays

    async def _edit_with_half_cut(self) -> float:
        cut = self._random.sample(self._fleet.running, self._nodes // 2)
        for node in cut:
            node.client.faults.down = True
        self._fleet.platform.wake()
        await asyncio.sleep(SETTLE_SECONDS)
        delays = await self._edit(90)
        for node in cut:
            node.client.faults.down = False
        return max(delays)

    async def _outage_and_return(self) -> Calls:
        for node in self._fleet.running:
            node.client.faults.down = True
        await asyncio.sleep(OUTAGE_SECONDS)
        for node in self._fleet.running:
            node.client.faults.down = False
        calls, _ = await self._measure(asyncio.sleep(RETURN_SECONDS))
        return calls

    async def _restart_all(self) -> None:
        for number, old in enumerate(self._fleet.running):
            await old.kill()
            self._add(old.instance, old.announcement.data_centre, number)
            await asyncio.sleep(START_SECONDS / self._nodes)


def _calls(calls: list[tuple[float, str]], seconds: float) -> Calls:
    writes = [at for at, kind in calls if kind == "writes"]
    reads = [at for at, kind in calls if kind != "writes"]
    return Calls(
        reads_mean=len(reads) / seconds,
        reads_peak=_peak(reads),
        writes_mean=len(writes) / seconds,
        writes_peak=_peak(writes),
    )


def _peak(times: list[float]) -> float:
    """Return the most calls within one second of the clock."""
    return float(max(Counter(int(at) for at in times).values(), default=0))
