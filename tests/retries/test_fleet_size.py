"""Nodes that lose sight of each other still share one slack."""

import asyncio
import unittest

from bamboo_bench.replay.fleet import ReplayFleet
from bamboo_bench.replay.pattern import load_pattern
from bamboo_standins.paused_clock import with_paused_clock
from bamboojunction.core.retries.fleet_budget import SIZE_MEMORY_SECONDS, FleetSize

SECONDS_BEFORE_CUT = 20.0


class FleetSizeTests(unittest.TestCase):
    @with_paused_clock
    async def test_both_sides_of_a_cut_stay_within_the_slack(self):
        """Each side of a cut divided the whole slack among the nodes that it still saw."""
        fleet = ReplayFleet(load_pattern("lost-answers"), 1)
        self.addCleanup(fleet.close)
        forwarders = [node.forwarder for node in fleet.node_by_instance.values()]
        for forwarder in forwarders:
            forwarder.budget("log")
        await asyncio.sleep(SECONDS_BEFORE_CUT)
        for index, forwarder in enumerate(forwarders):
            forwarder.node_count = 8 if index < 8 else 5
        loop = asyncio.get_running_loop()
        spent = sum(self.spend_all(forwarder, loop.time()) for forwarder in forwarders)
        for _ in range(10):
            await asyncio.sleep(fleet.pattern.retry_window_seconds / 10)
            spent += sum(self.spend_all(forwarder, loop.time()) for forwarder in forwarders)
        self.assertLessEqual(spent, fleet.pattern.retry_slack)

    def spend_all(self, forwarder, now):
        budget = forwarder.budget("log")
        return sum(iter(lambda: budget.spend(now), False))

    def test_smaller_fleet_counts_after_a_while(self):
        size = FleetSize()
        size.record(13, 0.0)
        size.record(5, 100.0)
        size.record(4, 110.0)
        self.assertEqual(size.count(100.0 + SIZE_MEMORY_SECONDS - 1.0), 13)
        self.assertEqual(size.count(100.0 + SIZE_MEMORY_SECONDS), 4)
        size.record(20, 200.0)
        self.assertEqual(size.count(200.0), 20)
