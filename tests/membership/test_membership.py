"""The views of nodes converge despite faults, and no live instance is removed.

The tests run the real protocol code of whole fleets over an in-memory network and platform.
"""

import asyncio
import unittest
from unittest import mock

from loguru import logger

from bamboo_standins.paused_clock import with_paused_clock
from bamboo_standins.simulated_fleet import (
    FLEET_START_TIMESTAMP,
    SimulatedFleet,
    render_uniform_table,
)
from bamboojunction.core.membership import removal
from bamboojunction.core.membership.gossip import EXPIRY_CHECK_INTERVAL_SECONDS
from bamboojunction.core.membership.removal import SILENCE_TIMEOUT_SECONDS
from bamboojunction.core.membership.view import ANNOUNCEMENT_COLLECTION, InstanceState
from bamboojunction.node import collection_watcher

DATA_CENTRES = ("seq-brisbane", "nq-townsville", "seq-goldcoast")
CONVERGENCE_MAX_SECONDS = 3.0
REMOVAL_MAX_SECONDS = 3 * SILENCE_TIMEOUT_SECONDS


class MembershipTests(unittest.TestCase):
    def setUp(self):
        logger.disable("bamboojunction")
        self.addCleanup(logger.enable, "bamboojunction")

    async def start(self, count: int = 13, data_centres=DATA_CENTRES) -> SimulatedFleet:
        fleet = SimulatedFleet()
        fleet.write_table(render_uniform_table(5))
        for number in range(count):
            data_centre = data_centres[number % len(data_centres)]
            fleet.start_node(f"upstream-{number:02}", data_centre, f"service-{number % 4}")
        await fleet.wait_until(fleet.views_converged, 10)
        # Wait until the nodes have opened and closed the same links as in a fleet that has run
        # for a while.
        await asyncio.sleep(15)
        return fleet

    def set_platform_down(self, fleet: SimulatedFleet, is_down: bool = True) -> None:
        for node in fleet.running_nodes:
            node.client.faults.down = is_down

    def partition_data_centre(self, fleet: SimulatedFleet, data_centre: str) -> None:
        def is_cut(sender, receiver) -> bool:
            data_centres = (sender.announcement.data_centre, receiver.announcement.data_centre)
            return (data_centres[0] == data_centre) != (data_centres[1] == data_centre)

        fleet.network.is_partitioned = is_cut

    def remove_partition(self, fleet: SimulatedFleet) -> None:
        fleet.network.is_partitioned = lambda sender, receiver: False

    def seeds(self, fleet: SimulatedFleet) -> str:
        return " ".join(node.announcement.address for node in fleet.running_nodes[:3])

    @with_paused_clock
    async def test_new_node_is_found_through_peers_while_the_platform_is_down(self):
        fleet = await self.start()
        self.set_platform_down(fleet)
        node = fleet.start_node("new", DATA_CENTRES[0], "service-1", seeds=self.seeds(fleet))
        node.client.faults.down = True
        elapsed = await fleet.wait_until(fleet.views_converged, 30)
        self.assertLessEqual(elapsed, CONVERGENCE_MAX_SECONDS)
        self.assertGreater(node.current_table.table.version, 0)
        await fleet.close()

    @with_paused_clock
    async def test_drain_is_known_everywhere_while_the_platform_is_down(self):
        fleet = await self.start()
        self.set_platform_down(fleet)
        draining_node = fleet.running_nodes[4]
        await draining_node.sync.announce_draining()

        def is_known() -> bool:
            entries = [
                node.view.by_instance[draining_node.instance] for node in fleet.running_nodes
            ]
            return all(entry.state is InstanceState.DRAINING for entry in entries)

        self.assertLessEqual(await fleet.wait_until(is_known, 30), CONVERGENCE_MAX_SECONDS)
        await draining_node.stop()
        elapsed = await fleet.wait_until(fleet.views_converged, 30)
        self.assertLessEqual(elapsed, CONVERGENCE_MAX_SECONDS)
        await fleet.close()

    @with_paused_clock
    async def test_graceful_stop_deletes_the_announcement(self):
        fleet = await self.start(3)
        stopped_node = fleet.running_nodes[0]
        await stopped_node.stop()
        self.assertNotIn(
            (ANNOUNCEMENT_COLLECTION, stopped_node.instance), fleet.platform.store.object_by_key
        )
        await fleet.close()

    @with_paused_clock
    async def test_killed_node_is_removed_by_peers_and_deleted_from_the_platform(self):
        fleet = await self.start()
        dead = fleet.running_nodes[5]
        await dead.kill()
        elapsed = await fleet.wait_until(fleet.views_converged, 60)
        self.assertLessEqual(elapsed, REMOVAL_MAX_SECONDS)

        def is_deleted() -> bool:
            return (
                ANNOUNCEMENT_COLLECTION,
                dead.instance,
            ) not in fleet.platform.store.object_by_key

        await fleet.wait_until(is_deleted, 120)
        with mock.patch.object(removal, "TOMBSTONE_TTL_SECONDS", 30.0):
            await asyncio.sleep(2 * EXPIRY_CHECK_INTERVAL_SECONDS + 60.0)
        remembered = [dead.instance in node.view.by_instance for node in fleet.running_nodes]
        self.assertFalse(any(remembered))
        await fleet.close()

    @with_paused_clock
    async def test_adjacent_ring_members_that_are_killed_at_once_are_removed(self):
        fleet = await self.start(20, data_centres=("only",))
        ring = fleet.running_nodes[0].sync.gossip.ring.instances()
        for name in ring[3:8]:
            await fleet.node_by_instance[name].kill()
        await fleet.wait_until(fleet.views_converged, 5 * REMOVAL_MAX_SECONDS)
        await fleet.close()

    @with_paused_clock
    async def test_restart_at_the_same_address_replaces_the_incarnation(self):
        fleet = await self.start()
        self.set_platform_down(fleet)
        old = fleet.running_nodes[2]
        await old.kill()
        new = fleet.start_node(old.instance, old.announcement.data_centre, seeds=self.seeds(fleet))
        new.client.faults.down = True
        elapsed = await fleet.wait_until(fleet.views_converged, 30)
        self.assertLessEqual(elapsed, CONVERGENCE_MAX_SECONDS)
        await fleet.close()

    @with_paused_clock
    async def test_restart_with_a_clock_that_is_behind_still_replaces_the_incarnation(self):
        fleet = await self.start()
        old = fleet.running_nodes[2]
        await old.kill()
        new = fleet.start_node(
            old.instance, old.announcement.data_centre, started_at=FLEET_START_TIMESTAMP - 9e5
        )
        elapsed = await fleet.wait_until(fleet.views_converged, 30)
        self.assertLessEqual(elapsed, CONVERGENCE_MAX_SECONDS)
        entry = fleet.running_nodes[0].view.by_instance[old.instance]
        self.assertEqual(entry.incarnation, new.announcement.incarnation)
        await fleet.close()

    @with_paused_clock
    async def test_superseded_incarnation_that_reconnects_does_not_refute_its_successor(self):
        fleet = await self.start()
        old = fleet.running_nodes[2]
        old_address = old.announcement.address
        fleet.network.is_partitioned = lambda sender, receiver: old in (sender, receiver)
        await asyncio.sleep(40)
        old.is_running = False
        new = fleet.start_node(old.instance, old.announcement.data_centre)
        await fleet.wait_until(fleet.views_converged, 60)
        old.is_running = True
        self.remove_partition(fleet)
        await asyncio.sleep(60)
        entry = fleet.running_nodes[0].view.by_instance[new.instance]
        self.assertEqual(entry.incarnation, new.announcement.incarnation)
        self.assertTrue(old.sync.gossip.is_superseded)
        self.assertEqual(old_address, new.announcement.address)
        await old.sync.stop_silently()
        await fleet.close()

    @with_paused_clock
    async def test_node_that_was_unreachable_comes_back(self):
        fleet = await self.start()
        unreachable = fleet.running_nodes[6]
        fleet.network.is_partitioned = lambda sender, receiver: unreachable in (sender, receiver)
        await asyncio.sleep(REMOVAL_MAX_SECONDS)
        others = [node for node in fleet.running_nodes if node is not unreachable]
        self.assertTrue(all(node.view.by_instance[unreachable.instance].is_gone for node in others))
        self.assertEqual(len(unreachable.view.present()), len(fleet.running_nodes))
        self.remove_partition(fleet)
        elapsed = await fleet.wait_until(fleet.views_converged, 30)
        self.assertLessEqual(elapsed, CONVERGENCE_MAX_SECONDS)
        await fleet.close()

    @with_paused_clock
    async def test_partitioned_data_centre_removes_no_instance_and_converges_afterwards(self):
        fleet = await self.start(15)
        self.set_platform_down(fleet)
        self.partition_data_centre(fleet, DATA_CENTRES[0])
        await asyncio.sleep(120)
        self.assertTrue(fleet.views_converged())
        for index in (0, 4):
            old = fleet.running_nodes[index]
            await old.kill()
            new = fleet.start_node(
                old.instance, old.announcement.data_centre, seeds=self.seeds(fleet)
            )
            new.client.faults.down = True
        await asyncio.sleep(30)
        self.assertFalse(fleet.views_converged())
        self.remove_partition(fleet)
        elapsed = await fleet.wait_until(fleet.views_converged, 30)
        self.assertLessEqual(elapsed, CONVERGENCE_MAX_SECONDS)
        await fleet.close()

    @with_paused_clock
    async def test_no_live_instance_is_removed_while_nodes_are_replaced_in_a_long_outage(self):
        fleet = await self.start(7)
        self.set_platform_down(fleet)
        for hour in range(4):
            await fleet.running_nodes[0].kill()
            node = fleet.start_node(
                f"new-{hour}", DATA_CENTRES[hour % 3], "service-1", seeds=self.seeds(fleet)
            )
            node.client.faults.down = True
            await asyncio.sleep(300)
            self.assertTrue(fleet.views_converged(), hour)
        self.set_platform_down(fleet, is_down=False)
        await asyncio.sleep(120)
        self.assertTrue(fleet.views_converged())
        stored_names = {
            name
            for kind, name in fleet.platform.store.object_by_key
            if kind == ANNOUNCEMENT_COLLECTION
        }
        self.assertGreaterEqual(stored_names, {node.instance for node in fleet.running_nodes})
        await fleet.close()

    @with_paused_clock
    async def test_missed_announcements_are_repaired_by_anti_entropy(self):
        fleet = await self.start()
        self.set_platform_down(fleet)
        node = fleet.running_nodes[3]
        for other in fleet.running_nodes:
            other.sync.gossip.flush = lambda now: []
        own = node.sync.gossip.own_announcement
        await node.sync.announce_draining()
        self.assertNotEqual(node.sync.gossip.own_announcement, own)
        elapsed = await fleet.wait_until(fleet.views_converged, 60)
        self.assertLess(elapsed, 30)
        await fleet.close()

    @with_paused_clock
    async def test_announcement_survives_faults_of_the_platform(self):
        faults = {"lose_answers": 2}, {"refuse_status": 503}, {"down": True}
        for fault in faults:
            with self.subTest(fault=fault):
                fleet = SimulatedFleet()
                node = fleet.start_node("a")
                for name, value in fault.items():
                    setattr(node.client.faults, name, value)
                await asyncio.sleep(5)
                node.client.faults.refuse_status = 0
                node.client.faults.down = False
                await asyncio.sleep(60)
                stored = fleet.platform.store.object_by_key[ANNOUNCEMENT_COLLECTION, "a"].value
                self.assertEqual(stored["incarnation"], node.announcement.incarnation)
                await fleet.close()

    @with_paused_clock
    async def test_unknown_fields_of_an_announcement_survive_a_rewrite(self):
        fleet = SimulatedFleet()
        store = fleet.platform.store
        newer = {"schema": 2, "instance": "a", "rack": "r7"}
        store.put(ANNOUNCEMENT_COLLECTION, "a", newer, 0)
        fleet.start_node("a")
        await asyncio.sleep(5)
        value = store.object_by_key[ANNOUNCEMENT_COLLECTION, "a"].value
        self.assertEqual((value["rack"], value["service"]), ("r7", "bayfinder"))
        await fleet.close()

    @with_paused_clock
    async def test_deleted_announcement_of_a_live_node_is_written_again(self):
        fleet = await self.start(4)
        name = fleet.running_nodes[0].instance
        store = fleet.platform.store
        store.delete(
            ANNOUNCEMENT_COLLECTION,
            name,
            store.object_by_key[ANNOUNCEMENT_COLLECTION, name].version,
        )
        await fleet.running_nodes[0].sync.announce_draining()
        await asyncio.sleep(5)
        self.assertIn((ANNOUNCEMENT_COLLECTION, name), store.object_by_key)
        await fleet.close()

    @with_paused_clock
    async def test_compacted_watch_reads_the_collection_again(self):
        fleet = await self.start(4)
        self.set_platform_down(fleet)
        store = fleet.platform.store
        store.compact()
        store.skip_revisions(1_000)
        self.set_platform_down(fleet, is_down=False)
        fleet.network.is_partitioned = lambda sender, receiver: True
        newcomer = fleet.start_node("new", DATA_CENTRES[0])
        await asyncio.sleep(150)
        known = ["new" in node.view.by_instance for node in fleet.running_nodes]
        self.assertTrue(all(known))
        self.assertGreater(len(newcomer.view.by_instance), 4)
        await fleet.close()

    @with_paused_clock
    async def test_emptied_store_gets_the_announcements_back(self):
        with mock.patch.object(collection_watcher, "RELIST_SECONDS", 100.0):
            fleet = await self.start(4)
            store = fleet.platform.store
            for kind, name in list(store.object_by_key):
                store.delete(kind, name, store.object_by_key[kind, name].version)
            await asyncio.sleep(300)
        stored_names = {
            name for kind, name in store.object_by_key if kind == ANNOUNCEMENT_COLLECTION
        }
        self.assertEqual(stored_names, {node.instance for node in fleet.running_nodes})
        await fleet.close()
