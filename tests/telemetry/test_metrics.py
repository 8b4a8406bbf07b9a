"""Metrics are aggregated and sent as statsd packets, or discarded without an address."""

import asyncio
import socket
import unittest

from bamboojunction.conf.loader import parse_settings
from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason
from bamboojunction.telemetry.metrics import (
    DROPPED_SAMPLES_METRIC,
    TIMER_SAMPLES_MAX,
    Metrics,
    outcome_counter,
)
from tests.conf.test_loader import VALID

PREFIX = "bamboojunction.seq-brisbane.bayfinder.bayfinder-1"


class MetricsTests(unittest.IsolatedAsyncioTestCase):
    def create_metrics(self) -> Metrics:
        self.socket = self.enterContext(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
        self.socket.bind(("127.0.0.1", 0))
        self.socket.settimeout(10)
        port = self.socket.getsockname()[1]
        text = VALID + f"[telemetry]\nstatsd_address = 127.0.0.1:{port}\n"
        return Metrics.from_config(parse_settings(text, "node.ini").unwrap())

    async def receive(self) -> list[str]:
        packet = await asyncio.to_thread(self.socket.recv, 65_536)
        return packet.decode().splitlines()

    async def test_counters_and_timers_are_sent_in_one_packet(self):
        metrics = self.create_metrics()
        metrics.count("calls")
        metrics.count("calls", 2)
        metrics.timing("calls.seconds.rank1", 0.25)
        lines = await self.receive()
        self.assertEqual(
            lines, [f"{PREFIX}.calls:3|c", f"{PREFIX}.calls.seconds.rank1:250.000000|ms"]
        )
        metrics.close()

    async def test_dropped_timer_samples_are_counted(self):
        metrics = self.create_metrics()
        for _ in range(TIMER_SAMPLES_MAX + 3):
            metrics.timing("t", 0.001)
        metrics.close()
        self.assertEqual((await self.receive())[0], f"{PREFIX}.{DROPPED_SAMPLES_METRIC}:3|c")

    async def test_metrics_without_an_address_are_discarded(self):
        metrics = Metrics.from_config(parse_settings(VALID, "node.ini").unwrap())
        metrics.count("calls")
        metrics.timing("calls.seconds.rank1", 0.25)
        metrics.close()
        self.assertIs(type(metrics), Metrics)

    def test_each_outcome_has_its_counter(self):
        cases = {
            "calls.ran.rank1": Ran(200),
            "calls.not_run.shed.rank1": NotRun(NotRunReason.SHED),
            "calls.unknown.lost-link.rank1": Unknown(UnknownReason.LOST_LINK),
        }
        for name, outcome in cases.items():
            with self.subTest(name=name):
                self.assertEqual(outcome_counter(outcome, 1), name)
