"""Graceful shutdown of a node: what it waits for, in which order and for how long."""

from dataclasses import dataclass
from enum import Enum, auto

# Time for peers to learn that the node is draining. Until then it refuses their calls as not run.
DRAIN_NOTICE_SECONDS = 0.5

# Time after the last settled key during which a home still answers duplicates from callers that
# lost the first answer.
DUPLICATE_GRACE_SECONDS = 2.0

POLL_INTERVAL_SECONDS = 0.05


# Period after which a call no longer counts for the longest duration of its kind, at the earliest.
DURATION_PERIOD_SECONDS = 30.0

# A call may take longer than all recent ones of its kind, by up to this factor.
DURATION_FACTOR = 1.5

# Recent calls of a kind that tell its longest duration. Of durations from one distribution, the
# next one exceeds the longest of n with a probability of 1 / (n + 1).
DURATION_SAMPLES_MIN = 20

# Time for the answer of a call that ends just before the node closes.
ANSWER_MARGIN_SECONDS = 0.1


class StopReason(Enum):
    """The reason why a node closes its sockets."""

    FINISHED = auto()
    DEADLINE = auto()
    FORCED = auto()


@dataclass(slots=True, frozen=True)
class WorkInFlight:
    """The work in flight that would be cut off if the node closed now.

    ``executing`` counts the calls at the upstream, ``keys_in_flight`` the keys of this home that
    have an attempt in flight, and ``requests`` the requests of callers that have no answer yet.
    ``last_key_settled_at`` is the time at which this home last settled a key, in seconds on the
    local monotonic clock, or None when it never did.
    """

    executing: int = 0
    keys_in_flight: int = 0
    requests: int = 0
    last_key_settled_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Return whether no work is in flight."""
        return self.executing == 0 and self.keys_in_flight == 0 and self.requests == 0


@dataclass(slots=True, frozen=True)
class Wait:
    """Decision to check again in ``seconds``."""

    seconds: float


@dataclass(slots=True, frozen=True)
class Close:
    """Decision to close now, which cuts off ``cut`` calls."""

    reason: StopReason
    cut: int


ShutdownDecision = Wait | Close


class GracefulShutdown:
    """The rules by which a node that was asked to stop may close its sockets.

    The driver announces that the node is draining, refuses new and queued work as not run, and then
    polls ``decide`` until it returns ``Close``. The node closes once no work is in flight, peers
    have had ``DRAIN_NOTICE_SECONDS`` to learn that it is draining, and late duplicates of its keys
    have had ``DUPLICATE_GRACE_SECONDS`` to arrive; it closes at the stop deadline in any case. A
    second stop signal closes it at once.
    """

    __slots__ = ("_deadline", "_is_forced", "_started_at")

    def __init__(self, now: float, deadline_seconds: float):
        self._started_at = now
        self._deadline = now + deadline_seconds
        self._is_forced = False

    def force(self) -> None:
        """Make the next decision close the node, after a second stop signal."""
        self._is_forced = True

    def decide(self, work: WorkInFlight, now: float) -> ShutdownDecision:
        """Return whether to wait or to close, given the work in flight."""
        cut = max(work.executing, work.keys_in_flight, work.requests)
        if self._is_forced:
            return Close(StopReason.FORCED, cut)
        if now >= self._deadline:
            reason = StopReason.FINISHED if work.is_idle else StopReason.DEADLINE
            return Close(reason, cut)
        earliest_close_at = self._earliest_close_at(work)
        if work.is_idle and now >= earliest_close_at:
            return Close(StopReason.FINISHED, 0)
        return Wait(min(POLL_INTERVAL_SECONDS, self._deadline - now))

    def _earliest_close_at(self, work: WorkInFlight) -> float:
        peers_notified_at = self._started_at + DRAIN_NOTICE_SECONDS
        if work.last_key_settled_at is None:
            return peers_notified_at
        return max(peers_notified_at, work.last_key_settled_at + DUPLICATE_GRACE_SECONDS)


@dataclass(slots=True)
class DurationSamples:
    """The number of calls of a kind in one period, and their longest duration in seconds."""

    count: int = 0
    longest: float = 0.0


class CallDurations:
    """The longest duration of the recent calls of each kind.

    A call counts for one to two periods of ``DURATION_PERIOD_SECONDS``.
    """

    __slots__ = ("_current_by_kind", "_period_started_at", "_previous_by_kind")

    def __init__(self, now: float):
        self._period_started_at = now
        self._current_by_kind: dict[str, DurationSamples] = {}
        self._previous_by_kind: dict[str, DurationSamples] = {}

    def record(self, kind: str, seconds: float, now: float) -> None:
        """Record how long a call took."""
        self._start_period(now)
        samples = self._current_by_kind.setdefault(kind, DurationSamples())
        samples.count += 1
        samples.longest = max(samples.longest, seconds)

    def longest(self, kind: str, now: float) -> float | None:
        """Return the longest duration in seconds, or None if too few recent calls are known."""
        self._start_period(now)
        periods = (self._current_by_kind.get(kind), self._previous_by_kind.get(kind))
        samples = [each for each in periods if each is not None]
        if sum(each.count for each in samples) < DURATION_SAMPLES_MIN:
            return None
        return max(each.longest for each in samples)

    def _start_period(self, now: float) -> None:
        elapsed = now - self._period_started_at
        if elapsed < DURATION_PERIOD_SECONDS:
            return
        is_previous_recent = elapsed < 2 * DURATION_PERIOD_SECONDS
        self._previous_by_kind = self._current_by_kind if is_previous_recent else {}
        self._current_by_kind = {}
        self._period_started_at = now


@dataclass(slots=True, frozen=True)
class StopWindow:
    """The time that a stopping node has left to finish calls, until ``closes_at``.

    A call that is cut off when the node closes may have run, and a call of a kind that may run
    once only is lost then. A call that is refused before it starts can be served elsewhere.
    """

    closes_at: float

    def ends_within(self, deadline: float) -> bool:
        """Return whether a call ends before the node closes, however long it takes."""
        return deadline + ANSWER_MARGIN_SECONDS <= self.closes_at

    def has_room(self, deadline: float, longest: float | None, now: float) -> bool:
        """Return whether a call that starts now is expected to end before the node closes.

        ``longest`` is the longest recent duration of its kind in seconds. If it is not known, the
        call may take until its deadline.
        """
        if longest is None:
            return self.ends_within(deadline)
        return self.ends_within(min(deadline, now + DURATION_FACTOR * longest))
