"""Tests that table edits and node announcements reach all nodes under faults."""

import asyncio
import signal

from result import UnwrapError

from bamboo_standins.fault_proxy import ProxyFaults
from bamboojunction.platform.client import PlatformErrorKind
from tests.matrix.cells import Fault, Step, covers
from tests.processes.base import TABLE, FleetTestCase, run_on_fleet_loop

# The benchmark checks the target of 3 s. This timeout is longer, so that the tests also pass on a
# machine under load.
IN_FORCE_TIMEOUT_SECONDS = 30.0
RECOVERY_TIMEOUT_SECONDS = 30.0


class TableFaultTests(FleetTestCase):
    async def edit(self) -> int:
        """Write the table with another weight for bay-search and return its version."""
        current = await self.fleet.table_version()
        weight = 11 + current % 40
        text = TABLE.replace("bay-search,3,10", f"bay-search,3,{weight}")
        return await self.fleet.write_table(text, current)

    async def assert_in_force(self, version: int, names=None, seconds=IN_FORCE_TIMEOUT_SECONDS):
        """Wait until the named nodes, or all, have the version or a newer one in force."""
        names = names or list(self.fleet.running_by_instance)
        state_waits = (
            self.fleet.wait_state(name, lambda state: state["table_version"] >= version, seconds)
            for name in names
        )
        await asyncio.gather(*state_waits)

    @run_on_fleet_loop
    async def test_edit_is_in_force_everywhere(self):
        await self.assert_in_force(await self.edit())

    @covers(Fault.PLATFORM_DOWN, Step.TABLE_APPLY)
    @run_on_fleet_loop
    async def test_edit_reaches_nodes_through_peers_when_the_platform_goes_down_after_it(self):
        version = await self.edit()
        await self.fleet.wait_state("payments-1", lambda state: state["table_version"] >= version)
        await self.fleet.set_platform_faults(down=True)
        await self.assert_in_force(version)

    @covers(Fault.PLATFORM_ANSWER_LOST, Step.TABLE_APPLY)
    @run_on_fleet_loop
    async def test_edit_whose_answer_was_lost_is_in_force(self):
        current = await self.fleet.table_version()
        await self.fleet.set_platform_faults(lose_answers=1)
        with self.assertRaises(UnwrapError) as raised:
            await self.fleet.write_table(TABLE.replace(",50,once", ",60,once"), current)
        self.assertIs(raised.exception.result.err().kind, PlatformErrorKind.LOST_ANSWER)
        await self.assert_in_force(current + 1)

    @covers(Fault.PLATFORM_SLOW, Step.TABLE_APPLY)
    @run_on_fleet_loop
    async def test_stale_reads_never_bring_back_an_older_table(self):
        await self.fleet.set_platform_faults(stale_reads=True)
        version = await self.edit_without_stale_reads()
        await self.fleet.kill_node("payments-1")
        await self.fleet.set_platform_faults(stale_reads=True)
        await self.fleet.start_node("payments-1")
        await self.assert_in_force(version, seconds=RECOVERY_TIMEOUT_SECONDS)
        for _ in range(20):
            states = [await self.fleet.state(name) for name in self.fleet.running_by_instance]
            self.assertTrue(all(state["table_version"] >= version for state in states if state))
            await asyncio.sleep(0.1)

    async def edit_without_stale_reads(self) -> int:
        """Clear the platform's faults, edit the table and wait until the edit is in force."""
        await self.fleet.set_platform_faults()
        version = await self.edit()
        await self.assert_in_force(version)
        return version

    @covers(Fault.NODE_CRASH, Step.TABLE_APPLY)
    @run_on_fleet_loop
    async def test_table_survives_every_node_being_replaced_while_the_platform_is_down(self):
        version = await self.edit()
        await self.assert_in_force(version)
        await self.fleet.set_platform_faults(down=True)
        for name in self.fleet.running_by_instance:
            await self.fleet.kill_node(name)
            await self.fleet.start_node(name)
            await self.assert_in_force(version, [name], RECOVERY_TIMEOUT_SECONDS)
            await self.fleet.wait_until_converged(name)
            answer = await self.fleet.call(name, "occupancy", body=b"x")
            self.assertEqual(answer.outcome, "ran")

    @covers(Fault.NODE_PAUSED, Step.TABLE_APPLY)
    @run_on_fleet_loop
    async def test_paused_node_gets_the_table_when_it_resumes(self):
        self.pause("bayfinder-2")
        version = await self.edit()
        await asyncio.sleep(2.0)
        self.resume("bayfinder-2")
        await self.assert_in_force(version)

    @covers(Fault.DATA_CENTRE_CUT, Step.TABLE_APPLY)
    @run_on_fleet_loop
    async def test_edit_reaches_a_data_centre_that_is_cut_from_the_others(self):
        self.fleet.cut_data_centre("north")
        await self.assert_in_force(await self.edit())

    @covers(Fault.LINK_CUT, Step.TABLE_APPLY)
    @covers(Fault.LINK_STALLED, Step.TABLE_APPLY)
    @run_on_fleet_loop
    async def test_edit_is_in_force_while_links_fail(self):
        self.fleet.running_by_instance["payments-1"].proxy.set_faults(ProxyFaults(cut=True))
        self.fleet.running_by_instance["payments-2"].proxy.set_faults(ProxyFaults(stall=True))
        await self.assert_in_force(await self.edit())

    @covers(Fault.RACING_EDITS, Step.TABLE_APPLY)
    @run_on_fleet_loop
    async def test_exactly_one_of_several_racing_edits_is_applied(self):
        current = await self.fleet.table_version()
        texts = [TABLE.replace("search,3,10", f"search,3,{weight}") for weight in range(20, 25)]
        results = await asyncio.gather(
            *(self.fleet.write_table(text, current) for text in texts), return_exceptions=True
        )
        versions = [result for result in results if isinstance(result, int)]
        self.assertEqual(len(versions), 1)
        await self.assert_in_force(versions[0])


class AnnouncementFaultTests(FleetTestCase):
    async def replace_node(self, name: str):
        """Kill a node, start it again and wait until all others know the new incarnation."""
        old_incarnation = (await self.fleet.state(name))["incarnation"]
        await self.fleet.kill_node(name)
        await self.fleet.start_node(name)

        def sees_new_incarnation(state: dict) -> bool:
            entries = {entry["instance"]: entry for entry in state["upstreams"]}
            return name in entries and entries[name]["incarnation"] != old_incarnation

        state_waits = (
            self.fleet.wait_state(peer, sees_new_incarnation)
            for peer in self.fleet.running_by_instance
        )
        await asyncio.gather(*state_waits)

    @covers(Fault.NODE_CRASH, Step.ANNOUNCE)
    @run_on_fleet_loop
    async def test_restarted_node_is_known_by_its_new_incarnation(self):
        await self.replace_node("payments-1")

    @covers(Fault.PLATFORM_DOWN, Step.ANNOUNCE)
    @run_on_fleet_loop
    async def test_restarted_node_is_found_through_peers_while_the_platform_is_down(self):
        await self.fleet.set_platform_faults(down=True)
        await self.replace_node("payments-1")

    @covers(Fault.PLATFORM_SLOW, Step.ANNOUNCE)
    @run_on_fleet_loop
    async def test_restarted_node_is_known_while_the_platform_is_slow(self):
        await self.fleet.set_platform_faults(delay_seconds=1.0)
        await self.replace_node("payments-2")

    @covers(Fault.PLATFORM_ANSWER_LOST, Step.ANNOUNCE)
    @run_on_fleet_loop
    async def test_announcement_whose_answer_was_lost_is_known(self):
        await self.fleet.set_platform_faults(lose_answers=2)
        await self.replace_node("payments-2")

    @covers(Fault.DATA_CENTRE_CUT, Step.ANNOUNCE)
    @run_on_fleet_loop
    async def test_node_restarted_in_a_cut_off_data_centre_is_known_there_and_later_everywhere(
        self,
    ):
        self.fleet.cut_data_centre("north")
        await self.fleet.set_platform_faults(down=True)
        await self.fleet.kill_node("payments-1")
        await self.fleet.start_node("payments-1")
        incarnation = (await self.fleet.wait_state("payments-1", lambda state: True))["incarnation"]

        def sees_incarnation(state: dict) -> bool:
            return any(entry["incarnation"] == incarnation for entry in state["upstreams"])

        await self.fleet.wait_state("bayfinder-1", sees_incarnation)
        self.fleet.clear_link_faults()
        await self.fleet.wait_state("bayfinder-2", sees_incarnation)

    @covers(Fault.NODE_PAUSED, Step.ANNOUNCE)
    @run_on_fleet_loop
    async def test_paused_node_serves_again_when_it_resumes(self):
        self.pause("payments-1")
        await asyncio.sleep(4.0)
        self.resume("payments-1")
        async with asyncio.timeout(RECOVERY_TIMEOUT_SECONDS):
            while True:
                answer = await self.fleet.call("bayfinder-1", "occupancy", body=b"x")
                if answer.headers.get("Upstream-Instance") == "payments-1":
                    break
                await asyncio.sleep(0.1)

    @covers(Fault.UPSTREAM_CRASH, Step.ANNOUNCE)
    @run_on_fleet_loop
    async def test_calls_avoid_a_killed_node_after_a_second_of_traffic(self):
        self.fleet.signal_node("payments-1", signal.SIGKILL)
        loop = asyncio.get_running_loop()
        traffic_end = loop.time() + 1.0
        while loop.time() < traffic_end:
            await self.fleet.call("bayfinder-1", "occupancy", body=b"x")
        answers = [await self.fleet.call("bayfinder-1", "occupancy", body=b"x") for _ in range(20)]
        self.assertEqual({answer.outcome for answer in answers}, {"ran"})
