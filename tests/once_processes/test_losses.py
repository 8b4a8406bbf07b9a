"""A charge takes effect at most once whatever is lost in the middle of it."""

import asyncio
import signal

from bamboo_standins.fault_proxy import ProxyFaults
from tests.once_processes.fixtures import CHARGE_SECONDS, HardResendTestCase
from tests.processes.base import PAYMENTS, WAIT_SECONDS, on_fleet

EDGES = ("bayfinder-1", "bayfinder-2", "reservations-1")


class LossTests(HardResendTestCase):
    @on_fleet
    async def test_home_lost_in_the_middle_of_a_charge(self):
        key, task, _ = await self.start_charge()
        await self.fleet.kill_node("bayfinder-1")
        await task
        answers = await self.resend_hard(["bayfinder-2", *PAYMENTS], key)
        self.assert_truthful(key, answers, effects=1)
        self.assertIn("ran", self.outcomes(answers))

    @on_fleet
    async def test_restarted_home_is_not_taken_for_the_lost_one(self):
        key, task, _ = await self.start_charge()
        await self.fleet.kill_node("bayfinder-1")
        await task
        await self.fleet.start_node("bayfinder-1")
        await self.fleet.wait_whole("bayfinder-1")
        answers = await self.resend_hard(["bayfinder-1", "bayfinder-2"], key)
        self.assert_truthful(key, answers, effects=1)

    @on_fleet
    async def test_gate_lost_in_the_middle_of_a_charge(self):
        key, task, gate = await self.start_charge()
        await self.fleet.kill_node(gate)
        answers = [await task, *await self.resend_hard(EDGES, key)]
        self.assertEqual(self.outcomes(answers), {"unknown"})
        self.assertLessEqual(self.effects_of(key), 1)

    @on_fleet
    async def test_upstream_lost_in_the_middle_of_a_charge(self):
        key, task, gate = await self.start_charge()
        await self.fleet.kill_upstream(gate)
        answers = [await task, *await self.resend_hard(EDGES, key)]
        self.assertEqual(self.outcomes(answers), {"unknown"})
        self.assertEqual(self.effects_of(key), 0)

    @on_fleet
    async def test_upstream_answer_lost_after_the_effect(self):
        for gate in PAYMENTS:
            await self.fleet.upstream_faults(gate, drop_answer=-1)
        key = await self.new_key("bayfinder-1")
        answers = await self.resend_hard(EDGES, key)
        self.assert_truthful(key, answers, effects=1)
        self.assertEqual(self.outcomes(answers), {"unknown"})

    @on_fleet
    async def test_answer_lost_with_its_link_is_told_to_the_next_copy(self):
        key, task, gate = await self.start_charge()
        proxy = self.fleet.by_instance[gate].proxy
        proxy.set_faults(ProxyFaults(cut=True))
        first = await task
        self.assertEqual((first.outcome, first.reason), ("unknown", "lost-link"))
        while_cut = await self.resend_hard(EDGES, key)
        proxy.set_faults(ProxyFaults())
        async with asyncio.timeout(WAIT_SECONDS):
            while (last := await self.charge("bayfinder-2", key)).outcome == "unknown":
                await asyncio.sleep(0.05)
        self.assertEqual(last.outcome, "ran")
        self.assert_truthful(key, [first, *while_cut, last], effects=1)


class PauseTests(HardResendTestCase):
    async def open_links(self):
        """Let the home have a link to each gate."""
        keys = [await self.new_key("bayfinder-1") for _ in range(8)]
        await asyncio.gather(*(self.charge("bayfinder-1", key) for key in keys))

    @on_fleet
    async def test_paused_gate_runs_nothing_past_its_deadline(self):
        await self.open_links()
        for gate in PAYMENTS:
            self.pause(gate)
        key = await self.new_key("bayfinder-1")
        first = await self.fleet.call(
            "bayfinder-1", "charge", body=key.encode(), key=key, deadline_ms=700
        )
        self.assertEqual(first.outcome, "unknown")
        await asyncio.sleep(0.5)
        for gate in PAYMENTS:
            self.resume(gate)
            await self.fleet.wait_whole(gate)
        await asyncio.sleep(CHARGE_SECONDS)
        self.assert_truthful(key, [], effects=0)
        answers = await self.resend_hard(EDGES, key)
        self.assertIn("ran", self.outcomes(answers), self.reasons_of(answers))
        self.assert_truthful(key, answers[-1:], effects=1)

    @on_fleet
    async def test_paused_home_starts_nothing_twice(self):
        key, task, _ = await self.start_charge()
        self.fleet.signal_node("bayfinder-1", signal.SIGSTOP)
        others = await self.resend_hard(["bayfinder-2", *PAYMENTS], key)
        self.resume("bayfinder-1")
        answers = [await task, *others, *await self.resend_hard(["bayfinder-1"], key)]
        self.assert_truthful(key, answers, effects=1)
        self.assertIn("ran", self.outcomes(answers))


class ChainTests(HardResendTestCase):
    @on_fleet
    async def test_home_lost_in_the_middle_of_a_chain(self):
        key = await self.new_key("bayfinder-1")
        await self.slow_payments(CHARGE_SECONDS)
        first = asyncio.create_task(
            self.fleet.call("bayfinder-2", "reserve", body=b"12.50", key=key)
        )
        await self.running_gate()
        await self.fleet.kill_node("bayfinder-1")
        answers = [await first]
        for number in range(20):
            node = ("bayfinder-2", "reservations-1")[number % 2]
            answers.append(await self.fleet.call(node, "reserve", body=b"12.50", key=key))
        effects = [e["key"] for e in self.fleet.effects() if e["key"].startswith(key)]
        self.assertEqual(len(effects), len(set(effects)))
        self.assertNotIn("not-run", self.outcomes(answers))
