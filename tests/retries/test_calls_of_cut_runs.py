"""Only requests of clients earn repeats, whatever became of the run that made a call."""

import asyncio
import unittest

import msgspec

from bamboo_bench.replay.fleet import ReplayFleet, request_for
from bamboo_bench.replay.pattern import load_pattern
from bamboo_standins.paused_clock import with_paused_clock
from bamboojunction.core.calls import Call

CALLS = 20


class CutRunTests(unittest.TestCase):
    async def send_calls(self, parent):
        """Send calls with ids below ``parent`` and return the repeats that they have earned."""
        loop = asyncio.get_running_loop()
        node = self.fleet.node_by_instance["finder-0"]
        for number in range(CALLS):
            request = request_for("booking-record", f"{parent}.{number}", 1.0, loop.time())
            await node.app.handle(request)
        return node.forwarder.budget("booking").retries_left()

    def create_fleet(self):
        # Each request of a client earns at least one repeat, and time earns none.
        pattern = msgspec.structs.replace(
            load_pattern("lost-answers"), retry_ratio=2.0, retry_slack=0.0
        )
        self.fleet = ReplayFleet(pattern, 1)
        self.addCleanup(self.fleet.close)

    @with_paused_clock
    async def test_calls_of_a_run_whose_caller_is_gone_earn_no_repeats(self):
        """Such calls were taken for requests of clients and raised the limit of their service."""
        self.create_fleet()
        gate = self.fleet.node_by_instance["finder-0"].gate
        deadline = asyncio.get_running_loop().time() + 5.0
        serving = asyncio.create_task(gate.serve(Call("r1", "search", "finder", deadline)))
        while not self.fleet.arrivals.count_by_action["r1"]:
            await asyncio.sleep(0.0001)
        serving.cancel()
        await asyncio.sleep(0.001)
        self.assertEqual(await self.send_calls("r1"), 0)

    @with_paused_clock
    async def test_requests_of_clients_earn_repeats_whatever_their_ids(self):
        self.create_fleet()
        self.assertGreaterEqual(await self.send_calls("client"), CALLS)
