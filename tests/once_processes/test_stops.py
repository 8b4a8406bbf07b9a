"""Tests that a draining home answers correctly and that a second signal forces the node to exit."""

import asyncio
import signal

from tests.once_processes.fixtures import ConcurrentResendTestCase
from tests.processes.base import PAYMENTS_INSTANCES, run_on_fleet_loop

RUNNING_CHARGE_SECONDS = 2.0


class StopTests(ConcurrentResendTestCase):
    async def start_draining_during_a_charge(self):
        """Start a charge at bayfinder-1, then drain the node; return the task of the charge."""
        await self.slow_down_payments(RUNNING_CHARGE_SECONDS)
        charge_task = asyncio.create_task(
            self.charge("bayfinder-1", await self.new_key("bayfinder-1"))
        )
        await self.wait_for_running_gate()
        self.fleet.signal_node("bayfinder-1", signal.SIGTERM)
        await self.fleet.wait_state("bayfinder-1", lambda state: state["draining"])
        return charge_task

    @run_on_fleet_loop
    async def test_draining_home_answers_for_keys_that_ran_and_refuses_new_ones(self):
        ran_key = await self.new_key("bayfinder-1")
        new_key = await self.new_key("bayfinder-1")
        self.assertEqual((await self.charge("bayfinder-1", ran_key)).outcome, "ran")
        charge_task = await self.start_draining_during_a_charge()
        answers = [await self.charge(node, ran_key) for node in ("bayfinder-1", "bayfinder-2")]
        refusal = await self.charge("bayfinder-2", new_key)
        self.assertEqual((refusal.outcome, refusal.reason), ("not-run", "draining"))
        self.assertEqual((await charge_task).outcome, "ran")
        self.assertEqual(await self.fleet.running_by_instance["bayfinder-1"].node.wait(), 0)
        answers += [await self.charge("bayfinder-2", ran_key) for _ in range(10)]
        self.assertEqual(self.outcomes_of(answers), {"ran"})
        self.assert_answers_match_effects(ran_key, answers, expected_effects=1)
        self.assert_answers_match_effects(new_key, [refusal], expected_effects=0)

    @run_on_fleet_loop
    async def test_second_signal_returns_unknown_to_waiting_callers(self):
        for gate in PAYMENTS_INSTANCES:
            await self.fleet.set_upstream_faults(gate, hang=True)
        key = await self.new_key("bayfinder-1")
        charge_task = asyncio.create_task(self.charge("bayfinder-1", key, deadline_ms=60_000))
        await self.wait_for_running_gate()
        self.fleet.signal_node("bayfinder-1", signal.SIGTERM)
        await self.fleet.wait_state("bayfinder-1", lambda state: state["draining"])
        self.fleet.signal_node("bayfinder-1", signal.SIGTERM)
        node = self.fleet.running_by_instance["bayfinder-1"].node
        self.assertEqual(await asyncio.wait_for(node.wait(), 15.0), 0)
        self.assertEqual((await charge_task).outcome, "unknown")

    @run_on_fleet_loop
    async def test_second_signal_ends_a_drain_that_waits_for_a_call(self):
        for gate in PAYMENTS_INSTANCES:
            await self.fleet.set_upstream_faults(gate, hang=True)
        key = await self.new_key("bayfinder-1")
        charge_task = asyncio.create_task(self.charge("bayfinder-1", key))
        gate = await self.wait_for_running_gate()
        self.fleet.signal_node(gate, signal.SIGTERM)
        await self.fleet.wait_state(gate, lambda state: state["draining"])
        self.fleet.signal_node(gate, signal.SIGTERM)
        node = self.fleet.running_by_instance[gate].node
        self.assertEqual(await asyncio.wait_for(node.wait(), 30.0), 0)
        log = (self.fleet.directory / f"{gate}-node.log").read_text()
        self.assertIn("reason=forced cut=1", log)
        self.assertEqual((await charge_task).outcome, "unknown")
        self.assert_answers_match_effects(key, [], expected_effects=0)
