"""The cost of an idempotency key with real processes: added latency and writes to the platform."""

import argparse
import asyncio
import itertools
import statistics
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from bamboo_standins.process_fleet import InstancePlan, ProcessFleet

TABLE = """kind,rank,weight,effect,deadline_ms,retries,slots_max,services
read,3,10,idempotent,3000,0,0,payments
charge,1,50,once,3000,0,0,payments
"""
INSTANCE_PLANS = [
    InstancePlan("edge-1", "edge", "north"),
    InstancePlan("edge-2", "edge", "north"),
    InstancePlan("payments-1", "payments", "north", seconds=0.0),
]
WARM_UP_ROUNDS = 50
MILLISECONDS = 1000.0


@dataclass(slots=True)
class Samples:
    """The latencies of one way of calling, in seconds."""

    name: str
    seconds: list[float] = field(default_factory=list)

    def __str__(self) -> str:
        percentiles = statistics.quantiles(self.seconds, n=100)
        p50, p99 = percentiles[49] * MILLISECONDS, percentiles[98] * MILLISECONDS
        return f"way={self.name!r} calls={len(self.seconds)} p50_ms={p50:.3f} p99_ms={p99:.3f}"


async def measure_key_cost(rounds: int) -> None:
    """Call in three ways and print the latencies.

    The ways alternate, so that all meet the same conditions.
    """
    with tempfile.TemporaryDirectory() as directory:
        fleet = ProcessFleet(Path(directory), INSTANCE_PLANS, TABLE, proxied=False)
        try:
            await fleet.start()
            await _compare_ways(fleet, rounds)
        finally:
            await fleet.stop()


async def _compare_ways(fleet: ProcessFleet, rounds: int) -> None:
    unkeyed, at_home, forwarded = Samples("unkeyed"), Samples("at home"), Samples("forwarded")
    nonces = itertools.count()
    writes_before = await _platform_writes(fleet)
    for round_number in range(WARM_UP_ROUNDS + rounds):
        home = await fleet.home_key_prefix("edge-1")
        times = [
            await _measure_call(fleet, "edge-1", "read", {}),
            await _measure_call(fleet, "edge-1", "charge", {"key": f"{home}/{next(nonces)}"}),
            await _measure_call(fleet, "edge-2", "charge", {"key": f"{home}/{next(nonces)}"}),
        ]
        if round_number >= WARM_UP_ROUNDS:
            for samples, seconds in zip((unkeyed, at_home, forwarded), times, strict=True):
                samples.seconds.append(seconds)
    for samples in (unkeyed, at_home, forwarded):
        print(samples)
    print(f"platform_writes={await _platform_writes(fleet) - writes_before}")


async def _measure_call(
    fleet: ProcessFleet, node: str, kind: str, headers: dict[str, str]
) -> float:
    started = time.perf_counter()
    answer = await fleet.call(node, kind, body=b"x" * 512, **headers)
    if answer.outcome != "ran":
        raise RuntimeError(
            f"{kind} call through {node} did not run: {answer.outcome} {answer.reason}"
        )
    return time.perf_counter() - started


async def _platform_writes(fleet: ProcessFleet) -> int:
    url = f"http://127.0.0.1:{fleet.platform_port}/_counts"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return (await response.json()).get("writes", 0)


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=1_000)
    asyncio.run(measure_key_cost(parser.parse_args().rounds))


if __name__ == "__main__":
    main()
