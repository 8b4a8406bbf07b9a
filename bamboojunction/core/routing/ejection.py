"""Ejection of upstreams by local evidence, and their slow re-entry."""

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

DEAD_ENDS_TO_EJECT = 2
TIMEOUTS_TO_EJECT = 3
FAULT_SAMPLES_MIN = 10
FAULT_RATE_TO_EJECT = 0.5
FAULT_WEIGHT = 0.1
SILENT_ATTEMPTS_MIN = 3
SILENCE_MIN_SECONDS = 0.3
SILENCE_FACTOR = 4.0
BACKOFF_FIRST_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 15.0
PROBES_TO_REENTER = 3
REENTRY_SECONDS = 5.0
REENTRY_SHARE_FIRST = 0.1
SERVER_ERROR_STATUS = 500


class Evidence(Enum):
    """Say what the end of an attempt tells about the upstream."""

    WORKING = auto()
    ANSWERED = auto()
    FAULT = auto()
    DEAD = auto()
    TIMED_OUT = auto()
    LEAVING = auto()
    NONE = auto()


class Standing(Enum):
    """Say whether an upstream takes calls; an ejected one takes single probes when due."""

    ACTIVE = auto()
    EJECTED = auto()
    LEAVING = auto()


def evidence_of(outcome: Outcome) -> Evidence:
    """Return what an outcome tells about the upstream that it came from."""
    match outcome:
        case Ran(status=status):
            return Evidence.FAULT if status >= SERVER_ERROR_STATUS else Evidence.WORKING
        case NotRun(reason=NotRunReason.DRAINING):
            return Evidence.LEAVING
        case NotRun(reason=NotRunReason.UNREACHABLE):
            return Evidence.DEAD
        case NotRun(reason=NotRunReason.CANCELLED | NotRunReason.NO_UPSTREAM):
            return Evidence.NONE
        case NotRun():
            return Evidence.ANSWERED
        case Unknown(reason=UnknownReason.LOST_LINK | UnknownReason.LOST_UPSTREAM):
            return Evidence.DEAD
        case Unknown(reason=UnknownReason.DEADLINE):
            return Evidence.TIMED_OUT
        case Unknown(reason=UnknownReason.TRUNCATED):
            return Evidence.FAULT
    return Evidence.NONE


class Health:
    """Follow the evidence on one upstream."""

    __slots__ = (
        "_backoff",
        "_dead_ends",
        "_fault_rate",
        "_fault_samples",
        "_probes_passed",
        "_reentered_at",
        "_silent_since",
        "_timeouts",
        "by_silence",
        "due_at",
        "probing",
        "standing",
    )

    def __init__(self):
        self.standing = Standing.ACTIVE
        self.due_at = 0.0
        self.probing = False
        self.by_silence = False
        self._backoff = BACKOFF_FIRST_SECONDS
        self._dead_ends = 0
        self._timeouts = 0
        self._fault_rate = 0.0
        self._fault_samples = 0
        self._probes_passed = 0
        self._reentered_at = -math.inf
        self._silent_since = 0.0

    def sent(self, first: bool, now: float) -> None:
        """Note an attempt that left; ``first`` when no other was in flight."""
        if first:
            self._silent_since = now
        if self.standing is Standing.EJECTED:
            self.probing = True

    def silent(self, in_flight: int, expected_seconds: float, now: float) -> bool:
        """Return whether the upstream owes answers for suspiciously long."""
        if in_flight < SILENT_ATTEMPTS_MIN:
            return False
        patience = max(SILENCE_MIN_SECONDS, SILENCE_FACTOR * expected_seconds)
        return now - self._silent_since > patience

    def observe(self, evidence: Evidence, fault_allowed: bool, now: float) -> None:
        """Take in the end of an attempt; ``fault_allowed`` lets faults alone eject."""
        if self.standing is Standing.EJECTED:
            if now < self.due_at and evidence in (Evidence.DEAD, Evidence.TIMED_OUT):
                # An attempt from before the ejection tells nothing new.
                return
            self.probing = False
        match evidence:
            case Evidence.WORKING | Evidence.ANSWERED:
                self._answered(evidence, now)
            case Evidence.FAULT:
                self._faulted(fault_allowed, now)
            case Evidence.DEAD:
                self._dead_ends += 1
                self._eject_at(self._dead_ends, DEAD_ENDS_TO_EJECT, now)
            case Evidence.TIMED_OUT:
                self._timeouts += 1
                self._eject_at(self._timeouts, TIMEOUTS_TO_EJECT, now)
            case Evidence.LEAVING:
                self.standing = Standing.LEAVING

    def eject(self, now: float, by_silence: bool = False) -> None:
        """Take the upstream out until a probe is due; each ejection in a row waits longer."""
        self.standing = Standing.EJECTED
        self.by_silence = by_silence
        self.probing = False
        self._probes_passed = 0
        self.due_at = now + self._backoff
        self._backoff = min(BACKOFF_MAX_SECONDS, self._backoff * 2)

    def share(self, now: float) -> float:
        """Return the share of its usual calls that an upstream takes after re-entry."""
        since = now - self._reentered_at
        if since >= REENTRY_SECONDS:
            return 1.0
        return REENTRY_SHARE_FIRST + (1.0 - REENTRY_SHARE_FIRST) * since / REENTRY_SECONDS

    def probe_due(self, now: float) -> bool:
        """Return whether an ejected upstream may take one attempt."""
        return self.standing is Standing.EJECTED and not self.probing and now >= self.due_at

    def _answered(self, evidence: Evidence, now: float) -> None:
        self._dead_ends = 0
        self._timeouts = 0
        self._silent_since = now
        if evidence is Evidence.WORKING:
            self._note_fault(0.0)
        if self.standing is not Standing.EJECTED:
            self._forget_backoff(now)
            return
        self._probes_passed += 1
        if self.by_silence or self._probes_passed >= PROBES_TO_REENTER:
            self._reenter(now)

    def _reenter(self, now: float) -> None:
        self.standing = Standing.ACTIVE
        self._fault_rate = 0.0
        self._fault_samples = 0
        if not self.by_silence:
            self._reentered_at = now
        self.by_silence = False

    def _forget_backoff(self, now: float) -> None:
        if now - self._reentered_at >= REENTRY_SECONDS:
            self._backoff = BACKOFF_FIRST_SECONDS

    def _faulted(self, fault_allowed: bool, now: float) -> None:
        self._dead_ends = 0
        self._timeouts = 0
        self._silent_since = now
        self._note_fault(1.0)
        ejectable = self.standing is Standing.ACTIVE and fault_allowed and self._is_faulty()
        if ejectable or self.standing is Standing.EJECTED:
            self.eject(now)

    def _is_faulty(self) -> bool:
        enough = self._fault_samples >= FAULT_SAMPLES_MIN
        return enough and self._fault_rate > FAULT_RATE_TO_EJECT

    def _note_fault(self, fault: float) -> None:
        self._fault_samples += 1
        self._fault_rate += FAULT_WEIGHT * (fault - self._fault_rate)

    def _eject_at(self, count: int, threshold: int, now: float) -> None:
        if self.standing is Standing.LEAVING:
            return
        if self.standing is Standing.EJECTED or count >= threshold:
            self.eject(now)
