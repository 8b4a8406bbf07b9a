"""Findings are converted to messages and back between nodes with different clocks."""

import unittest

from bamboojunction.core.poison.decisions import Ban, Clearance, Suspicion
from bamboojunction.links.codec import decode, encode
from bamboojunction.node.poison_broadcaster import to_findings, to_messages


class FindingTests(unittest.TestCase):
    def test_findings_survive_conversion_to_a_different_clock(self):
        findings = [
            Ban(2**64 - 1, 110.0),
            Clearance(7),
            Suspicion(8, "a", "a/x/1", 101.0, 160.0),
            Suspicion(9, "a", "a/x/1", 102.0, 160.0),
        ]
        messages = [decode(encode(message)).ok() for message in to_messages(findings, 100.0)]
        received = [finding for message in messages for finding in to_findings(message, 0.0)]
        self.assertEqual(
            [
                Ban(2**64 - 1, 10.0),
                Clearance(7),
                Suspicion(8, "a", "a/x/1", 1.0, 60.0),
                Suspicion(9, "a", "a/x/1", 2.0, 60.0),
            ],
            received,
        )
