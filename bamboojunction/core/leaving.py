"""The graceful stop of a node: what it waits for, in which order and for how long."""

from dataclasses import dataclass
from enum import Enum, auto

# Peers learn within this time that the node leaves; until then their calls are refused as not run.
NOTICE_SECONDS = 0.5

# How long a home that answered for keys waits for copies whose caller lost the first answer.
LATE_COPIES_SECONDS = 2.0

POLL_SECONDS = 0.05


class StopReason(Enum):
    """Say why a node closes its sockets."""

    FINISHED = auto()
    DEADLINE = auto()
    FORCED = auto()


@dataclass(slots=True, frozen=True)
class Work:
    """Count what would be cut if the node closed now.

    ``executing`` counts calls at the upstream, ``attempts`` the keys that run under this home and
    ``requests`` the requests of callers that have no answer yet. ``last_key_at`` is when this home
    last settled a key, in seconds on the local clock, or None when it never did.
    """

    executing: int = 0
    attempts: int = 0
    requests: int = 0
    last_key_at: float | None = None

    @property
    def is_done(self) -> bool:
        """Return whether closing would cut nothing."""
        return self.executing == 0 and self.attempts == 0 and self.requests == 0


@dataclass(slots=True, frozen=True)
class Wait:
    """Tell the driver to look again later; ``seconds`` is how much later."""

    seconds: float


@dataclass(slots=True, frozen=True)
class Close:
    """Tell the driver to close now; ``cut`` counts the calls that this cuts."""

    reason: StopReason
    cut: int


LeavingDecision = Wait | Close


class Leaving:
    """Decide when a node that was asked to stop may close.

    The driver first announces that the node drains, refuses new work as not run and hands the
    queue back, and then asks ``decide`` until it says to close. The node closes when nothing would
    be cut, peers have had time to learn, and the late copies of its keys have had time to come; at
    the latest at the stop deadline. A second signal closes at once.
    """

    __slots__ = ("_deadline", "_is_forced", "_started_at")

    def __init__(self, now: float, deadline_seconds: float):
        self._started_at = now
        self._deadline = now + deadline_seconds
        self._is_forced = False

    def force(self) -> None:
        """Close at the next decision: a second signal came."""
        self._is_forced = True

    def decide(self, work: Work, now: float) -> LeavingDecision:
        """Return whether to wait or to close."""
        cut = max(work.executing, work.attempts, work.requests)
        if self._is_forced:
            return Close(StopReason.FORCED, cut)
        if now >= self._deadline:
            reason = StopReason.FINISHED if work.is_done else StopReason.DEADLINE
            return Close(reason, cut)
        ready_at = self._ready_at(work)
        if work.is_done and now >= ready_at:
            return Close(StopReason.FINISHED, 0)
        return Wait(min(POLL_SECONDS, self._deadline - now))

    def _ready_at(self, work: Work) -> float:
        noticed_at = self._started_at + NOTICE_SECONDS
        if work.last_key_at is None:
            return noticed_at
        return max(noticed_at, work.last_key_at + LATE_COPIES_SECONDS)
