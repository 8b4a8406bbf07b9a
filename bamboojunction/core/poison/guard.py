"""Refusal of requests that crash upstreams."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.poison.decisions import (
    Ban,
    Clearance,
    Finding,
    HoldSuspect,
    RefuseSuspect,
    RunAlone,
    RunFreely,
    Suspicion,
    Verdict,
)
from bamboojunction.core.poison.fingerprints import fingerprint_of

__all__ = ["Ban", "PoisonGuard", "fingerprint_of"]

CRASHES_TO_BAN = 2
BAN_SECONDS = 300.0
SUSPICION_SECONDS = 60.0
# How long connections that break after a crash still belong to it.
CRASH_GROUP_SECONDS = 1.0
# The time that the news of a crash needs, on top of the time the suspect ran before it.
HOLD_MARGIN_SECONDS = 0.25
ASK_AGAIN_SECONDS = 0.02
BANS_MAX = 10_000
SUSPECTS_MAX = 10_000
COMPLETED_MAX = 4_096
COMPLETED_SECONDS = 60.0


@dataclass(slots=True)
class _Run:
    fingerprint: int
    started_at: float
    alone: bool


@dataclass(slots=True)
class _Suspect:
    hold_until: float
    until: float
    crashes: set[str] = field(default_factory=set)
    instances: set[str] = field(default_factory=set)


class PoisonGuard:
    """Find the requests that crash upstreams, and refuse them.

    The driver asks ``admit`` before a call takes a slot, tells ``started`` when it is sent to the
    upstream, and then either ``completed`` (the upstream answered), ``crashed`` (its connection
    broke) or ``abandoned``. It sends the findings that these return to all nodes of the service,
    and passes those of others to ``learn``. A driver that gives up a call after ``RunAlone`` and
    before ``started`` calls ``released``.
    """

    __slots__ = (
        "_alone",
        "_bans_by_fingerprint",
        "_completed_at_by_fingerprint",
        "_crash_at",
        "_crash_name",
        "_crash_numbers",
        "_incarnation",
        "_instance",
        "_runs_by_ticket",
        "_suspects_by_fingerprint",
    )

    def __init__(self, instance: str = "", incarnation: str = ""):
        self._instance = instance
        self._incarnation = incarnation
        self._crash_numbers = itertools.count(1)
        self._crash_name = ""
        self._crash_at = float("-inf")
        self._alone: int | None = None
        self._bans_by_fingerprint: dict[int, Ban] = {}
        self._suspects_by_fingerprint: dict[int, _Suspect] = {}
        self._completed_at_by_fingerprint: dict[int, float] = {}
        self._runs_by_ticket: dict[int, _Run] = {}

    def admit(self, fingerprint: int, is_quarantine: Callable[[int], bool], now: float) -> Verdict:
        """Decide on a call before it takes a slot.

        ``is_quarantine`` says whether a suspect may run at this upstream; it is asked for suspects
        only.
        """
        if self.is_banned(fingerprint, now):
            ban = self._bans_by_fingerprint[fingerprint]
            return RefuseSuspect(NotRun(NotRunReason.POISONED, ban.until - now))
        suspect = self._suspect(fingerprint, now)
        if suspect is None:
            return RunFreely()
        if not is_quarantine(fingerprint):
            retry_after = max(0.0, suspect.hold_until - now)
            return RefuseSuspect(NotRun(NotRunReason.QUARANTINED, retry_after))
        if now < suspect.hold_until:
            return HoldSuspect(suspect.hold_until - now)
        if self._alone is not None:
            return HoldSuspect(ASK_AGAIN_SECONDS)
        self._alone = fingerprint
        return RunAlone()

    def recheck(self, fingerprint: int, alone: bool, now: float) -> NotRun | None:
        """Refuse a call that fell under suspicion while it waited for a slot."""
        if self.is_banned(fingerprint, now):
            return NotRun(NotRunReason.POISONED)
        if not alone and self.is_suspect(fingerprint, now):
            return NotRun(NotRunReason.QUARANTINED)
        return None

    def started(self, ticket_id: int, fingerprint: int, now: float) -> None:
        """Note a call that is sent to the upstream."""
        alone = self._alone == fingerprint
        self._runs_by_ticket[ticket_id] = _Run(fingerprint, now, alone)

    def completed(self, ticket_id: int, now: float) -> list[Finding]:
        """Note that the upstream answered a call, which clears its request."""
        run = self._end(ticket_id)
        self._remember_completed(run.fingerprint, now)
        if self._suspects_by_fingerprint.pop(run.fingerprint, None) is None:
            return []
        return [Clearance(run.fingerprint)]

    def abandoned(self, ticket_id: int) -> None:
        """Note a call that ended without telling anything of its request."""
        self._end(ticket_id)

    def released(self, fingerprint: int) -> None:
        """Let another suspect run, as this one will not start."""
        if self._alone == fingerprint:
            self._alone = None

    def crashed(self, ticket_id: int, now: float) -> list[Finding]:
        """Suspect all that was in flight when the connection of a call broke.

        The connections of one crash break one after the other; the first one counts for all.
        """
        run = self._runs_by_ticket[ticket_id]
        if now - self._crash_at <= CRASH_GROUP_SECONDS and run.started_at <= self._crash_at:
            self._end(ticket_id)
            return []
        self._crash_at = now
        self._crash_name = f"{self._instance}/{self._incarnation}/{next(self._crash_numbers)}"
        runs = list(self._runs_by_ticket.values())
        self._end(ticket_id)
        suspicions = [suspicion for run in runs if (suspicion := self._suspicion(run, now))]
        for suspicion in suspicions:
            self._add(suspicion)
        convictions = self._convict(runs, now)
        # Those that the conviction explains are not told of, lest peers count this crash too.
        remaining = [entry for entry in suspicions if self.is_suspect(entry.fingerprint, now)]
        return convictions + remaining

    def learn(self, finding: Finding, now: float) -> list[Finding]:
        """Take in a finding of a peer and return what it leads to here."""
        match finding:
            case Ban():
                self._ban(finding)
                return []
            case Clearance(fingerprint=fingerprint):
                # The suspicion may be on its way here still.
                self._remember_completed(fingerprint, now)
                self._suspects_by_fingerprint.pop(fingerprint, None)
                return []
            case Suspicion(fingerprint=fingerprint):
                if self._completed_lately(fingerprint, now):
                    return [Clearance(fingerprint)]
                suspect = self._add(finding)
                if len(suspect.crashes) < CRASHES_TO_BAN:
                    return []
                return self._convict([_Run(fingerprint, now, False)], now)

    def is_banned(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is refused now."""
        ban = self._bans_by_fingerprint.get(fingerprint)
        if ban is None:
            return False
        if ban.until > now:
            return True
        del self._bans_by_fingerprint[fingerprint]
        return False

    def is_suspect(self, fingerprint: int, now: float) -> bool:
        """Return whether a request may run only alone."""
        return self._suspect(fingerprint, now) is not None

    def crashed_instances(self, fingerprint: int) -> set[str]:
        """Return the instances at whose crashes a suspect was in flight."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return set() if suspect is None else suspect.instances

    def bans(self, now: float) -> list[Ban]:
        """Return the bans in force, for a node that has just joined."""
        return [ban for ban in self._bans_by_fingerprint.values() if ban.until > now]

    def _suspect(self, fingerprint: int, now: float) -> _Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.until > now:
            return suspect
        del self._suspects_by_fingerprint[fingerprint]
        return None

    def _end(self, ticket_id: int) -> _Run:
        run = self._runs_by_ticket.pop(ticket_id)
        if run.alone:
            self.released(run.fingerprint)
        return run

    def _suspicion(self, run: _Run, now: float) -> Suspicion | None:
        """Suspect a run unless its request has shown that it runs to its end."""
        if self._completed_lately(run.fingerprint, now):
            return None
        # Copies that started elsewhere before the crash show by then whether they crash too.
        hold_until = now + (now - run.started_at) + HOLD_MARGIN_SECONDS
        until = hold_until + SUSPICION_SECONDS
        return Suspicion(run.fingerprint, self._instance, self._crash_name, hold_until, until)

    def _add(self, suspicion: Suspicion) -> _Suspect:
        suspects = self._suspects_by_fingerprint
        suspect = suspects.get(suspicion.fingerprint)
        if suspect is None:
            _make_room(suspects, SUSPECTS_MAX)
            suspect = suspects[suspicion.fingerprint] = _Suspect(
                suspicion.hold_until, suspicion.until
            )
        suspect.crashes.add(suspicion.crash)
        suspect.instances.add(suspicion.instance)
        suspect.hold_until = max(suspect.hold_until, suspicion.hold_until)
        suspect.until = max(suspect.until, suspicion.until)
        return suspect

    def _convict(self, runs: list[_Run], now: float) -> list[Finding]:
        """Ban what was in flight at two crashes; a suspect that ran alone takes all the blame."""
        repeated = [run for run in runs if self._crashes(run.fingerprint) >= CRASHES_TO_BAN]
        alone = [run for run in repeated if run.alone]
        guilty = {run.fingerprint for run in alone or repeated}
        findings: list[Finding] = []
        for fingerprint in guilty:
            findings += self._explain(fingerprint, guilty)
            ban = Ban(fingerprint, now + BAN_SECONDS)
            self._ban(ban)
            findings.append(ban)
        return findings

    def _explain(self, culprit: int, guilty: set[int]) -> list[Finding]:
        """Clear the suspects that are not guilty and whose crashes one that is explains."""
        crashes = self._suspects_by_fingerprint[culprit].crashes
        explained = [
            fingerprint
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if fingerprint not in guilty and suspect.crashes <= crashes
        ]
        for fingerprint in explained:
            del self._suspects_by_fingerprint[fingerprint]
        return [Clearance(fingerprint) for fingerprint in explained]

    def _crashes(self, fingerprint: int) -> int:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return 0 if suspect is None else len(suspect.crashes)

    def _ban(self, ban: Ban) -> None:
        self._suspects_by_fingerprint.pop(ban.fingerprint, None)
        known = self._bans_by_fingerprint.get(ban.fingerprint)
        if known is not None and known.until >= ban.until:
            return
        if known is None:
            _make_room(self._bans_by_fingerprint, BANS_MAX)
        self._bans_by_fingerprint[ban.fingerprint] = ban

    def _completed_lately(self, fingerprint: int, now: float) -> bool:
        completed_at = self._completed_at_by_fingerprint.get(fingerprint)
        return completed_at is not None and now - completed_at <= COMPLETED_SECONDS

    def _remember_completed(self, fingerprint: int, now: float) -> None:
        completed = self._completed_at_by_fingerprint
        if completed.pop(fingerprint, None) is None:
            _make_room(completed, COMPLETED_MAX)
        completed[fingerprint] = now


def _make_room(entries: dict[int, object], entries_max: int) -> None:
    """Drop the oldest entry of a full dictionary."""
    if len(entries) >= entries_max:
        del entries[next(iter(entries))]
