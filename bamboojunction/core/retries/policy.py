"""The decision whether an attempt is followed by another."""

from dataclasses import dataclass

from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown
from bamboojunction.core.table.rows import Effect, Row

# Refusals that another attempt elsewhere cannot change.
FINAL_REASONS = frozenset(
    {
        NotRunReason.DEADLINE,
        NotRunReason.POISONED,
        NotRunReason.CANCELLED,
        NotRunReason.KEY_REQUIRED,
        NotRunReason.KEY_INVALID,
        NotRunReason.TOO_LARGE,
    }
)


@dataclass(slots=True, frozen=True)
class GiveUp:
    """Return the outcome to the caller."""


@dataclass(slots=True, frozen=True)
class RetryAfter:
    """Spend one retry, ``delay`` seconds from now."""

    delay: float


RetryDecision = GiveUp | RetryAfter


class RetryPolicy:
    """Decide on retries for one service, from the allowance and the retry budget.

    The budget is a ratio: successes deposit part of a retry, each retry withdraws a whole one.
    """

    __slots__ = ("_tokens",)

    DEPOSIT_PER_SUCCESS = 0.1
    TOKENS_MAX = 10.0

    def __init__(self):
        self._tokens = self.TOKENS_MAX

    def decide(
        self, row: Row, outcome: Outcome, allowance: int, deadline: float, now: float
    ) -> RetryDecision:
        """Choose between another attempt and giving up."""
        match outcome:
            case Ran(status=status) if status < 500:
                self._tokens = min(self.TOKENS_MAX, self._tokens + self.DEPOSIT_PER_SUCCESS)
                return GiveUp()
            case NotRun(reason=reason) if reason in FINAL_REASONS:
                return GiveUp()
            case Ran() | Unknown() if row.effect is Effect.ONCE:
                return GiveUp()
        delay = outcome.retry_after if isinstance(outcome, NotRun) else 0.0
        if allowance < 1 or self._tokens < 1 or now + delay >= deadline:
            return GiveUp()
        self._tokens -= 1
        return RetryAfter(delay)
