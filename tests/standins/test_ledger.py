"""Tests that the audit finds every answer that contradicts the ledger."""

import unittest

from bamboo_standins.ledger import LedgerAudit
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.management.load.client import CallEnding, CallResult

KEY = "payments-1/a1/0/order-1"
CHILD = str(ActionKey.parse(KEY).child_key("payments:charge"))


class LedgerAuditTests(unittest.TestCase):
    def test_effects_are_grouped_with_those_of_child_calls(self):
        audit = LedgerAudit([{"key": KEY}, {"key": CHILD}, {"key": "other"}])
        self.assertEqual(audit.effect_keys(KEY), [KEY, CHILD])
        self.assertEqual(audit.repeated_keys(), [])

    def test_repeated_effect_is_found(self):
        self.assertEqual(LedgerAudit([{"key": CHILD}, {"key": CHILD}]).repeated_keys(), [CHILD])

    def test_untrue_answers_are_found(self):
        cases = {
            "not run, but its child ran": (CallEnding.NOT_RUN, [CHILD], 1),
            "not run, and nothing ran": (CallEnding.NOT_RUN, [], 0),
            "ran, but without an effect": (CallEnding.RAN, [], 1),
            "ran once": (CallEnding.RAN, [KEY], 0),
            "unknown denies nothing": (CallEnding.UNKNOWN, [KEY], 0),
        }
        for name, (ending, keys, count) in cases.items():
            with self.subTest(name):
                audit = LedgerAudit([{"key": key} for key in keys])
                result = CallResult("reserve", ending, status=200, key=KEY)
                self.assertEqual(len(list(audit.contradictions([result]))), count)
