"""A request is sent to another gate or repeated only if effect, attempts and budget allow it."""

import random
import unittest

from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason
from bamboojunction.core.retries.fleet_budget import FleetRetryBudget, RetryLimit
from bamboojunction.core.retries.forwarding import (
    MOVES_MAX,
    RequestAttempts,
    Step,
    next_step,
    shows_shortage,
)
from bamboojunction.core.table.rows import Effect, Row

RETRY_LIMIT = RetryLimit(ratio=0.2, slack=48.0, window=10.0)


def row(effect=Effect.IDEMPOTENT, retries=1):
    return Row("k", 0, 1, effect, 1000, retries)


def budget_with_repeats():
    return FleetRetryBudget(RETRY_LIMIT, 0.0)


class ForwardingTests(unittest.TestCase):
    def step(self, outcome, effect=Effect.IDEMPOTENT, progress=None, budget=None, now=10.0):
        progress = progress or RequestAttempts(arrivals=1)
        return next_step(row(effect), outcome, progress, budget or budget_with_repeats(), 20.0, now)

    def test_answers_are_final(self):
        self.assertIs(self.step(Ran(200)), Step.ANSWER)
        self.assertIs(self.step(Ran(404)), Step.ANSWER)

    def test_run_that_failed_for_a_child_call_is_not_repeated(self):
        self.assertIs(self.step(Ran(500)), Step.REPEAT)
        self.assertIs(self.step(Ran(500, failed_below=True)), Step.ANSWER)

    def test_only_refusals_for_lack_of_room_show_a_shortage(self):
        short = (NotRun(NotRunReason.UPSTREAM_REFUSED), NotRun(NotRunReason.SHED))
        for outcome in (*short, Ran(500, failed_below=True)):
            self.assertTrue(shows_shortage(outcome), outcome)
        local = (NotRun(NotRunReason.NO_UPSTREAM), NotRun(NotRunReason.UNREACHABLE))
        for outcome in (*local, NotRun(NotRunReason.NO_CONFIGURATION), Ran(500), Ran(200)):
            self.assertFalse(shows_shortage(outcome), outcome)
        self.assertFalse(shows_shortage(Unknown(UnknownReason.LOST_LINK)))

    def test_at_most_once_kinds_are_not_repeated_after_they_may_have_run(self):
        outcomes = (
            Ran(500),
            Unknown(UnknownReason.LOST_LINK),
            Unknown(UnknownReason.LOST_UPSTREAM),
            Unknown(UnknownReason.TRUNCATED),
        )
        for outcome in outcomes:
            with self.subTest(outcome=outcome):
                self.assertIs(self.step(outcome, Effect.ONCE), Step.ANSWER)
                self.assertIs(self.step(outcome), Step.REPEAT)

    def test_refusal_by_a_gate_moves_on_without_the_budget(self):
        empty = FleetRetryBudget(RETRY_LIMIT, 10.0)
        for reason in (NotRunReason.FULL, NotRunReason.DRAINING, NotRunReason.UNREACHABLE):
            step = self.step(NotRun(reason), Effect.ONCE, budget=empty)
            self.assertIs(step, Step.MOVE_ON)

    def test_refusal_by_an_upstream_costs_a_repeat(self):
        refusal = NotRun(NotRunReason.UPSTREAM_REFUSED)
        self.assertIs(self.step(refusal, Effect.ONCE), Step.REPEAT)
        empty = FleetRetryBudget(RETRY_LIMIT, 10.0)
        self.assertIs(self.step(refusal, Effect.ONCE, budget=empty), Step.ANSWER)

    def test_moves_attempts_and_time_are_limited(self):
        full = NotRun(NotRunReason.FULL)
        self.assertIs(self.step(full, progress=RequestAttempts(0, MOVES_MAX)), Step.ANSWER)
        self.assertIs(self.step(Ran(500), progress=RequestAttempts(arrivals=2)), Step.ANSWER)
        self.assertIs(self.step(Ran(500), now=20.0), Step.ANSWER)


class FleetBudgetTests(unittest.TestCase):
    def test_all_nodes_together_stay_within_the_limit_in_any_window(self):
        for nodes, requests_each in ((1, 0), (13, 20), (80, 3), (80, 100), (950, 1)):
            with self.subTest(nodes=nodes):
                spent = 0
                rng = random.Random(1)
                for _ in range(nodes):
                    budget = FleetRetryBudget(RETRY_LIMIT, 0.0, rng)
                    budget.node_count = nodes
                    now = 100.0
                    for _ in range(requests_each):
                        now += RETRY_LIMIT.window / requests_each
                        budget.record_request(now)
                        while budget.spend(now):
                            spent += 1
                    while budget.spend(100.0 + RETRY_LIMIT.window):
                        spent += 1
                requests = nodes * requests_each
                self.assertLessEqual(spent, RETRY_LIMIT.ratio * requests + RETRY_LIMIT.slack)
