"""Nodes in separate processes export the metrics and spans of a call between them."""

import asyncio
import socket
import tempfile
import unittest
from pathlib import Path

import aiohttp
from aiohttp import web
from opentelemetry.proto.collector.trace.v1.trace_service_pb2 import ExportTraceServiceRequest

from bamboo_standins.process_fleet import InstancePlan, ProcessFleet

TABLE = """kind,rank,weight,effect,deadline_ms,retries,slots_max,services
bay-search,3,10,idempotent,20000,2,0,bayfinder payments
"""
PLANS = [
    InstancePlan("bayfinder-1", "bayfinder", "north", calls="payments:price"),
    InstancePlan("payments-1", "payments", "south"),
]
TRACE_ID = "0af7651916cd43dd8448eb211c80319c"
PARENT_SPAN_ID = "b7ad6b7169203331"


class Collector:
    """An OTLP/HTTP endpoint that collects the spans it receives."""

    def __init__(self):
        self.spans = []

    async def handle(self, request: web.BaseRequest) -> web.Response:
        exported = ExportTraceServiceRequest.FromString(await request.read())
        for resource in exported.resource_spans:
            for scope in resource.scope_spans:
                self.spans += scope.spans
        return web.Response()


class ExportTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.collector = Collector()
        runner = web.ServerRunner(web.Server(self.collector.handle))
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        self.addAsyncCleanup(runner.cleanup)
        self.statsd = self.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        self.statsd.bind(("127.0.0.1", 0))
        self.statsd.setblocking(False)
        settings = (
            f"\n[telemetry]\nstatsd_address = 127.0.0.1:{self.statsd.getsockname()[1]}\n"
            f"trace_endpoint = http://127.0.0.1:{runner.addresses[0][1]}/v1/traces\n"
        )
        self.fleet = ProcessFleet(directory, PLANS, TABLE, extra_settings=settings)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()

    async def test_call_is_counted_at_the_edge_and_its_hops_form_a_chain(self):
        headers = {
            "Bamboo-Kind": "bay-search",
            "traceparent": f"00-{TRACE_ID}-{PARENT_SPAN_ID}-01",
        }
        url = f"http://{self.fleet.running_by_instance['bayfinder-1'].caller_address}/bays"
        async with aiohttp.ClientSession() as session, session.get(url, headers=headers) as answer:
            self.assertEqual(answer.headers["Bamboo-Outcome"], "ran")
        await self.check_metrics()
        await asyncio.gather(*(self.fleet.stop_node(plan.instance) for plan in PLANS))
        self.check_spans()

    async def check_metrics(self) -> None:
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(30):
            lines = (await loop.sock_recv(self.statsd, 65_536)).decode().splitlines()
        prefix = "bamboojunction.north.bayfinder.bayfinder-1."
        self.assertIn(f"{prefix}calls.ran.rank3:1|c", lines)
        self.assertTrue(any(line.startswith(f"{prefix}calls.seconds.rank3:") for line in lines))

    def check_spans(self) -> None:
        spans = [span for span in self.collector.spans if span.trace_id.hex() == TRACE_ID]
        by_parent_id = {span.parent_span_id.hex(): span for span in spans}
        names = []
        parent_id = PARENT_SPAN_ID
        while span := by_parent_id.get(parent_id):
            names.append(span.name)
            parent_id = span.span_id.hex()
        self.assertEqual(names, ["call", "gate", "call", "gate"])
