"""An address counts as unreachable only after several failures over a sufficient time."""

import unittest

from bamboojunction.core.membership.absence import (
    FAILED_ATTEMPTS_MIN,
    UNREACHABLE_AFTER_SECONDS,
    Absence,
)


class AbsenceTests(unittest.TestCase):
    def test_address_is_absent_after_enough_failures_over_enough_time(self):
        absence = Absence()
        for number in range(FAILED_ATTEMPTS_MIN):
            absence.failed("a:1", float(number))
        self.assertEqual(absence.absent(UNREACHABLE_AFTER_SECONDS - 0.1), set())
        self.assertEqual(absence.absent(UNREACHABLE_AFTER_SECONDS), {"a:1"})

    def test_one_failure_long_ago_shows_nothing(self):
        absence = Absence()
        absence.failed("a:1", 0.0)
        self.assertEqual(absence.absent(1_000.0), set())

    def test_success_and_removal_clear_the_evidence(self):
        absence = Absence()
        for address in ("a:1", "b:1"):
            for number in range(FAILED_ATTEMPTS_MIN):
                absence.failed(address, float(number))
        absence.opened("a:1")
        self.assertEqual(absence.absent(100.0), {"b:1"})
        absence.keep({"a:1"})
        self.assertEqual(absence.absent(100.0), set())
