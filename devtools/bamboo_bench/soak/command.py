"""The command ``bamboo-bench soak``."""

import asyncio
import json
import os
import tempfile
import time
from dataclasses import asdict
from pathlib import Path

from cleo.commands.command import Command
from cleo.helpers import option

from bamboo_bench.path.chains import resident_bytes
from bamboo_bench.soak.account import Account
from bamboo_bench.soak.faults import FaultSource
from bamboo_bench.soak.load import Caller, Records
from bamboo_standins.deployments import DEPLOYMENT_BY_NAME
from bamboo_standins.example import read_example_table
from bamboo_standins.fleet import Fleet
from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.core.table.rows import Effect

CALLERS = 24
RESIDENT_MAX_BYTES = 256_000_000
DESCRIPTORS_MAX = 2_000


class Soak:
    """Run an example under load and faults for a bounded time."""

    def __init__(self, fleet: Fleet, seed: int, say):
        self._fleet = fleet
        self._seed = seed
        self._say = say
        self._table = parse_table(fleet.table_text, 1, "").unwrap()
        self.records = Records()
        self.faults = FaultSource(fleet, seed)

    async def run(self, seconds: float) -> Account:
        """Run, heal, let every key in doubt be sent once more, and return the account."""
        stop = asyncio.Event()
        callers = [
            Caller(self._fleet, self._table, self.records, self._seed * 1000 + number)
            for number in range(CALLERS)
        ]
        tasks = [asyncio.create_task(caller.run(stop)) for caller in callers]
        faults = asyncio.create_task(self.faults.run(stop))
        await asyncio.sleep(seconds)
        stop.set()
        await asyncio.gather(faults, *tasks)
        self._say("healing")
        await self._fleet.restore()
        await self._resend_doubtful(callers[0])
        return Account.from_run(self.records, self._fleet.effects())

    def memory(self) -> dict[str, int]:
        """Return the resident bytes of each node."""
        instances = self._fleet.by_instance.items()
        return {name: resident_bytes(running.node.pid) for name, running in instances}

    def descriptors(self) -> dict[str, int]:
        """Return the open descriptors of each node."""
        instances = self._fleet.by_instance.items()
        return {
            name: len(os.listdir(f"/proc/{running.node.pid}/fd")) for name, running in instances
        }

    async def _resend_doubtful(self, caller: Caller) -> None:
        rows = [row for row in self._table.by_kind.values() if row.effect is Effect.ONCE]
        doubtful = [
            key
            for key, outcomes in self.records.outcomes_by_key.items()
            if not {"ran", "failed"} & set(outcomes)
        ]
        for key in doubtful:
            await caller.resend(key, rows[0])


class SoakCommand(Command):
    """Run an example deployment under faults for a while and print the account."""

    name = "soak"
    description = "Run an example deployment under faults for a while and print the account"
    options = [
        option("minutes", None, "Minutes of load", flag=False, default="5"),
        option("seed", None, "Seed of the faults; 0 takes the time", flag=False, default="0"),
        option("deployment", None, "cycle-bays or khmira", flag=False, default="khmira"),
    ]

    def handle(self) -> int:
        """Run and print; 0 when the account is clean, 1 when not."""
        seed = int(self.option("seed")) or int(time.time())
        self.line(f"seed {seed}")
        with tempfile.TemporaryDirectory() as directory:
            return asyncio.run(self._run(Path(directory), seed))

    async def _run(self, directory: Path, seed: int) -> int:
        deployment = DEPLOYMENT_BY_NAME[self.option("deployment")]
        table_text = read_example_table(deployment)
        fleet = Fleet(directory, deployment.plans(), table_text)
        soak = Soak(fleet, seed, self.line)
        try:
            await fleet.start()
            account = await soak.run(float(self.option("minutes")) * 60)
            memory = max(soak.memory().values())
            descriptors = max(soak.descriptors().values())
        finally:
            await fleet.stop()
        self._print(soak, account, memory, descriptors)
        within = memory <= RESIDENT_MAX_BYTES and descriptors <= DESCRIPTORS_MAX
        return 0 if account.is_clean and within else 1

    def _print(self, soak: Soak, account: Account, memory: int, descriptors: int) -> None:
        for (rank, outcome), count in sorted(soak.records.count_by_rank_and_outcome.items()):
            self.line(f"rank {rank} {outcome:8} {count}")
        self.line(f"faults {json.dumps(soak.faults.count_by_name)}")
        self.line(f"account {json.dumps(asdict(account))}")
        self.line(f"largest node {memory / 1e6:.1f} MB, {descriptors} descriptors")
