"""The decision whether a request is answered, sent to another gate or repeated.

Load pattern: a service at the end of call chains is short of room and refuses a part of its calls.
Each call is repeated only where it was refused. If the calls above it were repeated too, one
refusal would cost a repeat at each service of the chain, and the calls that a repeat makes count as
repeats as well. A call below may also fail because the node that sent it is cut off or has just
started; then the call above is repeated, as another instance may reach the service.
"""

from dataclasses import dataclass
from enum import Enum, auto

from bamboojunction.core.outcomes import NotRun, NotRunReason, Outcome, Ran, Unknown, UnknownReason
from bamboojunction.core.retries.chain_budget import ChainRetryBudget
from bamboojunction.core.retries.fleet_budget import FleetRetryBudget
from bamboojunction.core.table.rows import Effect, Row

SERVER_ERROR_STATUS = 500
# Reasons that prove that the request never reached an upstream: the gate refused it or could not be
# reached.
REFUSED_BEFORE_UPSTREAM = frozenset(
    {
        NotRunReason.DRAINING,
        NotRunReason.FULL,
        NotRunReason.SHED,
        NotRunReason.UNREACHABLE,
    }
)
# Reasons that tell that a service is short of room.
SHORTAGE_REASONS = frozenset(
    {
        NotRunReason.DEADLINE,
        NotRunReason.FULL,
        NotRunReason.SHED,
        NotRunReason.SHED_AT_EDGE,
        NotRunReason.UPSTREAM_REFUSED,
    }
)
# Limit on the gate refusals of one request, so that it ends when every gate refuses it.
MOVES_MAX = 6


class Step(Enum):
    """The next step after an attempt of a request."""

    ANSWER = auto()
    MOVE_ON = auto()
    REPEAT = auto()


@dataclass(slots=True)
class RequestAttempts:
    """The attempts of one request so far.

    ``moves`` counts those that ended with a reason in ``REFUSED_BEFORE_UPSTREAM``, and ``arrivals``
    the others that were sent to an instance.
    """

    arrivals: int = 0
    moves: int = 0


def next_step(
    row: Row,
    outcome: Outcome,
    attempts: RequestAttempts,
    budget: FleetRetryBudget | ChainRetryBudget,
    deadline: float,
    now: float,
) -> Step:
    """Return the next step after an attempt that ended with ``outcome``.

    ``attempts`` includes that attempt. A repeat spends one retry of the budget; a move to another
    gate spends none. A request that may have run is repeated only if its kind is idempotent.
    """
    if now >= deadline:
        return Step.ANSWER
    match outcome:
        case Ran(status=status) if status < SERVER_ERROR_STATUS:
            return Step.ANSWER
        case Ran(failed_below=True):
            return Step.ANSWER
        case NotRun(reason=reason) if reason in REFUSED_BEFORE_UPSTREAM:
            return Step.MOVE_ON if attempts.moves < MOVES_MAX else Step.ANSWER
        case NotRun(reason=NotRunReason.UPSTREAM_REFUSED):
            may_repeat = True
        case NotRun() | Unknown(reason=UnknownReason.CANCELLED | UnknownReason.DEADLINE):
            may_repeat = False
        case _:
            may_repeat = row.effect is Effect.IDEMPOTENT
    if may_repeat and attempts.arrivals <= row.retries and budget.spend(now):
        return Step.REPEAT
    return Step.ANSWER


def shows_shortage(outcome: Outcome) -> bool:
    """Return whether a call was not served as its service, or one below it, is short of room."""
    match outcome:
        case Ran(failed_below=failed_below):
            return failed_below
        case NotRun(reason=reason):
            return reason in SHORTAGE_REASONS
    return False
