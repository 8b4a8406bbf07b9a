"""A gate accepts each attempt at most once, and never reports an expired record as not run."""

import unittest

from bamboojunction.core.once.gate_records import (
    RECORD_RETENTION_SECONDS,
    AdmitAttempt,
    GateRecords,
    KeyStatus,
    ReplayOutcome,
)
from bamboojunction.core.once.key_recovery import KeyRecovery
from bamboojunction.core.once.keys import ActionKey
from bamboojunction.core.once.replay import REPLAY_WINDOW_SERIALS, ReplayWindow
from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason

KEY = ActionKey.parse("bay-1/abc/1/k")
STALE = ReplayOutcome(Unknown(UnknownReason.STALE_ATTEMPT))


class GateRecordsTests(unittest.TestCase):
    def setUp(self):
        self.records = GateRecords()

    def test_refused_attempt_never_runs_and_the_next_one_may(self):
        self.assertEqual(self.records.begin_attempt(KEY, 1, 0.0), AdmitAttempt())
        self.records.discard_attempt(KEY, 1)
        self.assertEqual(self.records.begin_attempt(KEY, 1, 0.0), STALE)
        self.assertEqual(self.records.begin_attempt(KEY, 2, 0.0), AdmitAttempt())

    def test_duplicate_of_a_call_that_ran_gets_its_answer(self):
        self.records.begin_attempt(KEY, 1, 0.0)
        self.assertEqual(self.records.begin_attempt(KEY, 1, 0.0), STALE)
        self.records.end_attempt(KEY, 1, Ran(200, body=b"x"), 0.0)
        for attempt in (1, 2):
            self.assertEqual(
                self.records.begin_attempt(KEY, attempt, 0.0), ReplayOutcome(Ran(200, body=b"x"))
            )

    def test_asking_about_an_attempt_that_has_not_arrived_seals_it(self):
        self.assertIs(self.records.query_attempt(KEY, 1, 0.0).status, KeyStatus.SEALED)
        self.assertEqual(self.records.begin_attempt(KEY, 1, 0.0), STALE)
        self.assertEqual(self.records.begin_attempt(KEY, 2, 0.0), AdmitAttempt())

    def test_asking_returns_the_outcome_of_an_attempt(self):
        self.records.begin_attempt(KEY, 1, 0.0)
        self.assertIs(self.records.query_attempt(KEY, 1, 0.0).status, KeyStatus.RUNNING)
        self.records.end_attempt(KEY, 1, Ran(201), 0.0)
        self.assertEqual(self.records.query_attempt(KEY, 1, 0.0).outcome, Ran(201))

    def test_sealed_key_is_refused_whatever_its_attempt(self):
        self.assertIs(self.records.seal(KEY, 0.0).status, KeyStatus.SEALED)
        refusal = ReplayOutcome(NotRun(NotRunReason.SETTLED_NOT_RUN))
        self.assertEqual(self.records.begin_attempt(KEY, 1, 0.0), refusal)
        self.assertEqual(self.records.begin_attempt(KEY, 2, 0.0), refusal)

    def test_expired_key_is_never_sealed_or_run(self):
        self.records.begin_attempt(KEY, 1, 0.0)
        self.records.end_attempt(KEY, 1, Ran(200), 0.0)
        other = ActionKey.parse("bay-1/abc/2/k")
        self.records.begin_attempt(other, 2, RECORD_RETENTION_SECONDS)
        self.assertIs(
            self.records.seal(KEY, RECORD_RETENTION_SECONDS).status, KeyStatus.INDETERMINATE
        )
        self.assertIs(
            self.records.query_attempt(KEY, 1, RECORD_RETENTION_SECONDS).status,
            KeyStatus.INDETERMINATE,
        )
        window_closed = ReplayOutcome(Unknown(UnknownReason.WINDOW_CLOSED))
        self.assertEqual(
            self.records.begin_attempt(KEY, 3, RECORD_RETENTION_SECONDS), window_closed
        )

    def test_record_of_a_running_call_never_expires(self):
        self.records.begin_attempt(KEY, 1, 0.0)
        self.records.begin_attempt(
            ActionKey.parse("bay-1/abc/9/k"), 2, 9 * RECORD_RETENTION_SECONDS
        )
        self.assertIs(
            self.records.seal(KEY, 9 * RECORD_RETENTION_SECONDS).status, KeyStatus.RUNNING
        )

    def test_full_gate_keeps_refusing_a_refused_attempt(self):
        records = GateRecords(bytes_max=1_000)
        records.begin_attempt(KEY, 1, 0.0)
        other = ActionKey.parse("bay-1/abc/1/other")
        self.assertEqual(
            records.begin_attempt(other, 2, 0.0), ReplayOutcome(NotRun(NotRunReason.FULL))
        )
        self.assertIs(records.seal(other, 0.0).status, KeyStatus.INDETERMINATE)
        records.discard_attempt(KEY, 1)
        self.assertEqual(records.begin_attempt(other, 2, 0.0), STALE)


class ReplayWindowTests(unittest.TestCase):
    def test_each_serial_is_new_once_in_any_order(self):
        replay = ReplayWindow()
        serials = [5, 3, 9, 4, 9 + REPLAY_WINDOW_SERIALS - 1]
        self.assertTrue(all(replay.accept(serial) for serial in serials))
        self.assertFalse(any(replay.accept(serial) for serial in serials))

    def test_serial_below_the_window_counts_as_seen(self):
        replay = ReplayWindow()
        replay.accept(REPLAY_WINDOW_SERIALS * 3)
        self.assertTrue(replay.has_seen(REPLAY_WINDOW_SERIALS * 2))
        self.assertFalse(replay.has_seen(REPLAY_WINDOW_SERIALS * 2 + 1))


class SealingTests(unittest.TestCase):
    def setUp(self):
        self.records = GateRecords()
        self.sealed = self.records.seal(KEY, 0.0)

    def test_not_run_needs_a_seal_of_every_gate(self):
        recovery = KeyRecovery(KEY, frozenset({"a/1", "b/1"}), frozenset({"a/1"}))
        recovery.record_report("a/1", self.sealed)
        self.assertIsNone(recovery.outcome())
        recovery.record_report("b/1", self.sealed)
        self.assertEqual(recovery.outcome(), NotRun(NotRunReason.SETTLED_NOT_RUN))

    def test_unreachable_gate_makes_the_outcome_unknown(self):
        recovery = KeyRecovery(KEY, frozenset({"a/1", "b/1"}), frozenset())
        recovery.record_report("a/1", self.sealed)
        recovery.record_unreachable("b/1")
        self.assertEqual(recovery.outcome(), Unknown(UnknownReason.LOST_HOME))

    def test_seals_of_an_incomplete_set_of_gates_prove_nothing(self):
        recovery = KeyRecovery(KEY, None, frozenset({"a/1", "b/1"}))
        recovery.record_report("a/1", self.sealed)
        self.records.begin_attempt(ActionKey.parse("bay-1/abc/1/ran"), 1, 0.0)
        recovery.record_report("b/1", self.sealed)
        self.assertEqual(recovery.outcome(), Unknown(UnknownReason.LOST_HOME))
