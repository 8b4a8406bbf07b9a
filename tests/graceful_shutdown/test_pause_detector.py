"""A pause of the event loop reduces the deadline of a call that is read after it.

The call may have waited in a socket buffer during the pause, so its deadline must not be counted
from the time at which it was read.
"""

import unittest

from bamboojunction.core.pause_detector import (
    BACKLOG_AFTER_PAUSE_SECONDS,
    PAUSE_CHECK_INTERVAL_SECONDS,
    PauseDetector,
)


class PauseDetectorTests(unittest.TestCase):
    def setUp(self):
        self.detector = PauseDetector(0.0)

    def test_remaining_time_is_kept_while_the_loop_ticks(self):
        for step in range(1, 100):
            self.assertEqual(self.detector.tick(step * PAUSE_CHECK_INTERVAL_SECONDS), 0.0)
        now = 99 * PAUSE_CHECK_INTERVAL_SECONDS + 0.01
        self.assertEqual(self.detector.deadline(2.0, now), now + 2.0)

    def test_call_read_before_the_first_tick_after_a_pause_is_as_old_as_the_pause(self):
        self.assertLessEqual(self.detector.deadline(2.0, 10.0), 10.0)

    def test_call_read_shortly_after_the_first_tick_is_as_old_as_the_pause(self):
        self.assertEqual(self.detector.tick(10.0), 10.0)
        now = 10.0 + BACKLOG_AFTER_PAUSE_SECONDS / 2
        self.detector.tick(now - 0.01)
        self.assertLessEqual(self.detector.deadline(9.0, now), now)

    def test_remaining_time_is_not_reduced_once_the_backlog_is_read(self):
        self.detector.tick(10.0)
        now = 10.0
        while now < 10.0 + BACKLOG_AFTER_PAUSE_SECONDS:
            now += PAUSE_CHECK_INTERVAL_SECONDS
            self.detector.tick(now)
        self.assertEqual(self.detector.deadline(2.0, now), now + 2.0)

    def test_two_pauses_in_a_row_count_for_the_longer_one(self):
        self.detector.tick(5.0)
        self.detector.tick(5.5)
        self.assertEqual(self.detector.max_message_age(5.6), 5.0)
