"""Outlier ejection: passive health checks of upstreams, ejection with backoff, and slow start."""

import math
from enum import Enum, auto

from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Ran,
    Unknown,
    UnknownReason,
)

CONNECTION_FAILURES_TO_EJECT = 2
TIMEOUTS_TO_EJECT = 3
FAILURE_RATE_SAMPLES_MIN = 10
FAILURE_RATE_TO_EJECT = 0.5
FAILURE_RATE_SMOOTHING_FACTOR = 0.1
UNRESPONSIVE_ATTEMPTS_MIN = 3
UNRESPONSIVE_SECONDS_MIN = 0.3
# Attempts that wait longer than this multiple of the expected time show an unresponsive upstream.
UNRESPONSIVE_FACTOR = 4.0
BACKOFF_INITIAL_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 15.0
PROBES_TO_READMIT = 3
SLOW_START_SECONDS = 5.0
SLOW_START_SHARE_MIN = 0.1
SERVER_ERROR_STATUS = 500


class HealthSignal(Enum):
    """What the end of an attempt tells about the health of the upstream."""

    SUCCEEDED = auto()
    REFUSED = auto()
    FAILED = auto()
    CONNECTION_FAILED = auto()
    TIMED_OUT = auto()
    DRAINING = auto()
    NONE = auto()


class HealthState(Enum):
    """Whether an upstream takes calls; an ejected one takes only single probes, when due."""

    ACTIVE = auto()
    EJECTED = auto()
    DRAINING = auto()


def health_signal(outcome: Outcome) -> HealthSignal:
    """Return what the outcome of an attempt tells about the health of the upstream."""
    match outcome:
        case Ran(status=status):
            return HealthSignal.FAILED if status >= SERVER_ERROR_STATUS else HealthSignal.SUCCEEDED
        case NotRun(reason=NotRunReason.DRAINING):
            return HealthSignal.DRAINING
        case NotRun(reason=NotRunReason.UNREACHABLE):
            return HealthSignal.CONNECTION_FAILED
        case NotRun(
            reason=NotRunReason.CANCELLED | NotRunReason.NO_UPSTREAM | NotRunReason.POISONED
        ):
            return HealthSignal.NONE
        case NotRun():
            return HealthSignal.REFUSED
        case Unknown(reason=UnknownReason.LOST_LINK | UnknownReason.LOST_UPSTREAM):
            return HealthSignal.CONNECTION_FAILED
        case Unknown(reason=UnknownReason.DEADLINE):
            return HealthSignal.TIMED_OUT
        case Unknown(reason=UnknownReason.TRUNCATED):
            return HealthSignal.FAILED
    return HealthSignal.NONE


class UpstreamHealth:
    """The health of one upstream, as the attempts of this node show it.

    Repeated connection failures or timeouts, a high rate of failures, or attempts that stay
    unanswered for too long eject the upstream. After a backoff it takes single probes. Once enough
    of them were answered without failure, it is readmitted with a share of its calls that rises to
    all of them. An upstream that was ejected as unresponsive is readmitted at its first such
    answer, without the slow start.
    """

    __slots__ = (
        "_backoff",
        "_connection_failures",
        "_failure_rate",
        "_failure_rate_samples",
        "_probes_answered",
        "_readmitted_at",
        "_timeouts",
        "_waiting_since",
        "ejected_as_unresponsive",
        "is_probing",
        "next_probe_at",
        "state",
    )

    def __init__(self):
        self.state = HealthState.ACTIVE
        self.next_probe_at = 0.0
        self.is_probing = False
        self.ejected_as_unresponsive = False
        self._backoff = BACKOFF_INITIAL_SECONDS
        self._connection_failures = 0
        self._timeouts = 0
        self._failure_rate = 0.0
        self._failure_rate_samples = 0
        self._probes_answered = 0
        self._readmitted_at = -math.inf
        self._waiting_since = 0.0

    def record_sent(self, is_only_attempt: bool, now: float) -> None:
        """Record a sent attempt; ``is_only_attempt`` is set if no other was in flight."""
        if is_only_attempt:
            self._waiting_since = now
        if self.state is HealthState.EJECTED:
            self.is_probing = True

    def is_unresponsive(self, in_flight: int, expected_seconds: float, now: float) -> bool:
        """Return whether several attempts have waited for an answer for too long."""
        if in_flight < UNRESPONSIVE_ATTEMPTS_MIN:
            return False
        timeout = max(UNRESPONSIVE_SECONDS_MIN, UNRESPONSIVE_FACTOR * expected_seconds)
        return now - self._waiting_since > timeout

    def record_signal(self, signal: HealthSignal, may_eject_on_failures: bool, now: float) -> None:
        """Record the end of an attempt.

        The failure rate ejects the upstream only if ``may_eject_on_failures`` is set.
        """
        if self.state is HealthState.EJECTED:
            if now < self.next_probe_at and signal in (
                HealthSignal.CONNECTION_FAILED,
                HealthSignal.TIMED_OUT,
            ):
                # The attempt was sent before the ejection, so it is no probe.
                return
            self.is_probing = False
        match signal:
            case HealthSignal.SUCCEEDED | HealthSignal.REFUSED:
                self._record_response(signal, now)
            case HealthSignal.FAILED:
                self._record_failure(may_eject_on_failures, now)
            case HealthSignal.CONNECTION_FAILED:
                self._connection_failures += 1
                self._eject_at_threshold(
                    self._connection_failures, CONNECTION_FAILURES_TO_EJECT, now
                )
            case HealthSignal.TIMED_OUT:
                self._timeouts += 1
                self._eject_at_threshold(self._timeouts, TIMEOUTS_TO_EJECT, now)
            case HealthSignal.DRAINING:
                self.state = HealthState.DRAINING

    def eject(self, now: float, is_unresponsive: bool = False) -> None:
        """Eject the upstream; a probe is due after the backoff, which doubles each time."""
        self.state = HealthState.EJECTED
        self.ejected_as_unresponsive = is_unresponsive
        self.is_probing = False
        self._probes_answered = 0
        self.next_probe_at = now + self._backoff
        self._backoff = min(BACKOFF_MAX_SECONDS, self._backoff * 2)

    def traffic_share(self, now: float) -> float:
        """Return the share of its normal calls that the upstream takes, below 1 in slow start."""
        elapsed = now - self._readmitted_at
        if elapsed >= SLOW_START_SECONDS:
            return 1.0
        return SLOW_START_SHARE_MIN + (1.0 - SLOW_START_SHARE_MIN) * elapsed / SLOW_START_SECONDS

    def is_probe_due(self, now: float) -> bool:
        """Return whether the upstream is ejected and may take an attempt as a probe."""
        return (
            self.state is HealthState.EJECTED and not self.is_probing and now >= self.next_probe_at
        )

    def _record_response(self, signal: HealthSignal, now: float) -> None:
        self._connection_failures = 0
        self._timeouts = 0
        self._waiting_since = now
        if signal is HealthSignal.SUCCEEDED:
            self._update_failure_rate(0.0)
        if self.state is not HealthState.EJECTED:
            self._reset_backoff(now)
            return
        self._probes_answered += 1
        if self.ejected_as_unresponsive or self._probes_answered >= PROBES_TO_READMIT:
            self._readmit(now)

    def _readmit(self, now: float) -> None:
        self.state = HealthState.ACTIVE
        self._failure_rate = 0.0
        self._failure_rate_samples = 0
        if not self.ejected_as_unresponsive:
            self._readmitted_at = now
        self.ejected_as_unresponsive = False

    def _reset_backoff(self, now: float) -> None:
        if now - self._readmitted_at >= SLOW_START_SECONDS:
            self._backoff = BACKOFF_INITIAL_SECONDS

    def _record_failure(self, may_eject_on_failures: bool, now: float) -> None:
        self._connection_failures = 0
        self._timeouts = 0
        self._waiting_since = now
        self._update_failure_rate(1.0)
        is_ejectable = (
            self.state is HealthState.ACTIVE
            and may_eject_on_failures
            and self._exceeds_failure_rate()
        )
        if is_ejectable or self.state is HealthState.EJECTED:
            self.eject(now)

    def _exceeds_failure_rate(self) -> bool:
        has_enough_samples = self._failure_rate_samples >= FAILURE_RATE_SAMPLES_MIN
        return has_enough_samples and self._failure_rate > FAILURE_RATE_TO_EJECT

    def _update_failure_rate(self, failure: float) -> None:
        self._failure_rate_samples += 1
        self._failure_rate += FAILURE_RATE_SMOOTHING_FACTOR * (failure - self._failure_rate)

    def _eject_at_threshold(self, count: int, threshold: int, now: float) -> None:
        if self.state is HealthState.DRAINING:
            return
        if self.state is HealthState.EJECTED or count >= threshold:
            self.eject(now)
