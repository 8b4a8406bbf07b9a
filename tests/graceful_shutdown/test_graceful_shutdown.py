"""A stopping node closes when it is idle, at its deadline, or when it is forced."""

import unittest

from bamboojunction.core.graceful_shutdown import (
    DRAIN_NOTICE_SECONDS,
    DUPLICATE_GRACE_SECONDS,
    Close,
    GracefulShutdown,
    StopReason,
    Wait,
    WorkInFlight,
)

DEADLINE_SECONDS = 20.0
FINISHED = Close(StopReason.FINISHED, 0)


class GracefulShutdownTests(unittest.TestCase):
    def setUp(self):
        self.graceful_shutdown = GracefulShutdown(100.0, DEADLINE_SECONDS)

    def test_idle_node_waits_until_peers_are_notified(self):
        self.assertIsInstance(self.graceful_shutdown.decide(WorkInFlight(), 100.0), Wait)
        self.assertEqual(
            self.graceful_shutdown.decide(WorkInFlight(), 100.0 + DRAIN_NOTICE_SECONDS), FINISHED
        )

    def test_any_work_in_flight_keeps_the_node_open(self):
        for work in (
            WorkInFlight(executing=1),
            WorkInFlight(keys_in_flight=1),
            WorkInFlight(requests=1),
        ):
            with self.subTest(work=work):
                self.assertIsInstance(self.graceful_shutdown.decide(work, 110.0), Wait)

    def test_home_waits_for_late_duplicates_of_its_last_key(self):
        work = WorkInFlight(last_key_settled_at=105.0)
        self.assertIsInstance(self.graceful_shutdown.decide(work, 106.0), Wait)
        self.assertEqual(
            self.graceful_shutdown.decide(work, 105.0 + DUPLICATE_GRACE_SECONDS), FINISHED
        )

    def test_deadline_closes_and_counts_the_calls_cut_off(self):
        decision = self.graceful_shutdown.decide(WorkInFlight(executing=2, requests=3), 120.0)
        self.assertEqual(decision, Close(StopReason.DEADLINE, 3))

    def test_late_duplicates_never_hold_a_node_past_its_deadline(self):
        self.assertEqual(
            self.graceful_shutdown.decide(WorkInFlight(last_key_settled_at=119.9), 120.0), FINISHED
        )

    def test_wait_never_passes_the_deadline(self):
        self.assertLessEqual(
            self.graceful_shutdown.decide(WorkInFlight(requests=1), 119.99).seconds, 0.011
        )

    def test_second_signal_closes_at_once(self):
        self.graceful_shutdown.force()
        decision = self.graceful_shutdown.decide(WorkInFlight(executing=1), 100.1)
        self.assertEqual(decision, Close(StopReason.FORCED, 1))
