"""The decision whether a request moves on to another upstream."""

from dataclasses import dataclass
from enum import Enum, auto

from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason
from bamboojunction.core.retries.fleet_budget import FleetRepeatBudget
from bamboojunction.core.table.rows import Effect, Row

SERVER_ERROR_STATUS = 500
# Refusals by a gate or a lost peer: the request never reached an upstream.
FREE_REASONS = frozenset(
    {
        NotRunReason.DRAINING,
        NotRunReason.FULL,
        NotRunReason.SHED,
        NotRunReason.UNREACHABLE,
    }
)
# Gates that one request may ask, so that it ends when every one refuses.
MOVES_MAX = 6


class Step(Enum):
    """Say what follows an attempt."""

    ANSWER = auto()
    MOVE_ON = auto()
    REPEAT = auto()


@dataclass(slots=True)
class Progress:
    """Count what one request has used: arrivals at upstreams, and refusals before one."""

    arrivals: int = 0
    moves: int = 0


def next_step(
    row: Row,
    outcome: Outcome,
    progress: Progress,
    budget: FleetRepeatBudget,
    deadline: float,
    now: float,
) -> Step:
    """Decide after an attempt; ``progress`` counts the attempt already, and the budget is spent.

    A refusal before an upstream costs no repeat. Only idempotent work is repeated after it may
    have run.
    """
    if now >= deadline:
        return Step.ANSWER
    match outcome:
        case Ran(status=status) if status < SERVER_ERROR_STATUS:
            return Step.ANSWER
        case NotRun(reason=reason) if reason in FREE_REASONS:
            return Step.MOVE_ON if progress.moves < MOVES_MAX else Step.ANSWER
        case NotRun(reason=NotRunReason.UPSTREAM_REFUSED):
            may_repeat = True
        case NotRun() | Unknown(reason=UnknownReason.CANCELLED | UnknownReason.DEADLINE):
            may_repeat = False
        case _:
            may_repeat = row.effect is Effect.IDEMPOTENT
    if may_repeat and progress.arrivals <= row.retries and budget.spend(now):
        return Step.REPEAT
    return Step.ANSWER
