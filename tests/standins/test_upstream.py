"""Tests that the upstream stand-in records effects and injects the requested faults."""

import asyncio
import tempfile
import unittest
from pathlib import Path

import aiohttp
import msgspec

from bamboo_standins.upstream import (
    LedgerEntry,
    OnwardCall,
    Upstream,
    UpstreamConfig,
    UpstreamFaults,
)

KEYED = {"Bamboo-Key": "home/1/0/nonce", "Bamboo-Kind": "reserve", "Bamboo-Action": "action-1"}


class UpstreamTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.ledger = Path(self.enterContext(tempfile.TemporaryDirectory())) / "ledger"
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())

    async def start(self, **settings) -> Upstream:
        config = UpstreamConfig(
            "127.0.0.1:0", "payments", "payments-1", ledger=str(self.ledger), **settings
        )
        upstream = Upstream(config)
        self.port = await upstream.start()
        self.addAsyncCleanup(upstream.stop)
        return upstream

    def post(self, path="/charge", body=b"body", headers=KEYED):
        return self.session.post(f"http://127.0.0.1:{self.port}{path}", data=body, headers=headers)

    def entries(self) -> list[LedgerEntry]:
        lines = self.ledger.read_bytes().splitlines()
        return [msgspec.json.decode(line, type=LedgerEntry) for line in lines]

    async def test_effect_is_recorded_once_and_body_is_echoed(self):
        await self.start(seconds=0)
        async with self.post() as response:
            self.assertEqual(await response.read(), b"body")
        [entry] = self.entries()
        self.assertEqual((entry.key, entry.action), (KEYED["Bamboo-Key"], "action-1"))

    async def test_dropped_answer_leaves_the_effect(self):
        upstream = await self.start(seconds=0)
        upstream.faults = UpstreamFaults(drop_answer=1)
        with self.assertRaises(aiohttp.ClientError):
            await self.post()
        self.assertEqual(len(self.entries()), 1)

    async def test_truncated_answer_never_looks_whole(self):
        upstream = await self.start(seconds=0)
        upstream.faults = UpstreamFaults(truncate_answer=1)
        with self.assertRaises(aiohttp.ClientError):
            async with self.post() as response:
                await response.read()

    async def test_deadline_before_the_effect_prevents_it(self):
        await self.start(seconds=60)
        async with self.post(headers=KEYED | {"Bamboo-Deadline-Ms": "20"}) as response:
            self.assertEqual(response.status, 504)
        self.assertEqual(self.entries(), [])

    async def test_disconnected_client_frees_the_slot_without_an_effect(self):
        upstream = await self.start(seconds=60, slots=1)
        request = asyncio.ensure_future(self.post())
        while not upstream.in_flight:
            await asyncio.sleep(0.001)
        request.cancel()
        while upstream.in_flight:
            await asyncio.sleep(0.001)
        self.assertEqual(self.entries(), [])

    async def test_load_report_misleads_on_demand(self):
        upstream = await self.start(slots=3)
        upstream.faults = UpstreamFaults(load_report="full")
        async with self.session.get(f"http://127.0.0.1:{self.port}/_load") as response:
            self.assertEqual((await response.json(content_type=None))["in_flight"], 3)

    async def test_unknown_fault_is_refused(self):
        await self.start()
        async with self.post("/_faults", b'{"slwo":1}') as response:
            self.assertEqual(response.status, 400)

    async def test_failed_onward_call_prevents_the_effect(self):
        refusing = await self.start()
        refusing.faults = UpstreamFaults(refuse=True)
        node = f"127.0.0.1:{self.port}"
        await self.start(seconds=0, node=node, calls=(OnwardCall("billing", "charge"),))
        async with self.post() as response:
            self.assertEqual(response.status, 502)
        self.assertEqual(self.entries(), [])


class OnwardCallTests(unittest.TestCase):
    def test_kind_and_step_are_optional(self):
        cases = {
            "payments": OnwardCall("payments", "payments"),
            "payments:charge": OnwardCall("payments", "charge"),
            "reserve=payments:charge": OnwardCall("payments", "charge", "reserve"),
        }
        for text, expected in cases.items():
            with self.subTest(text=text):
                self.assertEqual(OnwardCall.parse(text), expected)
