"""An edit through bamboo-table reaches every node, also those cut off from the platform."""

import asyncio
import sys
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

from bamboo_standins.fault_proxy import FaultProxy, ProxyFaults
from bamboo_standins.fleet import Fleet, InstancePlan, free_port

HEADER = "kind,rank,weight,effect,deadline_ms,retries,slots_max,services\n"
TABLE = HEADER + "bay-search,3,10,idempotent,3000,2,0,bayfinder\n"
EDITED = HEADER + "bay-search;3;30;idempotent;3000;2;0;bayfinder\r\n".replace(";", ",")
BROKEN = HEADER + "bay-search,3,0,idempotent,3000,2,0,bayfinder\n"
PLANS = [
    InstancePlan(f"bayfinder-{number}", "bayfinder", centre)
    for number, centre in enumerate(("north", "north", "south", "south"))
]


@dataclass(slots=True, frozen=True)
class Run:
    """Hold how a run of the command ended."""

    code: int
    output: str


class TableEditTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.path = Path(self.directory.name)
        self.fleet = Fleet(self.path, PLANS, TABLE, platform_port=free_port("127.0.0.1"))
        self.platform = f"127.0.0.1:{self.fleet.platform_port}"
        self.proxy = FaultProxy("127.0.0.1:0", self.platform)
        proxied = f"127.0.0.1:{await self.proxy.start()}"
        cut_off = [plan.instance for plan in PLANS[::2]]
        self.fleet.platform_by_instance = dict.fromkeys(cut_off, proxied)
        self.addAsyncCleanup(self.clean_up)
        await self.fleet.start()

    async def clean_up(self):
        await self.fleet.stop()
        await self.proxy.stop()
        self.directory.cleanup()

    async def table(self, *arguments) -> Run:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bamboojunction.management.commands.table"),
            *(*arguments, "--platform", self.platform),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return Run(process.returncode, output.decode())

    def write(self, text: str) -> str:
        path = self.path / "table.csv"
        path.write_text(text)
        return str(path)

    async def test_edit_reaches_nodes_that_are_cut_off_from_the_platform(self):
        self.proxy.set_faults(ProxyFaults(cut=True))
        run = await self.table("apply", self.write(EDITED), "--by", "ana", "--note", "summer")
        self.assertEqual((run.code, run.output.count("in force at 4 of 4 nodes")), (0, 1), run)
        again = await self.table("diff", self.write(EDITED))
        self.assertEqual(again.code, 0, again)

    async def test_silent_node_is_named_and_the_others_are_waited_for(self):
        await self.fleet.kill_node("bayfinder-3")
        run = await self.table("apply", self.write(EDITED))
        self.assertEqual(run.code, 0, run)
        self.assertIn("unreachable: bayfinder-3", run.output)

    async def test_conflict_and_bad_table_write_nothing(self):
        shown = await self.table("show")
        won = await self.table("apply", self.write(EDITED))
        lost = await self.table("apply", self.write(shown.output.replace(",10,", ",20,")))
        bad = await self.table("apply", self.write(BROKEN))
        self.assertEqual((won.code, lost.code, bad.code), (0, 3, 2), (won, lost, bad))
        self.assertIn("~ bay-search: weight: '30' -> '20'", lost.output)
        self.assertIn("line 2 (kind bay-search), column weight: '0' is not allowed", bad.output)
        history = await self.table("history")
        self.assertIn("bay-search: {'weight': '10'} -> {'weight': '30'}", history.output)
        self.assertNotIn("'20'", history.output)
