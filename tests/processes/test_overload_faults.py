"""Tests of overload and of requests that crash their upstream, against real processes."""

import asyncio
import uuid

from tests.matrix.cells import Fault, Step, covers
from tests.processes.base import PAYMENTS_INSTANCES, FleetTestCase, run_on_fleet_loop

FLOOD_WORKER_COUNT = 80
CHARGE_COUNT = 20
CRASH_BODY = "crash-me"


class OverloadTests(FleetTestCase):
    async def flood(self, kind: str, stop_flood: asyncio.Event, **headers) -> list[str]:
        """Call two edge nodes from many workers until the event is set; return the outcomes.

        A call that ran but returned another body counts as broken.
        """

        async def call_repeatedly(edge: str) -> list[str]:
            outcomes = []
            while not stop_flood.is_set():
                body = uuid.uuid4().hex.encode()
                key = f"{await self.fleet.home_key_prefix(edge)}/{body.decode()}"
                answer = await self.fleet.call(edge, kind, body=body, key=key, **headers)
                is_intact = answer.outcome != "ran" or answer.body == body
                outcomes.append(answer.outcome if is_intact else "broken")
            return outcomes

        edges = ("bayfinder-1", "bayfinder-2")
        tasks = (call_repeatedly(edges[number % 2]) for number in range(FLOOD_WORKER_COUNT))
        return [outcome for outcomes in await asyncio.gather(*tasks) for outcome in outcomes]

    async def send_charges(self, count: int) -> list[str]:
        """Send charges one after another and return their outcomes."""
        outcomes = []
        for _ in range(count):
            answer = await self.charge("bayfinder-1", await self.new_key("bayfinder-1"))
            outcomes.append(answer.outcome)
        return outcomes

    @covers(Fault.FLOOD_LEAST_URGENT, Step.ENTRY, Step.QUEUE, Step.DISPATCH, Step.RUNNING)
    @run_on_fleet_loop
    async def test_charges_run_during_a_flood_of_reads(self):
        await self.slow_down_payments(0.02)
        stop_flood = asyncio.Event()
        flood = asyncio.create_task(self.flood("occupancy", stop_flood))
        await asyncio.sleep(1.0)
        outcomes = await self.send_charges(CHARGE_COUNT)
        stop_flood.set()
        self.assertEqual(outcomes, ["ran"] * CHARGE_COUNT)
        self.assertNotIn("broken", await flood)

    @covers(Fault.FLOOD_MOST_URGENT, Step.ENTRY, Step.QUEUE, Step.DISPATCH, Step.RUNNING)
    @run_on_fleet_loop
    async def test_some_reads_run_during_a_flood_of_charges(self):
        await self.slow_down_payments(0.02)
        stop_flood = asyncio.Event()
        flood = asyncio.create_task(self.flood("charge", stop_flood))
        await asyncio.sleep(1.0)
        ran_count = 0
        for _ in range(40):
            answer = await self.fleet.call("bayfinder-1", "occupancy", body=b"x")
            ran_count += answer.outcome == "ran"
        stop_flood.set()
        outcomes = await flood
        self.assertGreater(ran_count, 0)
        self.assertIn("ran", outcomes)
        self.assertNotIn("broken", outcomes)

    @covers(Fault.DEEP_SERVICE_SLOW, Step.ENTRY, Step.QUEUE, Step.RUNNING, Step.RETRY)
    @run_on_fleet_loop
    async def test_deep_service_that_was_slow_recovers_while_reads_continue(self):
        await self.slow_down_payments(0.5)
        stop_flood = asyncio.Event()
        flood = asyncio.create_task(self.flood("occupancy", stop_flood, deadline_ms=800))
        await asyncio.sleep(3.0)
        await self.slow_down_payments(0.005)
        outcomes = await self.send_charges(CHARGE_COUNT)
        stop_flood.set()
        flood_outcomes = await flood
        self.assertEqual(outcomes[-5:], ["ran"] * 5)
        self.assertIn("ran", flood_outcomes)
        self.assertNotIn("broken", flood_outcomes)

    @covers(Fault.SURGE, Step.ENTRY, Step.QUEUE, Step.RETRY)
    @run_on_fleet_loop
    async def test_surge_of_charges_takes_effect_once_each(self):
        await self.slow_down_payments(0.05)
        keys = [await self.new_key("bayfinder-1") for _ in range(60)]
        edges = ("bayfinder-1", "reservations-1", "bayfinder-2")
        tasks = [self.resend_until_ran(edges, key, 6) for key in keys for _ in range(2)]
        results = await asyncio.gather(*tasks)
        for number, key in enumerate(keys):
            outcomes = results[2 * number] + results[2 * number + 1]
            self.assert_outcomes_match_effects(key, outcomes)

    @covers(Fault.POISON, Step.ENTRY, Step.QUEUE, Step.DISPATCH, Step.RUNNING, Step.RETRY)
    @run_on_fleet_loop
    async def test_poisoned_request_crashes_at_most_two_upstreams(self):
        for name in PAYMENTS_INSTANCES:
            await self.fleet.set_upstream_faults(name, crash_on_body=CRASH_BODY)
        crash_count = 0
        for _ in range(20):
            answer = await self.fleet.call("bayfinder-1", "occupancy", body=CRASH_BODY.encode())
            self.assertNotEqual(answer.outcome, "ran")
            for name in PAYMENTS_INSTANCES:
                if self.fleet.running_by_instance[name].upstream.returncode is not None:
                    crash_count += 1
                    await self.fleet.start_upstream(name)
                    await self.fleet.set_upstream_faults(name, crash_on_body=CRASH_BODY)
            await asyncio.sleep(0.2)
        self.assertLessEqual(crash_count, 2)
        answer = await self.fleet.call("bayfinder-1", "occupancy", body=b"harmless")
        self.assertEqual(answer.outcome, "ran")
