"""A stopping node closes when it is idle, at its deadline, or when it is forced."""

import unittest

from bamboojunction.core.graceful_shutdown import (
    DRAIN_NOTICE_SECONDS,
    DUPLICATE_GRACE_SECONDS,
    DURATION_PERIOD_SECONDS,
    DURATION_SAMPLES_MIN,
    CallDurations,
    Close,
    GracefulShutdown,
    StopReason,
    StopWindow,
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


def record_often(durations: CallDurations, kind: str, seconds: float, now: float) -> None:
    """Record as many calls as an estimate takes."""
    for _ in range(DURATION_SAMPLES_MIN):
        durations.record(kind, seconds, now)


class StopWindowTests(unittest.TestCase):
    """Calls that would be cut off at the end of a stop are refused before they start."""

    def setUp(self):
        self.window = StopWindow(10.0)

    def test_call_of_known_length_is_taken_while_it_ends_in_time(self):
        self.assertTrue(self.window.has_room(deadline=20.0, longest=3.0, now=5.0))
        self.assertFalse(self.window.has_room(deadline=20.0, longest=3.0, now=7.0))

    def test_call_may_take_longer_than_the_recent_ones(self):
        """A call that outlasted all recent ones of its kind was cut off."""
        self.assertFalse(self.window.has_room(deadline=20.0, longest=3.0, now=6.5))

    def test_deadline_bounds_a_call(self):
        self.assertTrue(self.window.has_room(deadline=9.0, longest=30.0, now=6.0))
        self.assertTrue(self.window.has_room(deadline=9.0, longest=None, now=6.0))

    def test_call_of_unknown_length_may_take_until_its_deadline(self):
        self.assertFalse(self.window.has_room(deadline=11.0, longest=None, now=6.0))

    def test_only_the_deadline_promises_the_end_of_a_call(self):
        self.assertTrue(self.window.ends_within(deadline=9.0))
        self.assertFalse(self.window.ends_within(deadline=10.0))


class CallDurationsTests(unittest.TestCase):
    def test_longest_of_a_kind_is_kept_for_at_least_one_period(self):
        durations = CallDurations(0.0)
        for seconds, now in ((0.1, 1.0), (3.2, 2.0), (0.2, 3.0)):
            record_often(durations, "reserve", seconds, now)
        record_often(durations, "lookup", 0.1, 3.0)
        self.assertEqual(durations.longest("reserve", 2.0 + DURATION_PERIOD_SECONDS), 3.2)
        self.assertEqual(durations.longest("lookup", 4.0), 0.1)
        self.assertIsNone(durations.longest("charge", 4.0))

    def test_few_calls_do_not_tell_the_longest_duration(self):
        """A process that had just started expected long calls to end as soon as its first ones."""
        durations = CallDurations(0.0)
        for number in range(DURATION_SAMPLES_MIN - 1):
            durations.record("reserve", 0.1, number * 0.01)
        self.assertIsNone(durations.longest("reserve", 1.0))
        durations.record("reserve", 0.2, 1.0)
        self.assertEqual(durations.longest("reserve", 1.0), 0.2)

    def test_calls_of_earlier_periods_are_forgotten(self):
        for gap in (1.0, 2.0, 5.0):
            durations = CallDurations(0.0)
            record_often(durations, "reserve", 3.2, 1.0)
            if gap == 1.0:
                record_often(durations, "reserve", 0.1, gap * DURATION_PERIOD_SECONDS)
                self.assertEqual(durations.longest("reserve", 2.0 * DURATION_PERIOD_SECONDS), 0.1)
            else:
                self.assertIsNone(durations.longest("reserve", gap * DURATION_PERIOD_SECONDS))
