"""Two requests that were both in flight at the same two crashes are both banned."""

import unittest

from bamboojunction.core.poison.guard import PoisonGuard


class PairTests(unittest.TestCase):
    def test_requests_in_flight_together_at_two_crashes_are_both_banned(self):
        guard = PoisonGuard("gate-1")
        for ticket, now in ((1, 10.0), (3, 20.0)):
            guard.record_start(ticket, 111, now)
            guard.record_start(ticket + 1, 222, now)
            guard.record_crash(ticket, now + 1.0)
            guard.record_crash(ticket + 1, now + 1.0)
        self.assertTrue(guard.is_banned(111, 22.0))
        self.assertTrue(guard.is_banned(222, 22.0))
