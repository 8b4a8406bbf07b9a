"""A small fleet for tests of at-most-once calls over real processes."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import aiohttp
from bamboo_standins.fleet import Fleet, InstancePlan

TABLE = """kind,rank,weight,effect,deadline_ms,retries,slots_max,services
bay-search,3,10,idempotent,5000,2,0,payments
charge,1,50,once,5000,2,0,payments
"""
CHARGE_SECONDS = 0.4
PLANS = [
    InstancePlan("bayfinder-1", "bayfinder", "north"),
    InstancePlan("bayfinder-2", "bayfinder", "south"),
    InstancePlan("payments-1", "payments", "north", seconds=CHARGE_SECONDS),
    InstancePlan("payments-2", "payments", "south", seconds=CHARGE_SECONDS),
]
GATES = ("payments-1", "payments-2")
BODY = b"charge 12 dinars"
RESENDS = 50


class FleetTestCase(unittest.IsolatedAsyncioTestCase):
    """Start a fleet for each test."""

    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.fleet = Fleet(Path(self.directory.name), PLANS, TABLE)
        self.addAsyncCleanup(self.clean_up)
        await self.fleet.start()

    async def clean_up(self):
        await self.fleet.stop()
        self.directory.cleanup()

    async def charge(self, node, key, **headers):
        """Send a copy of a charge; return None when the node is gone."""
        try:
            return await self.fleet.call(node, "charge", body=BODY, key=key, **headers)
        except aiohttp.ClientError:
            return None

    async def executing_gate(self):
        """Wait until a payments upstream runs a charge and return its instance."""
        async with asyncio.timeout(20.0):
            while True:
                for name in GATES:
                    state = await self.fleet.state(name)
                    if state and state["load"]["in_flight"]:
                        return name
                await asyncio.sleep(0.01)

    async def resend_hard(self, nodes, key):
        """Send 50 copies at the nodes in turn, ten at a time, and return their answers."""
        answers = []
        for start in range(0, RESENDS, 10):
            copies = (
                self.charge(nodes[number % len(nodes)], key) for number in range(start, start + 10)
            )
            answers += await asyncio.gather(*copies)
        return [answer for answer in answers if answer is not None]

    def outcomes(self, answers):
        return {answer.outcome for answer in answers if answer is not None}

    def assert_consistent(self, key, answers):
        """Check that the ledger has at most one effect of the key, as the answers say."""
        effects = [effect for effect in self.fleet.effects() if effect["key"] == key]
        self.assertLessEqual(len(effects), 1)
        outcomes = self.outcomes(answers)
        if "ran" in outcomes:
            self.assertEqual(len(effects), 1)
            self.assertNotIn("not-run", outcomes)
        if effects:
            self.assertNotIn("not-run", outcomes)
        bodies = {answer.body for answer in answers if answer and answer.outcome == "ran"}
        self.assertLessEqual(bodies, {BODY})
        return effects
