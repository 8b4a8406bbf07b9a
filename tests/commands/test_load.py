"""A load sends the calls of its plan and summarizes their results."""

import unittest

from aiohttp import web

from bamboojunction.core.table.csvfile import parse_table
from bamboojunction.management.load.client import CallClient, CallEnding, CallResult
from bamboojunction.management.load.plan import CallPlan, KindShare, LoadLimits
from bamboojunction.management.load.runner import LoadRunner
from bamboojunction.management.load.summary import LoadSummary

TABLE = """kind,rank,weight,effect,deadline_ms,retries,slots_max,services
bay-search,3,10,idempotent,3000,2,0,bayfinder
reserve,1,50,once,5000,2,0,reservations
"""
SHARES = (KindShare("bay-search", 3), KindShare("reserve", 1))


class FakeNode:
    """A node that gives every call a fixed answer and records what it received."""

    def __init__(self):
        self.headers: list[dict[str, str]] = []
        self.bodies: list[bytes] = []
        self.paths: list[str] = []
        self.status = 200
        self.answer_headers = {"Bamboo-Outcome": "ran", "Bamboo-Home": "a/1/2"}

    async def handle(self, request: web.BaseRequest) -> web.Response:
        if request.path == "/_bamboo/home":
            return web.Response(text="a/1/1")
        self.headers.append(dict(request.headers))
        self.bodies.append(await request.read())
        self.paths.append(request.path)
        return web.Response(status=self.status, body=b"body", headers=self.answer_headers)


class LoadTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.node = FakeNode()
        runner = web.ServerRunner(web.Server(self.node.handle))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        self.addAsyncCleanup(runner.cleanup)
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        self.client = CallClient(address, connections=4)
        self.addAsyncCleanup(self.client.close)
        self.table = parse_table(TABLE, 1, "").unwrap()

    async def run_load(self, plan: CallPlan, limits: LoadLimits) -> list[CallResult]:
        results: list[CallResult] = []
        await LoadRunner(self.client, plan, limits, results.append).run()
        return results

    async def test_each_call_is_sent_once_in_the_seeded_order(self):
        plan = CallPlan(SHARES, table=self.table)
        results = await self.run_load(plan, LoadLimits(count=40, concurrency=4, seed=7))
        sent = sorted(headers["Bamboo-Kind"] for headers in self.node.headers)
        self.assertEqual(sent, sorted(plan.kinds(40, seed=7)))
        self.assertEqual(len(results), 40)

    async def test_once_kinds_get_distinct_keys_with_the_latest_home(self):
        plan = CallPlan((KindShare("reserve"),), table=self.table)
        await self.run_load(plan, LoadLimits(count=3))
        keys = [headers["Bamboo-Key"] for headers in self.node.headers]
        self.assertEqual(len(set(keys)), 3)
        self.assertEqual([key[:6] for key in keys], ["a/1/1/", "a/1/2/", "a/1/2/"])

    async def test_given_key_is_sent_unchanged(self):
        plan = CallPlan((KindShare("reserve"),), table=self.table, key="a/1/1/mine")
        [result] = await self.run_load(plan, LoadLimits())
        self.assertEqual(self.node.headers[0]["Bamboo-Key"], "a/1/1/mine")
        self.assertEqual(result.key, "a/1/1/mine")

    async def test_calls_differ_by_their_number(self):
        plan = CallPlan(SHARES, path="/bays/{number}", body=b"bay {number}")
        await self.run_load(plan, LoadLimits(count=3))
        self.assertEqual(self.node.bodies, [b"bay 0", b"bay 1", b"bay 2"])
        self.assertEqual(self.node.paths, ["/bays/0", "/bays/1", "/bays/2"])

    async def test_answer_without_an_outcome_is_lost(self):
        self.node.answer_headers = {}
        [result] = await self.run_load(CallPlan(SHARES), LoadLimits())
        self.assertIs(result.ending, CallEnding.LOST)

    async def test_upstream_error_ran_but_is_not_good(self):
        self.node.status = 500
        [result] = await self.run_load(CallPlan(SHARES), LoadLimits())
        self.assertEqual((result.ending, result.succeeded), (CallEnding.RAN, False))


class SummaryTests(unittest.TestCase):
    def setUp(self):
        self.summary = LoadSummary({"reserve": 1, "bay-search": 3})
        self.summary.add(CallResult("bay-search", CallEnding.RAN, 0, 200, seconds=0.004))
        self.summary.add(
            CallResult("bay-search", CallEnding.NOT_RUN, 1, 503, "shed", seconds=0.001)
        )
        self.summary.add(
            CallResult("reserve", CallEnding.UNKNOWN, 2, 504, "lost-link", seconds=0.3)
        )

    def test_statistics_are_by_rank_and_kind(self):
        statistics = self.summary.statistics(seconds=2.0)
        self.assertEqual([(kind.rank, kind.good) for kind in statistics.kinds], [(1, 0), (3, 1)])
        self.assertEqual(statistics.kinds[1].outcomes, {"ran": 1, "not-run shed": 1})
        self.assertEqual(statistics.good_per_second, 0.5)

    def test_histogram_counts_every_call_in_its_bucket(self):
        text = self.summary.render(seconds=2.0)
        self.assertRegex(text, r"up to +1 ms +1 #")
        self.assertRegex(text, r"up to +5 ms +1 #")
        self.assertRegex(text, r"up to +500 ms +1 #")
