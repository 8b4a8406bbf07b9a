"""The requests of a soak test and what was observed of them.

Times are in seconds on the clock of the soak test.
"""

from dataclasses import dataclass, field
from enum import StrEnum

BAD_GATEWAY_STATUS = 502


class RunEnd(StrEnum):
    """How an upstream ended a run."""

    ANSWERED = "answered"
    BROKEN_OFF = "broken off"
    CRASHED = "crashed"


class EndKind(StrEnum):
    """How the exchange of a request ended for its caller."""

    WHOLE = "whole"
    BROKEN = "broken"
    CLOSED = "closed"
    UNCONNECTED = "unconnected"
    TIMED_OUT = "timed out"


@dataclass(slots=True, eq=False)
class Run:
    """One run of a request at the upstream of ``machine``; ``instance`` is its incarnation.

    ``may_last_until`` is the end of the time that the upstream was given, None if none was told.
    """

    machine: str
    instance: str
    started_at: float
    may_last_until: float | None
    is_repeat: bool
    ended_at: float | None = None
    end: RunEnd | None = None

    def finish(self, now: float, end: RunEnd) -> None:
        """Record how the upstream ended the run."""
        self.ended_at, self.end = now, end

    def is_at_work(self, now: float) -> bool:
        """Return whether the upstream is at work on the run."""
        return self.started_at <= now and (self.ended_at is None or self.ended_at > now)


@dataclass(slots=True, frozen=True)
class Ending:
    """How a request ended for its caller.

    ``status`` is that of the answer, None without one. ``is_kept`` tells whether the connection
    had carried a request before.
    """

    at: float
    kind: EndKind
    status: int | None = None
    has_stamp: bool = False
    is_kept: bool = False


@dataclass(slots=True, eq=False)
class Request:
    """One request and what was observed of it.

    ``machine`` is the name of the machine whose node took it. ``timeout_at`` is when the timeout of
    its route passes, ``parent`` the run that made this call, None for a client's request.
    ``arrivals`` counts the upstreams that it reached, those that rejected it included.
    ``was_refused`` is true once a caller was answered that the request did not run.
    """

    service: str
    is_at_most_once: bool
    path: str
    deadline: float
    machine: str = ""
    sent_at: float = 0.0
    timeout_at: float = float("inf")
    attempts: int | None = None
    parent: Run | None = None
    runs: list[Run] = field(default_factory=list)
    arrivals: int = 0
    was_refused: bool = False
    ending: Ending | None = None

    @property
    def last_run(self) -> Run | None:
        """Return the run that started last."""
        return self.runs[-1] if self.runs else None

    @property
    def is_cut(self) -> bool:
        """Return whether its connection ended without a whole answer."""
        return self.ending.kind in (EndKind.CLOSED, EndKind.BROKEN)

    @property
    def is_replaced(self) -> bool:
        """Return whether the node's own failure ended it while its upstream was at work."""
        ending = self.ending
        is_own = ending.kind is EndKind.WHOLE and not ending.has_stamp and ending.status >= 500
        return is_own and any(run.is_at_work(ending.at) for run in self.runs)

    @property
    def is_upstreams_fault(self) -> bool:
        """Return whether the upstream that ran it last broke off before the request ended."""
        run = self.last_run
        return (
            run is not None
            and run.end in (RunEnd.BROKEN_OFF, RunEnd.CRASHED)
            and run.ended_at <= self.ending.at
        )
