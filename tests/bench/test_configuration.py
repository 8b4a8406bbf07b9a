"""A configuration reaches all nodes of a simulated fleet in time, whatever a few nodes suffer."""

import asyncio
import unittest

from loguru import logger

from bamboo_bench.capacity.configuration import (
    LAG_P99_SECONDS_MAX,
    LAG_SECONDS_MAX,
    MEASURE_BY_CONDITION,
)
from bamboo_bench.state.configuration import measure_all_watchers_cut
from bamboo_standins.configuration_fleet import ConfigurationFleet
from bamboo_standins.paused_clock import run_with_paused_clock, with_paused_clock


class ConfigurationPropagationTests(unittest.TestCase):
    def setUp(self):
        logger.disable("bamboojunction")
        self.addCleanup(logger.enable, "bamboojunction")

    def test_versions_reach_all_nodes_in_time(self):
        for condition, measure in MEASURE_BY_CONDITION.items():
            for nodes, seed in ((13, 1), (13, 2), (195, 1)):
                with self.subTest(condition, nodes=nodes, seed=seed):
                    figures = run_with_paused_clock(measure(nodes, seed))
                    self.assertLessEqual(figures.lag_p99, LAG_P99_SECONDS_MAX)
                    self.assertLessEqual(figures.lag_max, LAG_SECONDS_MAX)

    def test_versions_reach_all_nodes_although_no_watcher_reaches_the_store(self):
        figures = run_with_paused_clock(measure_all_watchers_cut(13, 1))
        self.assertLessEqual(figures.lag_max, LAG_SECONDS_MAX)

    @with_paused_clock
    async def test_two_nodes_of_each_data_centre_read_without_allowing_stale_answers(self):
        fleet = ConfigurationFleet(60, seed=1)
        await fleet.start()
        watchers = [node.data_centre for node in fleet.nodes if node.is_store_watcher]
        self.assertEqual(sorted(watchers), sorted(2 * list({*watchers})))
        self.assertEqual(len(watchers), 10)
        await fleet.close()

    @with_paused_clock
    async def test_node_never_goes_back_to_an_older_version(self):
        fleet = ConfigurationFleet(13, seed=1)
        await fleet.start()
        newest_by_instance = dict.fromkeys((node.instance for node in fleet.nodes), 0)
        for write in range(5):
            fleet.write_configuration()
            await asyncio.sleep(0.5)
            # From now on these nodes read an older state from the store than they know.
            for node in fleet.nodes[2 * write : 2 * write + 2]:
                node.client.stale_snapshot = fleet.platform.store.snapshot()
            for node in fleet.nodes:
                version = node.current_routes.routes.version
                self.assertGreaterEqual(version, newest_by_instance[node.instance])
                newest_by_instance[node.instance] = version
        self.assertEqual(set(newest_by_instance.values()), {6})
        await fleet.close()


if __name__ == "__main__":
    unittest.main()
