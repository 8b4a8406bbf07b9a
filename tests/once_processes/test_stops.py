"""A leaving home still tells the truth about its keys, and a second signal ends the stop."""

import asyncio
import signal

from tests.once_processes.fixtures import HardResendTestCase
from tests.processes.base import PAYMENTS, on_fleet

HOLD_SECONDS = 2.0


class StopTests(HardResendTestCase):
    async def hold_stop(self):
        """Start a stop of bayfinder-1 that a running charge holds open; return the charge."""
        await self.slow_payments(HOLD_SECONDS)
        held = asyncio.create_task(self.charge("bayfinder-1", await self.new_key("bayfinder-1")))
        await self.running_gate()
        self.fleet.signal_node("bayfinder-1", signal.SIGTERM)
        await self.fleet.wait_state("bayfinder-1", lambda state: state["draining"])
        return held

    @on_fleet
    async def test_draining_home_answers_for_keys_that_ran_and_refuses_new_ones(self):
        ran = await self.new_key("bayfinder-1")
        fresh = await self.new_key("bayfinder-1")
        self.assertEqual((await self.charge("bayfinder-1", ran)).outcome, "ran")
        held = await self.hold_stop()
        answers = [await self.charge(node, ran) for node in ("bayfinder-1", "bayfinder-2")]
        refusal = await self.charge("bayfinder-2", fresh)
        self.assertEqual((refusal.outcome, refusal.reason), ("not-run", "draining"))
        self.assertEqual((await held).outcome, "ran")
        self.assertEqual(await self.fleet.by_instance["bayfinder-1"].node.wait(), 0)
        answers += [await self.charge("bayfinder-2", ran) for _ in range(10)]
        self.assertEqual(self.outcomes(answers), {"ran"})
        self.assert_truthful(ran, answers, effects=1)
        self.assert_truthful(fresh, [refusal], effects=0)

    @on_fleet
    async def test_second_signal_tells_waiting_callers_that_the_outcome_is_unknown(self):
        for gate in PAYMENTS:
            await self.fleet.upstream_faults(gate, hang=True)
        key = await self.new_key("bayfinder-1")
        held = asyncio.create_task(self.charge("bayfinder-1", key, deadline_ms=60_000))
        await self.running_gate()
        self.fleet.signal_node("bayfinder-1", signal.SIGTERM)
        await self.fleet.wait_state("bayfinder-1", lambda state: state["draining"])
        self.fleet.signal_node("bayfinder-1", signal.SIGTERM)
        node = self.fleet.by_instance["bayfinder-1"].node
        self.assertEqual(await asyncio.wait_for(node.wait(), 15.0), 0)
        self.assertEqual((await held).outcome, "unknown")

    @on_fleet
    async def test_second_signal_ends_a_stop_that_a_call_holds_open(self):
        for gate in PAYMENTS:
            await self.fleet.upstream_faults(gate, hang=True)
        key = await self.new_key("bayfinder-1")
        held = asyncio.create_task(self.charge("bayfinder-1", key))
        gate = await self.running_gate()
        self.fleet.signal_node(gate, signal.SIGTERM)
        await self.fleet.wait_state(gate, lambda state: state["draining"])
        self.fleet.signal_node(gate, signal.SIGTERM)
        node = self.fleet.by_instance[gate].node
        self.assertEqual(await asyncio.wait_for(node.wait(), 30.0), 0)
        log = (self.fleet.directory / f"{gate}-node.log").read_text()
        self.assertIn("reason=forced cut=1", log)
        self.assertEqual((await held).outcome, "unknown")
        self.assert_truthful(key, [], effects=0)
