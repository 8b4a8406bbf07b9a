"""Decisions of the poison guard about a call, and the findings that guards exchange."""

from dataclasses import dataclass

from bamboojunction.core.outcomes import NotRun


@dataclass(slots=True, frozen=True)
class Ban:
    """A ban of a fingerprint until ``expires_at``, in seconds on the local monotonic clock."""

    fingerprint: int
    expires_at: float


@dataclass(slots=True, frozen=True)
class Suspicion:
    """A suspicion of a request that was in flight when the upstream of ``instance`` crashed.

    ``crash_id`` is a unique id of the crash, so that a suspicion received twice counts once. The
    request may run again, in isolation, from ``hold_until`` on, and the suspicion expires at
    ``expires_at``; both are in seconds on the local monotonic clock.
    """

    fingerprint: int
    instance: str
    crash_id: str
    hold_until: float
    expires_at: float


@dataclass(slots=True, frozen=True)
class Clearance:
    """The end of a suspicion: the request completed, or another one may explain its crashes.

    Only a request with ``has_completed`` is known to crash no upstream.
    """

    fingerprint: int
    has_completed: bool = True


Finding = Ban | Suspicion | Clearance


@dataclass(slots=True, frozen=True)
class RunNormally:
    """Decision to serve the call as usual."""


@dataclass(slots=True, frozen=True)
class RunIsolated:
    """Decision to serve the suspect now, while no other suspect runs at this upstream."""


@dataclass(slots=True, frozen=True)
class DelaySuspect:
    """Decision to hold the call.

    The guard is asked again after ``seconds``, unless the call's deadline is earlier.
    """

    seconds: float


@dataclass(slots=True, frozen=True)
class RefuseSuspect:
    """Decision to refuse the call with ``outcome``."""

    outcome: NotRun


GuardDecision = RunNormally | RunIsolated | DelaySuspect | RefuseSuspect
