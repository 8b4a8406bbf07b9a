"""Delays double after each failure, and start again from the shortest after a success."""

import random
import unittest

from bamboojunction.core.retries.exponential_backoff import JITTER_SHARE, ExponentialBackoff


class ExponentialBackoffTests(unittest.TestCase):
    def test_pauses_double_up_to_the_longest(self):
        backoff = ExponentialBackoff(0.2, 0.9, random.Random(1))
        for expected in (0.2, 0.4, 0.8, 0.9, 0.9):
            found = backoff.next_delay()
            self.assertLessEqual(abs(found / expected - 1), JITTER_SHARE)
        backoff.reset()
        self.assertLess(backoff.next_delay(), 0.2 * (1 + JITTER_SHARE) + 0.001)
