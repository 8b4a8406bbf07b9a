"""A charge takes effect at most once whatever is lost in the middle of it."""

import asyncio
import signal

from bamboo_standins.fault_proxy import ProxyFaults

from tests.once_processes.fixtures import CHARGE_SECONDS, GATES, FleetTestCase


class LossTests(FleetTestCase):
    async def start_charge(self, home="bayfinder-1", **headers):
        """Start a charge and return its key, its task and the gate that runs it."""
        key = await self.fleet.home(home) + "/order-1"
        task = asyncio.create_task(self.charge(home, key, **headers))
        return key, task, await self.executing_gate()

    async def test_home_lost_in_the_middle_of_a_charge(self):
        key, task, _ = await self.start_charge()
        await self.fleet.kill_node("bayfinder-1")
        await task
        answers = await self.resend_hard(["bayfinder-2", *GATES], key)
        effects = self.assert_consistent(key, answers)
        self.assertEqual(len(effects), 1)
        self.assertIn("ran", self.outcomes(answers))

    async def test_restarted_home_is_not_taken_for_the_lost_one(self):
        key, task, _ = await self.start_charge()
        await self.fleet.kill_node("bayfinder-1")
        await task
        await self.fleet.start_node("bayfinder-1")
        await self.fleet.wait_ready("bayfinder-1")
        answers = await self.resend_hard(["bayfinder-1", "bayfinder-2"], key)
        self.assertEqual(len(self.assert_consistent(key, answers)), 1)

    async def test_gate_lost_in_the_middle_of_a_charge(self):
        key, task, gate = await self.start_charge()
        await self.fleet.kill_node(gate)
        first = await task
        self.assertEqual(first.outcome, "unknown")
        nodes = [name for name in ("bayfinder-1", "bayfinder-2", *GATES) if name != gate]
        answers = await self.resend_hard(nodes, key)
        self.assert_consistent(key, [first, *answers])
        self.assertEqual(self.outcomes(answers), {"unknown"})

    async def test_upstream_lost_in_the_middle_of_a_charge(self):
        key, task, gate = await self.start_charge()
        await self.fleet.kill_upstream(gate)
        first = await task
        answers = await self.resend_hard(["bayfinder-1", "bayfinder-2", *GATES], key)
        self.assert_consistent(key, [first, *answers])
        self.assertEqual(self.outcomes([first, *answers]), {"unknown"})

    async def test_upstream_answer_lost_after_the_effect(self):
        for gate in GATES:
            await self.fleet.upstream_faults(gate, drop_answer=-1)
        key, task, _ = await self.start_charge()
        answers = [await task, *await self.resend_hard(["bayfinder-1", "bayfinder-2"], key)]
        self.assertEqual(len(self.assert_consistent(key, answers)), 1)
        self.assertEqual(self.outcomes(answers), {"unknown"})

    async def test_upstream_answer_cut_short_is_never_whole(self):
        for gate in GATES:
            await self.fleet.upstream_faults(gate, truncate_answer=-1)
        key, task, _ = await self.start_charge()
        answers = [await task, *await self.resend_hard(["bayfinder-1", "bayfinder-2"], key)]
        self.assertEqual(len(self.assert_consistent(key, answers)), 1)
        self.assertEqual(self.outcomes(answers), {"unknown"})

    async def test_answer_lost_with_its_link_is_told_to_the_next_copy(self):
        key, task, gate = await self.start_charge()
        proxy = self.fleet.by_instance[gate].proxy
        proxy.set_faults(ProxyFaults(cut=True))
        first = await task
        self.assertEqual((first.outcome, first.reason), ("unknown", "lost-link"))
        while_cut = await self.resend_hard(["bayfinder-1", "bayfinder-2"], key)
        await asyncio.sleep(CHARGE_SECONDS)
        proxy.set_faults(ProxyFaults())
        async with asyncio.timeout(20.0):
            while (last := await self.charge("bayfinder-2", key)).outcome == "unknown":
                await asyncio.sleep(0.05)
        self.assertEqual(last.outcome, "ran")
        answers = [first, *while_cut, last]
        self.assertEqual(len(self.assert_consistent(key, answers)), 1)

    async def test_paused_gate_runs_nothing_past_its_deadline(self):
        for gate in GATES:
            await self.charge("bayfinder-1", await self.fleet.home("bayfinder-1") + f"/{gate}")
        for gate in GATES:
            self.fleet.signal_node(gate, signal.SIGSTOP)
        key = await self.fleet.home("bayfinder-1") + "/order-1"
        first = await self.charge("bayfinder-1", key, deadline_ms=700)
        self.assertEqual(first.outcome, "unknown")
        await asyncio.sleep(1.0)
        for gate in GATES:
            self.fleet.signal_node(gate, signal.SIGCONT)
            await self.fleet.wait_ready(gate)
        await asyncio.sleep(2 * CHARGE_SECONDS)
        self.assertEqual(self.assert_consistent(key, [first]), [])
        answers = await self.resend_hard(["bayfinder-1", "bayfinder-2"], key)
        self.assert_consistent(key, [answers[-1]])
        self.assertIn("ran", self.outcomes(answers))

    async def test_paused_home_starts_nothing_twice(self):
        key, task, _ = await self.start_charge()
        self.fleet.signal_node("bayfinder-1", signal.SIGSTOP)
        others = await self.resend_hard(["bayfinder-2", *GATES], key)
        self.fleet.signal_node("bayfinder-1", signal.SIGCONT)
        answers = [await task, *others, *await self.resend_hard(["bayfinder-1"], key)]
        self.assertEqual(len(self.assert_consistent(key, answers)), 1)
        self.assertIn("ran", self.outcomes(answers))
