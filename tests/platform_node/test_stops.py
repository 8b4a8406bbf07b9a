"""Upstreams that leave, and nodes that stop, with complete platform nodes."""

import asyncio
import itertools
from unittest import mock

from bamboo_standins.platform import StoreFaults
from bamboojunction.core.graceful_shutdown import DURATION_SAMPLES_MIN
from bamboojunction.core.pause_detector import (
    PAUSE_CHECK_INTERVAL_SECONDS,
    PAUSE_MIN_SECONDS,
)
from bamboojunction.platform_node.process import CALLER_DRAIN_SECONDS, PlatformNode
from tests.platform_node.base import FleetTestCase
from tests.platform_node.fleet import configuration, route


class StopTests(FleetTestCase):
    async def test_draining_upstream_gets_nothing_after_the_acknowledgement(self):
        await self.configure_and_join()
        self.assertEqual(await self.fleet.send_heartbeat("a", "draining"), 200)
        before = len(self.upstream("a").executed)
        for _ in range(10):
            status, _, _ = await self.fleet.request("a", "/menu/x")
            self.assertEqual(status, 200)
        self.assertEqual(len(self.upstream("a").executed), before)

    async def test_departed_upstream_stays_out_of_use_after_its_node_restarted(self):
        """A restarted node took a late heartbeat for that of a new upstream."""
        await self.configure_and_join()
        for leave in (
            lambda: self.fleet.send_heartbeat("a", "draining"),
            lambda: self.fleet.send_departure("a"),
        ):
            machine = self.fleet.machines["a"]
            late_sequence = next(machine.sequence)
            self.assertEqual(await leave(), 200)
            await machine.restart_node()
            machine.sequence = itertools.chain([late_sequence], machine.sequence)
            self.assertEqual(await self.fleet.send_heartbeat("a"), 200)
            local_upstream = machine.node.local_upstream
            await self.fleet.wait_until(lambda found=local_upstream: found.are_departures_known)
            self.assertFalse(local_upstream.is_serving)

    async def test_calls_to_a_node_that_started_slowly_keep_their_time(self):
        """Calls to a node that had just started were refused, as if they had waited for it."""
        machine = self.fleet.machines["a"]
        await machine.node.close()
        machine.node = PlatformNode(machine.settings, machine.log_descriptor)
        await asyncio.sleep(2 * PAUSE_MIN_SECONDS)
        await machine.node.start()
        now = asyncio.get_running_loop().time()
        self.assertEqual(machine.node._pause_detector.max_message_age(now), 0.0)

    async def test_upstream_that_outlives_its_node_serves_again(self):
        await self.configure_and_join()
        machine = self.fleet.machines["a"]
        await machine.restart_node()
        await self.fleet.send_heartbeat("a")
        await self.fleet.wait_until(lambda: machine.node.local_upstream.is_serving)

    async def test_departure_is_acknowledged_and_binds_while_the_store_is_down(self):
        await self.configure_and_join()
        await self.fleet.platform.set_faults(StoreFaults(refuse_status=503))
        self.assertEqual(await self.fleet.send_departure("a"), 200)
        self.assertFalse(self.fleet.machines["a"].node.local_upstream.is_serving)

    async def test_stopping_node_serves_at_its_gate_until_its_callers_left(self):
        await self.configure_and_join()
        stopping = asyncio.create_task(self.fleet.machines["c"].node.stop())
        await asyncio.sleep(0.1)
        self.assertEqual(await self.fleet.readiness_status("c"), 503)
        await self.fleet.send_heartbeat("c")
        status, _, _ = await self.fleet.request("a", "/pay/x", "POST")
        self.assertEqual(status, 200)
        await stopping

    async def test_stopping_node_finishes_accepted_requests_and_then_refuses_at_its_gate(self):
        await self.configure_and_join()
        # A call of unknown length would be refused, as it may take until its deadline.
        await self.fleet.request("a", "/pay/x", "POST")
        self.upstream("c").executed.clear()
        self.upstream("c").may_respond.clear()
        loop = asyncio.get_running_loop()
        drained_at = loop.time() + CALLER_DRAIN_SECONDS + 2 * PAUSE_CHECK_INTERVAL_SECONDS
        stopping = asyncio.create_task(self.fleet.machines["a"].node.stop())
        await asyncio.sleep(CALLER_DRAIN_SECONDS - 0.8)
        self.assertEqual(await self.fleet.readiness_status("a"), 503)
        running = asyncio.create_task(self.fleet.request("a", "/pay/x", "POST"))
        await self.fleet.wait_until(lambda: self.upstream("c").executed)
        await asyncio.sleep(drained_at - loop.time())
        await self.fleet.send_heartbeat("a")
        before = len(self.upstream("a").executed)
        for _ in range(5):
            status, _, _ = await self.fleet.request("b", "/menu/x")
            self.assertEqual(status, 200)
        self.assertEqual(len(self.upstream("a").executed), before)
        self.upstream("c").may_respond.set()
        self.assertEqual((await running)[0], 200)
        await stopping

    async def stop_with_calls_of(
        self, name: str, seconds: float, count: int = DURATION_SAMPLES_MIN
    ) -> asyncio.Task:
        """Begin to stop a node that knows of so many calls which took this long."""
        node = self.fleet.machines[name].node
        now = asyncio.get_running_loop().time()
        for kind in ("r-menu", "r-pay") * count:
            node.gate._durations.record(kind, seconds, now)
            node.app._durations.record(kind, seconds, now)
        stopping = asyncio.create_task(node.stop())
        await self.fleet.wait_until(lambda: node.app.is_stopping)
        return stopping

    async def send_long_charge(self, name: str, request_id: str = "charge", milliseconds=10_000):
        headers = {
            "Bamboojunction-Request-Id": request_id,
            "Bamboojunction-Deadline-Ms": str(milliseconds),
        }
        return await self.fleet.request(name, "/pay/x", "POST", headers=headers)

    async def configure_long_charges(self, menu_attempts: int = 2) -> None:
        pay = route("r-pay", "/pay/", "billing", kind="non_idempotent", timeout_ms=10_000)
        menu = route("r-menu", "/menu/", "menu", timeout_ms=10_000, attempts=menu_attempts)
        await self.fleet.configure(configuration(3, menu, pay))
        await self.fleet.join()

    async def test_stopping_gate_refuses_calls_that_it_could_not_finish(self):
        """Calls that peers had handed to a stopping gate were cut off when it closed."""
        await self.configure_long_charges()
        stopping = await self.stop_with_calls_of("c", 5.0)
        self.assertEqual((await self.send_long_charge("a"))[0], 503)
        self.assertEqual(self.upstream("c").executed, [])
        await stopping

    async def test_stopping_gate_refuses_charges_whose_deadline_it_would_not_reach(self):
        """A charge that outlasted the recent ones was cut off when the gate of its peer closed."""
        await self.configure_long_charges()
        stopping = await self.stop_with_calls_of("c", 0.2)
        self.assertEqual((await self.send_long_charge("a"))[0], 503)
        self.assertEqual(self.upstream("c").executed, [])
        await stopping

    async def test_stopping_gate_serves_calls_that_it_can_finish(self):
        await self.configure_long_charges()
        headers = {"Bamboojunction-Deadline-Ms": "10000"}
        stops = [await self.stop_with_calls_of(name, 0.2) for name in "abc"]
        self.assertEqual((await self.send_long_charge("c", milliseconds=1000))[0], 200)
        self.assertEqual((await self.fleet.request("c", "/menu/x", headers=headers))[0], 200)
        await asyncio.gather(*stops)

    async def test_stopping_gate_that_knows_few_calls_relies_on_their_deadline(self):
        """A process that had just started expected long calls to end as soon as its first ones."""
        await self.configure_long_charges()
        headers = {"Bamboojunction-Deadline-Ms": "10000"}
        stops = [await self.stop_with_calls_of(name, 0.2, count=1) for name in "ab"]
        self.assertEqual((await self.fleet.request("c", "/menu/x", headers=headers))[0], 503)
        self.assertEqual(self.upstream("a").executed + self.upstream("b").executed, [])
        await asyncio.gather(*stops)

    async def test_stopping_gate_refuses_reads_that_may_not_be_repeated(self):
        """A read of a route with one attempt was cut off when the gate of its peer closed."""
        await self.configure_long_charges(menu_attempts=1)
        headers = {"Bamboojunction-Deadline-Ms": "10000"}
        stops = [await self.stop_with_calls_of(name, 0.2) for name in "ab"]
        self.assertEqual((await self.fleet.request("c", "/menu/x", headers=headers))[0], 503)
        await asyncio.gather(*stops)

    async def test_stopping_node_takes_requests_by_one_earlier_call(self):
        """Requests of the rarer kinds were refused to clients that had no other node."""
        await self.configure_long_charges()
        stopping = await self.stop_with_calls_of("a", 0.2, count=1)
        self.assertEqual((await self.send_long_charge("a"))[0], 200)
        await stopping

    async def test_stop_of_a_paused_node_counts_from_its_signal(self):
        """A node that was paused when it was told to stop would have been killed at work."""
        await self.configure_long_charges()
        node = self.fleet.machines["c"].node
        node._pause_detector._last_tick_at -= 3.0
        stopping = asyncio.create_task(node.stop())
        await self.fleet.wait_until(lambda: node.app.is_stopping)
        window = node.gate.stop_window
        self.assertLess(window.closes_at - asyncio.get_running_loop().time(), 5.2 - 2.9)
        await stopping

    async def test_stopping_node_refuses_requests_that_it_could_not_finish(self):
        """Requests taken late in a planned stop were passed on and then cut off."""
        await self.configure_long_charges()
        stopping = await self.stop_with_calls_of("a", 5.0)
        status, headers, _ = await self.send_long_charge("a")
        self.assertEqual((status, self.upstream("c").executed), (503, []))
        self.assertIn("Retry-After", headers)
        await stopping

    async def test_stopping_node_refuses_child_calls_that_it_could_not_finish(self):
        """Child calls of a running call were taken until the node closed, and cut off."""
        await self.configure_long_charges()
        for name in ("a", "b"):
            self.upstream(name).may_respond.clear()
        headers = {"Bamboojunction-Request-Id": "root"}
        parent = asyncio.create_task(self.fleet.request("c", "/menu/x", headers=headers))
        await self.fleet.wait_until(lambda: any(self.upstream(name).executed for name in "ab"))
        name = "a" if self.upstream("a").executed else "b"
        stopping = await self.stop_with_calls_of(name, 5.0)
        self.assertEqual((await self.send_long_charge(name, "root.1"))[0], 503)
        self.assertEqual(self.upstream("c").executed, [])
        for upstream in (self.upstream("a"), self.upstream("b")):
            upstream.may_respond.set()
        self.assertEqual((await parent)[0], 200)
        await stopping

    async def test_request_that_arrives_as_the_node_closes_is_refused(self):
        await self.configure_and_join()
        node = self.fleet.machines["c"].node
        for name in ("a", "b"):
            self.upstream(name).may_respond.clear()
        close, requests = node.close, []

        async def close_late():
            requests.append(asyncio.create_task(self.fleet.request("c", "/menu/x")))
            await asyncio.sleep(0.1)
            await close()

        with mock.patch.object(PlatformNode, "close", lambda _: close_late()):
            await node.stop()
        status, headers, _ = await requests[0]
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertEqual(self.upstream("a").executed + self.upstream("b").executed, [])
