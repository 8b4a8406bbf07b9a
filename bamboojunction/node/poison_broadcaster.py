"""Exchange of poison-request findings between the nodes of a service."""

import asyncio
from itertools import groupby

from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.poison.decisions import Ban, Clearance, Finding, Suspicion
from bamboojunction.core.poison.guard import PoisonGuard
from bamboojunction.core.poison.quarantine import quarantine_instance
from bamboojunction.links.messages import (
    AnyMessage,
    PoisonBan,
    PoisonClearance,
    PoisonSuspicions,
)
from bamboojunction.links.pool import LinkPool


class PoisonBroadcaster:
    """The broadcaster of the local poison guard's findings, which also receives those of peers.

    A poison request is one that crashes upstreams; the nodes of its service ban it together.
    """

    __slots__ = ("_guard", "_instance", "_links", "_loop", "_service", "_view")

    def __init__(
        self,
        instance: str,
        service: str,
        guard: PoisonGuard,
        view: MembershipView,
        links: LinkPool,
    ):
        self._instance = instance
        self._service = service
        self._guard = guard
        self._view = view
        self._links = links
        self._loop = asyncio.get_running_loop()
        for message_type in (PoisonBan, PoisonSuspicions, PoisonClearance):
            links.set_handler(message_type, self._handle_message)

    def may_run_suspect(self, fingerprint: int) -> bool:
        """Return whether a suspected request may run at this node's upstream."""
        instances = {entry.instance for entry in self._view.serving(self._service)}
        instances.add(self._instance)
        crashed_instances = self._guard.crashed_instances(fingerprint)
        return quarantine_instance(fingerprint, instances, crashed_instances) == self._instance

    def broadcast(self, findings: list[Finding]) -> None:
        """Send findings to every other serving node of the service."""
        messages = to_messages(findings, self._loop.time())
        peers = (
            entry for entry in self._view.serving(self._service) if entry.instance != self._instance
        )
        for peer in peers:
            for message in messages:
                self._links.send(peer.address, message)

    def send_bans(self, instance: str) -> None:
        """Send the bans in force to an instance of the service that has just joined."""
        now = self._loop.time()
        announcement = self._view.by_instance.get(instance)
        if announcement is None or announcement.service != self._service:
            return
        for message in to_messages(list(self._guard.bans(now)), now):
            self._links.send(announcement.address, message)

    def _handle_message(self, peer: str, message: AnyMessage) -> None:
        now = self._loop.time()
        for finding in to_findings(message, now):
            new_findings = self._guard.apply_finding(finding, now)
            if new_findings:
                self.broadcast(new_findings)


def to_messages(findings: list[Finding], now: float) -> list[AnyMessage]:
    """Return the messages that carry findings, with times as seconds from ``now``."""
    messages: list[AnyMessage] = []
    for finding in findings:
        match finding:
            case Ban(fingerprint=fingerprint, expires_at=expires_at):
                messages.append(PoisonBan(fingerprint, expires_at - now))
            case Clearance(fingerprint=fingerprint, has_completed=has_completed):
                messages.append(PoisonClearance(fingerprint, has_completed))
    suspicions = (finding for finding in findings if isinstance(finding, Suspicion))
    for crash_id, group in groupby(suspicions, key=lambda suspicion: suspicion.crash_id):
        members = list(group)
        messages.append(
            PoisonSuspicions(
                members[0].instance,
                crash_id,
                max(member.expires_at for member in members) - now,
                [member.fingerprint for member in members],
                [member.hold_until - now for member in members],
            )
        )
    return messages


def to_findings(message: AnyMessage, now: float) -> list[Finding]:
    """Return the findings that a message carries, with times on the local clock."""
    match message:
        case PoisonBan(fingerprint=fingerprint, remaining=remaining):
            return [Ban(fingerprint, now + remaining)]
        case PoisonClearance(fingerprint=fingerprint, has_completed=has_completed):
            return [Clearance(fingerprint, has_completed)]
        case PoisonSuspicions():
            return [
                Suspicion(
                    fingerprint,
                    message.instance,
                    message.crash,
                    now + hold_seconds,
                    now + message.remaining,
                )
                for fingerprint, hold_seconds in zip(
                    message.fingerprints, message.holds, strict=False
                )
            ]
    return []
