"""The gate of this node's upstream: applies admission control and the poison guard to calls."""

import asyncio
import itertools
from collections.abc import Callable
from dataclasses import replace

from bamboojunction.core.admission.edge import EdgeShedder
from bamboojunction.core.admission.gate import (
    AdmissionController,
    CompletionStatus,
    Decision,
    Refuse,
    Start,
    Ticket,
)
from bamboojunction.core.calls import Call
from bamboojunction.core.load_reports import LoadReport
from bamboojunction.core.outcomes import (
    NotRun,
    NotRunReason,
    Outcome,
    Ran,
    Unknown,
    UnknownReason,
    with_allowance,
)
from bamboojunction.core.poison.decisions import DelaySuspect, Finding, RefuseSuspect, RunIsolated
from bamboojunction.core.poison.fingerprints import fingerprint_of
from bamboojunction.core.poison.guard import PoisonGuard
from bamboojunction.core.table.holder import CurrentTable
from bamboojunction.core.table.rows import Row
from bamboojunction.links.replies import GateReply
from bamboojunction.node.running_calls import RunningCall, RunningCalls
from bamboojunction.telemetry.tracing import NOOP_TRACER, Tracer
from bamboojunction.upstreams.client import UpstreamClient, UpstreamResult


class GateService:
    """The gate through which every call to this node's upstream passes."""

    __slots__ = (
        "_admission",
        "_client",
        "_current_table",
        "_guard",
        "_loop",
        "_running_calls",
        "_slot_futures_by_ticket",
        "_ticket_ids",
        "_timer",
        "edge",
        "may_run_suspect",
        "on_findings",
        "tracer",
    )

    def __init__(
        self,
        admission: AdmissionController,
        client: UpstreamClient,
        current_table: CurrentTable,
        guard: PoisonGuard,
        running_calls: RunningCalls,
    ):
        self._admission = admission
        self._client = client
        self._current_table = current_table
        self._guard = guard
        self._running_calls = running_calls
        self._ticket_ids = itertools.count(1)
        self._loop = asyncio.get_running_loop()
        self._slot_futures_by_ticket: dict[int, asyncio.Future] = {}
        self._timer: asyncio.TimerHandle | None = None
        self.may_run_suspect: Callable[[int], bool] = lambda fingerprint: True
        self.on_findings: Callable[[list[Finding]], None] = lambda findings: None
        self.tracer: Tracer = NOOP_TRACER
        self.edge = EdgeShedder()

    async def serve(self, call: Call) -> GateReply:
        """Admit a call and run it at the upstream, within a trace span."""
        span = self.tracer.start_span("gate", call.traceparent)
        call.traceparent = span.traceparent
        outcome: Outcome = Unknown(UnknownReason.CANCELLED)
        try:
            reply = await self._serve(call)
            outcome = reply.outcome
            return reply
        finally:
            span.end(outcome)

    async def _serve(self, call: Call) -> GateReply:
        fingerprint = fingerprint_of(call.kind, call.method, call.path, call.body)
        admitted = await self._wait_for_guard(call, fingerprint)
        if isinstance(admitted, NotRun):
            return self._refusal_reply(call, admitted)
        is_isolated = isinstance(admitted, RunIsolated)
        try:
            return await self._serve_admitted(call, fingerprint, is_isolated)
        finally:
            if is_isolated:
                self._guard.release(fingerprint)

    async def _wait_for_guard(self, call: Call, fingerprint: int) -> RunIsolated | NotRun | None:
        """Wait while the poison guard holds the request.

        Return its refusal, ``RunIsolated`` for a suspect that may run now, or None for any other
        request.
        """
        while True:
            now = self._loop.time()
            decision = self._guard.admit(fingerprint, self.may_run_suspect, now)
            match decision:
                case RefuseSuspect(outcome=outcome):
                    return outcome
                case DelaySuspect(seconds=seconds):
                    if now + seconds >= call.deadline:
                        return NotRun(NotRunReason.QUARANTINED, retry_after=seconds)
                    await asyncio.sleep(seconds)
                case RunIsolated():
                    return decision
                case _:
                    return None

    async def _serve_admitted(self, call: Call, fingerprint: int, is_isolated: bool) -> GateReply:
        ticket = self._create_ticket(call, self._current_table.row(call.kind))
        refusal = await self._wait_for_slot(ticket, self._loop.time())
        if refusal is not None:
            return self._refusal_reply(call, refusal)
        now = self._loop.time()
        refusal = self._guard.recheck(fingerprint, is_isolated, now)
        if now >= call.deadline:
            refusal = NotRun(NotRunReason.DEADLINE)
        refusal = refusal or self._refusal_before_start(call)
        if refusal is not None:
            self._finish(ticket.ticket_id, CompletionStatus.CANCELLED, 0.0)
            return self._refusal_reply(call, refusal)
        return await self._run(ticket, call, fingerprint)

    def _refusal_before_start(self, call: Call) -> NotRun | None:
        """Return a refusal of a call that has got its slot, or None; a hook for subclasses."""
        return None

    def drain(self) -> None:
        """Refuse all queued calls and new ones."""
        self._apply_decisions(self._admission.drain(self._loop.time()))

    def report(self) -> LoadReport:
        """Return the gate's load report."""
        return self._admission.report(self._loop.time())

    def _report_for(self, call: Call) -> LoadReport:
        """Return the load report, with the admission levels of the services in the call's row."""
        services = self._current_table.row(call.kind).services
        below = self.edge.levels_to_relay(services, self._loop.time())
        return replace(self.report(), below=below) if below else self.report()

    def _create_ticket(self, call: Call, row: Row) -> Ticket:
        return Ticket(
            ticket_id=next(self._ticket_ids),
            kind=call.kind,
            rank=row.rank,
            weight=row.weight,
            action=call.action,
            deadline=call.deadline,
            depth=call.depth,
            slots_max=row.slots_max,
        )

    async def _wait_for_slot(self, ticket: Ticket, now: float) -> NotRun | None:
        future = self._loop.create_future()
        self._slot_futures_by_ticket[ticket.ticket_id] = future
        self._apply_decisions(self._admission.submit(ticket, now))
        try:
            return await future
        except asyncio.CancelledError:
            self._leave_queue(ticket.ticket_id, future)
            raise
        finally:
            self._slot_futures_by_ticket.pop(ticket.ticket_id, None)

    def _leave_queue(self, ticket_id: int, future: asyncio.Future) -> None:
        """Remove a cancelled call from the queue, or free its slot if one was just granted."""
        now = self._loop.time()
        holds_slot = future.done() and not future.cancelled() and future.result() is None
        if holds_slot:
            self._finish(ticket_id, CompletionStatus.CANCELLED, 0.0)
        else:
            self._apply_decisions(self._admission.cancel(ticket_id, now))

    async def _run(self, ticket: Ticket, call: Call, fingerprint: int) -> GateReply:
        running_call = self._running_calls.start(call)
        self._guard.record_start(ticket.ticket_id, fingerprint, self._loop.time())
        completion_status = CompletionStatus.CANCELLED
        reply: UpstreamResult | None = None
        seconds = 0.0
        try:
            reply = await self._client.send(call, self._upstream_headers(running_call))
            completion_status = reply.service_end
            seconds = reply.service_seconds
        finally:
            allowance_left = self._running_calls.end(running_call)
            self._report_end_to_guard(ticket.ticket_id, reply)
            self._finish(ticket.ticket_id, completion_status, seconds)
        return self._reply(call, reply, allowance_left)

    def _upstream_headers(self, running_call: RunningCall) -> list[tuple[str, str]]:
        call = running_call.call
        remaining_ms = max(0, int((call.deadline - self._loop.time()) * 1000))
        headers = list(call.headers)
        headers.append(("Bamboo-Call", running_call.token))
        headers.append(("Bamboo-Kind", call.kind))
        headers.append(("Bamboo-Action", call.action))
        headers.append(("Bamboo-Deadline-Ms", str(remaining_ms)))
        if call.key:
            headers.append(("Bamboo-Key", call.key))
        if call.traceparent:
            headers.append(("traceparent", call.traceparent))
        return headers

    def _report_end_to_guard(self, ticket_id: int, reply: UpstreamResult | None) -> None:
        """Tell the poison guard whether the call completed, crashed the upstream or neither."""
        now = self._loop.time()
        findings: list[Finding] = []
        if reply is not None and self._shows_crash(reply):
            findings = self._guard.record_crash(ticket_id, now)
        elif reply is not None and isinstance(reply.outcome, Ran):
            findings = self._guard.record_completion(ticket_id, now)
        else:
            self._guard.record_abandoned(ticket_id)
        if findings:
            self.on_findings(findings)

    def _shows_crash(self, reply: UpstreamResult) -> bool:
        """Return whether a result is evidence that the upstream crashed."""
        match reply.outcome:
            case Unknown(reason=UnknownReason.LOST_UPSTREAM | UnknownReason.TRUNCATED):
                return True
        return False

    def _finish(self, ticket_id: int, completion_status: CompletionStatus, seconds: float) -> None:
        self._apply_decisions(
            self._admission.finish(ticket_id, completion_status, seconds, self._loop.time())
        )

    def _apply_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            future = self._slot_futures_by_ticket.get(decision.ticket_id)
            if future is None or future.done():
                continue
            match decision:
                case Start():
                    future.set_result(None)
                case Refuse(outcome=outcome):
                    future.set_result(outcome)
        self._arm_timer()

    def _arm_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        due = self._admission.next_tick(self._loop.time())
        if due is not None:
            self._timer = self._loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._apply_decisions(self._admission.tick(self._loop.time()))

    def _refusal_reply(self, call: Call, outcome: NotRun) -> GateReply:
        return GateReply(with_allowance(outcome, call.allowance), self._report_for(call))

    def _reply(self, call: Call, reply: UpstreamResult, allowance_left: int) -> GateReply:
        outcome = with_allowance(reply.outcome, allowance_left)
        return GateReply(outcome, self._report_for(call), reply.service_seconds)
