"""A home starts an attempt only when every earlier attempt of the key is settled as not run."""

import unittest

from bamboojunction.core.once.home import AnswerRecorded, Home, JoinAttempt, StartAttempt
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.once.windows import OPEN_WINDOWS, WINDOW_SECONDS
from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason

SHED = NotRun(NotRunReason.SHED)
LOST = Unknown(UnknownReason.LOST_LINK)


class HomeTests(unittest.TestCase):
    def setUp(self):
        self.home = Home("bay-1", "abc")
        self.key = ActionKey(self.home.current(0.0), "k")

    def test_duplicate_joins_the_attempt_in_flight(self):
        self.home.begin(self.key, 0.0)
        self.assertEqual(self.home.begin(self.key, 0.0), JoinAttempt())

    def test_late_duplicate_gets_the_recorded_answer(self):
        attempt = self.home.begin(self.key, 0.0).attempt
        self.home.record_outcome(self.key, attempt, Ran(200, body=b"held"), 1.0)
        self.assertEqual(self.home.begin(self.key, 2.0), AnswerRecorded(Ran(200, body=b"held")))

    def test_key_runs_again_after_a_refusal_and_not_after_an_unknown_outcome(self):
        first = self.home.begin(self.key, 0.0).attempt
        self.home.record_outcome(self.key, first, SHED, 0.0)
        second = self.home.begin(self.key, 0.0)
        self.assertGreater(second.attempt, first)
        self.home.record_outcome(self.key, second.attempt, LOST, 0.0)
        self.assertEqual(self.home.begin(self.key, 0.0), AnswerRecorded(LOST))

    def test_delayed_duplicate_of_a_numbered_attempt_starts_nothing(self):
        attempt = self.home.begin(self.key, 0.0, caller_attempt=1).attempt
        self.home.begin(self.key, 0.0, caller_attempt=2)
        self.home.record_outcome(self.key, attempt, SHED, 0.0)
        for number in (1, 2):
            self.assertEqual(self.home.begin(self.key, 0.0, number), AnswerRecorded(SHED))
        self.assertIsInstance(self.home.begin(self.key, 0.0, 3), StartAttempt)

    def test_outcome_of_an_earlier_attempt_is_ignored(self):
        first = self.home.begin(self.key, 0.0).attempt
        second = self.home.retry(self.key, first, SHED, 0.0).attempt
        self.home.record_outcome(self.key, first, SHED, 0.0)
        self.assertEqual(self.home.begin(self.key, 0.0), JoinAttempt())
        self.home.record_outcome(self.key, second, Ran(200), 0.0)
        self.home.record_outcome(self.key, second, SHED, 0.0)
        self.assertEqual(self.home.begin(self.key, 0.0), AnswerRecorded(Ran(200)))

    def test_unknown_outcome_is_replaced_by_the_later_answer_of_its_gate(self):
        attempt = self.home.begin(self.key, 0.0).attempt
        self.home.record_gate(self.key, attempt, "pay-1/x")
        self.home.record_outcome(self.key, attempt, LOST, 0.0)
        unsettled = self.home.unsettled_attempt(self.key)
        self.assertEqual((unsettled.attempt, unsettled.gate), (attempt, "pay-1/x"))
        self.home.record_outcome(self.key, attempt, SHED, 0.0)
        self.assertIsInstance(self.home.begin(self.key, 0.0), StartAttempt)

    def test_different_request_under_the_same_key_is_answered_as_key_reuse(self):
        attempt = self.home.begin(self.key, 0.0, fingerprint=7).attempt
        reused = AnswerRecorded(Unknown(UnknownReason.KEY_REUSED))
        self.assertEqual(self.home.begin(self.key, 0.0, fingerprint=8), reused)
        self.home.record_outcome(self.key, attempt, Ran(200), 0.0)
        self.assertEqual(self.home.begin(self.key, 0.0, fingerprint=8), reused)
        self.assertEqual(self.home.begin(self.key, 0.0, fingerprint=7), AnswerRecorded(Ran(200)))

    def test_closed_window_is_unknown_and_future_window_is_invalid(self):
        closed_at = WINDOW_SECONDS * OPEN_WINDOWS
        self.home.current(WINDOW_SECONDS)
        self.home.current(closed_at)
        outcome = self.home.begin(self.key, closed_at).outcome
        self.assertEqual(outcome, Unknown(UnknownReason.WINDOW_CLOSED))
        future = ActionKey.parse("bay-1/abc/99/k")
        outcome = self.home.begin(future, closed_at).outcome
        self.assertEqual(outcome.reason, NotRunReason.KEY_INVALID)

    def test_key_of_another_incarnation_is_unknown(self):
        other = ActionKey.parse("bay-1/abd/1/k")
        self.assertEqual(
            self.home.begin(other, 0.0), AnswerRecorded(Unknown(UnknownReason.LOST_HOME))
        )

    def test_full_home_refuses_all_further_new_keys_of_the_window(self):
        home = Home("bay-1", "abc", bytes_max=2_500)
        keys = [ActionKey(home.current(0.0), f"k{number}") for number in range(4)]
        decisions = [home.begin(key, 0.0) for key in keys]
        types = [type(decision) for decision in decisions]
        self.assertEqual(types, [StartAttempt, StartAttempt, AnswerRecorded, AnswerRecorded])
        self.assertEqual(decisions[2].outcome.reason, NotRunReason.FULL)
        self.assertEqual(home.begin(keys[0], 0.0), JoinAttempt())

    def test_closing_a_window_frees_its_memory(self):
        self.home.begin(self.key, 0.0)
        self.assertGreater(self.home.bytes_held, 0)
        self.home.current(WINDOW_SECONDS)
        self.home.current(WINDOW_SECONDS * (OPEN_WINDOWS + 1))
        self.assertEqual(self.home.bytes_held, 0)

    def test_gates_of_a_window_never_change(self):
        self.home.set_allowed_gates(frozenset({"a/1"}), 0.0)
        self.assertIsNone(self.home.begin(self.key, 0.0).allowed_gates)
        key = ActionKey(self.home.current(6.0), "k")
        self.home.set_allowed_gates(frozenset({"b/1"}), 7.0)
        self.assertEqual(self.home.begin(key, 7.0).allowed_gates, frozenset({"a/1"}))
