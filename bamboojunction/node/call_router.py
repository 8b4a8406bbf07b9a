"""Call routing: sends attempts to gates and retries them within the retry allowance."""

import asyncio
from dataclasses import dataclass
from typing import Protocol

from bamboojunction.core.admission.edge import EdgeShedder
from bamboojunction.core.calls import Call
from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
    with_allowance,
)
from bamboojunction.core.poison.fingerprints import suspect_fingerprint
from bamboojunction.core.retries.combined_outcome import combined_outcome
from bamboojunction.core.retries.policy import GiveUp, RetryAfter, RetryPolicy
from bamboojunction.core.routing.router import AttemptResult, RouteChoice, Router, RouteRequest
from bamboojunction.core.table.rows import Effect, Row
from bamboojunction.links.convert import answer_to_reply, call_to_request
from bamboojunction.links.link import LinkFailure
from bamboojunction.links.messages import Target
from bamboojunction.links.pool import LinkPool
from bamboojunction.links.replies import GateReply


class Gate(Protocol):
    """An admission gate that runs call attempts at an upstream."""

    async def serve(self, call: Call) -> GateReply:
        """Serve one attempt and return the gate's reply."""


class KeyedAttemptTracker(Protocol):
    """A tracker that records each attempt of a keyed call at the home of its key."""

    def assign_attempt(self, call: Call, instance: str) -> bool:
        """Set the attempt in the call; return False if the instance may not be used."""

    def settle_and_begin_next(self, outcome: Outcome) -> bool:
        """Settle the attempt, begin the next one if allowed, and return whether it began."""


@dataclass(slots=True)
class AttemptProgress:
    """What the earlier attempts of a call mean for its next attempt.

    ``suspect`` is the request fingerprint that the next attempt treats as suspected of crashing
    upstreams, and ``earlier_outcome`` is the combined outcome so far. With ``only_untried`` the
    router chooses only instances that were not tried.
    """

    attempt_tracker: KeyedAttemptTracker | None
    tried_instances: frozenset[str] = frozenset()
    suspect: int | None = None
    earlier_outcome: Outcome | None = None
    only_untried: bool = False

    def record(self, call: Call, outcome: Outcome, instance: str | None) -> None:
        """Record an attempt that is followed by another one."""
        if instance is not None:
            self.tried_instances |= {instance}
        self.suspect = suspect_fingerprint(call, outcome) or self.suspect
        self.earlier_outcome = combined_outcome(self.earlier_outcome, outcome)


class CallRouter:
    """The router of calls to the gates of all instances, including this node's own gate."""

    __slots__ = (
        "_edge_shedder",
        "_gate",
        "_instance",
        "_links",
        "_loop",
        "_policies_by_service",
        "_router",
        "_view",
    )

    def __init__(
        self,
        instance: str,
        router: Router,
        view: MembershipView,
        links: LinkPool,
        gate: Gate,
        edge_shedder: EdgeShedder,
    ):
        self._edge_shedder = edge_shedder
        self._instance = instance
        self._router = router
        self._view = view
        self._links = links
        self._gate = gate
        self._loop = asyncio.get_running_loop()
        self._policies_by_service: dict[str, RetryPolicy] = {}

    async def route(
        self, call: Call, row: Row, attempt_tracker: KeyedAttemptTracker | None = None
    ) -> Outcome:
        """Attempt a call until it has a final outcome or may not be retried."""
        progress = AttemptProgress(attempt_tracker)
        policy = self._policy_for(call.service)
        while True:
            outcome, instance = await self._attempt(call, row, progress)
            now = self._loop.time()
            decision = policy.decide(row, outcome, outcome.allowance_left, call.deadline, now)
            match decision:
                case GiveUp():
                    return combined_outcome(progress.earlier_outcome, outcome)
                case RetryAfter(delay=delay):
                    if attempt_tracker is not None and not attempt_tracker.settle_and_begin_next(
                        outcome
                    ):
                        return outcome
                    call.allowance = outcome.allowance_left - 1
                    progress.record(call, outcome, instance)
                    await asyncio.sleep(delay)

    def _policy_for(self, service: str) -> RetryPolicy:
        # Cached per service: seeding its random number generator costs more than a decision.
        policy = self._policies_by_service.get(service)
        if policy is None:
            policy = RetryPolicy()
            self._policies_by_service[service] = policy
        return policy

    async def send_to_gate(self, instance: str, call: Call) -> GateReply:
        """Send one attempt to the gate of an instance and wait for its reply."""
        if instance == self._instance:
            return await self._gate.serve(call)
        announcement = self._view.by_instance.get(instance)
        if announcement is None:
            return GateReply(NotRun(NotRunReason.NO_UPSTREAM, allowance_left=call.allowance))
        return await self.send_to_node(announcement.address, call, Target.GATE)

    async def send_to_node(self, address: str, call: Call, target: Target) -> GateReply:
        """Send a call to a node, addressed to its gate or its home, and wait for the reply."""
        now = self._loop.time()
        request = call_to_request(call, target, self._links.next_request_id(), now)
        answer = await self._links.request(address, request, call.deadline)
        match answer:
            case LinkFailure.DEADLINE:
                return GateReply(Unknown(UnknownReason.DEADLINE))
            case LinkFailure.NOT_SENT:
                refusal = NotRun(NotRunReason.UNREACHABLE, allowance_left=call.allowance)
                return GateReply(refusal)
            case LinkFailure.LOST:
                # The retries that the lost attempt spent are unknown, so no allowance is left.
                return GateReply(Unknown(UnknownReason.LOST_LINK))
        return answer_to_reply(answer)

    async def _attempt(
        self, call: Call, row: Row, progress: AttemptProgress
    ) -> tuple[Outcome, str | None]:
        now = self._loop.time()
        refusal = self._edge_refusal(call, row, now)
        if refusal is not None:
            return with_allowance(refusal, call.allowance), None
        request = RouteRequest(
            call.service,
            call.kind,
            row.rank,
            call.action,
            call.deadline,
            call.depth,
            progress.tried_instances,
            idempotent=row.effect is Effect.IDEMPOTENT,
            suspect_fingerprint=progress.suspect,
            only_untried=progress.only_untried,
            goal_seconds=call.goal_seconds,
        )
        attempt_tracker = progress.attempt_tracker
        match self._router.choose(request, now):
            case RouteChoice(instance=instance):
                if attempt_tracker is not None and not attempt_tracker.assign_attempt(
                    call, instance
                ):
                    refusal = NotRun(NotRunReason.NO_UPSTREAM, allowance_left=call.allowance)
                    return refusal, instance
                outcome = await self._send_tracked(instance, call)
                return outcome, instance
            case NotRun() as refusal:
                return with_allowance(refusal, call.allowance), None

    def _edge_refusal(self, call: Call, row: Row, now: float) -> NotRun | None:
        """Return the refusal of a new call that a service in its row would shed, or None.

        Child calls are never refused here.
        """
        if call.depth:
            return None
        return self._edge_shedder.check(row.services, row.rank, call.action, now)

    async def _send_tracked(self, instance: str, call: Call) -> Outcome:
        started_at = self._loop.time()
        self._router.record_sent(instance, call.kind, started_at)
        reply = GateReply(Unknown(UnknownReason.CANCELLED))
        try:
            reply = await self.send_to_gate(instance, call)
        finally:
            now = self._loop.time()
            result = AttemptResult(
                instance,
                call.kind,
                reply.outcome,
                reply.report,
                reply.service_seconds,
                now - started_at,
            )
            self._router.record_result(result, now)
            self._record_duration(call, instance, reply, now - started_at)
            if reply.report is not None:
                self._record_load_report(call, instance, reply.report, now)
        return reply.outcome

    def _record_duration(self, call: Call, instance: str, reply: GateReply, elapsed: float) -> None:
        """Record the duration of an attempt; a hook for subclasses."""

    def _record_load_report(
        self, call: Call, instance: str, report: LoadReport, now: float
    ) -> None:
        """Update the admission levels at the edge from a gate's load report."""
        self._edge_shedder.record_report(call.service, instance, report, now, call.depth)
