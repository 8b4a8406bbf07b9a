"""What a stopping gate reports about a call that its upstream refused."""

import asyncio
import unittest

from bamboo_bench.replay.fleet import ReplayFleet
from bamboo_bench.replay.pattern import load_pattern
from bamboo_standins.paused_clock import with_paused_clock
from bamboojunction.core.calls import Call
from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.retries.forwarding import REFUSED_BEFORE_UPSTREAM


class StoppingGateTests(unittest.TestCase):
    @with_paused_clock
    async def test_refusal_by_the_upstream_of_a_stopping_node_costs_a_repeat(self):
        """The gate reported it as unreachable, so that the next arrival was not charged."""
        fleet = ReplayFleet(load_pattern("lost-answers"), 1)
        self.addCleanup(fleet.close)
        fleet.conditions.refused_share_by_service["log"] = 1.0
        gate = fleet.node_by_instance["log-0"].gate
        deadline = asyncio.get_running_loop().time() + 1.0
        serving = asyncio.create_task(gate.serve(Call("r1", "history", "log", deadline)))
        while not fleet.arrivals.count_by_action["r1"]:
            await asyncio.sleep(0.0001)
        gate.stop()
        outcome = (await serving).outcome
        self.assertIsInstance(outcome, NotRun)
        self.assertIs(outcome.reason, NotRunReason.UPSTREAM_REFUSED)
        self.assertNotIn(outcome.reason, REFUSED_BEFORE_UPSTREAM)
