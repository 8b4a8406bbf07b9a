"""Processor time and memory of idle node processes, against their number."""

import asyncio
import tempfile
from pathlib import Path

from bamboo_bench.capacity.slopes import Point, Slope
from bamboo_bench.path.chains import CpuTime, resident_bytes
from bamboo_standins.process_fleet import InstancePlan, ProcessFleet

COMMAND = "bamboo-bench capacity --part processes"
NODE_COUNTS = (4, 12, 24)
TARGET_NODES = 950
DATA_CENTRES = 5
SETTLE_SECONDS = 10.0
MEASURE_SECONDS = 30.0
PROCESSOR_PERCENT_MAX = 2.7
RESIDENT_MB_MAX = 256.0
TABLE = (
    "kind,rank,weight,effect,deadline_ms,retries,slots_max,services\n"
    "read,1,10,idempotent,2000,1,0,service-0\n"
)


def measure() -> list[Slope]:
    """Return the slopes of processor time and of resident memory."""
    figures = [(size, asyncio.run(_measure_fleet(size))) for size in NODE_COUNTS]
    processor = tuple(Point(size, percent) for size, (percent, _) in figures)
    resident = tuple(Point(size, megabytes) for size, (_, megabytes) in figures)
    return [
        Slope(
            "processor of an idle node",
            "% of a core",
            "node",
            processor,
            TARGET_NODES,
            PROCESSOR_PERCENT_MAX,
            COMMAND,
        ),
        Slope("resident memory", "MB", "node", resident, TARGET_NODES, RESIDENT_MB_MAX, COMMAND),
    ]


async def _measure_fleet(count: int) -> tuple[float, float]:
    """Return the mean processor time in per cent of a core, and the maximum resident MB."""
    plans = [
        InstancePlan(f"node-{number}", f"service-{number % 4}", f"centre-{number % DATA_CENTRES}")
        for number in range(count)
    ]
    with tempfile.TemporaryDirectory() as directory:
        fleet = ProcessFleet(Path(directory), plans, TABLE, proxied=False)
        try:
            await fleet.start()
            await asyncio.sleep(SETTLE_SECONDS)
            before = _processor_seconds(fleet)
            await asyncio.sleep(MEASURE_SECONDS)
            spent = _processor_seconds(fleet) - before
            resident = max(
                resident_bytes(running.node.pid) for running in fleet.running_by_instance.values()
            )
        finally:
            await fleet.stop()
    return spent / count / MEASURE_SECONDS * 100, resident / 1e6


def _processor_seconds(fleet: ProcessFleet) -> float:
    nodes = (running.node.pid for running in fleet.running_by_instance.values())
    return sum(CpuTime.of_process(process_id).total for process_id in nodes)
