"""Overload and poisoned requests between real processes."""

import asyncio
import uuid

from tests.matrix.cells import Fault, Step, proves
from tests.processes.base import PAYMENTS, FleetTestCase, on_fleet

FLOOD_WORKERS = 80
CHARGES = 20
CRASH_TEXT = "crash-me"


class OverloadTests(FleetTestCase):
    async def flood(self, kind: str, stop: asyncio.Event, **headers) -> list[str]:
        """Call through both edges from many workers until told to stop; return the outcomes."""

        async def work(edge: str) -> list[str]:
            outcomes = []
            while not stop.is_set():
                body = uuid.uuid4().hex.encode()
                key = f"{await self.fleet.home(edge)}/{body.decode()}"
                answer = await self.fleet.call(edge, kind, body=body, key=key, **headers)
                whole = answer.outcome != "ran" or answer.body == body
                outcomes.append(answer.outcome if whole else "broken")
            return outcomes

        edges = ("bayfinder-1", "bayfinder-2")
        tasks = (work(edges[number % 2]) for number in range(FLOOD_WORKERS))
        return [outcome for outcomes in await asyncio.gather(*tasks) for outcome in outcomes]

    async def charges(self, count: int) -> list[str]:
        """Send charges one after another and return their outcomes."""
        outcomes = []
        for _ in range(count):
            answer = await self.charge("bayfinder-1", await self.new_key("bayfinder-1"))
            outcomes.append(answer.outcome)
        return outcomes

    @proves(Fault.FLOOD_LEAST_URGENT, Step.ENTRY, Step.QUEUE, Step.DISPATCH, Step.RUNNING)
    @on_fleet
    async def test_charges_run_during_a_flood_of_reads(self):
        await self.slow_payments(0.02)
        stop = asyncio.Event()
        flood = asyncio.create_task(self.flood("occupancy", stop))
        await asyncio.sleep(1.0)
        outcomes = await self.charges(CHARGES)
        stop.set()
        self.assertEqual(outcomes, ["ran"] * CHARGES)
        self.assertNotIn("broken", await flood)

    @proves(Fault.FLOOD_MOST_URGENT, Step.ENTRY, Step.QUEUE, Step.DISPATCH, Step.RUNNING)
    @on_fleet
    async def test_reads_keep_a_share_during_a_flood_of_charges(self):
        await self.slow_payments(0.02)
        stop = asyncio.Event()
        flood = asyncio.create_task(self.flood("charge", stop))
        await asyncio.sleep(1.0)
        ran = 0
        for _ in range(40):
            answer = await self.fleet.call("bayfinder-1", "occupancy", body=b"x")
            ran += answer.outcome == "ran"
        stop.set()
        outcomes = await flood
        self.assertGreater(ran, 0)
        self.assertIn("ran", outcomes)
        self.assertNotIn("broken", outcomes)

    @proves(Fault.DEEP_SERVICE_SLOW, Step.ENTRY, Step.QUEUE, Step.RUNNING, Step.RETRY)
    @on_fleet
    async def test_deep_service_recovers_after_it_was_slow_under_retries(self):
        await self.slow_payments(0.5)
        stop = asyncio.Event()
        flood = asyncio.create_task(self.flood("occupancy", stop, deadline_ms=800))
        await asyncio.sleep(3.0)
        await self.slow_payments(0.005)
        outcomes = await self.charges(CHARGES)
        stop.set()
        flooded = await flood
        self.assertEqual(outcomes[-5:], ["ran"] * 5)
        self.assertIn("ran", flooded)
        self.assertNotIn("broken", flooded)

    @proves(Fault.SURGE, Step.ENTRY, Step.QUEUE, Step.RETRY)
    @on_fleet
    async def test_surge_of_charges_takes_effect_once_each(self):
        await self.slow_payments(0.05)
        keys = [await self.new_key("bayfinder-1") for _ in range(60)]
        edges = ("bayfinder-1", "reservations-1", "bayfinder-2")
        tasks = [self.charge_until_ran(edges, key, 6) for key in keys for _ in range(2)]
        results = await asyncio.gather(*tasks)
        for number, key in enumerate(keys):
            outcomes = results[2 * number] + results[2 * number + 1]
            self.assert_consistent(key, outcomes)

    @proves(Fault.POISON, Step.ENTRY, Step.QUEUE, Step.DISPATCH, Step.RUNNING, Step.RETRY)
    @on_fleet
    async def test_poisoned_request_crashes_at_most_two_upstreams(self):
        for name in PAYMENTS:
            await self.fleet.upstream_faults(name, crash_on_body=CRASH_TEXT)
        crashes = 0
        for _ in range(20):
            answer = await self.fleet.call("bayfinder-1", "occupancy", body=CRASH_TEXT.encode())
            self.assertNotEqual(answer.outcome, "ran")
            for name in PAYMENTS:
                if self.fleet.by_instance[name].upstream.returncode is not None:
                    crashes += 1
                    await self.fleet.start_upstream(name)
                    await self.fleet.upstream_faults(name, crash_on_body=CRASH_TEXT)
            await asyncio.sleep(0.2)
        self.assertLessEqual(crashes, 2)
        answer = await self.fleet.call("bayfinder-1", "occupancy", body=b"harmless")
        self.assertEqual(answer.outcome, "ran")
