"""The three outcomes of a call: ran, not run and unknown."""

from dataclasses import dataclass, replace
from enum import StrEnum


class NotRunReason(StrEnum):
    """Why a call was refused before any of it ran."""

    SHED = "shed"
    SHED_AT_EDGE = "shed-at-edge"
    DEADLINE = "deadline"
    DRAINING = "draining"
    NO_UPSTREAM = "no-upstream"
    UNREACHABLE = "unreachable"
    LIMIT = "limit"
    RETRY_BUDGET = "retry-budget"
    KEY_REQUIRED = "key-required"
    KEY_INVALID = "key-invalid"
    POISONED = "poisoned"
    QUARANTINED = "quarantined"
    CANCELLED = "cancelled"
    TOO_LARGE = "too-large"
    SETTLED_NOT_RUN = "settled-not-run"
    FULL = "full"
    UPSTREAM_REFUSED = "upstream-refused"
    NO_CONFIGURATION = "no-configuration"


class UnknownReason(StrEnum):
    """Why it is unknown whether a call ran."""

    LOST_LINK = "lost-link"
    LOST_UPSTREAM = "lost-upstream"
    LOST_HOME = "lost-home"
    TRUNCATED = "truncated-answer"
    TOO_LARGE = "answer-too-large"
    DEADLINE = "deadline"
    CANCELLED = "cancelled"
    WINDOW_CLOSED = "window-closed"
    STALE_ATTEMPT = "stale-attempt"
    KEY_REUSED = "key-reused"


@dataclass(slots=True, frozen=True)
class Ran:
    """The call ran; this is the whole answer of the upstream.

    ``failed_below`` is set if the call failed after one of its own child calls found a service
    short of room.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    allowance_left: int = 0
    failed_below: bool = False


@dataclass(slots=True, frozen=True)
class NotRun:
    """The call was refused and no part of it ran; ``retry_after`` is in seconds."""

    reason: NotRunReason
    retry_after: float = 0.0
    allowance_left: int = 0


@dataclass(slots=True, frozen=True)
class Unknown:
    """The call may or may not have run."""

    reason: UnknownReason
    allowance_left: int = 0


Outcome = Ran | NotRun | Unknown


def with_allowance(outcome: Outcome, allowance_left: int) -> Outcome:
    """Return an outcome with another number of retries left."""
    # Copying a data class takes longer than all comparisons of a call together.
    if outcome.allowance_left == allowance_left:
        return outcome
    return replace(outcome, allowance_left=allowance_left)
