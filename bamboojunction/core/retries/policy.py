"""The decision whether an attempt is followed by another."""

import random
from dataclasses import dataclass

from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason
from bamboojunction.core.retries.budget import RetryBudget
from bamboojunction.core.table.rows import Effect, Row

# Refusals that another attempt cannot change, or that ask for no more attempts.
FINAL_REASONS = frozenset(
    {
        NotRunReason.BUDGET,
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
# Refusals by an instance that is leaving, dead or not the one where a suspect may run. Another
# attempt goes to another instance and adds no execution, so it costs allowance but nothing of the
# budget, which an idle router has not got.
HANDOVER_REASONS = frozenset(
    {NotRunReason.DRAINING, NotRunReason.QUARANTINED, NotRunReason.UNREACHABLE}
)
# The caller went away or has no time left.
FINAL_UNKNOWN_REASONS = frozenset({UnknownReason.CANCELLED, UnknownReason.DEADLINE})
SERVER_ERROR_STATUS = 500
# A retry waits as long as it was told and up to half as long again, at least a random part of this.
DELAY_JITTER = 0.5
DELAY_MIN_SECONDS = 0.02


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Return the outcome to the caller."""


@dataclass(slots=True, frozen=True)
class RetryAfter:
    """Spend one retry, ``delay`` seconds from now."""

    delay: float


RetryDecision = GiveUp | RetryAfter


class RetryPolicy:
    """Decide on retries for one service, from the allowance and the retry budget."""

    __slots__ = ("_budget", "_random")

    def __init__(self, rng: random.Random | None = None):
        self._random = rng or random.Random()
        self._budget = RetryBudget(self._random)

    def decide(
        self, row: Row, outcome: Outcome, allowance: int, deadline: float, now: float
    ) -> RetryDecision:
        """Choose between another attempt and giving up.

        A refusal costs as much of the allowance as a failure.
        """
        if isinstance(outcome, Ran) and outcome.status < SERVER_ERROR_STATUS:
            self._budget.succeeded(now)
            return GiveUp()
        if allowance < 1 or not may_run_again(row, outcome):
            return GiveUp()
        delay = self._delay(outcome)
        if now + delay >= deadline:
            return GiveUp()
        if not _is_handover(outcome) and not self._budget.spend(now):
            return GiveUp()
        return RetryAfter(delay)

    def _delay(self, outcome: Outcome) -> float:
        told = outcome.retry_after if isinstance(outcome, NotRun) else 0.0
        spread = max(told * DELAY_JITTER, DELAY_MIN_SECONDS)
        return told + spread * self._random.random()


def _is_handover(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason in HANDOVER_REASONS


def may_run_again(row: Row, outcome: Outcome) -> bool:
    """Return whether the effect of the kind allows another attempt after this outcome."""
    match outcome:
        case NotRun(reason=reason):
            return reason not in FINAL_REASONS
        case Unknown(reason=reason) if reason in FINAL_UNKNOWN_REASONS:
            return False
    return row.effect is Effect.IDEMPOTENT
