"""The gate starts, queues and refuses calls, and never refuses a call that it started."""

import random
import unittest

from bamboojunction.core.admission.gate import (
    AdmissionController,
    CompletionStatus,
    Refuse,
    Start,
    Ticket,
)
from bamboojunction.core.outcomes import NotRunReason

SERVICE_SECONDS = 0.1


def ticket(ticket_id, deadline=10.0, **fields):
    fields = {"kind": "charge", "rank": 0, "weight": 10} | fields
    return Ticket(ticket_id, action=f"action-{ticket_id}", deadline=deadline, **fields)


def started(decisions):
    return [decision.ticket_id for decision in decisions if isinstance(decision, Start)]


def refused(decisions):
    return {
        decision.ticket_id: decision.outcome.reason
        for decision in decisions
        if isinstance(decision, Refuse)
    }


class AdmissionTests(unittest.TestCase):
    def test_limit_holds_and_finish_starts_the_next(self):
        gate = AdmissionController(2)
        offered = [gate.submit(ticket(number), 0.0) for number in range(3)]
        self.assertEqual([started(entry) for entry in offered], [[0], [1], []])
        decisions = gate.finish(0, CompletionStatus.SUCCEEDED, SERVICE_SECONDS, 0.1)
        self.assertEqual(started(decisions), [2])

    def test_kind_never_runs_more_than_its_slots_max(self):
        gate = AdmissionController(4)
        for number in range(3):
            gate.submit(ticket(number, slots_max=1), 0.0)
        self.assertEqual(gate.report(0.0).in_flight, 1)
        other = gate.submit(ticket(9, kind="history"), 0.0)
        self.assertEqual(started(other), [9])
        self.assertEqual(
            started(gate.finish(0, CompletionStatus.SUCCEEDED, SERVICE_SECONDS, 0.1)), [1]
        )

    def test_call_that_cannot_end_in_time_takes_no_slot_while_others_wait(self):
        gate = AdmissionController(1)
        gate.submit(ticket(0), 0.0)
        gate.finish(0, CompletionStatus.SUCCEEDED, 1.0, 1.0)
        gate.submit(ticket(1), 1.0)
        gate.submit(ticket(2, deadline=2.5), 1.0)
        gate.submit(ticket(3), 1.0)
        decisions = gate.finish(1, CompletionStatus.SUCCEEDED, 1.0, 2.0)
        self.assertEqual(refused(decisions), {2: NotRunReason.DEADLINE})
        self.assertEqual(started(decisions), [3])

    def test_next_tick_advances_so_that_its_caller_does_not_busy_wait(self):
        gate = AdmissionController(1)
        gate.submit(ticket(0), 0.0)
        gate.submit(ticket(1, deadline=0.35), 0.0)
        now, ticks = 0.0, 0
        while (due := gate.next_tick(now)) is not None and ticks < 100:
            now, ticks = due, ticks + 1
            gate.tick(now)
        self.assertLess(ticks, 10)

    def test_drain_refuses_queued_and_new_calls(self):
        gate = AdmissionController(1)
        gate.submit(ticket(0), 0.0)
        gate.submit(ticket(1), 0.0)
        self.assertEqual(refused(gate.drain(0.1)), {1: NotRunReason.DRAINING})
        self.assertEqual(refused(gate.submit(ticket(2), 0.2)), {2: NotRunReason.DRAINING})
        self.assertEqual(gate.report(0.2).in_flight, 1)

    def test_crash_starts_the_limit_at_one_and_the_ramp_follows_the_cold_start(self):
        gate = AdmissionController(10, cold_start_seconds=5.0)
        gate.submit(ticket(0), 0.0)
        gate.finish(0, CompletionStatus.CRASHED, 0.0, 1.0)
        limits = [gate.report(now).limit for now in (1.0, 2.0, 3.5, 6.0)]
        self.assertEqual(limits, [1, 2, 5, 10])

    def test_unknown_cold_start_grows_from_one_with_each_success(self):
        gate = AdmissionController(4)
        gate.begin_cold_start(0.0)
        for number in range(6):
            gate.submit(ticket(number), 0.0)
        self.assertEqual(gate.report(0.0).in_flight, 1)
        gate.finish(0, CompletionStatus.SUCCEEDED, SERVICE_SECONDS, 0.1)
        self.assertEqual(gate.report(0.1).in_flight, 2)

    def test_overloaded_upstream_lowers_the_limit_once_per_interval(self):
        gate = AdmissionController(10)
        for number in range(10):
            gate.submit(ticket(number), 0.0)
        for number in range(5):
            gate.finish(number, CompletionStatus.OVERLOADED, SERVICE_SECONDS, 0.1)
        self.assertEqual(gate.report(0.1).limit, 9)

    def test_no_call_is_both_started_and_refused_and_none_is_forgotten(self):
        rng = random.Random(5)
        gate, now, running, decided = AdmissionController(3), 0.0, set(), {}
        cancelled = set()
        for number in range(2000):
            now += rng.expovariate(50)
            rank = rng.randrange(3)
            entry = ticket(number, now + rng.random(), rank=rank, kind=f"kind-{rank}", slots_max=2)
            decisions = gate.submit(entry, now)
            if running and rng.random() < 0.6:
                ended = running.pop()
                decisions += gate.finish(ended, CompletionStatus.SUCCEEDED, SERVICE_SECONDS, now)
            if rng.random() < 0.05 and number not in {entry.ticket_id for entry in decisions}:
                gate.cancel(number, now)
                cancelled.add(number)
            decisions += gate.tick(now)
            for decision in decisions:
                self.assertNotIn(decision.ticket_id, decided)
                decided[decision.ticket_id] = decision
            running |= set(started(decisions))
            self.assertLessEqual(gate.report(now).in_flight, 3)
        for decision in gate.drain(now):
            self.assertNotIn(decision.ticket_id, decided)
            decided[decision.ticket_id] = decision
        self.assertEqual(set(decided) | cancelled, set(range(2000)))
        self.assertFalse(set(decided) & cancelled)
