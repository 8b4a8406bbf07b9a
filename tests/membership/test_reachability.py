"""An address counts as unreachable only after several failures over a sufficient time."""

import unittest

from bamboojunction.core.membership.reachability import (
    FAILED_ATTEMPTS_MIN,
    UNREACHABLE_AFTER_SECONDS,
    ConnectFailureTracker,
)


class ConnectFailureTrackerTests(unittest.TestCase):
    def test_address_is_unreachable_after_enough_failures_over_enough_time(self):
        connect_failures = ConnectFailureTracker()
        for number in range(FAILED_ATTEMPTS_MIN):
            connect_failures.record_failure("a:1", float(number))
        self.assertEqual(connect_failures.unreachable(UNREACHABLE_AFTER_SECONDS - 0.1), set())
        self.assertEqual(connect_failures.unreachable(UNREACHABLE_AFTER_SECONDS), {"a:1"})

    def test_one_failure_is_not_enough(self):
        connect_failures = ConnectFailureTracker()
        connect_failures.record_failure("a:1", 0.0)
        self.assertEqual(connect_failures.unreachable(1_000.0), set())

    def test_success_and_removal_clear_the_failures(self):
        connect_failures = ConnectFailureTracker()
        for address in ("a:1", "b:1"):
            for number in range(FAILED_ATTEMPTS_MIN):
                connect_failures.record_failure(address, float(number))
        connect_failures.record_success("a:1")
        self.assertEqual(connect_failures.unreachable(100.0), {"b:1"})
        connect_failures.retain({"a:1"})
        self.assertEqual(connect_failures.unreachable(100.0), set())
