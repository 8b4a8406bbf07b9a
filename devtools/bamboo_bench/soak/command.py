"""The command ``bamboo-bench soak``."""

import asyncio
import itertools
import json
import tempfile
import time
from collections import Counter
from pathlib import Path

from aiohttp import web
from cleo.commands.command import Command
from cleo.helpers import option
from hdrh.histogram import HdrHistogram

from bamboo_bench.soak.callers import Caller
from bamboo_bench.soak.exchange import create_session
from bamboo_bench.soak.faults import FaultInjector
from bamboo_bench.soak.invariants import InvariantChecker
from bamboo_bench.soak.invariants.timeline import STORE, Change, Disturbance
from bamboo_bench.soak.machines import Machine
from bamboo_bench.soak.report import report_lines
from bamboo_bench.soak.shapes import MIXED, SHAPE_BY_NAME, Shape
from bamboo_bench.soak.sites import configuration
from bamboo_bench.soak.traffic import Traffic
from bamboo_bench.soak.upstreams import CRASHING_SUFFIX, Upstream
from bamboo_standins.platform import PlatformStandIn, StoreFaults

STARTUP_TIMEOUT_SECONDS = 20.0
RECOVERY_TIMEOUT_SECONDS = 15.0
POLL_SECONDS = 0.2
OBSERVATION_SECONDS = 0.1
LAG_MAX_MS = 60_000


class SoakTest:
    """A soak test of machines under load and seeded faults."""

    def __init__(
        self, directory: Path, seed: int, shape: Shape = MIXED, checkout: Path | None = None
    ):
        self._directory = directory
        self._shape = shape
        self._checkout = checkout
        self._seed = seed
        self._platform = PlatformStandIn()
        self._configuration_versions = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._configuration_writes: set[asyncio.Task] = set()
        # How late the callers, upstreams and proxies of this process run.
        self.lags_ms = HdrHistogram(1, LAG_MAX_MS, 2)
        self.checker = InvariantChecker(shape.is_planned_work)
        self.machines: list[Machine] = []
        self.outcomes: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Run under load and faults for a time, then clear the faults and check the recovery."""
        runner = web.AppRunner(self._platform.application(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        try:
            await self._start_machines(f"127.0.0.1:{runner.addresses[0][1]}")
            await self._wait_until_served("start", STARTUP_TIMEOUT_SECONDS)
            await self._run_load(seconds)
            await self._clear_faults()
            await self._wait_until_served("recover", RECOVERY_TIMEOUT_SECONDS)
            self.checker.finish(self._loop.time())
        finally:
            await asyncio.gather(*(machine.close() for machine in self.machines))
            await runner.cleanup()

    async def _start_machines(self, store_address: str) -> None:
        await self._write_configuration()
        mesh = self._shape.mesh
        for number, service in enumerate(mesh.services):
            host = f"127.30.{self._seed % 250}.{number + 1}"
            name = f"{service}-{number}"
            upstream = Upstream(service, host, self.checker, self._shape, self._loop.time)
            data_centre = mesh.data_centres[number % len(mesh.data_centres)]
            self.machines.append(
                Machine(name, upstream, data_centre, self._directory, self.checker, self._checkout)
            )
        await asyncio.gather(*(machine.start(store_address) for machine in self.machines))

    async def _run_load(self, seconds: float) -> None:
        stop = asyncio.Event()
        callers = [self._create_caller(number) for number in range(self._shape.caller_count)]
        traffic_caller = self._create_caller(self._shape.caller_count + 2)
        self.traffic = Traffic(
            self.machines, self._shape.mesh.kinds, traffic_caller, self._seed, self._loop.time
        )
        tasks = [asyncio.create_task(each.run(stop)) for each in (*callers, self.traffic)]
        # One caller for all of them, as its seed gives the ids of its requests.
        self._crashing_caller = self._create_caller(self._shape.caller_count + 1)
        observation_task = asyncio.create_task(self._observe())
        injector = FaultInjector(
            self.machines,
            self._platform,
            self._change_configuration,
            self._send_crashing_request,
            self.traffic,
            self._shape,
            self._seed,
        )
        await injector.run(seconds)
        stop.set()
        await asyncio.gather(*tasks)
        observation_task.cancel()
        self.faults = injector.count_by_fault
        for caller in (*callers, traffic_caller):
            self.outcomes += caller.count_by_outcome

    def _create_caller(self, number: int) -> Caller:
        seed = self._seed * 1000 + number
        return Caller(self.machines, self.checker, self._shape, seed, self._loop.time)

    async def _observe(self) -> None:
        """Observe the memory of the nodes, and the disturbances of their paths and of the store."""
        disturbance: Disturbance | None = None
        while True:
            for machine in self.machines:
                machine.check_memory()
                machine.observe_path()
            now = self._loop.time()
            is_store_disturbed = self._platform.faults != StoreFaults()
            if is_store_disturbed and disturbance is None:
                disturbance = self.checker.timeline.begin(STORE, now - OBSERVATION_SECONDS)
            elif not is_store_disturbed and disturbance is not None:
                disturbance.ended_at = now
                disturbance = None
            await asyncio.sleep(OBSERVATION_SECONDS)
            late_seconds = self._loop.time() - now - OBSERVATION_SECONDS
            self.lags_ms.record_value(max(1, int(1000 * late_seconds)))

    async def _send_crashing_request(self, machine: Machine, number: int) -> None:
        """Send a read that crashes each upstream that runs it, the same one for each number."""
        suffix = f"{CRASHING_SUFFIX}/{number}"
        kind = next(kind for kind in self._shape.mesh.kinds if not kind.is_at_most_once)
        async with create_session() as session:
            await self._crashing_caller.call(session, machine, kind, suffix)

    def _change_configuration(self) -> None:
        task = asyncio.create_task(self._write_configuration())
        self._configuration_writes.add(task)
        task.add_done_callback(self._configuration_writes.discard)

    async def _write_configuration(self) -> None:
        sent_at = self._loop.time()
        await self._platform.write_unconditionally(
            "config",
            "main",
            configuration(
                next(self._configuration_versions), self._shape.mesh, self._shape.deadline_seconds
            ),
        )
        change = Change(sent_at, acknowledged_at=self._loop.time())
        self.checker.timeline.planned_work.append(change)

    async def _clear_faults(self) -> None:
        await self._platform.set_faults(StoreFaults())
        for machine in self.machines:
            machine.to_upstream.clear_faults()
            machine.to_store.clear_faults()

    async def _wait_until_served(self, phase: str, seconds: float) -> None:
        """Call every node with every kind until each call is served.

        Record a violation for each node and path that is not served within ``seconds``.
        """
        caller = self._create_caller(self._shape.caller_count)
        unserved = {
            (machine.name, kind.path): (machine, kind)
            for machine in self.machines
            for kind in self._shape.mesh.kinds
        }
        deadline = self._loop.time() + seconds
        async with create_session() as session:
            while unserved and self._loop.time() < deadline:
                are_served = await asyncio.gather(
                    *(caller.call(session, machine, kind) for machine, kind in unserved.values())
                )
                unserved = {
                    key: unserved[key]
                    for key, is_served in zip(list(unserved), are_served, strict=True)
                    if not is_served
                }
                await asyncio.sleep(POLL_SECONDS)
        for name, path in unserved:
            self.checker.check_recovery(f"{phase} {name}", path, False)


class SoakCommand(Command):
    """The command that runs soak tests, one for each seed."""

    name = "soak"
    description = "Run nodes of the users' platform under random faults and check their invariants"
    options = [
        option(
            "seconds", None, "Seconds of load and faults for each seed", flag=False, default="20"
        ),
        option("shape", None, f"Shape: {', '.join(SHAPE_BY_NAME)}", flag=False, default="mixed"),
        option("seed", None, "First seed; 0 uses the current time", flag=False, default="0"),
        option(
            "seeds", None, "Number of seeds to run, one after the other", flag=False, default="1"
        ),
        option(
            "keep",
            None,
            "Directory in which to keep the settings and logs of the nodes",
            flag=False,
        ),
        option("checkout", None, "Directory whose code the nodes run", flag=False),
    ]

    def handle(self) -> int:
        """Run every seed and print the results; return 1 if an invariant was violated, else 0."""
        first = int(self.option("seed")) or int(time.time())
        violations = 0
        for seed in range(first, first + int(self.option("seeds"))):
            violations += asyncio.run(self._run(seed))
        self.line(f"{self.option('seeds')} seeds, {violations} violated invariants")
        return 1 if violations else 0

    async def _run(self, seed: int) -> int:
        with tempfile.TemporaryDirectory() as temporary:
            directory = Path(self.option("keep") or temporary)
            directory.mkdir(parents=True, exist_ok=True)
            checkout = self.option("checkout")
            soak = SoakTest(
                directory,
                seed,
                SHAPE_BY_NAME[self.option("shape")],
                Path(checkout).resolve() if checkout else None,
            )
            await soak.run(float(self.option("seconds")))
        self.line(
            f"seed {seed} answers {json.dumps(soak.outcomes)} faults {json.dumps(soak.faults)} "
            f"peak {max(each.memory_peak_bytes for each in soak.machines) // 1_000_000} MB "
            f"lag of the run p99 {soak.lags_ms.get_value_at_percentile(99)} ms, "
            f"most {soak.lags_ms.get_max_value()} ms"
        )
        for line in report_lines(soak.traffic, soak.checker, soak.machines):
            self.line(line)
        for violation in soak.checker.violations:
            self.line(f"seed {seed} BROKEN {violation}")
        return len(soak.checker.violations)
