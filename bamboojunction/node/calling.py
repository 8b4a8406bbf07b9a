"""The router's task side: sends attempts to gates and repeats them within the allowance."""

import asyncio
from dataclasses import replace

from bamboojunction.core.calls import Call
from bamboojunction.core.membership.view import MembershipView
from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Unknown,
    UnknownReason,
)
from bamboojunction.core.poison.fingerprints import suspect_after
from bamboojunction.core.retries.policy import GiveUp, RetryAfter, RetryPolicy
from bamboojunction.core.routing.router import AttemptEnd, Chosen, Router, RouteRequest
from bamboojunction.core.table.rows import Effect, Row
from bamboojunction.node.serving import GateService
from bamboojunction.nodes.convert import answer_to_reply, call_to_request
from bamboojunction.nodes.links import LinkFailure, LinkPool
from bamboojunction.nodes.messages import Target
from bamboojunction.nodes.replies import GateReply


class CallRouter:
    """Route calls to gates, the one beside this node among them."""

    __slots__ = ("_gate", "_instance", "_links", "_loop", "_policies", "_router", "_view")

    def __init__(
        self,
        instance: str,
        router: Router,
        view: MembershipView,
        links: LinkPool,
        gate: GateService,
    ):
        self._instance = instance
        self._router = router
        self._view = view
        self._links = links
        self._gate = gate
        self._loop = asyncio.get_running_loop()
        self._policies: dict[str, RetryPolicy] = {}

    async def route(self, call: Call, row: Row) -> Outcome:
        """Attempt a call until it is settled or may not be tried again."""
        excluded: frozenset[str] = frozenset()
        suspect: int | None = None
        policy = self._policies.setdefault(call.service, RetryPolicy())
        while True:
            outcome, instance = await self._attempt(call, row, excluded, suspect)
            now = self._loop.time()
            decision = policy.decide(row, outcome, outcome.allowance_left, call.deadline, now)
            match decision:
                case GiveUp():
                    return outcome
                case RetryAfter(delay=delay):
                    call.allowance = outcome.allowance_left - 1
                    excluded = excluded | {instance} if instance else excluded
                    suspect = suspect_after(call, outcome) or suspect
                    await asyncio.sleep(delay)

    async def send_to_gate(self, instance: str, call: Call) -> GateReply:
        """Send one attempt to the gate of an instance and wait for its reply."""
        if instance == self._instance:
            return await self._gate.serve(call)
        announcement = self._view.by_instance.get(instance)
        if announcement is None:
            return GateReply(NotRun(NotRunReason.NO_UPSTREAM, allowance_left=call.allowance))
        return await self.send_to_node(announcement.address, call, Target.GATE)

    async def send_to_node(self, address: str, call: Call, target: Target) -> GateReply:
        """Send a call to a node in one of its roles and wait for its reply."""
        now = self._loop.time()
        request = call_to_request(call, target, self._links.next_id(), now)
        try:
            async with asyncio.timeout_at(call.deadline):
                answer = await self._links.request(address, request)
        except TimeoutError:
            return GateReply(Unknown(UnknownReason.DEADLINE))
        match answer:
            case LinkFailure.NOT_SENT:
                refusal = NotRun(NotRunReason.UNREACHABLE, allowance_left=call.allowance)
                return GateReply(refusal)
            case LinkFailure.LOST:
                # What the lost attempt spent is not known, so nothing of it is left.
                return GateReply(Unknown(UnknownReason.LOST_LINK))
        return answer_to_reply(answer)

    async def _attempt(
        self, call: Call, row: Row, excluded: frozenset[str], suspect: int | None
    ) -> tuple[Outcome, str | None]:
        now = self._loop.time()
        request = RouteRequest(
            call.service,
            call.kind,
            row.rank,
            call.action,
            call.deadline,
            call.depth,
            excluded,
            idempotent=row.effect is Effect.IDEMPOTENT,
            suspect=suspect,
        )
        match self._router.choose(request, now):
            case Chosen(instance=instance):
                outcome = await self._send_tracked(instance, call)
                return outcome, instance
            case NotRun() as refusal:
                return replace(refusal, allowance_left=call.allowance), None

    async def _send_tracked(self, instance: str, call: Call) -> Outcome:
        started = self._loop.time()
        self._router.sent(instance, call.kind, started)
        reply = GateReply(Unknown(UnknownReason.CANCELLED))
        try:
            reply = await self.send_to_gate(instance, call)
        finally:
            now = self._loop.time()
            end = AttemptEnd(
                instance,
                call.kind,
                reply.outcome,
                reply.report,
                reply.service_seconds,
                now - started,
            )
            self._router.ended(end, now)
        return reply.outcome
