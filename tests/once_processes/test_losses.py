"""Tests that a charge takes effect at most once when a process or a link fails or pauses."""

import asyncio
import signal

from bamboo_standins.fault_proxy import ProxyFaults
from tests.once_processes.fixtures import CHARGE_SECONDS, ConcurrentResendTestCase
from tests.processes.base import PAYMENTS_INSTANCES, WAIT_TIMEOUT_SECONDS, run_on_fleet_loop

EDGE_NODES = ("bayfinder-1", "bayfinder-2", "reservations-1")


class LossTests(ConcurrentResendTestCase):
    @run_on_fleet_loop
    async def test_home_lost_in_the_middle_of_a_charge(self):
        key, task, _ = await self.start_charge()
        await self.fleet.kill_node("bayfinder-1")
        await task
        answers = await self.resend_concurrently(["bayfinder-2", *PAYMENTS_INSTANCES], key)
        self.assert_answers_match_effects(key, answers, expected_effects=1)
        self.assertIn("ran", self.outcomes_of(answers))

    @run_on_fleet_loop
    async def test_restarted_home_is_not_mistaken_for_its_old_incarnation(self):
        key, task, _ = await self.start_charge()
        await self.fleet.kill_node("bayfinder-1")
        await task
        await self.fleet.start_node("bayfinder-1")
        await self.fleet.wait_until_converged("bayfinder-1")
        answers = await self.resend_concurrently(["bayfinder-1", "bayfinder-2"], key)
        self.assert_answers_match_effects(key, answers, expected_effects=1)

    @run_on_fleet_loop
    async def test_gate_lost_in_the_middle_of_a_charge(self):
        key, task, gate = await self.start_charge()
        await self.fleet.kill_node(gate)
        answers = [await task, *await self.resend_concurrently(EDGE_NODES, key)]
        self.assertEqual(self.outcomes_of(answers), {"unknown"})
        self.assertLessEqual(self.count_effects(key), 1)

    @run_on_fleet_loop
    async def test_upstream_lost_in_the_middle_of_a_charge(self):
        key, task, gate = await self.start_charge()
        await self.fleet.kill_upstream(gate)
        answers = [await task, *await self.resend_concurrently(EDGE_NODES, key)]
        self.assertEqual(self.outcomes_of(answers), {"unknown"})
        self.assertEqual(self.count_effects(key), 0)

    @run_on_fleet_loop
    async def test_upstream_answer_lost_after_the_effect(self):
        for gate in PAYMENTS_INSTANCES:
            await self.fleet.set_upstream_faults(gate, drop_answer=-1)
        key = await self.new_key("bayfinder-1")
        answers = await self.resend_concurrently(EDGE_NODES, key)
        self.assert_answers_match_effects(key, answers, expected_effects=1)
        self.assertEqual(self.outcomes_of(answers), {"unknown"})

    @run_on_fleet_loop
    async def test_answer_lost_with_its_link_is_returned_to_a_later_resend(self):
        key, task, gate = await self.start_charge()
        proxy = self.fleet.running_by_instance[gate].proxy
        proxy.set_faults(ProxyFaults(cut=True))
        first = await task
        self.assertEqual((first.outcome, first.reason), ("unknown", "lost-link"))
        answers_while_cut = await self.resend_concurrently(EDGE_NODES, key)
        proxy.set_faults(ProxyFaults())
        async with asyncio.timeout(WAIT_TIMEOUT_SECONDS):
            while (last := await self.charge("bayfinder-2", key)).outcome == "unknown":
                await asyncio.sleep(0.05)
        self.assertEqual(last.outcome, "ran")
        self.assert_answers_match_effects(
            key, [first, *answers_while_cut, last], expected_effects=1
        )


class PauseTests(ConcurrentResendTestCase):
    async def open_links(self):
        """Send charges through bayfinder-1 so that it opens a link to each payments node."""
        keys = [await self.new_key("bayfinder-1") for _ in range(8)]
        await asyncio.gather(*(self.charge("bayfinder-1", key) for key in keys))

    @run_on_fleet_loop
    async def test_paused_gate_runs_nothing_past_its_deadline(self):
        await self.open_links()
        for gate in PAYMENTS_INSTANCES:
            self.pause(gate)
        key = await self.new_key("bayfinder-1")
        first = await self.fleet.call(
            "bayfinder-1", "charge", body=key.encode(), key=key, deadline_ms=700
        )
        self.assertEqual(first.outcome, "unknown")
        await asyncio.sleep(0.5)
        for gate in PAYMENTS_INSTANCES:
            self.resume(gate)
            await self.fleet.wait_until_converged(gate)
        await asyncio.sleep(CHARGE_SECONDS)
        self.assert_answers_match_effects(key, [], expected_effects=0)
        answers = await self.resend_concurrently(EDGE_NODES, key)
        self.assertIn("ran", self.outcomes_of(answers), self.reasons_of(answers))
        self.assert_answers_match_effects(key, answers[-1:], expected_effects=1)

    @run_on_fleet_loop
    async def test_paused_home_starts_nothing_twice(self):
        key, task, _ = await self.start_charge()
        self.fleet.signal_node("bayfinder-1", signal.SIGSTOP)
        answers_while_paused = await self.resend_concurrently(
            ["bayfinder-2", *PAYMENTS_INSTANCES], key
        )
        self.resume("bayfinder-1")
        answers = [
            await task,
            *answers_while_paused,
            *await self.resend_concurrently(["bayfinder-1"], key),
        ]
        self.assert_answers_match_effects(key, answers, expected_effects=1)
        self.assertIn("ran", self.outcomes_of(answers))


class ChainTests(ConcurrentResendTestCase):
    @run_on_fleet_loop
    async def test_home_lost_in_the_middle_of_a_chain(self):
        key = await self.new_key("bayfinder-1")
        await self.slow_down_payments(CHARGE_SECONDS)
        first = asyncio.create_task(
            self.fleet.call("bayfinder-2", "reserve", body=b"12.50", key=key)
        )
        await self.wait_for_running_gate()
        await self.fleet.kill_node("bayfinder-1")
        answers = [await first]
        for number in range(20):
            node = ("bayfinder-2", "reservations-1")[number % 2]
            answers.append(await self.fleet.call(node, "reserve", body=b"12.50", key=key))
        effect_keys = [
            effect["key"] for effect in self.fleet.effects() if effect["key"].startswith(key)
        ]
        self.assertEqual(len(effect_keys), len(set(effect_keys)))
        self.assertNotIn("not-run", self.outcomes_of(answers))
