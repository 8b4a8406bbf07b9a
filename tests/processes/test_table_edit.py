"""Tests that an edit with bamboo-table reaches all nodes, also those cut off from the platform."""

import asyncio
import sys
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path

from bamboo_standins.fault_proxy import FaultProxy, ProxyFaults
from bamboo_standins.process_fleet import InstancePlan, ProcessFleet, free_port

HEADER_LINE = "kind,rank,weight,effect,deadline_ms,retries,slots_max,services\n"
TABLE = HEADER_LINE + "bay-search,3,10,idempotent,3000,2,0,bayfinder\n"
EDITED_TABLE = HEADER_LINE + "bay-search;3;30;idempotent;3000;2;0;bayfinder\r\n".replace(";", ",")
INVALID_TABLE = HEADER_LINE + "bay-search,3,0,idempotent,3000,2,0,bayfinder\n"
PLANS = [
    InstancePlan(f"bayfinder-{number}", "bayfinder", data_centre)
    for number, data_centre in enumerate(("north", "north", "south", "south"))
]


@dataclass(slots=True, frozen=True)
class CommandResult:
    """The exit code and the output of one run of the command."""

    code: int
    output: str


class TableEditTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.directory_path = Path(self.directory.name)
        self.fleet = ProcessFleet(
            self.directory_path, PLANS, TABLE, platform_port=free_port("127.0.0.1")
        )
        self.platform_address = f"127.0.0.1:{self.fleet.platform_port}"
        self.proxy = FaultProxy("127.0.0.1:0", self.platform_address)
        proxy_address = f"127.0.0.1:{await self.proxy.start()}"
        cut_off_instances = [plan.instance for plan in PLANS[::2]]
        self.fleet.platform_by_instance = dict.fromkeys(cut_off_instances, proxy_address)
        self.addAsyncCleanup(self.clean_up)
        await self.fleet.start()

    async def clean_up(self):
        await self.fleet.stop()
        await self.proxy.stop()
        self.directory.cleanup()

    async def run_table_command(self, *arguments) -> CommandResult:
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "bamboojunction.management.commands.table"),
            *(*arguments, "--platform", self.platform_address),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await process.communicate()
        return CommandResult(process.returncode, output.decode())

    def write_table_file(self, text: str) -> str:
        path = self.directory_path / "table.csv"
        path.write_text(text)
        return str(path)

    async def test_edit_reaches_nodes_that_are_cut_off_from_the_platform(self):
        self.proxy.set_faults(ProxyFaults(cut=True))
        applied = await self.run_table_command(
            "apply", self.write_table_file(EDITED_TABLE), "--by", "ana", "--note", "summer"
        )
        self.assertEqual(
            (applied.code, applied.output.count("in force at 4 of 4 nodes")), (0, 1), applied
        )
        unchanged = await self.run_table_command("diff", self.write_table_file(EDITED_TABLE))
        self.assertEqual(unchanged.code, 0, unchanged)

    async def test_unreachable_node_is_reported_and_the_others_are_awaited(self):
        await self.fleet.kill_node("bayfinder-3")
        applied = await self.run_table_command("apply", self.write_table_file(EDITED_TABLE))
        self.assertEqual(applied.code, 0, applied)
        self.assertIn("unreachable: bayfinder-3", applied.output)

    async def test_conflicting_edit_and_invalid_table_write_nothing(self):
        shown = await self.run_table_command("show")
        applied = await self.run_table_command("apply", self.write_table_file(EDITED_TABLE))
        conflicting = await self.run_table_command(
            "apply", self.write_table_file(shown.output.replace(",10,", ",20,"))
        )
        invalid = await self.run_table_command("apply", self.write_table_file(INVALID_TABLE))
        self.assertEqual(
            (applied.code, conflicting.code, invalid.code),
            (0, 3, 2),
            (applied, conflicting, invalid),
        )
        self.assertIn("~ bay-search: weight: '30' -> '20'", conflicting.output)
        self.assertIn("line 2 (kind bay-search), column weight: '0' is not allowed", invalid.output)
        history = await self.run_table_command("history")
        self.assertIn("bay-search: {'weight': '10'} -> {'weight': '30'}", history.output)
        self.assertNotIn("'20'", history.output)
