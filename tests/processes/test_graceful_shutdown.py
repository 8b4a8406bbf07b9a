"""Tests that a planned stop interrupts no call and that peers send no new calls to the node."""

import asyncio
import signal

from bamboo_standins.fault_proxy import ProxyFaults
from tests.matrix.cells import Fault, Step, covers
from tests.processes.base import FleetTestCase, run_on_fleet_loop

READER_COUNT = 6
EDGE_NODES = ("bayfinder-1", "reservations-1", "bayfinder-2")
# Within this time of its SIGTERM, all peers must stop sending new calls to a draining node.
DRAIN_PROPAGATION_SECONDS = 3.0


class LeavingTests(FleetTestCase):
    async def read_until_stopped(self, stop_reading: asyncio.Event) -> list[str]:
        """Send reads through all edge nodes until the event is set; return every outcome.

        A read that ran but returned another body counts as broken.
        """

        async def read(edge: str) -> list[str]:
            outcomes = []
            while not stop_reading.is_set():
                answer = await self.fleet.call(edge, "occupancy", body=b"summary")
                is_intact = answer.outcome != "ran" or answer.body == b"summary"
                outcomes.append(answer.outcome if is_intact else "broken")
            return outcomes

        outcome_lists = await asyncio.gather(
            *(read(EDGE_NODES[number % len(EDGE_NODES)]) for number in range(READER_COUNT))
        )
        return [outcome for outcomes in outcome_lists for outcome in outcomes]

    async def stop_under_load(self, name: str) -> set[str]:
        """Stop a node gracefully while reads are sent; return the set of their outcomes."""
        stop_reading = asyncio.Event()
        readers = asyncio.create_task(self.read_until_stopped(stop_reading))
        await asyncio.sleep(0.5)
        code = await self.fleet.stop_node(name)
        await asyncio.sleep(0.5)
        stop_reading.set()
        outcomes = await readers
        self.assertEqual(code, 0)
        self.assertGreater(len(outcomes), 20)
        return set(outcomes)

    @run_on_fleet_loop
    async def test_stop_under_load_interrupts_no_call(self):
        self.assertEqual(await self.stop_under_load("payments-1"), {"ran"})

    @covers(Fault.PLATFORM_DOWN, Step.DRAIN)
    @run_on_fleet_loop
    async def test_stop_under_load_with_the_platform_down_interrupts_no_call(self):
        await self.fleet.set_platform_faults(down=True)
        self.assertEqual(await self.stop_under_load("payments-1"), {"ran"})

    @covers(Fault.PLATFORM_SLOW, Step.DRAIN)
    @run_on_fleet_loop
    async def test_stop_under_load_with_the_platform_slow_interrupts_no_call(self):
        await self.fleet.set_platform_faults(delay_seconds=10.0)
        self.assertEqual(await self.stop_under_load("payments-2"), {"ran"})

    @covers(Fault.DEEP_SERVICE_SLOW, Step.DRAIN)
    @run_on_fleet_loop
    async def test_running_charge_finishes_before_the_node_exits(self):
        key, charge, gate = await self.start_running_charge(1.0)
        code = await self.fleet.stop_node(gate)
        answer = await charge
        self.assertEqual((code, answer.outcome), (0, "ran"))
        self.assert_outcomes_match_effects(key, ["ran"])

    @covers(Fault.SURGE, Step.DRAIN)
    @run_on_fleet_loop
    async def test_queued_charges_of_a_draining_node_are_not_run_or_run_elsewhere(self):
        await self.slow_down_payments(0.3)
        keys = [await self.new_key("bayfinder-1") for _ in range(10)]
        charges = [asyncio.create_task(self.charge("bayfinder-1", key)) for key in keys]
        gate = await self.wait_for_running_gate()
        await self.fleet.stop_node(gate)
        answers = await asyncio.gather(*charges)
        for key, answer in zip(keys, answers, strict=True):
            self.assertNotEqual(answer.outcome, "unknown")
            self.assert_outcomes_match_effects(key, [answer.outcome])

    @covers(Fault.PLATFORM_ANSWER_LOST, Step.DRAIN)
    @run_on_fleet_loop
    async def test_stop_with_a_lost_platform_answer_interrupts_no_call(self):
        await self.fleet.set_platform_faults(lose_answers=1)
        self.assertEqual(await self.stop_under_load("payments-1"), {"ran"})

    @covers(Fault.NODE_PAUSED, Step.DRAIN)
    @run_on_fleet_loop
    async def test_node_paused_during_its_stop_still_exits_and_runs_nothing_twice(self):
        key, charge, gate = await self.start_running_charge(0.5)
        self.fleet.signal_node(gate, signal.SIGTERM)
        self.pause(gate)
        await asyncio.sleep(2.0)
        self.resume(gate)
        code = await asyncio.wait_for(self.fleet.running_by_instance[gate].node.wait(), 30)
        self.assertEqual(code, 0)
        answer = await charge
        self.assert_outcomes_match_effects(key, [answer.outcome])

    @covers(Fault.NODE_CRASH, Step.DRAIN)
    @run_on_fleet_loop
    async def test_node_killed_during_its_stop(self):
        key, charge, gate = await self.start_running_charge(0.8)
        self.fleet.signal_node(gate, signal.SIGTERM)
        await asyncio.sleep(0.2)
        await self.fleet.kill_node(gate)
        answer = await charge
        outcomes = await self.resend_until_ran(EDGE_NODES, key, 10)
        self.assert_outcomes_match_effects(key, [answer.outcome, *outcomes])

    @covers(Fault.UPSTREAM_CRASH, Step.DRAIN)
    @run_on_fleet_loop
    async def test_upstream_killed_during_the_stop(self):
        key, charge, gate = await self.start_running_charge(0.8)
        self.fleet.signal_node(gate, signal.SIGTERM)
        await self.fleet.kill_upstream(gate)
        answer = await charge
        self.assertEqual(answer.outcome, "unknown")
        code = await asyncio.wait_for(self.fleet.running_by_instance[gate].node.wait(), 30)
        self.assertEqual(code, 0)
        self.assert_outcomes_match_effects(key, [answer.outcome])

    @covers(Fault.LINK_CUT, Step.DRAIN)
    @run_on_fleet_loop
    async def test_links_cut_during_the_stop(self):
        key, charge, gate = await self.start_running_charge(0.8)
        self.fleet.signal_node(gate, signal.SIGTERM)
        self.fleet.running_by_instance[gate].proxy.set_faults(ProxyFaults(cut=True))
        answer = await charge
        outcomes = await self.resend_until_ran(EDGE_NODES, key, 10)
        self.assert_outcomes_match_effects(key, [answer.outcome, *outcomes])

    @covers(Fault.DATA_CENTRE_CUT, Step.DRAIN)
    @run_on_fleet_loop
    async def test_stop_in_a_cut_off_data_centre_interrupts_no_call_there(self):
        self.fleet.cut_data_centre("north")
        await self.fleet.set_platform_faults(down=True)
        stop_reading = asyncio.Event()

        async def read() -> list[str]:
            outcomes = []
            while not stop_reading.is_set():
                answer = await self.fleet.call("bayfinder-2", "occupancy", body=b"x")
                outcomes.append(answer.outcome)
            return outcomes

        reader = asyncio.create_task(read())
        await asyncio.sleep(0.5)
        await self.fleet.stop_node("bayfinder-1")
        await asyncio.sleep(0.5)
        stop_reading.set()
        self.assertEqual(set(await reader), {"ran"})

    @run_on_fleet_loop
    async def test_draining_node_gets_no_new_calls_after_the_propagation_time(self):
        await self.fleet.set_platform_faults(down=True)
        await self.slow_down_payments(6.0)
        running_call = asyncio.create_task(
            self.fleet.call("bayfinder-1", "occupancy", deadline_ms=9000)
        )
        gate = await self.wait_for_running_gate()
        self.fleet.signal_node(gate, signal.SIGTERM)
        await asyncio.sleep(DRAIN_PROPAGATION_SECONDS)
        await self.slow_down_payments(0.005)
        answers = [await self.fleet.call(edge, "occupancy") for edge in EDGE_NODES * 5]
        self.assertNotIn(gate, {answer.headers.get("Upstream-Instance") for answer in answers})
        self.assertEqual({answer.outcome for answer in answers}, {"ran"})
        self.assertEqual((await running_call).outcome, "ran")

    @run_on_fleet_loop
    async def test_upstream_stopped_before_its_node_interrupts_no_call(self):
        stop_reading = asyncio.Event()
        readers = asyncio.create_task(self.read_until_stopped(stop_reading))
        await asyncio.sleep(0.5)
        upstream = self.fleet.running_by_instance["payments-1"].upstream
        upstream.terminate()
        await upstream.wait()
        await asyncio.sleep(0.5)
        stop_reading.set()
        self.assertEqual(set(await readers), {"ran"})

    @run_on_fleet_loop
    async def test_node_and_then_its_upstream_stopped_interrupt_no_call(self):
        stop_reading = asyncio.Event()
        readers = asyncio.create_task(self.read_until_stopped(stop_reading))
        await asyncio.sleep(0.5)
        await self.fleet.stop_node("payments-1")
        upstream = self.fleet.running_by_instance["payments-1"].upstream
        upstream.terminate()
        await upstream.wait()
        await asyncio.sleep(0.5)
        stop_reading.set()
        self.assertEqual(set(await readers), {"ran"})

    @run_on_fleet_loop
    async def test_data_centre_stopped_node_by_node_interrupts_no_call(self):
        stop_reading = asyncio.Event()

        async def read() -> list[str]:
            outcomes = []
            while not stop_reading.is_set():
                answer = await self.fleet.call("bayfinder-1", "occupancy", body=b"x")
                outcomes.append(answer.outcome)
            return outcomes

        readers = [asyncio.create_task(read()) for _ in range(READER_COUNT)]
        south_instances = [
            name
            for name, running in self.fleet.running_by_instance.items()
            if running.plan.data_centre == "south"
        ]
        await asyncio.sleep(0.5)
        for name in south_instances:
            self.assertEqual(await self.fleet.stop_node(name), 0)
        await asyncio.sleep(0.5)
        stop_reading.set()
        outcomes = {outcome for outcomes in await asyncio.gather(*readers) for outcome in outcomes}
        self.assertEqual(outcomes, {"ran"})
