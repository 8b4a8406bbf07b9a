"""An accepted edit is in force at every node within seconds and never reverts to an older one."""

import asyncio
import unittest
from unittest import mock

from loguru import logger

from bamboo_standins.paused_clock import with_paused_clock
from bamboo_standins.simulated_fleet import SimulatedFleet, render_uniform_table, replace_weight
from bamboojunction.core.membership.messages import FullTable, TableDeltaUpdate
from bamboojunction.core.table.rows import DEFAULT_ROW
from bamboojunction.links.gossip_codec import to_wire
from bamboojunction.node import collection_watcher

DATA_CENTRES = ("lac", "sakiet", "charguia")
IN_FORCE_MAX_SECONDS = 3.0
TEXT = render_uniform_table(8)


class InForceTests(unittest.TestCase):
    def setUp(self):
        logger.disable("bamboojunction")
        self.addCleanup(logger.enable, "bamboojunction")

    async def start(self, count: int = 13) -> SimulatedFleet:
        fleet = SimulatedFleet()
        version = fleet.write_table(TEXT)
        for number in range(count):
            fleet.start_node(f"upstream-{number:02}", DATA_CENTRES[number % 3])
        await fleet.wait_until(
            lambda: fleet.all_apply_version(version) and fleet.views_converged(), 10
        )
        await asyncio.sleep(15)
        return fleet

    async def edit(self, fleet: SimulatedFleet, weight: int, limit: float = 60.0) -> float:
        version = fleet.write_table(replace_weight(TEXT, "kind-3", weight), f"edit-{weight}")
        return await fleet.wait_until(lambda: fleet.all_apply_version(version), limit)

    def seeds(self, fleet: SimulatedFleet) -> str:
        return " ".join(node.announcement.address for node in fleet.running_nodes[-3:])

    def assert_versions_never_decrease(self, fleet: SimulatedFleet) -> None:
        for node in fleet.node_by_instance.values():
            versions = [version for _, version in node.table_version_changes]
            self.assertEqual(versions, sorted(versions), node.instance)

    @with_paused_clock
    async def test_edit_reaches_all_nodes_while_half_of_them_have_lost_the_platform(self):
        fleet = await self.start()
        for half in (0, 1):
            for number, node in enumerate(fleet.running_nodes):
                node.client.faults.down = number % 2 == half
            await asyncio.sleep(10)
            self.assertLessEqual(await self.edit(fleet, 20 + half), IN_FORCE_MAX_SECONDS)
        await fleet.close()

    @with_paused_clock
    async def test_one_node_that_reaches_the_platform_is_enough_after_a_while(self):
        fleet = await self.start(30)
        for node in fleet.running_nodes[1:]:
            node.client.faults.down = True
        await asyncio.sleep(120)
        self.assertLessEqual(await self.edit(fleet, 30), IN_FORCE_MAX_SECONDS)
        await fleet.close()

    @with_paused_clock
    async def test_stale_reads_and_restarted_watches_never_bring_back_an_old_version(self):
        fleet = await self.start()
        old_snapshot = fleet.platform.store.snapshot()
        await self.edit(fleet, 40)
        version = fleet.running_nodes[0].current_table.table.version
        for node in fleet.running_nodes:
            node.client.stale_snapshot = old_snapshot
        fleet.platform.store.compact()
        fleet.platform.wake_watches()
        with mock.patch.object(collection_watcher, "RELIST_SECONDS", 20.0):
            await asyncio.sleep(120)
        self.assertTrue(fleet.all_apply_version(version))
        self.assert_versions_never_decrease(fleet)
        await fleet.close()

    @with_paused_clock
    async def test_replayed_messages_change_nothing(self):
        fleet = await self.start(4)
        node = fleet.running_nodes[0]
        old = node.current_table.table
        await self.edit(fleet, 50)
        delta = node.current_table.delta_from(old.version)
        version = node.current_table.table.version
        await self.edit(fleet, 60)
        for message in (FullTable(old), TableDeltaUpdate(delta)):
            fleet.network.deliver(
                fleet.running_nodes[1], node.announcement.address, to_wire(message)
            )
        await asyncio.sleep(1)
        self.assertGreater(node.current_table.table.version, version)
        self.assert_versions_never_decrease(fleet)
        await fleet.close()

    @with_paused_clock
    async def test_version_survives_the_replacement_of_every_node_during_an_outage(self):
        fleet = await self.start()
        await self.edit(fleet, 70)
        version = fleet.running_nodes[0].current_table.table.version
        for node in fleet.running_nodes:
            node.client.faults.down = True
        for old in fleet.running_nodes:
            await old.stop()
            new = fleet.start_node(
                f"{old.instance}-new", old.announcement.data_centre, seeds=self.seeds(fleet)
            )
            new.client.faults.down = True
            await asyncio.sleep(30)
        self.assertTrue(fleet.all_apply_version(version))
        self.assertTrue(fleet.views_converged())
        await fleet.close()

    @with_paused_clock
    async def test_full_restart_in_an_outage_serves_on_defaults_and_then_converges(self):
        fleet = await self.start()
        version = fleet.running_nodes[0].current_table.table.version
        old_nodes = fleet.running_nodes
        for old in old_nodes:
            await old.kill()
        for old in old_nodes:
            new = fleet.start_node(old.instance, old.announcement.data_centre)
            new.client.faults.down = True
        await asyncio.sleep(120)
        rows = [node.current_table.row("kind-3") for node in fleet.running_nodes]
        self.assertTrue(all(row is DEFAULT_ROW for row in rows))
        for node in fleet.running_nodes:
            node.client.faults.down = False
        await fleet.wait_until(
            lambda: fleet.all_apply_version(version) and fleet.views_converged(), 60
        )
        await fleet.close()

    @with_paused_clock
    async def test_partitions_with_different_versions_converge_to_the_latest(self):
        fleet = await self.start()

        def is_in_first_data_centre(node) -> bool:
            return node.announcement.data_centre == DATA_CENTRES[0]

        fleet.network.is_partitioned = lambda sender, receiver: is_in_first_data_centre(
            sender
        ) != is_in_first_data_centre(receiver)
        versions = []
        for weight, is_cut in ((80, False), (81, True), (82, False)):
            for node in fleet.running_nodes:
                node.client.faults.down = is_in_first_data_centre(node) != is_cut
            await asyncio.sleep(30)
            text = replace_weight(TEXT, "kind-3", weight)
            versions.append(fleet.write_table(text, f"edit-{weight}"))
            await asyncio.sleep(30)
        versions_held = {node.current_table.table.version for node in fleet.running_nodes}
        self.assertEqual(versions_held, set(versions[1:]))
        for node in fleet.running_nodes:
            node.client.faults.down = True
        fleet.network.is_partitioned = lambda sender, receiver: False
        elapsed = await fleet.wait_until(lambda: fleet.all_apply_version(versions[2]), 30)
        self.assertLessEqual(elapsed, IN_FORCE_MAX_SECONDS)
        self.assert_versions_never_decrease(fleet)
        await fleet.close()

    @with_paused_clock
    async def test_invalid_object_is_rejected_and_the_next_edit_is_put_in_force(self):
        fleet = await self.start(4)
        version = fleet.running_nodes[0].current_table.table.version
        store = fleet.platform.store
        store.put("tables", "table", {"schema": 9, "rows": "none"}, version)
        fleet.platform.wake_watches()
        await asyncio.sleep(10)
        self.assertTrue(fleet.all_apply_version(version))
        broken = store.object_by_key["tables", "table"].version
        store.delete("tables", "table", broken)
        self.assertLessEqual(await self.edit(fleet, 90), IN_FORCE_MAX_SECONDS)
        await fleet.close()

    @with_paused_clock
    async def test_edit_is_propagated_as_a_delta(self):
        fleet = await self.start()
        before = {node.instance: node.sent_bytes_by_type.copy() for node in fleet.running_nodes}
        await self.edit(fleet, 95)
        await asyncio.sleep(5)
        for node in fleet.running_nodes:
            sent = node.sent_bytes_by_type - before[node.instance]
            self.assertEqual(sent["TableUpdate"], 0)
        await fleet.close()
