"""The messages between the gate's driver and the poison guard."""

from dataclasses import dataclass

from bamboojunction.core.outcomes import NotRun


@dataclass(slots=True, frozen=True)
class Ban:
    """Refuse a fingerprint until ``until``, in seconds on the local monotonic clock."""

    fingerprint: int
    until: float


@dataclass(slots=True, frozen=True)
class Suspicion:
    """Tell of a request that was in flight when the upstream of ``instance`` crashed.

    ``crash`` is unique to the crash, so that one that is told twice counts once. The request may
    run again, alone, from ``hold_until`` on, and is forgotten at ``until``; both are in seconds on
    the local monotonic clock.
    """

    fingerprint: int
    instance: str
    crash: str
    hold_until: float
    until: float


@dataclass(slots=True, frozen=True)
class Clearance:
    """Tell that a suspected request ran to its end, or that another one is to blame."""

    fingerprint: int


Finding = Ban | Suspicion | Clearance


@dataclass(slots=True, frozen=True)
class RunFreely:
    """Tell the driver to serve the call as usual."""


@dataclass(slots=True, frozen=True)
class RunAlone:
    """Tell the driver to serve the suspect now; no other suspect runs here meanwhile."""


@dataclass(slots=True, frozen=True)
class HoldSuspect:
    """Tell the driver to ask again after ``seconds``, while the call's deadline allows it."""

    seconds: float


@dataclass(slots=True, frozen=True)
class RefuseSuspect:
    """Tell the driver to answer the call as not run."""

    outcome: NotRun


Verdict = RunFreely | RunAlone | HoldSuspect | RefuseSuspect
