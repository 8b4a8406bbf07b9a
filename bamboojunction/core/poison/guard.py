"""Detection of requests that crash upstreams, and the bans against them."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from bamboojunction.core.outcomes import NotRun, NotRunReason
from bamboojunction.core.poison.decisions import (
    Ban,
    Clearance,
    DelaySuspect,
    Finding,
    GuardDecision,
    RefuseSuspect,
    RunIsolated,
    RunNormally,
    Suspicion,
)
from bamboojunction.core.poison.fingerprints import fingerprint_of

__all__ = ["Ban", "PoisonGuard", "fingerprint_of"]

CRASHES_TO_BAN = 2
# A guard that does not isolate suspects bans all requests that were in flight at this many crashes.
CRASHES_TO_BAN_TOGETHER = 3
BAN_SECONDS = 300.0
SUSPICION_SECONDS = 60.0
# Connections that break within this time after a crash count as part of it.
CRASH_GROUP_SECONDS = 1.0
# Time for a suspicion to reach the other nodes, added to the time the suspect ran before the crash.
HOLD_MARGIN_SECONDS = 0.25
# Interval at which a held suspect is checked again while another suspect runs.
HOLD_RETRY_SECONDS = 0.02
BANS_MAX = 10_000
SUSPECTS_MAX = 10_000
COMPLETED_FINGERPRINTS_MAX = 4_096
COMPLETED_RETENTION_SECONDS = 60.0


@dataclass(slots=True)
class _RunningCall:
    fingerprint: int
    started_at: float
    is_isolated: bool


@dataclass(slots=True)
class _Suspect:
    hold_until: float
    expires_at: float
    crashes: set[str] = field(default_factory=set)
    instances: set[str] = field(default_factory=set)


class PoisonGuard:
    """The detector of requests that crash the upstream of this node.

    The driver calls ``admit`` before a call takes a slot, ``record_start`` when the call is sent to
    the upstream, and then either ``record_completion`` (the upstream answered), ``record_crash``
    (its connection broke) or ``record_abandoned``. It sends the findings that these return to all
    nodes of the service, and passes the findings of other nodes to ``apply_finding``. When a call
    that was answered ``RunIsolated`` is not started after all, the driver calls ``release``.

    Without ``isolates_suspects`` suspects run like any other call, as a delay costs more than the
    crash of one more upstream. A second crash then bans a request only if no other was in flight at
    both, and a third one bans all that were in flight at the three.
    """

    __slots__ = (
        "_bans_by_fingerprint",
        "_calls_by_ticket",
        "_completed_at_by_fingerprint",
        "_crash_numbers",
        "_incarnation",
        "_instance",
        "_isolated_fingerprint",
        "_isolates_suspects",
        "_last_crash_at",
        "_last_crash_id",
        "_suspects_by_fingerprint",
    )

    def __init__(self, instance: str = "", incarnation: str = "", isolates_suspects: bool = True):
        self._isolates_suspects = isolates_suspects
        self._instance = instance
        self._incarnation = incarnation
        self._crash_numbers = itertools.count(1)
        self._last_crash_id = ""
        self._last_crash_at = float("-inf")
        self._isolated_fingerprint: int | None = None
        self._bans_by_fingerprint: dict[int, Ban] = {}
        self._suspects_by_fingerprint: dict[int, _Suspect] = {}
        self._completed_at_by_fingerprint: dict[int, float] = {}
        self._calls_by_ticket: dict[int, _RunningCall] = {}

    def admit(
        self, fingerprint: int, may_run_suspect: Callable[[int], bool], now: float
    ) -> GuardDecision:
        """Decide whether a call may run, before it takes a slot.

        ``may_run_suspect`` returns whether this node is the quarantine instance of a fingerprint;
        it is called for suspects only.
        """
        if self.is_banned(fingerprint, now):
            ban = self._bans_by_fingerprint[fingerprint]
            return RefuseSuspect(NotRun(NotRunReason.POISONED, ban.expires_at - now))
        suspect = self._active_suspect(fingerprint, now)
        if suspect is None or not self._isolates_suspects:
            return RunNormally()
        if not may_run_suspect(fingerprint):
            retry_after = max(0.0, suspect.hold_until - now)
            return RefuseSuspect(NotRun(NotRunReason.QUARANTINED, retry_after))
        if now < suspect.hold_until:
            return DelaySuspect(suspect.hold_until - now)
        if self._isolated_fingerprint is not None:
            return DelaySuspect(HOLD_RETRY_SECONDS)
        self._isolated_fingerprint = fingerprint
        return RunIsolated()

    def recheck(self, fingerprint: int, is_isolated: bool, now: float) -> NotRun | None:
        """Return a refusal if a call became a suspect or was banned while it waited for a slot."""
        if self.is_banned(fingerprint, now):
            return NotRun(NotRunReason.POISONED)
        if self._isolates_suspects and not is_isolated and self.is_suspect(fingerprint, now):
            return NotRun(NotRunReason.QUARANTINED)
        return None

    def record_start(self, ticket_id: int, fingerprint: int, now: float) -> None:
        """Record that the call with this admission ticket is sent to the upstream."""
        is_isolated = self._isolated_fingerprint == fingerprint
        self._calls_by_ticket[ticket_id] = _RunningCall(fingerprint, now, is_isolated)

    def record_completion(self, ticket_id: int, now: float) -> list[Finding]:
        """Record that the upstream answered a call, which clears any suspicion of its request."""
        call = self._remove_call(ticket_id)
        self._remember_completed(call.fingerprint, now)
        if self._suspects_by_fingerprint.pop(call.fingerprint, None) is None:
            return []
        return [Clearance(call.fingerprint)]

    def record_abandoned(self, ticket_id: int) -> None:
        """Record that a call ended without evidence for or against its request."""
        self._remove_call(ticket_id)

    def release(self, fingerprint: int) -> None:
        """Let another suspect run, because this one has ended or will not start."""
        if self._isolated_fingerprint == fingerprint:
            self._isolated_fingerprint = None

    def record_crash(self, ticket_id: int, now: float) -> list[Finding]:
        """Suspect every request that was in flight when the connection of a call broke.

        The connections of one crash break one after the other; only the first one counts as a
        crash.
        """
        call = self._calls_by_ticket[ticket_id]
        if (
            now - self._last_crash_at <= CRASH_GROUP_SECONDS
            and call.started_at <= self._last_crash_at
        ):
            self._remove_call(ticket_id)
            return []
        self._last_crash_at = now
        self._last_crash_id = f"{self._instance}/{self._incarnation}/{next(self._crash_numbers)}"
        calls = list(self._calls_by_ticket.values())
        self._remove_call(ticket_id)
        suspicions = [suspicion for call in calls if (suspicion := self._new_suspicion(call, now))]
        for suspicion in suspicions:
            self._add_suspicion(suspicion)
        ban_findings = self._ban_repeat_suspects(calls, now)
        # Suspicions that a ban has cleared are not sent, so that peers do not count this crash.
        remaining_suspicions = [
            entry for entry in suspicions if self.is_suspect(entry.fingerprint, now)
        ]
        return ban_findings + remaining_suspicions

    def apply_finding(self, finding: Finding, now: float) -> list[Finding]:
        """Apply a finding of a peer and return the findings that follow from it at this node."""
        match finding:
            case Ban():
                self._add_ban(finding)
                return []
            case Clearance(fingerprint=fingerprint, has_completed=has_completed):
                if has_completed:
                    # The suspicion may arrive after its clearance.
                    self._remember_completed(fingerprint, now)
                self._suspects_by_fingerprint.pop(fingerprint, None)
                return []
            case Suspicion(fingerprint=fingerprint):
                if self._completed_recently(fingerprint, now):
                    return [Clearance(fingerprint)]
                suspect = self._add_suspicion(finding)
                # The other suspects of the crash are known to the guard that saw it.
                crashes_to_ban = (
                    CRASHES_TO_BAN if self._isolates_suspects else CRASHES_TO_BAN_TOGETHER
                )
                if len(suspect.crashes) < crashes_to_ban:
                    return []
                return self._ban_repeat_suspects([_RunningCall(fingerprint, now, False)], now)

    def is_banned(self, fingerprint: int, now: float) -> bool:
        """Return whether a ban of a request is in force."""
        ban = self._bans_by_fingerprint.get(fingerprint)
        if ban is None:
            return False
        if ban.expires_at > now:
            return True
        del self._bans_by_fingerprint[fingerprint]
        return False

    def is_suspect(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is under suspicion and may run only in isolation."""
        return self._active_suspect(fingerprint, now) is not None

    def crashed_instances(self, fingerprint: int) -> set[str]:
        """Return the instances that crashed while a suspect was in flight there."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return set() if suspect is None else suspect.instances

    def bans(self, now: float) -> list[Ban]:
        """Return the bans in force, to send them to a node that has just joined."""
        return [ban for ban in self._bans_by_fingerprint.values() if ban.expires_at > now]

    def _active_suspect(self, fingerprint: int, now: float) -> _Suspect | None:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or suspect.expires_at > now:
            return suspect
        del self._suspects_by_fingerprint[fingerprint]
        return None

    def _remove_call(self, ticket_id: int) -> _RunningCall:
        call = self._calls_by_ticket.pop(ticket_id)
        if call.is_isolated:
            self.release(call.fingerprint)
        return call

    def _new_suspicion(self, call: _RunningCall, now: float) -> Suspicion | None:
        """Return a suspicion of a call in flight, or None if its request completed recently."""
        if self._completed_recently(call.fingerprint, now):
            return None
        # At ``hold_until``, a duplicate that another node started before the crash has run at least
        # as long as this call had.
        hold_until = now + (now - call.started_at) + HOLD_MARGIN_SECONDS
        expires_at = hold_until + SUSPICION_SECONDS
        return Suspicion(
            call.fingerprint, self._instance, self._last_crash_id, hold_until, expires_at
        )

    def _add_suspicion(self, suspicion: Suspicion) -> _Suspect:
        suspects = self._suspects_by_fingerprint
        suspect = suspects.get(suspicion.fingerprint)
        if suspect is None:
            _evict_oldest(suspects, SUSPECTS_MAX)
            suspect = suspects[suspicion.fingerprint] = _Suspect(
                suspicion.hold_until, suspicion.expires_at
            )
        suspect.crashes.add(suspicion.crash_id)
        suspect.instances.add(suspicion.instance)
        suspect.hold_until = max(suspect.hold_until, suspicion.hold_until)
        suspect.expires_at = max(suspect.expires_at, suspicion.expires_at)
        return suspect

    def _ban_repeat_suspects(self, calls: list[_RunningCall], now: float) -> list[Finding]:
        """Ban the requests of ``calls`` that were in flight at ``CRASHES_TO_BAN`` crashes.

        When one of them ran in isolation, only that one is banned.
        """
        repeated = [call for call in calls if self._crash_count(call.fingerprint) >= CRASHES_TO_BAN]
        if not self._isolates_suspects and len({call.fingerprint for call in repeated}) > 1:
            repeated = [
                call
                for call in repeated
                if self._crash_count(call.fingerprint) >= CRASHES_TO_BAN_TOGETHER
            ]
        isolated = [call for call in repeated if call.is_isolated]
        to_ban = {call.fingerprint for call in isolated or repeated}
        findings: list[Finding] = []
        for fingerprint in to_ban:
            findings += self._clear_explained(fingerprint, to_ban)
            ban = Ban(fingerprint, now + BAN_SECONDS)
            self._add_ban(ban)
            findings.append(ban)
        return findings

    def _clear_explained(self, banned_fingerprint: int, to_ban: set[int]) -> list[Finding]:
        """Clear the other suspects that were in flight only at crashes of the banned request."""
        crashes = self._suspects_by_fingerprint[banned_fingerprint].crashes
        explained = [
            fingerprint
            for fingerprint, suspect in self._suspects_by_fingerprint.items()
            if fingerprint not in to_ban and suspect.crashes <= crashes
        ]
        for fingerprint in explained:
            del self._suspects_by_fingerprint[fingerprint]
        return [Clearance(fingerprint, has_completed=False) for fingerprint in explained]

    def _crash_count(self, fingerprint: int) -> int:
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return 0 if suspect is None else len(suspect.crashes)

    def _add_ban(self, ban: Ban) -> None:
        self._suspects_by_fingerprint.pop(ban.fingerprint, None)
        existing = self._bans_by_fingerprint.get(ban.fingerprint)
        if existing is not None and existing.expires_at >= ban.expires_at:
            return
        if existing is None:
            _evict_oldest(self._bans_by_fingerprint, BANS_MAX)
        self._bans_by_fingerprint[ban.fingerprint] = ban

    def _completed_recently(self, fingerprint: int, now: float) -> bool:
        completed_at = self._completed_at_by_fingerprint.get(fingerprint)
        return completed_at is not None and now - completed_at <= COMPLETED_RETENTION_SECONDS

    def _remember_completed(self, fingerprint: int, now: float) -> None:
        completed = self._completed_at_by_fingerprint
        if completed.pop(fingerprint, None) is None:
            _evict_oldest(completed, COMPLETED_FINGERPRINTS_MAX)
        completed[fingerprint] = now


def _evict_oldest(entries: dict[int, object], entries_max: int) -> None:
    """Evict the oldest entry of a dictionary that holds ``entries_max``."""
    if len(entries) >= entries_max:
        del entries[next(iter(entries))]
