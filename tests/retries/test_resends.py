"""Resends of an action by its caller stay within the allowance of the action."""

import unittest

from bamboojunction.core.retries.resends import ACTION_RETENTION_SECONDS, ACTIONS_MAX, Resends


class ResendTests(unittest.TestCase):
    def test_executions_by_resends_stay_within_the_allowance(self):
        for allowance in range(5):
            resends = Resends()
            calls = [resends.begin("a", allowance, 0.0) for _ in range(20)]
            begun = [lent for lent in calls if lent is not None]
            self.assertLessEqual(len(begun) + sum(begun), 1 + allowance)

    def test_a_resend_after_nothing_ran_is_free(self):
        resends = Resends()
        for _ in range(10):
            lent = resends.begin("a", 1, 0.0)
            self.assertEqual(1, lent)
            resends.ended("a", lent, lent, ran=False)

    def test_unspent_allowance_pays_for_a_resend(self):
        resends = Resends()
        lent = resends.begin("a", 1, 0.0)
        resends.ended("a", lent, 1, ran=True)
        self.assertEqual(0, resends.begin("a", 1, 0.1))
        self.assertIsNone(resends.begin("a", 1, 0.2))

    def test_actions_expire(self):
        resends = Resends()
        resends.begin("a", 0, 0.0)
        self.assertIsNone(resends.begin("a", 0, 1.0))
        self.assertEqual(0, resends.begin("a", 0, ACTION_RETENTION_SECONDS))

    def test_memory_is_bounded(self):
        resends = Resends()
        for number in range(ACTIONS_MAX + 100):
            resends.begin(str(number), 1, 0.0)
        self.assertEqual(ACTIONS_MAX, len(resends._by_action))
