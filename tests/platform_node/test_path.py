"""Requests through complete platform nodes, with a stand-in store and stand-in upstreams."""

import asyncio
from dataclasses import replace
from unittest import mock

from result import Err, Ok

from bamboojunction.core.admission.breaker import PROBE_INTERVAL_SECONDS
from bamboojunction.core.load_reports import AdmissionLevel, LoadReport, RankFraction
from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.poison.decisions import Ban
from bamboojunction.core.retries.fleet_budget import FleetRetryBudget
from tests.platform_node.base import FleetTestCase
from tests.platform_node.fleet import configuration, route


class SheddingEdgeShedder:
    """An edge shedder that admits the first two checks and sheds the rest."""

    def __init__(self):
        self.checks = 0

    def check(self, services, rank, action, now):
        self.checks += 1
        return None if self.checks <= 2 else NotRun(NotRunReason.SHED_AT_EDGE)

    def record_report(self, *arguments):
        pass


class PathTests(FleetTestCase):
    async def test_without_a_configuration_requests_are_refused_and_the_node_is_not_ready(self):
        self.assertEqual(await self.fleet.readiness_status("a"), 503)
        status, headers, _ = await self.fleet.request("a", "/menu/x")
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)

    async def test_upload_reaches_the_upstream_of_another_node_whole(self):
        upload = route("r-upload", "/upload/", "billing", kind="upload")
        await self.fleet.configure(
            configuration(3, upload) | {"limits": {"max_body_bytes": 64_000_000}}
        )
        await self.fleet.join()
        body = "x" * 360_000
        status, _, text = await self.fleet.request("a", "/upload/1", "POST", data=body)
        self.assertEqual((status, text), (200, f"POST /upload/1 {body}"))
        for machine in self.fleet.machines.values():
            self.assertEqual(machine.node.body_memory.held_bytes, 0)

    async def test_upload_that_finds_no_memory_at_the_gate_is_refused_as_not_run(self):
        upload = route("r-upload", "/upload/", "billing", kind="upload")
        await self.fleet.configure(configuration(3, upload))
        await self.fleet.join()
        self.fleet.machines["c"].node.body_memory.limit_bytes = 50_000
        status, headers, _ = await self.fleet.request("a", "/upload/1", "POST", data="x" * 60_000)
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)
        self.assertEqual(self.upstream("c").executed, [])

    async def test_upstreams_that_refuse_everything_get_only_probes_until_they_accept(self):
        await self.configure_and_join()
        for name in ("a", "b"):
            self.upstream(name).is_refusing = True
        started = asyncio.get_running_loop().time()
        for number in range(200):
            status, _, _ = await self.fleet.request("c", f"/menu/{number}")
            self.assertEqual(status, 503)
            await asyncio.sleep(0.01)
        elapsed = asyncio.get_running_loop().time() - started
        refused = self.upstream("a").refused + self.upstream("b").refused
        # Each breaker opens within half a second, which 50 requests a second and node fill.
        probes = 2 * (elapsed - 0.5) / PROBE_INTERVAL_SECONDS
        self.assertLess(refused, 2 * 50 + probes)
        for name in ("a", "b"):
            self.upstream(name).is_refusing = False
        async with asyncio.timeout(3.0):
            while (await self.fleet.request("c", "/menu/x"))[0] != 200:
                await asyncio.sleep(0.05)

    async def test_request_reaches_the_service_of_its_route_unchanged(self):
        await self.configure_and_join()
        self.assertEqual(await self.fleet.readiness_status("a"), 200)
        status, headers, text = await self.fleet.request("a", "/pay/x%2Fy?q=%20z", "POST", data="b")
        self.assertEqual((status, text), (200, "POST /pay/x%2Fy?q=%20z b"))
        self.assertEqual(headers["Bamboojunction-Server-Stamp"], "s")
        sent = self.upstream("c").headers[0]
        self.assertEqual(sent["Bamboojunction-Caller-Service"], "menu")
        self.assertLessEqual(int(sent["Bamboojunction-Deadline-Ms"]), 1500)

    async def run_with_child_call(self, is_refused: bool, child_status: int) -> int:
        """Return how often a read ran that failed after a child call that was refused or ran."""
        await self.fleet.configure(
            configuration(
                3,
                route("r-menu", "/menu/", "menu"),
                route("r-bill", "/bill/", "billing", attempts=1),
            )
        )
        await self.fleet.join()
        parents = [self.upstream(name) for name in ("a", "b")]
        for parent in parents:
            parent.may_respond.clear()
        self.upstream("c").is_refusing = is_refused
        self.upstream("c").status = child_status
        headers = {"Bamboojunction-Request-Id": "root"}
        answer = asyncio.create_task(self.fleet.request("c", "/menu/x", headers=headers))
        await self.fleet.wait_until(lambda: any(parent.executed for parent in parents))
        name = "a" if self.upstream("a").executed else "b"
        child_headers = {"Bamboojunction-Request-Id": "root.1"}
        status, _, _ = await self.fleet.request(name, "/bill/x", headers=child_headers)
        self.assertEqual(status, 503 if is_refused else child_status)
        for parent in parents:
            parent.status = 500
            parent.may_respond.set()
        self.assertEqual((await answer)[0], 500)
        return sum(len(parent.executed) for parent in parents)

    async def test_run_that_failed_for_a_refused_child_call_is_not_repeated(self):
        self.assertEqual(await self.run_with_child_call(True, 200), 1)

    async def test_run_that_failed_beside_a_failed_child_call_is_repeated(self):
        self.assertEqual(await self.run_with_child_call(False, 500), 2)

    async def test_run_that_failed_by_itself_is_repeated(self):
        self.assertEqual(await self.run_with_child_call(False, 200), 2)

    async def test_first_gate_of_a_chain_refuses_it_while_a_service_below_sheds(self):
        await self.configure_and_join()
        closed = LoadReport(level=AdmissionLevel((RankFraction(1, 0.0),)))
        now = asyncio.get_running_loop().time()
        for name in ("a", "b"):
            gate = self.fleet.machines[name].node.gate
            gate.dependencies.record_answer("r-menu", "billing", None, None)
            gate.edge.record_report("billing", "c", closed, now, depth=1)
        answers = [await self.fleet.request("c", f"/menu/{number}") for number in range(20)]
        refused = [headers for status, headers, _ in answers if status == 503]
        # One in fifty finds out when the service takes calls again.
        self.assertGreaterEqual(len(refused), 17)
        self.assertTrue(all(float(headers["Retry-After"]) > 0.0 for headers in refused))
        executed = len(self.upstream("a").executed) + len(self.upstream("b").executed)
        self.assertEqual(executed, 20 - len(refused))

    async def test_unknown_routes_are_not_found(self):
        await self.configure_and_join()
        status, _, _ = await self.fleet.request("a", "/none/x")
        self.assertEqual(status, 404)

    async def test_newer_configuration_is_in_force_and_older_ones_never_again(self):
        await self.configure_and_join()
        await self.fleet.configure(configuration(5, route("r-menu", "/menu/", "billing")))
        await self.fleet.request("a", "/menu/x")
        self.assertEqual(len(self.upstream("c").executed), 1)
        status, _, _ = await self.fleet.request("a", "/pay/x", "POST")
        self.assertEqual(status, 404)

    async def test_failed_idempotent_request_is_served_by_another_instance(self):
        await self.configure_and_join()
        self.upstream("a").status = 500
        statuses = [(await self.fleet.request("a", "/menu/x"))[0] for _ in range(10)]
        self.assertEqual(set(statuses), {200})

    async def test_lost_responses_of_reads_are_repeated_within_the_retry_budget(self):
        """Lost responses were repeated at the same upstream outside the fleet's retry limit."""
        await self.configure_and_join()
        requests = 40
        for _ in range(requests):
            await self.fleet.request("c", "/menu/x")
        for name in ("a", "b"):
            self.upstream(name).executed.clear()
            self.upstream(name).drops_responses = True
        granted = [True] * 3 + [False] * requests
        with mock.patch.object(FleetRetryBudget, "spend", side_effect=granted):
            for number in range(requests):
                status, _, _ = await self.fleet.request("c", f"/menu/{number}")
                self.assertEqual(status, 502)
        arrivals = len(self.upstream("a").executed) + len(self.upstream("b").executed)
        self.assertLessEqual(arrivals, requests + 3)

    async def test_read_whose_response_was_lost_is_served_by_another_instance(self):
        await self.configure_and_join()
        for _ in range(10):
            await self.fleet.request("c", "/menu/x")
        self.upstream("a").drops_responses = True
        statuses = [(await self.fleet.request("c", f"/menu/{n}"))[0] for n in range(10)]
        self.assertEqual(set(statuses), {200})

    async def test_request_that_crashes_its_upstreams_is_banned_after_two_crashes(self):
        """Each copy of such a request ended all upstreams of its service."""
        await self.configure_and_join()
        for name in ("a", "b"):
            self.upstream(name).crash_path = "/menu/crash"
        self.assertEqual((await self.fleet.request("c", "/menu/crash"))[0], 502)
        nodes = [self.fleet.machines[name].node for name in ("a", "b")]
        now = asyncio.get_running_loop().time()
        await self.fleet.wait_until(lambda: all(node.gate._guard.bans(now) for node in nodes))
        status, headers, text = await self.fleet.request("c", "/menu/crash")
        self.assertEqual((status, text), (503, "poisoned\n"))
        self.assertGreater(float(headers["Retry-After"]), 1.0)

    async def test_node_that_starts_again_learns_the_bans_in_force(self):
        await self.configure_and_join()
        loop = asyncio.get_running_loop()
        ban = Ban(7, loop.time() + 60.0)
        self.fleet.machines["b"].node.gate._guard.apply_finding(ban, loop.time())
        restarted = self.fleet.machines["a"]
        await restarted.restart_node()
        await self.fleet.send_heartbeat("a")
        await self.fleet.wait_until(lambda: restarted.node.gate._guard.bans(loop.time()))

    async def test_lost_response_is_no_crash(self):
        await self.configure_and_join()
        for name in ("a", "b"):
            self.upstream(name).drops_responses = True
        for _ in range(5):
            self.assertEqual((await self.fleet.request("c", "/menu/x"))[0], 502)
        for name in ("a", "b"):
            guard = self.fleet.machines[name].node.gate._guard
            self.assertEqual(guard._suspects_by_fingerprint, {})

    async def test_retry_is_not_shed_at_the_edge(self):
        await self.configure_and_join()
        self.upstream("a").status = self.upstream("b").status = 500
        self.fleet.machines["c"].node.forwarder._edge_shedder = SheddingEdgeShedder()
        await self.fleet.request("c", "/menu/x")
        self.assertEqual(len(self.upstream("a").executed) + len(self.upstream("b").executed), 2)

    async def test_lost_response_of_a_non_idempotent_request_is_not_retried(self):
        await self.configure_and_join()
        self.upstream("c").drops_responses = True
        status, _, _ = await self.fleet.request("a", "/pay/x", "POST")
        self.assertEqual(status, 502)
        self.assertEqual(len(self.upstream("c").executed), 1)

    async def test_deadline_ends_the_wait(self):
        await self.configure_and_join()
        self.upstream("c").may_respond.clear()
        status, _, _ = await self.fleet.request("a", "/pay/x", "POST")
        # On a busy machine the deadline may expire before the upstream gets the request.
        self.assertEqual(status, 504 if self.upstream("c").executed else 503)

    async def test_caller_disconnect_cancels_the_call(self):
        await self.configure_and_join()
        self.upstream("c").may_respond.clear()
        request = asyncio.create_task(self.fleet.request("a", "/pay/x", "POST"))
        await self.fleet.wait_until(lambda: self.upstream("c").executed)
        request.cancel()
        gate = self.fleet.machines["c"].node.gate
        await self.fleet.wait_until(lambda: gate.report().in_flight == 0)

    async def test_store_that_loses_an_announcement_gets_it_again(self):
        await self.configure_and_join()
        found = (await self.fleet.client.get("upstreams", "a")).unwrap()
        (await self.fleet.client.delete("upstreams", "a", found.version)).unwrap()
        names: list[str] = []
        async with asyncio.timeout(10.0):
            while "a" not in names:
                listed = (await self.fleet.client.list("upstreams")).unwrap()
                names = [item.name for item in listed.objects]
                await asyncio.sleep(0.02)

    async def test_settings_that_cannot_be_used_change_nothing(self):
        node = self.fleet.machines["a"].node
        settings = node.settings
        node.reload(Err("the file cannot be read"))
        self.assertIs(node.settings, settings)
        node.reload(Ok(replace(settings, stop_seconds=5.0)))
        self.assertEqual(node.settings.stop_seconds, 5.0)
