"""Processor time and memory of idle nodes as real processes, against their number."""

import asyncio
import tempfile
from pathlib import Path

from bamboo_bench.capacity.slopes import Point, Slope
from bamboo_bench.path.chains import ProcessorTime, resident_bytes
from bamboo_standins.fleet import Fleet, InstancePlan

COMMAND = "bamboo-bench capacity --part processes"
SIZES = (4, 12, 24)
NODES = 950
DATA_CENTRES = 5
SETTLE_SECONDS = 10.0
WATCH_SECONDS = 30.0
PROCESSOR_PERCENT_MAX = 2.7
RESIDENT_MB_MAX = 256.0
TABLE = (
    "kind,rank,weight,effect,deadline_ms,retries,slots_max,services\n"
    "read,1,10,idempotent,2000,1,0,service-0\n"
)


def measure() -> list[Slope]:
    """Return the slopes of processor time and of memory."""
    figures = [(size, asyncio.run(_measure(size))) for size in SIZES]
    processor = tuple(Point(size, percent) for size, (percent, _) in figures)
    resident = tuple(Point(size, megabytes) for size, (_, megabytes) in figures)
    return [
        Slope(
            "processor of an idle node",
            "% of a core",
            "node",
            processor,
            NODES,
            PROCESSOR_PERCENT_MAX,
            COMMAND,
        ),
        Slope("resident memory", "MB", "node", resident, NODES, RESIDENT_MB_MAX, COMMAND),
    ]


async def _measure(count: int) -> tuple[float, float]:
    """Return the mean processor time, in per cent of a core, and the largest resident MB."""
    plans = [
        InstancePlan(f"node-{number}", f"service-{number % 4}", f"centre-{number % DATA_CENTRES}")
        for number in range(count)
    ]
    with tempfile.TemporaryDirectory() as directory:
        fleet = Fleet(Path(directory), plans, TABLE, proxied=False)
        try:
            await fleet.start()
            await asyncio.sleep(SETTLE_SECONDS)
            before = _processor_seconds(fleet)
            await asyncio.sleep(WATCH_SECONDS)
            spent = _processor_seconds(fleet) - before
            resident = max(resident_bytes(each.node.pid) for each in fleet.by_instance.values())
        finally:
            await fleet.stop()
    return spent / count / WATCH_SECONDS * 100, resident / 1e6


def _processor_seconds(fleet: Fleet) -> float:
    nodes = (each.node.pid for each in fleet.by_instance.values())
    return sum(ProcessorTime.of_process(process_id).total for process_id in nodes)
