"""The command ``bamboo-bench soak``."""

import asyncio
import itertools
import json
import tempfile
import time
from collections import Counter
from pathlib import Path

import aiohttp
from aiohttp import web
from cleo.commands.command import Command
from cleo.helpers import option

from bamboo_bench.soak.faults import FaultSource
from bamboo_bench.soak.load import KINDS, Caller, configuration
from bamboo_bench.soak.machines import Machine, Upstream
from bamboo_bench.soak.promises import Promises
from bamboo_standins.platform import Faults, PlatformStandIn

SERVICES = ("menu", "pay", "stock", "menu", "pay", "stock")
DATA_CENTRES = ("lac", "sakiet")
CALLERS = 12
UP_SECONDS = 20.0
RECOVER_SECONDS = 15.0
ROUND_SECONDS = 0.2


class Soak:
    """Run machines under load and faults, and check the promises."""

    def __init__(self, folder: Path, seed: int):
        self._folder = folder
        self._seed = seed
        self._platform = PlatformStandIn()
        self._versions = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._changes: set[asyncio.Task] = set()
        self.promises = Promises()
        self.machines: list[Machine] = []
        self.outcomes: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()

    async def run(self, seconds: float) -> None:
        """Run for a time, take all faults back and see that every node serves again."""
        runner = web.AppRunner(self._platform.application(), shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        try:
            await self._start(f"127.0.0.1:{runner.addresses[0][1]}")
            await self._until_served("start", UP_SECONDS)
            await self._load(seconds)
            await self._heal()
            await self._until_served("recover", RECOVER_SECONDS)
            self.promises.finish()
        finally:
            await asyncio.gather(*(machine.close() for machine in self.machines))
            await runner.cleanup()

    async def _start(self, store: str) -> None:
        await self._write_configuration()
        for number, service in enumerate(SERVICES):
            host = f"127.30.{self._seed % 250}.{number + 1}"
            upstream = Upstream(service, host, self.promises, self._loop.time)
            name = f"{service}-{number}"
            place = DATA_CENTRES[number % len(DATA_CENTRES)]
            self.machines.append(Machine(name, upstream, place, self._folder, self.promises))
        await asyncio.gather(*(machine.start(store) for machine in self.machines))

    async def _load(self, seconds: float) -> None:
        stop = asyncio.Event()
        callers = [self._caller(number) for number in range(CALLERS)]
        tasks = [asyncio.create_task(caller.run(stop)) for caller in callers]
        source = FaultSource(self.machines, self._platform, self._change, self._seed)
        await source.run(seconds)
        stop.set()
        await asyncio.gather(*tasks)
        self.faults = source.count_by_name
        for caller in callers:
            self.outcomes += caller.count_by_outcome

    def _caller(self, number: int) -> Caller:
        seed = self._seed * 1000 + number
        return Caller(self.machines, self.promises, seed, self._loop.time)

    def _change(self) -> None:
        task = asyncio.create_task(self._write_configuration())
        self._changes.add(task)
        task.add_done_callback(self._changes.discard)

    async def _write_configuration(self) -> None:
        await self._platform.write("config", "main", configuration(next(self._versions)))

    async def _heal(self) -> None:
        await self._platform.set_faults(Faults())
        for machine in self.machines:
            machine.to_upstream.clear_faults()
            machine.to_store.clear_faults()

    async def _until_served(self, moment: str, seconds: float) -> None:
        """Ask every node for every kind until each was served; what is not breaks a promise."""
        caller = self._caller(CALLERS)
        left = {
            (machine.name, kind.path): (machine, kind)
            for machine in self.machines
            for kind in KINDS
        }
        end = self._loop.time() + seconds
        async with aiohttp.ClientSession() as session:
            while left and self._loop.time() < end:
                for key, (machine, kind) in list(left.items()):
                    if await caller.call(session, machine, kind):
                        del left[key]
                await asyncio.sleep(ROUND_SECONDS)
        for name, path in left:
            self.promises.recovered(f"{moment} {name}", path, False)


class SoakCommand(Command):
    """Run nodes of the platform under random faults and check their promises."""

    name = "soak"
    description = "Run nodes of the users' platform under random faults and check their promises"
    options = [
        option("seconds", None, "Seconds of load and faults a seed", flag=False, default="20"),
        option("seed", None, "First seed; 0 takes the time", flag=False, default="0"),
        option("seeds", None, "Seeds to run, one after the other", flag=False, default="1"),
        option("keep", None, "Folder that keeps settings and logs of the nodes", flag=False),
    ]

    def handle(self) -> int:
        """Run and print; 0 when no promise was broken, 1 when one was."""
        first = int(self.option("seed")) or int(time.time())
        broken = 0
        for seed in range(first, first + int(self.option("seeds"))):
            broken += asyncio.run(self._run(seed))
        self.line(f"{self.option('seeds')} seeds, {broken} broken promises")
        return 1 if broken else 0

    async def _run(self, seed: int) -> int:
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(self.option("keep") or temporary)
            soak = Soak(folder, seed)
            await soak.run(float(self.option("seconds")))
        self.line(
            f"seed {seed} answers {json.dumps(soak.outcomes)} faults {json.dumps(soak.faults)}"
        )
        for broken in soak.promises.broken:
            self.line(f"seed {seed} BROKEN {broken}")
        return len(soak.promises.broken)
