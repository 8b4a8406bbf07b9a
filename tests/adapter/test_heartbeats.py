"""Decoding of upstream reports, and rejection of malformed ones."""

import json
import unittest

from bamboojunction.platform.heartbeats import Departure, read_report

HEARTBEAT = {
    "service": "menu",
    "address": "10.0.0.1:8080",
    "zone": "lac",
    "version": "v1",
    "slots": 49,
    "state": "ready",
    "cold_left_ms": 1500,
    "sequence": 4,
    "born": 1700000000123,
}


def encode(**changes) -> bytes:
    return json.dumps({**HEARTBEAT, **changes}).encode()


class HeartbeatTests(unittest.TestCase):
    def test_heartbeat_is_decoded(self):
        heartbeat = read_report("PUT", "/instances/i-7", encode()).unwrap()
        self.assertEqual(
            (heartbeat.instance_id, heartbeat.service, heartbeat.slots), ("i-7", "menu", 49)
        )
        self.assertEqual((heartbeat.started_at, heartbeat.sequence), (1700000000123, 4))
        self.assertEqual(heartbeat.cold_seconds, 1.5)
        self.assertFalse(heartbeat.is_draining)

    def test_draining_state_is_decoded(self):
        self.assertTrue(
            read_report("PUT", "/instances/i-7", encode(state="draining")).unwrap().is_draining
        )

    def test_departure_is_decoded(self):
        self.assertEqual(read_report("DELETE", "/instances/i-7", b"").unwrap(), Departure("i-7"))

    def test_unknown_field_that_is_nested_too_deeply_is_ignored(self):
        body = encode()[:-1] + b', "later": ' + b"[" * 5_000 + b"]" * 5_000 + b"}"
        self.assertTrue(read_report("PUT", "/instances/i-7", body).is_ok())

    def test_malformed_reports_are_rejected(self):
        bodies = {
            "not JSON": b"\xff{",
            "a list": b"[]",
            "unknown state": encode(state="asleep"),
            "text for slots": encode(slots="49"),
            "no slots": encode(slots=0),
            "fraction for the start": encode(born=1.5),
            "start too large": encode(born=10**18),
            "slots too many": encode(slots=10**12),
            "sequence too large": encode(sequence=10**30),
            "nested too deeply": b"[" * 5_000 + b"]" * 5_000,
        }
        for name, body in bodies.items():
            with self.subTest(name):
                self.assertTrue(read_report("PUT", "/instances/i-7", body).is_err())
        self.assertTrue(read_report("PUT", "/instances/", encode()).is_err())
        self.assertTrue(read_report("POST", "/instances/i-7", encode()).is_err())
