"""A failed attempt is retried only if that is safe and the allowance and the budget allow it."""

import random
import unittest

from bamboojunction.core.outcomes import NotRun, NotRunReason, Ran, Unknown, UnknownReason
from bamboojunction.core.retries.policy import FINAL_REASONS, GiveUp, RetryAfter, RetryPolicy
from bamboojunction.core.table.rows import Effect, Row

IDEMPOTENT = Row("read", 1, 1, Effect.IDEMPOTENT, 1000, retries=3)
ONCE = Row("pay", 0, 1, Effect.ONCE, 1000, retries=3)
LOST = Unknown(UnknownReason.LOST_LINK)
FULL = NotRun(NotRunReason.FULL, retry_after=0.2)
FAR_DEADLINE = 1e9


def policy_with_budget(seed: int = 1) -> RetryPolicy:
    policy = RetryPolicy(random.Random(seed))
    succeed(policy, 400, 0.0)
    return policy


def succeed(policy: RetryPolicy, count: int, now: float) -> None:
    for _ in range(count):
        policy.decide(IDEMPOTENT, Ran(200), 3, FAR_DEADLINE, now)


class EffectTests(unittest.TestCase):
    def test_at_most_once_kinds_are_retried_only_after_a_refusal(self):
        policy = policy_with_budget()
        for outcome in (LOST, Ran(500), Unknown(UnknownReason.LOST_UPSTREAM)):
            self.assertEqual(GiveUp(), policy.decide(ONCE, outcome, 3, FAR_DEADLINE, 0.0))
        self.assertIsInstance(policy.decide(ONCE, FULL, 3, FAR_DEADLINE, 0.0), RetryAfter)

    def test_idempotent_kinds_are_retried_after_a_loss_or_a_server_error(self):
        policy = policy_with_budget()
        for outcome in (LOST, Ran(503)):
            self.assertIsInstance(
                policy.decide(IDEMPOTENT, outcome, 3, FAR_DEADLINE, 0.0), RetryAfter
            )

    def test_client_errors_are_not_retried(self):
        self.assertEqual(
            GiveUp(), policy_with_budget().decide(IDEMPOTENT, Ran(404), 3, FAR_DEADLINE, 0.0)
        )

    def test_final_refusals_are_not_retried(self):
        policy = policy_with_budget()
        for reason in FINAL_REASONS:
            outcome = NotRun(reason)
            self.assertEqual(GiveUp(), policy.decide(IDEMPOTENT, outcome, 3, FAR_DEADLINE, 0.0))

    def test_nothing_is_retried_after_the_caller_cancelled_or_timed_out(self):
        for reason in (UnknownReason.CANCELLED, UnknownReason.DEADLINE):
            decision = policy_with_budget().decide(
                IDEMPOTENT, Unknown(reason), 3, FAR_DEADLINE, 0.0
            )
            self.assertEqual(GiveUp(), decision)


class DelayTests(unittest.TestCase):
    def test_the_delay_is_at_least_the_requested_one_and_has_jitter(self):
        policy = policy_with_budget()
        decisions = [policy.decide(IDEMPOTENT, FULL, 3, FAR_DEADLINE, 0.0) for _ in range(20)]
        delays = [decision.delay for decision in decisions]
        self.assertGreaterEqual(min(delays), 0.2)
        self.assertLessEqual(max(delays), 0.3)
        self.assertEqual(20, len(set(delays)))

    def test_no_retry_starts_after_the_deadline(self):
        self.assertEqual(GiveUp(), policy_with_budget().decide(IDEMPOTENT, FULL, 3, 0.1, 0.0))

    def test_refusals_cost_allowance_too(self):
        self.assertEqual(
            GiveUp(), policy_with_budget().decide(IDEMPOTENT, FULL, 0, FAR_DEADLINE, 0.0)
        )


class BudgetTests(unittest.TestCase):
    def test_a_new_router_has_nothing_to_spend(self):
        policy = RetryPolicy(random.Random(1))
        self.assertEqual(GiveUp(), policy.decide(IDEMPOTENT, LOST, 3, FAR_DEADLINE, 0.0))

    def test_a_refusal_by_a_draining_or_unreachable_instance_needs_no_budget(self):
        policy = RetryPolicy(random.Random(1))
        for reason in (NotRunReason.DRAINING, NotRunReason.UNREACHABLE):
            outcome = NotRun(reason)
            self.assertIsInstance(policy.decide(ONCE, outcome, 1, FAR_DEADLINE, 0.0), RetryAfter)
            self.assertEqual(GiveUp(), policy.decide(ONCE, outcome, 0, FAR_DEADLINE, 0.0))

    def test_unspent_retries_expire(self):
        policy = policy_with_budget()
        self.assertEqual(GiveUp(), policy.decide(IDEMPOTENT, LOST, 3, FAR_DEADLINE, 10.0))

    def test_a_whole_fleet_stays_within_a_tenth_in_a_full_outage(self):
        # Routers have very different traffic, and keep unspent retries from before the outage.
        for seed in range(10):
            rng = random.Random(seed)
            first_attempts = retries = 0
            for router in range(200):
                policy = RetryPolicy(random.Random(rng.random()))
                rate = (0.2, 1.0, 10.0, 50.0)[router % 4]
                succeed_over_time(policy, rate, 20.0)
                outage_first_attempts, outage_retries = fail_over_time(policy, rate, 20.0, 25.0)
                first_attempts += outage_first_attempts
                retries += outage_retries
            self.assertLessEqual(first_attempts + retries, 1.1 * first_attempts, f"seed {seed}")
            self.assertGreater(retries, 0)

    def test_a_tenth_of_failures_can_be_retried_in_steady_traffic(self):
        policy = RetryPolicy(random.Random(1))
        granted = failed = 0
        for number in range(20_000):
            now = number / 100
            if number % 20:
                succeed(policy, 1, now)
                continue
            failed += 1
            granted += isinstance(policy.decide(IDEMPOTENT, LOST, 3, FAR_DEADLINE, now), RetryAfter)
        self.assertGreater(granted, 0.9 * failed)


def succeed_over_time(policy: RetryPolicy, rate: float, seconds: float) -> None:
    for number in range(int(rate * seconds)):
        succeed(policy, 1, number / rate)


def fail_over_time(policy: RetryPolicy, rate: float, start: float, end: float) -> tuple[int, int]:
    first_attempts = int(rate * (end - start))
    retries = 0
    for number in range(first_attempts):
        allowance = 3
        while allowance:
            decision = policy.decide(
                IDEMPOTENT, LOST, allowance, FAR_DEADLINE, start + number / rate
            )
            if isinstance(decision, GiveUp):
                break
            retries += 1
            allowance -= 1
    return first_attempts, retries
