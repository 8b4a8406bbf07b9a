"""Planned stops between real processes: no call is cut and peers send nothing new."""

import asyncio
import signal

from bamboo_standins.fault_proxy import ProxyFaults
from tests.matrix.cells import Fault, Step, proves
from tests.processes.base import FleetTestCase, on_fleet

READERS = 6
EDGES = ("bayfinder-1", "reservations-1", "bayfinder-2")
# The promise of the brief: a leaving upstream gets no new work after a few seconds.
NOTICE_SECONDS = 3.0


class LeavingTests(FleetTestCase):
    async def read_until(self, stop: asyncio.Event) -> list[str]:
        """Read through the edge nodes in turn until told to stop; return every outcome."""

        async def read(edge: str) -> list[str]:
            outcomes = []
            while not stop.is_set():
                answer = await self.fleet.call(edge, "occupancy", body=b"summary")
                whole = answer.outcome != "ran" or answer.body == b"summary"
                outcomes.append(answer.outcome if whole else "broken")
            return outcomes

        lists = await asyncio.gather(*(read(EDGES[n % len(EDGES)]) for n in range(READERS)))
        return [outcome for outcomes in lists for outcome in outcomes]

    async def stop_under_load(self, name: str) -> set[str]:
        """Stop a node gracefully while others read through it; return the outcomes seen."""
        stop = asyncio.Event()
        readers = asyncio.create_task(self.read_until(stop))
        await asyncio.sleep(0.5)
        code = await self.fleet.stop_node(name)
        await asyncio.sleep(0.5)
        stop.set()
        outcomes = await readers
        self.assertEqual(code, 0)
        self.assertGreater(len(outcomes), 20)
        return set(outcomes)

    @on_fleet
    async def test_stop_under_load_cuts_nothing(self):
        self.assertEqual(await self.stop_under_load("payments-1"), {"ran"})

    @proves(Fault.PLATFORM_DOWN, Step.DRAIN)
    @on_fleet
    async def test_stop_under_load_with_the_platform_down_cuts_nothing(self):
        await self.fleet.platform_faults(down=True)
        self.assertEqual(await self.stop_under_load("payments-1"), {"ran"})

    @proves(Fault.PLATFORM_SLOW, Step.DRAIN)
    @on_fleet
    async def test_stop_under_load_with_the_platform_slow_cuts_nothing(self):
        await self.fleet.platform_faults(delay_seconds=10.0)
        self.assertEqual(await self.stop_under_load("payments-2"), {"ran"})

    @proves(Fault.DEEP_SERVICE_SLOW, Step.DRAIN)
    @on_fleet
    async def test_running_charge_is_finished_before_the_node_ends(self):
        key, charge, gate = await self.running_charge(1.0)
        code = await self.fleet.stop_node(gate)
        answer = await charge
        self.assertEqual((code, answer.outcome), (0, "ran"))
        self.assert_consistent(key, ["ran"])

    @proves(Fault.SURGE, Step.DRAIN)
    @on_fleet
    async def test_queued_charges_are_handed_back_as_not_run_and_run_elsewhere(self):
        await self.slow_payments(0.3)
        keys = [await self.new_key("bayfinder-1") for _ in range(10)]
        charges = [asyncio.create_task(self.charge("bayfinder-1", key)) for key in keys]
        gate = await self.running_gate()
        await self.fleet.stop_node(gate)
        answers = await asyncio.gather(*charges)
        for key, answer in zip(keys, answers, strict=True):
            self.assertNotEqual(answer.outcome, "unknown")
            self.assert_consistent(key, [answer.outcome])

    @proves(Fault.PLATFORM_ANSWER_LOST, Step.DRAIN)
    @on_fleet
    async def test_stop_with_a_lost_answer_of_the_platform_cuts_nothing(self):
        await self.fleet.platform_faults(lose_answers=1)
        self.assertEqual(await self.stop_under_load("payments-1"), {"ran"})

    @proves(Fault.HOLDER_PAUSED, Step.DRAIN)
    @on_fleet
    async def test_node_paused_during_its_stop_still_ends_and_runs_nothing_twice(self):
        key, charge, gate = await self.running_charge(0.5)
        self.fleet.signal_node(gate, signal.SIGTERM)
        self.pause(gate)
        await asyncio.sleep(2.0)
        self.resume(gate)
        code = await asyncio.wait_for(self.fleet.by_instance[gate].node.wait(), 30)
        self.assertEqual(code, 0)
        answer = await charge
        self.assert_consistent(key, [answer.outcome])

    @proves(Fault.NODE_CRASH, Step.DRAIN)
    @on_fleet
    async def test_node_killed_during_its_stop(self):
        key, charge, gate = await self.running_charge(0.8)
        self.fleet.signal_node(gate, signal.SIGTERM)
        await asyncio.sleep(0.2)
        await self.fleet.kill_node(gate)
        answer = await charge
        outcomes = await self.charge_until_ran(EDGES, key, 10)
        self.assert_consistent(key, [answer.outcome, *outcomes])

    @proves(Fault.UPSTREAM_CRASH, Step.DRAIN)
    @on_fleet
    async def test_upstream_killed_during_the_stop(self):
        key, charge, gate = await self.running_charge(0.8)
        self.fleet.signal_node(gate, signal.SIGTERM)
        await self.fleet.kill_upstream(gate)
        answer = await charge
        self.assertEqual(answer.outcome, "unknown")
        code = await asyncio.wait_for(self.fleet.by_instance[gate].node.wait(), 30)
        self.assertEqual(code, 0)
        self.assert_consistent(key, [answer.outcome])

    @proves(Fault.LINK_CUT, Step.DRAIN)
    @on_fleet
    async def test_links_cut_during_the_stop(self):
        key, charge, gate = await self.running_charge(0.8)
        self.fleet.signal_node(gate, signal.SIGTERM)
        self.fleet.by_instance[gate].proxy.set_faults(ProxyFaults(cut=True))
        answer = await charge
        outcomes = await self.charge_until_ran(EDGES, key, 10)
        self.assert_consistent(key, [answer.outcome, *outcomes])

    @proves(Fault.DATA_CENTRE_CUT, Step.DRAIN)
    @on_fleet
    async def test_stop_inside_a_cut_off_data_centre_cuts_no_call_there(self):
        self.fleet.cut_data_centre("north")
        await self.fleet.platform_faults(down=True)
        stop = asyncio.Event()

        async def read() -> list[str]:
            outcomes = []
            while not stop.is_set():
                answer = await self.fleet.call("bayfinder-2", "occupancy", body=b"x")
                outcomes.append(answer.outcome)
            return outcomes

        reader = asyncio.create_task(read())
        await asyncio.sleep(0.5)
        await self.fleet.stop_node("bayfinder-1")
        await asyncio.sleep(0.5)
        stop.set()
        self.assertEqual(set(await reader), {"ran"})

    @on_fleet
    async def test_leaving_upstream_gets_no_new_work_after_the_notice(self):
        await self.fleet.platform_faults(down=True)
        await self.slow_payments(6.0)
        holding = asyncio.create_task(self.fleet.call("bayfinder-1", "occupancy", deadline_ms=9000))
        gate = await self.running_gate()
        self.fleet.signal_node(gate, signal.SIGTERM)
        await asyncio.sleep(NOTICE_SECONDS)
        await self.slow_payments(0.005)
        answers = [await self.fleet.call(edge, "occupancy") for edge in EDGES * 5]
        self.assertNotIn(gate, {answer.headers.get("Upstream-Instance") for answer in answers})
        self.assertEqual({answer.outcome for answer in answers}, {"ran"})
        self.assertEqual((await holding).outcome, "ran")

    @on_fleet
    async def test_upstream_stopped_under_its_node_cuts_nothing(self):
        stop = asyncio.Event()
        readers = asyncio.create_task(self.read_until(stop))
        await asyncio.sleep(0.5)
        upstream = self.fleet.by_instance["payments-1"].upstream
        upstream.terminate()
        await upstream.wait()
        await asyncio.sleep(0.5)
        stop.set()
        self.assertEqual(set(await readers), {"ran"})

    @on_fleet
    async def test_node_and_then_its_upstream_stopped_cuts_nothing(self):
        stop = asyncio.Event()
        readers = asyncio.create_task(self.read_until(stop))
        await asyncio.sleep(0.5)
        await self.fleet.stop_node("payments-1")
        upstream = self.fleet.by_instance["payments-1"].upstream
        upstream.terminate()
        await upstream.wait()
        await asyncio.sleep(0.5)
        stop.set()
        self.assertEqual(set(await readers), {"ran"})

    @on_fleet
    async def test_data_centre_stopped_node_by_node_cuts_nothing(self):
        stop = asyncio.Event()

        async def read() -> list[str]:
            outcomes = []
            while not stop.is_set():
                answer = await self.fleet.call("bayfinder-1", "occupancy", body=b"x")
                outcomes.append(answer.outcome)
            return outcomes

        readers = [asyncio.create_task(read()) for _ in range(READERS)]
        south = [
            name
            for name, each in self.fleet.by_instance.items()
            if each.plan.data_centre == "south"
        ]
        await asyncio.sleep(0.5)
        for name in south:
            self.assertEqual(await self.fleet.stop_node(name), 0)
        await asyncio.sleep(0.5)
        stop.set()
        outcomes = {outcome for outcomes in await asyncio.gather(*readers) for outcome in outcomes}
        self.assertEqual(outcomes, {"ran"})
