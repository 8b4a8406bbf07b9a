"""The cost of one hop between two nodes on the users' platform, compared between checkouts.

Each round runs every checkout once, one after the other, so that a change of the machine's speed
affects all of them alike.
"""

import asyncio
import random
import signal
import statistics
import tempfile
import time
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp
from aiohttp import web

from bamboo_bench.path.report import quantile
from bamboo_bench.soak.callers import Caller
from bamboo_bench.soak.invariants import InvariantChecker
from bamboo_bench.soak.machines import Machine
from bamboo_bench.soak.shapes import MIXED
from bamboo_bench.soak.sites import configuration
from bamboo_bench.soak.upstreams import Upstream
from bamboo_standins.platform import PlatformStandIn

CALLER, GATE = "caller", "gate"
# The caller's node stands beside an upstream of another service, so that each call is a whole hop.
SERVICE_BY_ROLE = {CALLER: "stock", GATE: "menu"}
KIND = next(kind for kind in MIXED.mesh.kinds if kind.service == SERVICE_BY_ROLE[GATE])
DATA_CENTRE = "north"
HOST_BY_ROLE = {CALLER: "127.31.0.1", GATE: "127.31.0.2"}
WARM_UP_SECONDS = 2.0
START_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.05


@dataclass(slots=True, frozen=True)
class ProcessUsage:
    """What a process has used so far: processor seconds, and the calls that read or write."""

    processor_seconds: float
    reads_and_writes: int

    @classmethod
    def of_process(cls, process_id: int) -> "ProcessUsage":
        """Return the usage of a process, read from ``/proc``."""
        nanoseconds = int(Path(f"/proc/{process_id}/schedstat").read_text().split()[0])
        io_fields = dict(
            line.split(": ") for line in Path(f"/proc/{process_id}/io").read_text().splitlines()
        )
        return cls(nanoseconds / 1e9, int(io_fields["syscr"]) + int(io_fields["syscw"]))


@dataclass(slots=True)
class HopFigures:
    """The figures of one checkout, a value for each round.

    Processor time is in microseconds a call, latency in milliseconds as the caller sees it.
    """

    processor_us_by_role: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    io_calls_by_role: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    start_seconds: list[float] = field(default_factory=list)
    p99_ms: list[float] = field(default_factory=list)

    def render(self) -> str:
        """Return the medians over all rounds as one line."""
        parts = [
            f"{role}: {statistics.median(self.processor_us_by_role[role]):.0f} us"
            f" {statistics.median(self.io_calls_by_role[role]):.2f} reads and writes a call"
            for role in SERVICE_BY_ROLE
        ]
        start = statistics.median(self.start_seconds)
        p99 = statistics.median(self.p99_ms)
        return "; ".join([*parts, f"start {start:.2f} s of processor time", f"p99 {p99:.1f} ms"])


class Hop:
    """Two machines, whose nodes run from one checkout, with a stand-in store."""

    def __init__(self, directory: Path, checkout: Path):
        self._platform = PlatformStandIn()
        self._checker = InvariantChecker()
        self._loop = asyncio.get_running_loop()
        self.machine_by_role = {
            role: Machine(
                role,
                Upstream(service, HOST_BY_ROLE[role], self._checker, MIXED, self._loop.time),
                DATA_CENTRE,
                directory,
                self._checker,
                checkout,
            )
            for role, service in SERVICE_BY_ROLE.items()
        }
        machine = self.machine_by_role[CALLER]
        self._caller = Caller([machine], self._checker, MIXED, 1, self._loop.time)

    async def start(self) -> None:
        """Start both machines, and wait until a call is served."""
        self._runner = web.AppRunner(self._platform.application(), shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", 0).start()
        await self._platform.write_unconditionally(
            "config", "main", configuration(1, MIXED.mesh, MIXED.deadline_seconds)
        )
        store_address = f"127.0.0.1:{self._runner.addresses[0][1]}"
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        for machine in self.machine_by_role.values():
            await machine.start(store_address)
        async with asyncio.timeout(START_TIMEOUT_SECONDS):
            while await self.call() is None:
                await asyncio.sleep(POLL_SECONDS)

    async def close(self) -> None:
        """Stop everything."""
        await self._session.close()
        for machine in self.machine_by_role.values():
            await machine.terminate_node(signal.SIGKILL)
            await machine.close()
        await self._runner.cleanup()

    def usage_by_role(self) -> dict[str, ProcessUsage]:
        """Return what each node's process has used so far."""
        return {
            role: ProcessUsage.of_process(machine.process_id)
            for role, machine in self.machine_by_role.items()
        }

    async def call(self) -> float | None:
        """Send one call and return its seconds, or None if it was not served."""
        started_at = time.perf_counter()
        is_served = await self._caller.call(self._session, self.machine_by_role[CALLER], KIND)
        return time.perf_counter() - started_at if is_served else None

    async def run_open_loop(self, rate: float, seconds: float) -> list[float | None]:
        """Send ``rate`` calls a second at random times, and return the results of ``call``."""
        rng = random.Random(1)
        tasks = []
        started_at = send_at = self._loop.time()
        while send_at < started_at + seconds:
            send_at += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, send_at - self._loop.time()))
            tasks.append(asyncio.create_task(self.call()))
        return await asyncio.gather(*tasks)


async def measure_checkout(
    checkout: Path, rate: float, seconds: float, figures: HopFigures
) -> None:
    """Run one round of a checkout and add its figures."""
    with tempfile.TemporaryDirectory() as directory:
        hop = Hop(Path(directory), checkout)
        try:
            await hop.start()
            figures.start_seconds.append(
                statistics.mean(usage.processor_seconds for usage in hop.usage_by_role().values())
            )
            await hop.run_open_loop(rate, WARM_UP_SECONDS)
            before = hop.usage_by_role()
            latencies = await hop.run_open_loop(rate, seconds)
            after = hop.usage_by_role()
        finally:
            await hop.close()
    calls = len(latencies)
    if None in latencies:
        raise RuntimeError(f"{latencies.count(None)} of {calls} calls were not served: {checkout}")
    figures.p99_ms.append(quantile(latencies, 0.99) * 1e3)
    for role in SERVICE_BY_ROLE:
        used_seconds = after[role].processor_seconds - before[role].processor_seconds
        io_calls = after[role].reads_and_writes - before[role].reads_and_writes
        figures.processor_us_by_role[role].append(used_seconds / calls * 1e6)
        figures.io_calls_by_role[role].append(io_calls / calls)


async def compare_checkouts(
    checkouts: list[Path], rate: float, seconds: float, rounds: int
) -> dict[Path, HopFigures]:
    """Return the figures by checkout, measured in alternating rounds."""
    figures_by_checkout = {checkout: HopFigures() for checkout in checkouts}
    for _ in range(rounds):
        for checkout, figures in figures_by_checkout.items():
            await measure_checkout(checkout, rate, seconds, figures)
    return figures_by_checkout
