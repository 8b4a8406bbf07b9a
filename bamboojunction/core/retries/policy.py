"""The decision whether a failed attempt is retried."""

import random
from dataclasses import dataclass

from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason
from bamboojunction.core.retries.budget import RetryBudget
from bamboojunction.core.table.rows import Effect, Row

# Refusals that another attempt cannot change, or that ask callers not to retry.
FINAL_REASONS = frozenset(
    {
        NotRunReason.RETRY_BUDGET,
        NotRunReason.CANCELLED,
        NotRunReason.DEADLINE,
        NotRunReason.KEY_INVALID,
        NotRunReason.KEY_REQUIRED,
        NotRunReason.POISONED,
        NotRunReason.SHED,
        NotRunReason.SHED_AT_EDGE,
        NotRunReason.TOO_LARGE,
    }
)
# Refusals by an instance that is draining, unreachable or not the quarantine instance of a suspect.
# The next attempt goes to another instance and does not execute the call a second time. It
# therefore costs allowance but no retry budget, which a router with little traffic does not have.
INSTANCE_REFUSAL_REASONS = frozenset(
    {NotRunReason.DRAINING, NotRunReason.QUARANTINED, NotRunReason.UNREACHABLE}
)
# The caller disconnected or its deadline has passed.
FINAL_UNKNOWN_REASONS = frozenset({UnknownReason.CANCELLED, UnknownReason.DEADLINE})
SERVER_ERROR_STATUS = 500
# A retry waits for the delay that the refusal requested plus a random jitter. The jitter is at most
# this share of the requested delay, or ``JITTER_RANGE_MIN_SECONDS`` if that is longer.
DELAY_JITTER_SHARE = 0.5
JITTER_RANGE_MIN_SECONDS = 0.02


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Decision to return the outcome to the caller."""


@dataclass(slots=True, frozen=True)
class RetryAfter:
    """Decision to retry ``delay`` seconds from now."""

    delay: float


RetryDecision = GiveUp | RetryAfter


class RetryPolicy:
    """The retry policy for one service, which applies the allowance and the retry budget."""

    __slots__ = ("_budget", "_random")

    def __init__(self, rng: random.Random | None = None):
        self._random = rng or random.Random()
        self._budget = RetryBudget(self._random)

    def decide(
        self, row: Row, outcome: Outcome, allowance: int, deadline: float, now: float
    ) -> RetryDecision:
        """Decide whether to retry after ``outcome`` or to give up.

        A retry after a refusal costs as much of the allowance as a retry after a failure.
        """
        if isinstance(outcome, Ran) and outcome.status < SERVER_ERROR_STATUS:
            self._budget.record_success(now)
            return GiveUp()
        if allowance < 1 or not may_run_again(row, outcome):
            return GiveUp()
        delay = self._delay(outcome)
        if now + delay >= deadline:
            return GiveUp()
        if not _is_instance_refusal(outcome) and not self._budget.spend(now):
            return GiveUp()
        return RetryAfter(delay)

    def _delay(self, outcome: Outcome) -> float:
        requested_delay = outcome.retry_after if isinstance(outcome, NotRun) else 0.0
        jitter_range = max(requested_delay * DELAY_JITTER_SHARE, JITTER_RANGE_MIN_SECONDS)
        return requested_delay + jitter_range * self._random.random()


def _is_instance_refusal(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason in INSTANCE_REFUSAL_REASONS


def may_run_again(row: Row, outcome: Outcome) -> bool:
    """Return whether another attempt is safe and useful after this outcome."""
    match outcome:
        case NotRun(reason=reason):
            return reason not in FINAL_REASONS
        case Unknown(reason=reason) if reason in FINAL_UNKNOWN_REASONS:
            return False
    return row.effect is Effect.IDEMPOTENT
