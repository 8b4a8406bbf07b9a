"""Tests of calls that pass through a chain of services, each in a process of its own."""

import tempfile
import unittest
from pathlib import Path

from bamboo_standins.process_fleet import InstancePlan, ProcessFleet

TABLE = """kind,rank,weight,effect,deadline_ms,retries,slots_max,services
bay-search,3,10,idempotent,3000,2,0,bayfinder reservations payments
reserve,1,50,once,5000,2,0,bayfinder reservations payments
"""
PLANS = [
    InstancePlan("bayfinder-1", "bayfinder", "north", calls="reservations:reserve"),
    InstancePlan("reservations-1", "reservations", "south", calls="payments:charge"),
    InstancePlan("payments-1", "payments", "north"),
    InstancePlan("payments-2", "payments", "south"),
]


class PathTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.directory = tempfile.TemporaryDirectory()
        self.fleet = ProcessFleet(Path(self.directory.name), PLANS, TABLE)
        self.addAsyncCleanup(self.clean_up)
        await self.fleet.start()

    async def clean_up(self):
        await self.fleet.stop()
        self.directory.cleanup()

    async def test_read_passes_through_three_services_and_returns_intact(self):
        answer = await self.fleet.call("bayfinder-1", "bay-search", body=b"x" * 5000)
        self.assertEqual((answer.outcome, answer.status), ("ran", 200))
        self.assertEqual(answer.body, b"x" * 5000)
        chain = answer.headers["Upstream-Chain"].split()
        self.assertEqual(chain[:2], ["bayfinder-1", "reservations-1"])
        self.assertIn(chain[2], ("payments-1", "payments-2"))

    async def test_charge_sent_three_times_takes_effect_once_in_each_service(self):
        key = await self.fleet.home_key_prefix("payments-1") + "/order-17"
        answers = [
            await self.fleet.call(name, "reserve", body=b"bay 4", key=key)
            for name in ("bayfinder-1", "reservations-1", "payments-2")
        ]
        self.assertEqual([answer.outcome for answer in answers], ["ran"] * 3)
        self.assertEqual([answer.body for answer in answers], [b"bay 4"] * 3)
        services = sorted(effect["service"] for effect in self.fleet.effects())
        self.assertEqual(services, ["bayfinder", "payments", "reservations"])

    async def test_charge_without_a_key_is_refused_with_the_home_for_its_key(self):
        answer = await self.fleet.call("bayfinder-1", "reserve")
        self.assertEqual((answer.outcome, answer.reason), ("not-run", "key-required"))
        self.assertEqual(
            answer.headers["Bamboo-Home"], await self.fleet.home_key_prefix("bayfinder-1")
        )
        self.assertEqual(self.fleet.effects(), [])
